//! Seed lists in the platform's service.

use balsamfold::process::membership::MemberTable;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::membership::SEEDS_PER_ZONE;
use balsamfold::process::membership::SeedList;
use balsamfold::process::membership::seed_list;

use crate::fleet::record;

const ZONE_SIZE: usize = 98;

fn zone() -> Vec<NodeRecord> {
    let records = (0..ZONE_SIZE).map(|index| record(index, 1, NodeCondition::Alive));
    records.collect()
}

/// Returns the lists that the nodes of `records` want to write, all with the same table.
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
