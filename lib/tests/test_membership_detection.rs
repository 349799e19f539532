//! Detection of nodes that die or pause, and refutation of false suspicions.

use std::time::Duration;

use balsamfold::process::membership::NodeCondition;
use balsamfold::values::ConfigVersion;

use crate::fleet::Fleet;
use crate::fleet::RunState;
use crate::fleet::address;
use crate::fleet::announcement;
use crate::fleet::node_id;

#[test]
fn nodes_join_through_seeds_in_the_settings_alone() {
    let fleet = Fleet::start(3, 4);
    assert!(fleet.has_converged());
}

#[test]
fn dead_node_is_detected_everywhere() {
    let mut fleet = Fleet::start(3, 4);
    fleet.set_run_state(5, RunState::Stopped);
    fleet.run_until(Duration::from_secs(20), |fleet| {
        fleet.all_see(5, NodeCondition::Dead)
    });
    assert!(fleet.has_converged());
}

#[test]
fn last_other_node_that_dies_stays_suspect() {
    let mut fleet = Fleet::start(1, 2);
    fleet.set_run_state(1, RunState::Stopped);
    fleet.run_for(Duration::from_secs(30));
    assert!(fleet.all_see(1, NodeCondition::Suspect));
}

#[test]
fn paused_node_is_suspected_and_refutes_when_it_resumes() {
    let mut fleet = Fleet::start(3, 4);
    let before = fleet.node(5).own_record().incarnation;
    fleet.set_run_state(5, RunState::Paused);
    fleet.run_until(Duration::from_secs(10), |fleet| {
        fleet.all_see(5, NodeCondition::Suspect)
    });
    fleet.set_run_state(5, RunState::Running);
    fleet.run_until(Duration::from_secs(5), Fleet::has_converged);
    let after = fleet.node(5).own_record().incarnation;
    assert!(after > before);
    assert_eq!(after.generation(), before.generation());
}

#[test]
fn node_that_resumes_after_a_long_pause_suspects_no_other_node() {
    let mut fleet = Fleet::start(3, 4);
    fleet.set_run_state(5, RunState::Paused);
    fleet.run_for(Duration::from_secs(60));
    fleet.set_run_state(5, RunState::Running);
    for _ in 0..100 {
        fleet.run_for(Duration::from_millis(100));
        let others = [0..5, 6..12];
        for about in others {
            assert!(!fleet.any_sees(about.clone(), NodeCondition::Suspect));
            assert!(!fleet.any_sees(about, NodeCondition::Dead));
        }
    }
    assert!(fleet.has_converged());
}

#[test]
fn false_suspicion_is_refuted() {
    let mut fleet = Fleet::start(3, 4);
    let mut claim = fleet.node(5).own_record().clone();
    let before = claim.incarnation;
    claim.condition = NodeCondition::Suspect;
    let bytes = announcement(&[claim]);
    let now = fleet.now;
    fleet
        .node(9)
        .receive(&bytes, address(7), now)
        .expect("valid datagram");
    assert!(fleet.any_sees(5..6, NodeCondition::Suspect));

    for _ in 0..150 {
        fleet.run_for(Duration::from_millis(100));
        assert!(!fleet.any_sees(5..6, NodeCondition::Dead));
    }
    assert!(fleet.has_converged());
    assert!(fleet.node(5).own_record().incarnation > before);
}

#[test]
fn lost_datagrams_do_not_make_nodes_dead() {
    let mut fleet = Fleet::start(3, 4);
    fleet.loss_percent = 10;
    for _ in 0..120 {
        fleet.run_for(Duration::from_secs(1));
        assert!(!fleet.any_sees(0..12, NodeCondition::Dead));
    }
    fleet.loss_percent = 0;
    fleet.run_until(Duration::from_secs(10), Fleet::has_converged);
}

#[test]
fn newer_configuration_of_another_node_becomes_known() {
    let mut fleet = Fleet::start(2, 2);
    fleet.node(3).set_config(ConfigVersion(7));
    fleet.run_for(Duration::from_secs(10));
    let hint = fleet
        .node(0)
        .config_hint()
        .expect("a configuration hint")
        .clone();
    assert_eq!((hint.version, hint.node), (ConfigVersion(7), node_id(3)));
    fleet.node(0).set_config(ConfigVersion(7));
    assert_eq!(fleet.node(0).config_hint(), None);
}
