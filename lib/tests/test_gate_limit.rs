//! The concurrency limit of one backend server, tested with a server model whose latency is a
//! function of the requests in flight.

use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::values::MonotonicTime;
use balsamfold::values::SlotCount;
use proptest::prelude::*;

const ANNOUNCED: SlotCount = SlotCount(100);

/// Keeps all slots of the limit in use for `duration` and returns the mean limit.
fn saturate(
    limit: &mut AdaptiveLimit,
    now: &mut MonotonicTime,
    duration: Duration,
    server: impl Fn(u32) -> (CompletionOutcome, f64),
) -> f64 {
    let end = now.after(duration);
    let mut slot_us = 0.0;
    let started_at = *now;
    while *now < end {
        let slots = limit.slots();
        let (outcome, latency_ms) = server(slots);
        let held = Duration::from_secs_f64(latency_ms / 1e3);
        let step = held / slots;
        *now = now.after(step.max(Duration::from_micros(1)));
        slot_us += f64::from(slots) * step.as_micros() as f64;
        limit.record_start(slots);
        let completion = Completion {
            outcome,
            held,
            onward: Duration::ZERO,
        };
        limit.record_end(&completion, *now);
    }
    slot_us / now.since(started_at).as_micros() as f64
}

fn constant(latency_ms: f64) -> impl Fn(u32) -> (CompletionOutcome, f64) {
    move |_| (CompletionOutcome::Answered, latency_ms)
}

#[test]
fn cold_server_starts_low_and_reaches_its_slots_within_a_second() {
    let mut now = MonotonicTime::default();
    let mut limit = AdaptiveLimit::cold(ANNOUNCED, now);
    assert_eq!(limit.slots(), 10);
    saturate(&mut limit, &mut now, Duration::from_secs(1), constant(10.0));
    assert_eq!(limit.slots(), 100);
}

#[test]
fn slow_dependency_does_not_lower_the_limit() {
    let mut now = MonotonicTime::default();
    let mut limit = AdaptiveLimit::warm(ANNOUNCED, now);
    saturate(&mut limit, &mut now, Duration::from_secs(2), constant(10.0));
    let mean = saturate(
        &mut limit,
        &mut now,
        Duration::from_secs(20),
        constant(50.0),
    );
    assert!(mean > 95.0, "mean limit {mean:.1} of 100");
}

#[test]
fn contention_lowers_the_limit_to_where_latency_is_normal() {
    // A server that announces 100 slots, but runs only 20 requests at a time.
    let server = |slots: u32| {
        let latency_ms = 10.0 * (f64::from(slots) / 20.0).max(1.0);
        (CompletionOutcome::Answered, latency_ms)
    };
    let mut now = MonotonicTime::default();
    let mut limit = AdaptiveLimit::cold(ANNOUNCED, now);
    saturate(&mut limit, &mut now, Duration::from_secs(10), server);
    let mean = saturate(&mut limit, &mut now, Duration::from_secs(10), server);
    assert!((20.0..45.0).contains(&mean), "mean limit {mean:.1} of 100");
}

#[test]
fn refusals_by_the_server_lower_the_limit_and_it_recovers() {
    let refuses_above_40 = |slots: u32| match slots {
        0..=40 => (CompletionOutcome::Answered, 10.0),
        _ => (CompletionOutcome::ServerRefused, 1.0),
    };
    let mut now = MonotonicTime::default();
    let mut limit = AdaptiveLimit::warm(ANNOUNCED, now);
    let second = Duration::from_secs(1);
    saturate(&mut limit, &mut now, second, refuses_above_40);
    let mean = saturate(&mut limit, &mut now, 10 * second, refuses_above_40);
    assert!((30.0..42.0).contains(&mean), "mean limit {mean:.1} of 100");
    saturate(&mut limit, &mut now, 3 * second, constant(10.0));
    assert_eq!(limit.slots(), 100);
}

#[test]
fn onward_calls_do_not_count_as_latency_of_the_server() {
    let mut now = MonotonicTime::default();
    let mut limit = AdaptiveLimit::warm(ANNOUNCED, now);
    for own_ms in [10, 10, 10, 10] {
        for _ in 0..200 {
            now = now.after(Duration::from_millis(1));
            limit.record_start(limit.slots());
            let onward = Duration::from_millis(500);
            let completion = Completion {
                outcome: CompletionOutcome::Answered,
                held: onward + Duration::from_millis(own_ms),
                onward,
            };
            limit.record_end(&completion, now);
        }
    }
    assert_eq!(limit.slots(), 100);
}

proptest! {
    #[test]
    fn limit_stays_between_one_and_the_announced_slots(
        announced in 0_u32..400,
        events in prop::collection::vec((0_u8..4, 0_u64..200_000, 0_u32..500), 0..2000),
    ) {
        let mut now = MonotonicTime::default();
        let mut limit = AdaptiveLimit::cold(SlotCount(announced), now);
        for (outcome, micros, in_flight) in events {
            now = now.after(Duration::from_micros(micros / 8));
            limit.record_start(in_flight);
            let outcome = match outcome {
                0 => CompletionOutcome::ServerRefused,
                1 => CompletionOutcome::Failed,
                2 => CompletionOutcome::Cancelled,
                _ => CompletionOutcome::Answered,
            };
            let held = Duration::from_micros(micros);
            limit.record_end(&Completion { outcome, held, onward: Duration::ZERO }, now);
            prop_assert!((1..=announced.max(1)).contains(&limit.slots()));
        }
    }
}
