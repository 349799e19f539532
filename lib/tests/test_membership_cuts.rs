//! Network partitions between zones.

use std::time::Duration;

use balsamfold::process::membership::NodeCondition;

use crate::fleet::Fleet;
use crate::fleet::RunState;

const HEAL_LIMIT: Duration = Duration::from_secs(10);
const LONG_CUT: Duration = Duration::from_secs(300);

fn assert_none_dead(fleet: &Fleet) {
    assert!(!fleet.any_sees(0..20, NodeCondition::Dead));
}

/// Checks that all nodes agree within [`HEAL_LIMIT`] after the heal, and that none sees another as
/// dead.
fn assert_agrees_without_deaths(fleet: &mut Fleet) {
    let healed = fleet.now;
    while fleet.now.since(healed) < 3 * HEAL_LIMIT {
        fleet.run_for(Duration::from_millis(100));
        assert_none_dead(fleet);
        assert!(fleet.has_converged() || fleet.now.since(healed) < HEAL_LIMIT);
    }
}

#[test]
fn nodes_of_an_unreachable_zone_stay_suspect_and_recover() {
    let mut fleet = Fleet::start(4, 5);
    fleet.cut = |from, to| (from == 3) != (to == 3);
    for _ in 0..LONG_CUT.as_secs() {
        fleet.run_for(Duration::from_secs(1));
        assert_none_dead(&fleet);
    }
    assert!(fleet.any_sees(15..20, NodeCondition::Suspect));
    fleet.cut = |_, _| false;
    assert_agrees_without_deaths(&mut fleet);
}

#[test]
fn regions_cut_from_each_other_agree_after_the_heal() {
    let mut fleet = Fleet::start(4, 5);
    fleet.cut = |from, to| (from < 2) != (to < 2);
    fleet.run_for(LONG_CUT);
    assert_none_dead(&fleet);
    fleet.cut = |_, _| false;
    assert_agrees_without_deaths(&mut fleet);
}

#[test]
fn leaving_node_behind_a_cut_stays_leaving_after_the_heal() {
    let mut fleet = Fleet::start(4, 5);
    let now = fleet.now;
    fleet.node(17).leave(now);
    fleet.run_for(Duration::from_secs(2));
    fleet.cut = |from, to| (from == 3) != (to == 3);
    fleet.run_for(Duration::from_secs(60));
    assert!(fleet.all_see(17, NodeCondition::Leaving));
    fleet.cut = |_, _| false;
    for _ in 0..30 {
        fleet.run_for(Duration::from_secs(1));
        assert!(fleet.all_see(17, NodeCondition::Leaving));
    }
}

#[test]
fn indirect_probes_through_a_third_zone_prevent_suspicions() {
    let mut fleet = Fleet::start(4, 5);
    fleet.cut = |from, to| from.min(to) == 0 && from.max(to) == 1;
    for _ in 0..60 {
        fleet.run_for(Duration::from_secs(1));
        assert!(!fleet.any_sees(0..20, NodeCondition::Suspect));
    }
}

#[test]
fn leaving_node_is_known_in_all_zones_despite_a_cut() {
    let mut fleet = Fleet::start(4, 5);
    fleet.cut = |from, to| from.min(to) == 0 && from.max(to) == 1;
    let now = fleet.now;
    fleet.node(2).leave(now);
    fleet.run_until(Duration::from_secs(10), |fleet| {
        fleet.all_see(2, NodeCondition::Leaving)
    });
}

#[test]
fn node_that_died_behind_a_cut_is_found_dead_after_the_heal() {
    let mut fleet = Fleet::start(4, 5);
    fleet.cut = |from, to| (from == 3) != (to == 3);
    fleet.run_for(Duration::from_secs(30));
    fleet.set_run_state(17, RunState::Stopped);
    fleet.run_for(Duration::from_secs(30));
    fleet.cut = |_, _| false;
    fleet.run_until(HEAL_LIMIT, |fleet| {
        fleet.has_converged() && fleet.all_see(17, NodeCondition::Dead)
    });
}

#[test]
fn node_started_behind_a_cut_is_known_after_the_heal() {
    let mut fleet = Fleet::start(4, 5);
    fleet.cut = |from, to| (from == 0) != (to == 0);
    fleet.run_for(Duration::from_secs(30));
    fleet.start_node(2, balsamfold::values::WallTime(2_000));
    fleet.run_for(Duration::from_secs(30));
    fleet.cut = |_, _| false;
    fleet.run_until(HEAL_LIMIT, Fleet::has_converged);
    assert_eq!(fleet.views(2)[10], Some(fleet.node(2).own_record().clone()));
}
