//! Merging records gives the same result on all nodes.

use std::net::SocketAddr;

use balsamfold::process::membership::MemberTable;
use balsamfold::process::membership::Members;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use proptest::prelude::*;

use crate::fleet::node_id;
use crate::fleet::record;
use crate::fleet::server;

fn condition() -> impl Strategy<Value = NodeCondition> {
    prop_oneof![
        Just(NodeCondition::Alive),
        Just(NodeCondition::Suspect),
        Just(NodeCondition::Leaving),
        Just(NodeCondition::Dead),
    ]
}

prop_compose! {
    fn any_record()(
        incarnation in 0..4_u64,
        condition in condition(),
        port in 1..3_u16,
        service in proptest::option::of("[ab]"),
    ) -> NodeRecord {
        let address = SocketAddr::from(([10, 0, 0, 1], port));
        NodeRecord {
            incarnation: Incarnation(incarnation),
            condition,
            addresses: NodeAddresses { peer: address, control: address, probe: address },
            server: service.as_deref().map(server),
            ..record(1, 0, NodeCondition::Alive)
        }
    }
}

proptest! {
    #[test]
    fn merge_is_commutative(a in any_record(), b in any_record()) {
        prop_assert_eq!(a.clone().merge(b.clone()), b.merge(a));
    }

    #[test]
    fn merge_is_associative(a in any_record(), b in any_record(), c in any_record()) {
        let left = a.clone().merge(b.clone()).merge(c.clone());
        let right = a.merge(b.merge(c));
        prop_assert_eq!(left, right);
    }

    #[test]
    fn merge_is_idempotent(a in any_record()) {
        prop_assert_eq!(a.clone().merge(a.clone()), a);
    }

    #[test]
    fn higher_incarnation_wins_then_the_worse_condition(
        a in any_record(),
        b in any_record(),
    ) {
        let merged = a.clone().merge(b.clone());
        let best = (a.incarnation, a.condition).max((b.incarnation, b.condition));
        prop_assert_eq!((merged.incarnation, merged.condition), best);
    }

    #[test]
    fn order_of_arrival_does_not_change_the_table(
        records in proptest::collection::vec(any_record(), 1..8),
    ) {
        let known = record(1, 0, NodeCondition::Alive);
        let table = |records: &mut dyn Iterator<Item = &NodeRecord>| {
            let mut members = Members::default();
            members.merge(known.clone(), MonotonicTime(0));
            for record in records {
                members.merge(record.clone(), MonotonicTime(0));
            }
            (members.digest(), members.get(&node_id(1)).map(|member| member.record.clone()))
        };
        prop_assert_eq!(table(&mut records.iter()), table(&mut records.iter().rev()));
    }
}

#[test]
fn suspected_node_accepts_work_and_a_leaving_one_does_not() {
    let records = [
        record(1, 1, NodeCondition::Alive),
        record(2, 1, NodeCondition::Suspect),
        record(3, 1, NodeCondition::Leaving),
        record(4, 1, NodeCondition::Dead),
    ];
    let table = MemberTable::new(records);
    let serving = table.serving(&server("stock").service);
    let ids: Vec<_> = serving.iter().map(|record| record.id.clone()).collect();
    assert_eq!(ids, [node_id(1), node_id(2)]);
}
