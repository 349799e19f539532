//! Running relays while operators evacuate zones and while servers are cold.

use std::time::Duration;
use std::time::Instant;

use balsamfold::process::relay::RawRelaySettings;
use balsamfold::values::ConfigVersion;
use bytes::Bytes;
use futures::future::join_all;
use http::StatusCode;
use http::header;
use testutils::relay::EVACUATION_PREFIX;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::sample_open_plan;

/// Time in which all nodes know of an evacuation.
const APPLY: Duration = Duration::from_millis(500);
/// Requests that a cold server may get in any second.
const COLD_REQUESTS_MAX: usize = 6;

/// Puts odd nodes into another zone, and bounds the requests of cold servers.
fn adjust(raw: &mut RawRelaySettings) {
    raw.zones.insert(
        "zone-b".parse().expect("valid name"),
        "north".parse().expect("valid name"),
    );
    if raw.node.as_str().ends_with(['1', '3']) {
        raw.zone = "zone-b".parse().expect("valid name");
    }
    raw.bounds.evacuation_ms = Some(5_000);
    raw.bounds.cold_ratio = Some(1.5);
    raw.bounds.cold_slack = Some(3.0);
}

async fn start(count: usize) -> RelayFleet {
    let services = vec!["stock"; count];
    let fleet = RelayFleet::start_adjusted(&sample_open_plan(), &services, adjust).await;
    let plan = StoredPlan {
        version: 2,
        ..sample_open_plan()
    };
    fleet.publish_with_cold_rate(&plan, "stock", 2.0);
    fleet
        .wait_until(|fleet| {
            let mut nodes = fleet.relays.iter().map(|relay| relay.daemon.node());
            nodes.all(|node| {
                let plan = node.plan();
                plan.is_some_and(|plan| plan.version == ConfigVersion(2))
            })
        })
        .await;
    fleet
}

fn evacuate(fleet: &RelayFleet, zone: &str) {
    let key = format!("{EVACUATION_PREFIX}{zone}");
    fleet.store.write(&key, Bytes::from_static(b"\xff"));
}

fn take_back(fleet: &RelayFleet, zone: &str) {
    fleet.store.remove(&format!("{EVACUATION_PREFIX}{zone}"));
}

/// Sends `count` requests at once through each of the relays. Returns how many were served.
async fn send(fleet: &RelayFleet, name: &str, relays: &[usize], count: usize) -> usize {
    let calls = relays.iter().flat_map(|index| {
        (0..count).map(move |number| async move {
            let id = format!("{name}-{index}-{number}");
            let response = fleet.call(*index, &id, "/stock/x", None).await;
            response.status.is_success()
        })
    });
    let served = join_all(calls).await;
    served.into_iter().filter(|served| *served).count()
}

fn received(fleet: &RelayFleet, index: usize) -> usize {
    fleet.relays[index].server.received().len()
}

/// Returns the most requests that a server received in any second after `from`.
fn most_in_a_second(fleet: &RelayFleet, index: usize, from: Instant) -> usize {
    let received = fleet.relays[index].server.received();
    let times = received.iter().map(|request| request.received_at);
    let times: Vec<Instant> = times.filter(|time| *time >= from).collect();
    let second = |start: &Instant| {
        let end = *start + Duration::from_secs(1);
        times
            .iter()
            .filter(|time| (*start..end).contains(time))
            .count()
    };
    times.iter().map(second).max().unwrap_or_default()
}

// Guards against requests that reach a zone after its evacuation, also those of callers in that zone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn evacuated_zone_gets_no_requests_and_its_callers_are_served() {
    let mut fleet = start(4).await;
    evacuate(&fleet, "zone-b");
    tokio::time::sleep(APPLY).await;
    let before = (received(&fleet, 1), received(&fleet, 3));
    assert_eq!(send(&fleet, "a", &[0, 1, 2, 3], 4).await, 16);
    assert_eq!((received(&fleet, 1), received(&fleet, 3)), before);

    // A store that forgot its history, and a node that starts in the meantime.
    fleet.store.forget_history();
    fleet.restart(1).await;
    fleet.report(1, 2, false).await;
    fleet.wait_until_ready().await;
    assert_eq!(send(&fleet, "b", &[0, 1, 2, 3], 4).await, 16);
    assert_eq!((received(&fleet, 1), received(&fleet, 3)), before);

    take_back(&fleet, "zone-b");
    tokio::time::sleep(APPLY).await;
    fleet.report(1, 3, false).await;
    fleet.report(3, 3, false).await;
    send(&fleet, "c", &[1, 3], 8).await;
    assert!((received(&fleet, 1), received(&fleet, 3)) > before);
}

