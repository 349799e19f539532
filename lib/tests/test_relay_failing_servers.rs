//! Servers of one service that fail alike and keep their health.

use std::time::Duration;

use balsamfold::process::relay::FailingServers;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Repeatability;
use http::StatusCode;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::relay_protocol;
use testutils::relay::sample_route;

fn nodes(count: usize) -> Vec<NodeId> {
    let names = (0..count).map(|index| format!("n{index}"));
    names
        .map(|name| name.parse().expect("valid name"))
        .collect()
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(10_000_000).after(Duration::from_millis(ms))
}

#[test]
fn half_of_the_servers_are_not_most() {
    let nodes = nodes(6);
    let mut failing = FailingServers::default();
    for node in &nodes[..3] {
        failing.record_refusal(node, at(0));
    }
    assert!(!failing.are_most(nodes.iter(), at(1)));
    failing.record_refusal(&nodes[3], at(0));
    assert!(failing.are_most(nodes.iter(), at(1)));
}

#[test]
fn servers_fail_alike_for_as_long_as_failures_follow() {
    let nodes = nodes(2);
    let mut failing = FailingServers::default();
    for node in &nodes {
        failing.record_refusal(node, at(0));
    }
    for node in &nodes {
        failing.record_failure(node, at(900));
    }
    assert!(failing.are_most(nodes.iter(), at(1_800)));
    assert!(!failing.are_most(nodes.iter(), at(1_900)));
}

#[test]
fn failures_of_a_server_that_was_not_avoided_do_not_count() {
    let nodes = nodes(1);
    let mut failing = FailingServers::default();
    failing.record_failure(&nodes[0], at(0));
    assert!(!failing.are_most(nodes.iter(), at(1)));
}

fn plan() -> StoredPlan {
    let open = |name, attempts_max| PlannedRoute {
        is_open: true,
        attempts_max,
        ..sample_route(name, "stock", Repeatability::Idempotent)
    };
    let routes = [("/once/", open("once", 1)), ("/stock/", open("stock", 3))];
    let routes = routes.map(|(prefix, route)| ("shop".to_owned(), prefix.to_owned(), route));
    StoredPlan {
        version: 1,
        routes: routes.to_vec(),
        organisations: Vec::new(),
    }
}

// Guards against a failure where a request reached one server only while all servers of its service
// refused a part of the requests: each was avoided in favour of the others.
#[tokio::test]
async fn request_is_retried_while_all_servers_refuse_a_part() {
    let fleet = RelayFleet::start(&plan(), &["stock", "stock", "stock", "stock"]).await;
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::Shed);
    }
    for number in 0..80 {
        let id = format!("warm{number}");
        let response = fleet.call(0, &id, "/once/x", None).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{id}");
    }
    let response = fleet.call(0, "r1", "/stock/x", None).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let name = relay_protocol().headers.request_id;
    let received = fleet.relays.iter().map(|relay| relay.server.received());
    let sent = received.flatten().filter(|request| {
        let id = request.headers.get(&name);
        id.is_some_and(|id| id == "r1")
    });
    assert_eq!(sent.count(), 3);
}
