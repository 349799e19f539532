//! Planned stops of nodes and backend servers.

use std::time::Duration;

use balsamfold::process::membership::NodeCondition;

use crate::fleet::Fleet;
use crate::fleet::RunState;
use crate::fleet::node_id;
use crate::fleet::server;

const LEAVE_LIMIT: Duration = Duration::from_secs(2);

#[test]
fn leaving_node_takes_no_new_work_anywhere_within_two_seconds() {
    let mut fleet = Fleet::start(4, 8);
    fleet.loss_percent = 1;
    let now = fleet.now;
    fleet.node(9).leave(now);
    fleet.run_until(LEAVE_LIMIT, |fleet| {
        fleet.all_see(9, NodeCondition::Leaving)
    });
    let service = server("stock").service;
    let table = fleet.node(20).table();
    assert_eq!(table.serving(&service).len(), 31);
}

#[test]
fn leaving_node_is_distinguished_from_an_unreachable_one() {
    let mut fleet = Fleet::start(3, 4);
    let now = fleet.now;
    fleet.node(5).leave(now);
    fleet.set_run_state(6, RunState::Paused);
    fleet.run_for(Duration::from_secs(4));
    assert!(fleet.all_see(5, NodeCondition::Leaving));
    assert!(fleet.any_sees(6..7, NodeCondition::Suspect));
}

#[test]
fn leaving_node_that_goes_on_draining_is_not_dead() {
    let mut fleet = Fleet::start(3, 4);
    let now = fleet.now;
    fleet.node(5).leave(now);
    fleet.run_for(Duration::from_secs(60));
    assert!(fleet.all_see(5, NodeCondition::Leaving));
}

#[test]
fn lost_datagrams_do_not_make_a_draining_node_dead_in_a_large_zone() {
    let mut fleet = Fleet::start(1, 40);
    let now = fleet.now;
    fleet.node(30).leave(now);
    fleet.run_for(LEAVE_LIMIT);
    fleet.loss_percent = 15;
    for _ in 0..90 {
        fleet.run_for(Duration::from_secs(1));
        assert!(fleet.all_see(30, NodeCondition::Leaving));
    }
}

#[test]
fn node_that_stops_after_leaving_becomes_dead() {
    let mut fleet = Fleet::start(3, 4);
    let now = fleet.now;
    fleet.node(5).leave(now);
    fleet.run_for(Duration::from_secs(3));
    fleet.set_run_state(5, RunState::Stopped);
    fleet.run_until(Duration::from_secs(30), |fleet| {
        fleet.all_see(5, NodeCondition::Dead)
    });
}

#[test]
fn node_without_its_server_stays_known() {
    let mut fleet = Fleet::start(3, 4);
    let now = fleet.now;
    fleet.node(5).withdraw_server(now);
    fleet.run_until(LEAVE_LIMIT, |fleet| {
        let views = fleet.views(5);
        views.iter().flatten().all(|record| record.server.is_none())
    });
    assert!(fleet.all_see(5, NodeCondition::Alive));

    let now = fleet.now;
    fleet.node(5).announce(server("billing"), now);
    fleet.run_for(LEAVE_LIMIT);
    let table = fleet.node(0).table();
    let serving = table.serving(&server("billing").service);
    let ids: Vec<_> = serving.iter().map(|record| record.id.clone()).collect();
    assert_eq!(ids, [node_id(5)]);
}
