//! Seed lists in the platform's service.

use balsamfold::process::membership::MemberTable;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::membership::SEEDS_PER_ZONE;
use balsamfold::process::membership::SeedList;
use balsamfold::process::membership::SeedRecord;
use balsamfold::process::membership::seed_list;
use balsamfold::process::node::NodeDaemon;
use balsamfold::process::platform::CallCounts;
use balsamfold::process::settings::NodeSettings;
use balsamfold::process::settings::RawNodeSettings;
use testutils::fleet::raw_settings;
use testutils::fleet::wait_until;
use testutils::platform::Faults;
use testutils::platform::PlatformStandIn;

use crate::fleet::address;
use crate::fleet::node_id;
use crate::fleet::record;

const ZONE_SIZE: usize = 98;

fn zone() -> Vec<NodeRecord> {
    let records = (0..ZONE_SIZE).map(|index| record(index, 1, NodeCondition::Alive));
    records.collect()
}

/// Returns the lists that the nodes of `records` would write, all with the same table.
fn lists(records: &[NodeRecord]) -> Vec<SeedList> {
    let table = MemberTable::new(records.to_vec());
    let lists = records.iter().filter_map(|own| seed_list(own, &table));
    lists.collect()
}

#[test]
fn one_node_of_a_zone_writes_a_bounded_list() {
    let lists = lists(&zone());
    assert_eq!(lists.len(), 1);
    assert_eq!(lists[0].seeds.len(), SEEDS_PER_ZONE);
}

#[test]
fn another_node_takes_over_when_the_writer_is_lost() {
    let mut records = zone();
    let before = lists(&records);
    let writer = &before[0].seeds[0].node;
    for record in &mut records {
        if record.id == *writer {
            record.condition = NodeCondition::Suspect;
        }
    }
    let after = lists(&records);
    assert_eq!(after.len(), 1);
    assert_eq!(after[0].seeds[..2], before[0].seeds[1..]);
}

#[test]
fn each_zone_has_its_own_list() {
    let mut records = zone();
    for record in records.iter_mut().step_by(2) {
        record.zone = "zone-1".parse().expect("valid name");
    }
    assert_eq!(lists(&records).len(), 2);
}

#[test]
fn node_cut_off_from_its_zone_keeps_the_others_on_the_list() {
    let own = record(1, 1, NodeCondition::Alive);
    let table = MemberTable::new([own.clone()]);
    let stored = SeedList {
        seeds: [7, 8, 9].map(seed).to_vec(),
    };
    let list = seed_list(&own, &table).expect("the only node writes");
    let filled = list.extended_from(&stored, &table);
    assert_eq!(filled.seeds, [1, 7, 8].map(seed));
}

fn seed(index: usize) -> SeedRecord {
    SeedRecord {
        node: node_id(index),
        probe: address(index),
    }
}

async fn start_node(name: &str, platform: &PlatformStandIn, seeds: Vec<String>) -> NodeDaemon {
    let raw = RawNodeSettings {
        platform: platform.address().to_string(),
        seeds,
        ..raw_settings(name, "zone-a", "stock")
    };
    let settings = NodeSettings::try_from(raw).expect("settings of tests are valid");
    NodeDaemon::start(settings).await.expect("the node starts")
}

async fn wait_until_known(nodes: &[NodeDaemon]) {
    let knows_all = |node: &NodeDaemon| node.node().members().nodes().count() == nodes.len();
    wait_until(|| nodes.iter().all(knows_all)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_without_seeds_in_their_settings_join_through_the_platform() {
    let platform = PlatformStandIn::start_local().await;
    let platform = platform.expect("the stand-in starts");
    let mut nodes = Vec::new();
    for name in ["node-0", "node-1", "node-2"] {
        nodes.push(start_node(name, &platform, Vec::new()).await);
    }
    wait_until_known(&nodes).await;

    platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let seeds = vec![nodes[0].node().addresses.probe.to_string()];
    nodes.push(start_node("node-3", &platform, seeds).await);
    wait_until_known(&nodes).await;
    let calls: CallCounts = platform.status().calls;
    println!("platform calls: {calls:?}");
}
