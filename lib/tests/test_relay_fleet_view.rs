//! Which nodes a node believes to be there.

use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::relay::Fleet;
use balsamfold::process::relay::StoreRevision;
use balsamfold::values::Incarnation;
use balsamfold::values::NodeId;
use testutils::relay::at_ms;

fn record(name: &str, condition: NodeCondition) -> NodeRecord {
    let unused = "127.0.0.1:0".parse().expect("valid address");
    NodeRecord {
        id: name.parse().expect("valid name"),
        zone: "zone-a".parse().expect("valid name"),
        addresses: NodeAddresses {
            peer: unused,
            control: unused,
            probe: unused,
        },
        incarnation: Incarnation(1),
        condition,
        server: None,
    }
}

fn node(name: &str) -> NodeId {
    name.parse().expect("valid name")
}

#[test]
fn lapsed_entry_is_kept_until_a_living_node_could_write_it_again() {
    let mut fleet = Fleet::default();
    fleet.write(record("a", NodeCondition::Alive), StoreRevision(1));
    fleet.remove(&node("a"), StoreRevision(2), at_ms(0));
    assert!(!fleet.forget_missing(at_ms(2_000)));
    fleet.write(record("a", NodeCondition::Alive), StoreRevision(3));
    assert!(!fleet.forget_missing(at_ms(9_000)));
    fleet.remove(&node("a"), StoreRevision(4), at_ms(9_000));
    assert!(fleet.forget_missing(at_ms(11_600)));
}

#[test]
fn node_that_left_as_planned_is_forgotten_with_its_entry() {
    let mut fleet = Fleet::default();
    fleet.write(record("a", NodeCondition::Leaving), StoreRevision(1));
    fleet.remove(&node("a"), StoreRevision(2), at_ms(0));
    assert!(fleet.forget_missing(at_ms(1)));
}

#[test]
fn older_event_does_not_undo_a_newer_one() {
    let mut fleet = Fleet::default();
    fleet.write(record("a", NodeCondition::Alive), StoreRevision(5));
    fleet.remove(&node("a"), StoreRevision(4), at_ms(0));
    fleet.list(&[], StoreRevision(4), at_ms(0));
    assert!(!fleet.forget_missing(at_ms(10_000)));
    assert!(!fleet.write(record("a", NodeCondition::Leaving), StoreRevision(4)));
    assert!(
        fleet
            .table()
            .node(&node("a"))
            .is_some_and(NodeRecord::accepts_work)
    );
}

#[test]
fn number_of_nodes_falls_only_after_cut_off_ones_have_stopped() {
    let mut fleet = Fleet::default();
    for name in ["a", "b", "c"] {
        fleet.write(record(name, NodeCondition::Alive), StoreRevision(1));
    }
    assert_eq!(fleet.largest_count(at_ms(0)), 3);
    fleet.remove(&node("a"), StoreRevision(2), at_ms(0));
    fleet.forget_missing(at_ms(3_000));
    assert_eq!(fleet.largest_count(at_ms(3_000)), 3);
    assert_eq!(fleet.largest_count(at_ms(20_000)), 2);
}
