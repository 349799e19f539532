//! The view of the fleet from its store entries.

use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::relay::Fleet;
use balsamfold::process::relay::StoreRevision;
use balsamfold::values::NodeId;
use testutils::relay::at_ms;
use testutils::relay::sample_node_record;

fn record(name: &str, condition: NodeCondition) -> NodeRecord {
    sample_node_record(name, "zone-a", condition)
}

fn node(name: &str) -> NodeId {
    name.parse().expect("valid name")
}

#[test]
fn missing_entry_is_kept_for_the_grace_period() {
    let mut fleet = Fleet::default();
    fleet.apply_write(record("a", NodeCondition::Alive), StoreRevision(1));
    fleet.apply_removal(&node("a"), StoreRevision(2), at_ms(0));
    assert!(!fleet.evict_missing(at_ms(2_000)));
    fleet.apply_write(record("a", NodeCondition::Alive), StoreRevision(3));
    assert!(!fleet.evict_missing(at_ms(9_000)));
    fleet.apply_removal(&node("a"), StoreRevision(4), at_ms(9_000));
    assert!(fleet.evict_missing(at_ms(11_600)));
}

#[test]
fn leaving_node_is_evicted_once_its_entry_is_missing() {
    let mut fleet = Fleet::default();
    fleet.apply_write(record("a", NodeCondition::Leaving), StoreRevision(1));
    fleet.apply_removal(&node("a"), StoreRevision(2), at_ms(0));
    assert!(fleet.evict_missing(at_ms(1)));
}

#[test]
fn event_of_an_older_revision_is_ignored() {
    let mut fleet = Fleet::default();
    fleet.apply_write(record("a", NodeCondition::Alive), StoreRevision(5));
    fleet.apply_removal(&node("a"), StoreRevision(4), at_ms(0));
    assert!(!fleet.evict_missing(at_ms(10_000)));
    assert!(!fleet.apply_write(record("a", NodeCondition::Leaving), StoreRevision(4)));
    assert!(
        fleet
            .table()
            .node(&node("a"))
            .is_some_and(NodeRecord::accepts_work)
    );
}
