//! Backend servers that say in their responses that they leave, on running relays.

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use testutils::relay::sample_open_plan;

const REQUESTS: usize = 20;
/// Time in which the routing chooses a server again that refused a request or was slow. By then its
/// refusals and latencies have decayed.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Sends requests through all relays, one after another. Returns how many the first server received.
async fn send_requests(fleet: &RelayFleet, round: usize) -> usize {
    let before = fleet.relays[0].server.received().len();
    for number in 0..REQUESTS {
        let id = format!("r{round}-{number}");
        let response = fleet.call(number % 2, &id, "/stock/x", None).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    fleet.relays[0].server.received().len() - before
}

// Guards against a server that gets new requests after it said in a response that it leaves (DRAIN).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_that_says_it_leaves_gets_no_more_requests() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock", "stock"]).await;
    fleet.relays[0].server.set_behaviour(Behaviour::Leaving);
    assert!(send_requests(&fleet, 0).await <= 1);
    // The server goes on reporting that it is ready.
    fleet.report(0, 2, false).await;
    assert_eq!(send_requests(&fleet, 1).await, 0);
}

// Guards against a relay that forgets with its process that its server leaves (DRAIN).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_that_left_gets_no_requests_after_a_restart_of_its_relay() {
    let mut fleet = RelayFleet::start(&sample_open_plan(), &["stock", "stock"]).await;
    fleet.relays[0].server.set_behaviour(Behaviour::Leaving);
    assert!(send_requests(&fleet, 0).await <= 1);
    fleet
        .wait_until(|fleet| !fleet.store.keys("departures/node-0").is_empty())
        .await;
    fleet.restart(0).await;
    fleet.report(0, 3, false).await;
    fleet.wait_until_ready_with_servers(1).await;
    assert_eq!(send_requests(&fleet, 1).await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_that_wants_work_again_gets_requests() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock", "stock"]).await;
    fleet.relays[0].server.set_behaviour(Behaviour::Leaving);
    send_requests(&fleet, 0).await;
    fleet.relays[0].server.set_behaviour(Behaviour::Respond);
    fleet.report(0, 2, true).await;
    assert_eq!(send_requests(&fleet, 1).await, 0);
    fleet.report(0, 3, false).await;
    fleet.wait_until_ready_with_servers(2).await;
    let returned_at = Instant::now();
    let mut received = 0;
    for round in 2.. {
        received += send_requests(&fleet, round).await;
        if received > 0 || returned_at.elapsed() > RETURN_TIME {
            break;
        }
    }
    assert!(received > 0);
    // Without another server, all requests go to it at once.
    fleet.report(1, 2, true).await;
    fleet.wait_until_ready_with_servers(1).await;
    let round = usize::MAX;
    assert_eq!(send_requests(&fleet, round).await, REQUESTS);
}
