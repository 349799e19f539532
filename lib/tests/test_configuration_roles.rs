//! Tests of the selection of the nodes that watch the platform's service or are notified.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use balsamfold::process::configuration::NOTICE_FANOUT;
use balsamfold::process::configuration::WATCHERS_PER_ZONE;
use balsamfold::process::configuration::choose_nodes;
use balsamfold::process::configuration::watches_platform;
use balsamfold::process::membership::MemberTable;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::values::Incarnation;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn fleet_table(nodes: usize, zones: usize) -> MemberTable {
    let records = (0..nodes).map(|index| {
        let port = |kind: usize| {
            let host = [10, kind as u8, (index / 250) as u8, (index % 250) as u8];
            SocketAddr::from((host, 7_000))
        };
        NodeRecord {
            id: format!("node-{index}").parse().unwrap(),
            zone: format!("zone-{}", index % zones).parse().unwrap(),
            addresses: NodeAddresses {
                peer: port(1),
                control: port(2),
                probe: port(3),
            },
            incarnation: Incarnation(1),
            condition: NodeCondition::Alive,
            server: None,
        }
    });
    MemberTable::new(records)
}

#[test]
fn watchers_do_not_grow_with_the_fleet() {
    for nodes in [16, 80, 780] {
        let table = fleet_table(nodes, 8);
        let watchers = table
            .nodes()
            .filter(|record| watches_platform(&record.id, &record.zone, &table));
        assert_eq!(watchers.count(), 8 * WATCHERS_PER_ZONE, "{nodes} nodes");
    }
}

#[test]
fn watcher_that_is_not_alive_is_replaced() {
    let table = fleet_table(12, 2);
    let is_watcher = |record: &&NodeRecord| watches_platform(&record.id, &record.zone, &table);
    let first = table.nodes().find(is_watcher).unwrap().clone();
    let records = table
        .nodes()
        .cloned()
        .map(|record| match record.id == first.id {
            true => NodeRecord {
                condition: NodeCondition::Dead,
                ..record
            },
            false => record,
        });
    let after = MemberTable::new(records.collect::<Vec<_>>());
    let alive = after.nodes().filter(|record| record.accepts_work());
    let watchers = alive.filter(|record| watches_platform(&record.id, &record.zone, &after));
    assert_eq!(watchers.count(), 2 * WATCHERS_PER_ZONE);
}

/// Each node that receives a notice notifies [`NOTICE_FANOUT`] others. The rest learns by polling.
#[test]
fn notices_reach_nearly_all_of_780_nodes_in_few_steps() {
    let table = fleet_table(780, 8);
    let mut random = StdRng::seed_from_u64(1);
    let watchers = table
        .nodes()
        .filter(|record| watches_platform(&record.id, &record.zone, &table));
    let mut notifying: Vec<&NodeRecord> = watchers.collect();
    let mut informed: BTreeSet<SocketAddr> = notifying
        .iter()
        .map(|node| node.addresses.control)
        .collect();
    let mut steps = 0;
    while !notifying.is_empty() {
        let notified: BTreeSet<SocketAddr> = notifying
            .iter()
            .flat_map(|node| choose_nodes(&node.id, &table, NOTICE_FANOUT, &mut random))
            .collect();
        let newly: BTreeSet<_> = notified.difference(&informed).copied().collect();
        let is_new = |record: &&NodeRecord| newly.contains(&record.addresses.control);
        notifying = table.nodes().filter(is_new).collect();
        steps += usize::from(!newly.is_empty());
        informed.extend(newly);
    }
    println!(
        "{} of 780 nodes received a notice after {steps} steps",
        informed.len()
    );
    assert!(steps <= 8);
    assert!(informed.len() >= 770);
}
