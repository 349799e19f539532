//! Connections between relays that go silent, while new ones work.

use std::time::Duration;
use std::time::Instant;

use balsamfold::process::relay::Liveness;
use balsamfold::process::relay::LivenessAction;
use balsamfold::process::relay::OpenExchanges;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Repeatability;
use http::StatusCode;
use testutils::relay::PeerStandIn;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::at_ms;
use testutils::relay::sample_open_plan;
use testutils::relay::sample_route;

/// Time in which a silent connection is replaced: a second, and the opening of the next one.
const REPLACED_WITHIN: Duration = Duration::from_millis(1_500);
/// Time for which requests are sent after the connection went silent.
const OBSERVED: Duration = Duration::from_secs(4);
const REQUEST_PERIOD: Duration = Duration::from_millis(50);

/// Returns a relay without a server of the service, and the only node that has one.
async fn relay_and_peer(repeatability: Repeatability) -> (RelayFleet, PeerStandIn) {
    let route = PlannedRoute {
        is_open: true,
        timeout_ms: 10_000,
        ..sample_route("stock", "stock", repeatability)
    };
    let plan = StoredPlan {
        routes: vec![("shop".to_owned(), "/stock/".to_owned(), route)],
        ..sample_open_plan()
    };
    let fleet = RelayFleet::start(&plan, &["front"]).await;
    let peer = PeerStandIn::start().await;
    fleet.write_entry("node-9", "stock", peer.address);
    fleet.wait_until_ready_with_servers(2).await;
    let response = fleet.call(0, "r0", "/stock/0", None).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    (fleet, peer)
}

/// Sends requests with `time_limit` after all connections went silent, and returns when each was
/// sent and its status.
async fn statuses_after_silence(
    fleet: &RelayFleet,
    peer: &PeerStandIn,
    time_limit: Duration,
) -> Vec<(Duration, StatusCode)> {
    peer.silence_connections();
    let silenced_at = Instant::now();
    let count = OBSERVED.as_millis() / REQUEST_PERIOD.as_millis();
    let calls = (0..count as u32).map(|number| async move {
        tokio::time::sleep(REQUEST_PERIOD * number).await;
        let sent_at = silenced_at.elapsed();
        let id = format!("s{number}");
        let path = format!("/stock/{number}");
        let response = fleet.call_within(0, &id, &path, time_limit).await;
        (sent_at, response.status)
    });
    futures::future::join_all(calls).await
}

fn assert_served_after(statuses: &[(Duration, StatusCode)], moment: Duration) {
    let later = statuses.iter().filter(|(sent_at, _)| *sent_at > moment);
    let failed: Vec<_> = later
        .filter(|(_, status)| *status != StatusCode::OK)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

// Guards against orders that hang on a silent connection for good: each waited until its deadline, and the
// connection stayed in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn at_most_once_requests_use_a_new_connection_after_theirs_went_silent() {
    let (fleet, peer) = relay_and_peer(Repeatability::AtMostOnce).await;
    let statuses = statuses_after_silence(&fleet, &peer, Duration::from_secs(2)).await;
    assert_served_after(&statuses, REPLACED_WITHIN);
    let mut received = peer.received();
    let count = received.len();
    received.sort();
    received.dedup();
    assert_eq!(received.len(), count, "an order arrived twice");
}

// Guards against a silent connection that is never replaced, because each exchange on it ends before the time
// after which it would count as silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_with_short_deadlines_use_a_new_connection_after_theirs_went_silent() {
    let (fleet, peer) = relay_and_peer(Repeatability::Idempotent).await;
    let statuses = statuses_after_silence(&fleet, &peer, Duration::from_millis(300)).await;
    assert_served_after(&statuses, REPLACED_WITHIN);
}

// Guards against a slow node that is taken for a silent connection: its request must neither be repeated nor lose
// its connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_node_keeps_its_connection() {
    for repeatability in [Repeatability::Idempotent, Repeatability::AtMostOnce] {
        let (fleet, peer) = relay_and_peer(repeatability).await;
        peer.set_service_time(Duration::from_secs(3));
        let response = fleet.call(0, "slow", "/stock/1", None).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert_eq!(peer.received(), ["r0", "slow"]);
        assert_eq!(peer.accepted_connections(), 1);
    }
}

