//! Restarted and replaced instances, and outdated records of earlier incarnations.

use std::time::Duration;

use balsamfold::process::membership::Members;
use balsamfold::process::membership::MergeOutcome;
use balsamfold::process::membership::NodeCondition;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::WallTime;

use crate::fleet::Fleet;
use crate::fleet::RunState;
use crate::fleet::node_id;
use crate::fleet::record;

const DAY: MonotonicTime = MonotonicTime(24 * 60 * 60 * 1_000_000);

#[test]
fn restarted_instance_is_a_new_incarnation_at_the_same_address() {
    let mut fleet = Fleet::start(3, 4);
    let before = fleet.node(5).own_record().incarnation;
    fleet.set_run_state(5, RunState::Stopped);
    fleet.run_for(Duration::from_secs(20));
    fleet.start_node(5, WallTime(40_000));
    fleet.run_until(Duration::from_secs(5), Fleet::has_converged);
    let after = fleet.node(5).own_record().incarnation;
    assert!(after.generation() > before.generation());
}

#[test]
fn restart_with_a_clock_that_stepped_back_is_still_a_new_incarnation() {
    let mut fleet = Fleet::start(3, 4);
    let before = fleet.node(5).own_record().incarnation;
    fleet.start_node(5, WallTime(10));
    fleet.run_until(Duration::from_secs(10), |fleet| {
        let views = fleet.views(5);
        let mut records = views.iter().flatten();
        records.all(|record| record.incarnation.generation() > before.generation())
    });
    fleet.run_until(Duration::from_secs(10), Fleet::has_converged);
}

#[test]
fn new_node_makes_the_previous_node_at_its_address_dead() {
    let mut fleet = Fleet::start(3, 4);
    let mut options = crate::fleet::options(5, 4);
    options.id = node_id(99);
    fleet.replace_node(5, options, WallTime(40_000));
    fleet.run_until(Duration::from_secs(5), |fleet| {
        fleet
            .views(5)
            .iter()
            .flatten()
            .all(|record| record.condition == NodeCondition::Dead)
    });
}

#[test]
fn record_of_the_same_incarnation_does_not_revive_a_dead_node() {
    let mut members = Members::default();
    let now = MonotonicTime(0);
    members.merge(record(1, 5, NodeCondition::Alive), now);
    members.merge(record(1, 5, NodeCondition::Dead), now);
    for condition in [
        NodeCondition::Alive,
        NodeCondition::Suspect,
        NodeCondition::Leaving,
    ] {
        let outcome = members.merge(record(1, 5, condition), now);
        assert_eq!(outcome, MergeOutcome::Ignored);
    }
    let outcome = members.merge(record(1, 6, NodeCondition::Alive), now);
    assert_eq!(outcome, MergeOutcome::Changed);
}

#[test]
fn tombstone_expires_and_is_not_learned_again() {
    let retention = Duration::from_secs(7_200);
    let mut members = Members::default();
    members.merge(record(1, 5, NodeCondition::Alive), MonotonicTime(0));
    members.merge(record(1, 5, NodeCondition::Dead), MonotonicTime(0));
    assert!(!members.remove_expired_tombstones(MonotonicTime(7_199_000_000), retention));
    assert!(members.remove_expired_tombstones(MonotonicTime(7_200_000_000), retention));
    let outcome = members.merge(record(1, 5, NodeCondition::Dead), DAY);
    assert_eq!(outcome, MergeOutcome::Ignored);
    assert!(members.is_empty());
}

#[test]
fn digest_depends_on_live_records_alone() {
    let now = MonotonicTime(0);
    let mut first = Members::default();
    first.merge(record(1, 5, NodeCondition::Alive), now);
    first.merge(record(2, 5, NodeCondition::Alive), now);
    let mut second = Members::default();
    second.merge(record(2, 5, NodeCondition::Alive), now);
    assert_ne!(first.digest(), second.digest());
    assert_eq!(first.differing(second.buckets()), [node_id(1)]);
    first.merge(record(1, 5, NodeCondition::Dead), now);
    assert_eq!(first.digest(), second.digest());
}

#[test]
fn raised_incarnation_exceeds_the_observed_one() {
    let start = Incarnation::at_start(WallTime(1_000));
    assert_eq!(start.raised_over(start), start.next());
    assert_eq!(start.raised_over(start).generation(), start.generation());
    let later = Incarnation::at_start(WallTime(2_000));
    assert!(start.raised_over(later) > later);
    assert!(start.raised_over(later).generation() > later.generation());
    assert!(!Incarnation(u64::MAX).is_plausible());
}
