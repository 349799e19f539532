//! Relays that stand still for a moment while they run requests.

use std::time::Duration;

use balsamfold::process::suspects::SuspectEntry;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Repeatability;
use http::StatusCode;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::sample_open_plan;
use testutils::relay::sample_route;
use testutils::relay::suspected_on;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

use crate::relays_apart::move_apart;
use crate::relays_apart::runtime;

/// Longer than the silence after which a connection to another node counts as lost.
const STANDSTILL: Duration = Duration::from_millis(2_500);
const SERVICE_TIME: Duration = Duration::from_millis(400);

fn plan(repeatability: Repeatability) -> StoredPlan {
    let route = PlannedRoute {
        is_open: true,
        timeout_ms: 10_000,
        ..sample_route("stock", "stock", repeatability)
    };
    StoredPlan {
        routes: vec![("shop".to_owned(), "/stock/".to_owned(), route)],
        ..sample_open_plan()
    }
}

/// Returns a fleet whose node 0 is an ingress only, and whose node 1 runs on `apart`.
async fn fleet_with(
    services: &[&'static str],
    repeatability: Repeatability,
    apart: &Runtime,
) -> RelayFleet {
    let mut fleet = RelayFleet::start(&plan(repeatability), services).await;
    move_apart(&mut fleet, 1, apart).await;
    fleet
}

/// Lets the relay stand still once its server received a request.
async fn stand_still_during_a_run(fleet: &RelayFleet, apart: &Runtime) {
    fleet
        .wait_until(|fleet| !fleet.relays[1].server.received().is_empty())
        .await;
    // Blocks the only thread of the relay, like a suspended instance.
    apart.spawn(async { std::thread::sleep(STANDSTILL) });
}

// Guards against a request that is given up because its node was silent for a moment, although its server
// finishes it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_to_an_at_most_once_request_is_delivered_after_its_node_stood_still() {
    let apart = runtime();
    let fleet = fleet_with(&["front", "stock"], Repeatability::AtMostOnce, &apart).await;
    let slow = Behaviour::Slow(SERVICE_TIME);
    fleet.relays[1].server.set_behaviour(slow);
    let (response, ()) = tokio::join!(
        fleet.call(0, "r1", "/stock/1", None),
        stand_still_during_a_run(&fleet, &apart)
    );
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert_eq!(fleet.relays[1].server.received().len(), 1);
    apart.shutdown_background();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_go_to_another_node_while_one_stands_still() {
    let apart = runtime();
    let services = ["front", "stock", "stock"];
    let fleet = fleet_with(&services, Repeatability::Idempotent, &apart).await;
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::Slow(SERVICE_TIME));
    }
    // Without latency samples the nodes are chosen by chance, so that a round may pass by the node.
    let rounds = async {
        let mut statuses = Vec::new();
        for round in 0.. {
            let calls = (0..6).map(|number| {
                let fleet = &fleet;
                async move {
                    let id = format!("r{round}-{number}");
                    fleet.call(0, &id, "/stock/1", None).await.status
                }
            });
            statuses.extend(futures::future::join_all(calls).await);
            if !fleet.relays[1].server.received().is_empty() {
                break;
            }
        }
        statuses
    };
    let (statuses, ()) = tokio::join!(rounds, stand_still_during_a_run(&fleet, &apart));
    assert!(statuses.iter().all(|status| *status == StatusCode::OK));
    apart.shutdown_background();
}

// Guards against a suspect that is refused as long as the node of its trial stands still.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn trial_of_a_node_that_stands_still_moves_to_another_node() {
    let apart = runtime();
    let services = ["front", "stock", "stock", "stock"];
    let fleet = fleet_with(&services, Repeatability::Idempotent, &apart).await;
    let entries: Vec<SuspectEntry> = (0..4)
        .map(|number| suspected_on(&format!("/stock/{number}"), "node-1"))
        .collect();
    for relay in &fleet.relays {
        relay.daemon.node().merge_suspects(&entries);
    }
    apart.spawn(async { std::thread::sleep(STANDSTILL) });
    // The first request finds out that the node stands still.
    fleet.call(0, "r0", "/stock/0", None).await;
    for number in 1..4 {
        let path = format!("/stock/{number}");
        let response = fleet.call(0, &format!("r{number}"), &path, None).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
    assert!(fleet.relays[1].server.received().is_empty());
    apart.shutdown_background();
}

/// Returns a listener to which no connection can be opened, as to an instance without power, and the
/// connections that fill its queue.
async fn silent_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("valid address"))
        .expect("a port is free");
    let listener = socket.listen(1).expect("the socket listens");
    let address = listener.local_addr().expect("an address");
    let mut filling = Vec::new();
    loop {
        let connecting = TcpStream::connect(address);
        match tokio::time::timeout(Duration::from_millis(200), connecting).await {
            Ok(connected) => filling.push(connected.expect("a connection")),
            Err(_) => return (listener, filling),
        }
    }
}

// Guards against requests that hang until their deadlines, because a notification of a crash holds the lock on
// the connection to their node and waits for it (found by the soak of popular requests).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_do_not_wait_for_a_silent_node_that_is_being_notified_of_a_crash() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; 3]).await;
    for index in 0..3 {
        fleet.call(index, "r0", "/stock/known", None).await;
    }
    let (listener, _filling) = silent_listener().await;
    let address = listener.local_addr().expect("an address");
    fleet.write_entry("node-9", "stock", address);
    fleet
        .wait_until(|fleet| {
            let members = fleet.relays[0].daemon.node().members();
            members
                .nodes()
                .any(|record| record.addresses.peer == address)
        })
        .await;
    let entry = suspected_on("/stock/other", "node-0");
    let mut entry_with_more = entry.clone();
    let mut crash = entry.crashes.first().expect("a crash").clone();
    crash.at.0 += 1;
    entry_with_more.crashes.insert(crash);
    for (index, known) in [&entry, &entry_with_more, &entry_with_more]
        .iter()
        .enumerate()
    {
        let node = fleet.relays[index].daemon.node();
        node.merge_suspects(std::slice::from_ref(*known));
    }
    // The response clears the request, and the notified nodes reply with what they know beyond that.
    fleet.call(0, "r1", "/stock/other", None).await;
    // Without a server of its own, node 0 sends all requests to other nodes.
    fleet.report_departure(0).await;
    fleet.wait_until_ready_with_servers(3).await;
    for number in 0..20 {
        let path = format!("/stock/{number}");
        let response = fleet.call(0, &format!("s{number}"), &path, None).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
}