// Guards against connections to a node that is short of CPU time: each attempt to open one beside the
// first gave up before the node responded, and stayed open for half a minute.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn node_that_responds_late_gets_at_most_one_connection_beside_the_first() {
    let (fleet, peer) = relay_and_peer(Repeatability::AtMostOnce).await;
    peer.set_service_time(Duration::from_secs(8));
    peer.set_pong_delay(Duration::from_millis(600));
    let mut open = 0;
    let observing = async {
        for _ in 0..80 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            open = open.max(peer.open_connections());
        }
    };
    let (response, ()) = tokio::join!(fleet.call(0, "slow", "/stock/1", None), observing);
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert!(open <= 2, "{open} connections were open at the same time");
}

// Guards against silent connections that a process short of CPU time never finds, because each of its
// late checks begins the silence anew.
#[test]
fn late_checks_find_a_silent_connection() {
    let mut liveness = Liveness::new(at_ms(0));
    liveness.begin_exchange(at_ms(0));
    let found = (1..100)
        .map(|step| liveness.check(at_ms(step * 350), OpenExchanges::Awaited))
        .any(|action| action >= LivenessAction::OpenBeside);
    assert!(found, "silent for 35 s");
}

// Guards against a connection that is replaced although its node is only slow to answer pings.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn node_that_is_slow_to_answer_pings_keeps_its_connection() {
    let (fleet, peer) = relay_and_peer(Repeatability::AtMostOnce).await;
    peer.set_service_time(Duration::from_secs(1));
    peer.set_pong_delay(Duration::from_millis(285));
    let (mut accepted, mut used) = (Vec::new(), Vec::new());
    for number in 0..6 {
        let path = format!("/stock/{number}");
        let response = fleet.call(0, &format!("s{number}"), &path, None).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        accepted.push(peer.accepted_connections());
        used.push(peer.connections_with_requests());
    }
    assert_eq!(
        used.last(),
        Some(&1),
        "{used:?} of {accepted:?} connections"
    );
}

#[test]
fn exchanges_in_series_show_a_silent_connection() {
    let mut liveness = Liveness::new(at_ms(0));
    let mut actions = Vec::new();
    for step in 0..20 {
        let now = at_ms(step * 100);
        liveness.begin_exchange(now);
        // The exchange has ended by the next check.
        actions.push(liveness.check(now, OpenExchanges::None));
    }
    assert_eq!(actions[5], LivenessAction::OpenBeside);
    assert_eq!(actions[11], LivenessAction::Close);
}

#[test]
fn connection_that_owes_nothing_is_not_silent() {
    let mut liveness = Liveness::new(at_ms(0));
    liveness.begin_exchange(at_ms(0));
    liveness.receive(at_ms(10), false);
    for step in 1..200 {
        let action = liveness.check(at_ms(step * 100), OpenExchanges::None);
        assert_eq!(action, LivenessAction::Keep, "after {step} checks");
    }
}

// Guards against connections that are given up because this process stood still and has not read yet what arrived.
#[test]
fn own_standstill_does_not_count_as_silence() {
    let mut liveness = Liveness::new(at_ms(0));
    liveness.begin_exchange(at_ms(50));
    assert_eq!(
        liveness.check(at_ms(100), OpenExchanges::Repeatable),
        LivenessAction::Keep
    );
    assert_eq!(
        liveness.check(at_ms(4_000), OpenExchanges::Repeatable),
        LivenessAction::Keep
    );
}

#[test]
fn replaced_connection_stays_for_exchanges_that_wait_and_then_closes() {
    let mut liveness = Liveness::new(at_ms(0));
    liveness.begin_exchange(at_ms(0));
    liveness.retire();
    for step in 1..=199 {
        let action = liveness.check(at_ms(step * 100), OpenExchanges::Awaited);
        assert_ne!(action, LivenessAction::Close, "after {step} checks");
    }
    assert_eq!(
        liveness.check(at_ms(20_000), OpenExchanges::None),
        LivenessAction::Close
    );
}

// Guards against small requests that are refused while a large body is written to their node.
#[test]
fn connection_that_takes_a_large_message_is_not_silent() {
    let mut liveness = Liveness::new(at_ms(0));
    liveness.begin_exchange(at_ms(0));
    for step in 1..50 {
        let now = at_ms(step * 100);
        liveness.send_part(now);
        assert!(!liveness.is_unresponsive(now));
        let action = liveness.check(now, OpenExchanges::Repeatable);
        assert_eq!(action, LivenessAction::Keep, "after {step} parts");
    }
    let later = at_ms(4_900 + 1_100);
    assert!(liveness.is_unresponsive(later));
}