// Guards against an evacuation that is forgotten because the store went back behind it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn zone_stays_evacuated_when_the_store_goes_back_behind_it() {
    let fleet = start(2).await;
    let copy = fleet.store.copy();
    evacuate(&fleet, "zone-b");
    tokio::time::sleep(APPLY).await;
    fleet.store.set_down(true);
    fleet.store.go_back_to(&copy);
    fleet.store.set_down(false);
    let before = received(&fleet, 1);
    let started_at = Instant::now();
    let mut round = 0;
    while started_at.elapsed() < Duration::from_secs(3) {
        send(&fleet, &format!("r{round}"), &[0, 1], 2).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        round += 1;
    }
    assert_eq!(received(&fleet, 1), before);
}

// Guards against a first node of a zone that the store turns away and that hears of no evacuation, because
// its configuration is confirmed by replies of other nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn node_that_the_store_turns_away_learns_of_an_evacuation() {
    let fleet = start(4).await;
    fleet.relays[1].store.set_turned_away(true);
    fleet.relays[3].store.set_turned_away(true);
    send(&fleet, "a", &[0, 1, 2, 3], 4).await;
    tokio::time::sleep(APPLY).await;
    evacuate(&fleet, "zone-b");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = (received(&fleet, 1), received(&fleet, 3));
    assert_eq!(send(&fleet, "b", &[1, 3], 4).await, 8);
    assert_eq!((received(&fleet, 1), received(&fleet, 3)), before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn service_without_a_server_outside_of_evacuated_zones_is_refused_truthfully() {
    let fleet = start(2).await;
    evacuate(&fleet, "zone-a");
    evacuate(&fleet, "zone-b");
    tokio::time::sleep(APPLY).await;
    let response = fleet.call(0, "r1", "/stock/x", None).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.body, "zone-evacuated");
    assert!(response.headers.contains_key(header::RETRY_AFTER));
}

// Guards against a cold server that gets more than it takes, and requests that fail beside warm servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cold_server_gets_its_bound_and_warm_ones_serve_the_rest() {
    let fleet = start(4).await;
    let turned_cold_at = Instant::now();
    fleet.report_cold(0, 2, 2_500).await;
    let rounds = (0..20).map(async |round| {
        tokio::time::sleep(Duration::from_millis(100) * round).await;
        send(&fleet, &format!("r{round}"), &[0, 1, 2, 3], 4).await
    });
    let served: usize = join_all(rounds).await.into_iter().sum();
    assert_eq!(served, 20 * 16);
    let most = most_in_a_second(&fleet, 0, turned_cold_at);
    assert!((1..=COLD_REQUESTS_MAX).contains(&most), "{most}");
}

// Guards against cold servers whose bound gives way because there is no other server.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bound_holds_when_all_servers_are_cold() {
    let fleet = start(2).await;
    let turned_cold_at = Instant::now();
    fleet.report_cold(0, 2, 2_500).await;
    fleet.report_cold(1, 2, 2_500).await;
    let rounds = (0..20).map(async |round| {
        tokio::time::sleep(Duration::from_millis(100) * round).await;
        send(&fleet, &format!("r{round}"), &[0, 1], 4).await
    });
    let served: usize = join_all(rounds).await.into_iter().sum();
    assert!(served > 2 * COLD_REQUESTS_MAX, "{served}");
    for index in 0..2 {
        let most = most_in_a_second(&fleet, index, turned_cold_at);
        assert!((1..=COLD_REQUESTS_MAX).contains(&most), "{most}");
    }
}
