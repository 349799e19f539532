//! Backend servers that name the requests per second that they take, on running relays.

use std::time::Duration;
use std::time::Instant;

use balsamfold::process::relay::RateChange;
use balsamfold::process::relay::RateNotice;
use balsamfold::values::ServerRate;
use futures::future::join_all;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use testutils::relay::at_ms;
use testutils::relay::sample_open_plan;

const LIMIT_PER_S: f64 = 10.0;
/// Windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first answer from which on requests are counted.
const LEARNING: Duration = Duration::from_millis(500);
/// Time for which callers send.
const LOAD: Duration = Duration::from_millis(5_500);

/// Sends one request after another to a relay for [`LOAD`].
async fn send_load(fleet: &RelayFleet, index: usize) {
    let started_at = Instant::now();
    let mut number = 0;
    while started_at.elapsed() < LOAD {
        number += 1;
        let id = format!("r{index}-{number}");
        fleet.call(index, &id, "/stock/x", None).await;
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
}

/// Returns the most requests that a server received in any [`WINDOW`] once relays knew its limit.
fn most_in_a_window(fleet: &RelayFleet, index: usize) -> usize {
    let received = fleet.relays[index].server.received();
    let times: Vec<Instant> = received.iter().map(|request| request.received_at).collect();
    let counted: Vec<Instant> = times
        .iter()
        .filter(|time| **time > times[0] + LEARNING)
        .copied()
        .collect();
    let in_window = |start: &Instant| {
        let in_window = |time: &&Instant| **time >= *start && **time < *start + WINDOW;
        counted.iter().filter(in_window).count()
    };
    counted.iter().map(in_window).max().unwrap_or_default()
}

// Guards against a server that gets more requests from all relays than the limit that it named (LIMIT).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_that_names_a_limit_gets_no_more_from_all_relays_together() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock", "front", "front"]).await;
    let limited = Behaviour::Limited(LIMIT_PER_S);
    fleet.relays[0].server.set_behaviour(limited);
    join_all((0..3).map(|index| send_load(&fleet, index))).await;
    let allowed = 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + 5.0;
    let most = most_in_a_window(&fleet, 0);
    assert!(most as f64 <= allowed, "{most} requests, allowed {allowed}");
}

/// Sends requests whose callers wait for `wait` to a relay, one each `pause`, for [`LOAD`].
async fn send_impatient_load(fleet: &RelayFleet, index: usize, pause: Duration, wait: Duration) {
    let count = (LOAD.as_millis() / pause.as_millis()) as u32;
    let calls = (0..count).map(|number| async move {
        tokio::time::sleep(pause * number).await;
        let id = format!("w{index}-{}-{number}", wait.as_millis());
        fleet.call_within(index, &id, "/stock/x", wait).await;
    });
    join_all(calls).await;
}

// Guards against requests that time out and count as responses of a slow server, whose limit a process that
// started lately doesn't know yet (LIMIT).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn limit_of_a_slow_server_holds_before_it_is_known() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock", "front", "front"]).await;
    let limited = Behaviour::SlowLimited(Duration::from_millis(700), 1.0);
    fleet.relays[0].server.set_behaviour(limited);
    let impatient = Duration::from_millis(400);
    let patient = Duration::from_secs(5);
    join_all((1..3).map(async |index| {
        tokio::join!(
            send_impatient_load(&fleet, index, Duration::from_millis(20), impatient),
            send_impatient_load(&fleet, index, Duration::from_millis(1_000), patient),
        )
    }))
    .await;
    let received = fleet.relays[0].server.received();
    let times: Vec<Instant> = received.iter().map(|request| request.received_at).collect();
    let in_window = |start: &Instant| {
        let in_window = |time: &&Instant| **time >= *start && **time < *start + WINDOW;
        times.iter().filter(in_window).count()
    };
    let most = times.iter().map(in_window).max().unwrap_or_default();
    let allowed = 1.5 * WINDOW.as_secs_f64() + 5.0;
    assert!(most as f64 <= allowed, "{most} requests, allowed {allowed}");
}

// Guards against a slow server without a limit that stays unused beside a process that started lately.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_server_without_a_limit_serves_all_requests_after_its_first_response() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock", "front"]).await;
    let slow = Behaviour::Slow(Duration::from_secs(1));
    fleet.relays[0].server.set_behaviour(slow);
    let calls = (0..8).map(async |number| {
        let id = format!("s{number}");
        let response = fleet.call(1, &id, "/stock/x", None).await;
        response.status.is_success()
    });
    let served = join_all(calls).await;
    assert_eq!(served, [true; 8]);
}

#[test]
fn named_limit_ends_only_some_time_after_it_was_last_named() {
    let limit: ServerRate = "12.5".parse().expect("valid rate");
    let mut notice = RateNotice::default();
    assert_eq!(notice.observe(None, at_ms(0)), None);
    let named = notice.observe(Some(limit), at_ms(1_000));
    assert_eq!(named, Some(RateChange::Named(limit)));
    assert_eq!(notice.observe(Some(limit), at_ms(1_200)), None);
    // A response that was sent before the limit was named.
    assert_eq!(notice.observe(None, at_ms(1_300)), None);
    assert_eq!(notice.observe(None, at_ms(1_700)), Some(RateChange::Ended));
    assert_eq!(notice.observe(None, at_ms(1_800)), None);
}

#[test]
fn limits_that_are_no_rates_are_rejected() {
    for text in ["", "many", "-1", "NaN", "inf", "1e400"] {
        assert!(text.parse::<ServerRate>().is_err(), "{text}");
    }
    assert_eq!(
        " 9.7 ".parse::<ServerRate>().map(ServerRate::per_s),
        Ok(9.7)
    );
}
