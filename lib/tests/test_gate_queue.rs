//! The slots and the queue of `GateState`.

use std::collections::HashMap;
use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::AdmissionDecision;
use balsamfold::process::gate::AdmissionRequest;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::process::gate::GateState;
use balsamfold::process::gate::Ticket;
use balsamfold::request::RefusalReason;
use balsamfold::request::Verdict;
use balsamfold::values::Importance;
use balsamfold::values::MonotonicTime;
use balsamfold::values::RatePerSecond;
use balsamfold::values::RequestId;
use balsamfold::values::SlotCount;
use proptest::prelude::*;

const SLOTS: u32 = 4;
const WAITING_MAX: usize = 8;

fn gate() -> GateState {
    let now = MonotonicTime::default();
    GateState::new(AdaptiveLimit::warm(SlotCount(SLOTS), now), now)
}

fn request(importance: u8, organisation: &str, root: u128) -> AdmissionRequest {
    AdmissionRequest {
        importance: Importance(importance),
        organisation: Some(organisation.parse().expect("valid name")),
        rate: RatePerSecond(100),
        root: RequestId(root),
        remaining: Duration::from_secs(1),
    }
}

fn answered(held_ms: u64) -> Completion {
    Completion {
        outcome: CompletionOutcome::Answered,
        held: Duration::from_millis(held_ms),
        onward: Duration::ZERO,
    }
}

fn ticket(decision: AdmissionDecision) -> Option<Ticket> {
    match decision {
        AdmissionDecision::Waiting { ticket, .. } => Some(ticket),
        _ => None,
    }
}

/// Fills the slots and the queue with requests of one importance and organisation.
fn full_gate(importance: u8, organisation: &str, now: MonotonicTime) -> GateState {
    let mut gate = gate();
    for root in 0..u128::from(SLOTS) + WAITING_MAX as u128 {
        let (decision, displaced) = gate.acquire(&request(importance, organisation, root), now);
        assert!(!matches!(decision, AdmissionDecision::Refused(_)));
        assert_eq!(displaced, None);
    }
    gate
}

#[test]
fn important_arrival_displaces_the_least_important_which_is_refused_at_once() {
    let now = MonotonicTime(1);
    let mut gate = full_gate(50, "large", now);
    let (decision, displaced) = gate.acquire(&request(200, "large", 99), now);
    let important = ticket(decision).expect("the arrival waits");
    let refusal = displaced.expect("a request is displaced").refusal;
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after_ms.is_some_and(|after_ms| after_ms > 0));
    let wakeups = gate.release(&answered(10), now);
    assert_eq!(wakeups.started, vec![important]);
}

#[test]
fn less_important_arrival_is_refused_when_the_queue_is_full() {
    let now = MonotonicTime(1);
    let mut gate = full_gate(200, "large", now);
    let (decision, displaced) = gate.acquire(&request(50, "small", 99), now);
    assert!(matches!(decision, AdmissionDecision::Refused(_)));
    assert_eq!(displaced, None);
}

#[test]
fn organisation_that_used_least_of_its_share_is_served_first() {
    let now = MonotonicTime(1);
    let mut gate = full_gate(50, "large", now);
    let (decision, displaced) = gate.acquire(&request(50, "small", 99), now);
    let small = ticket(decision).expect("the arrival waits");
    assert!(displaced.is_some_and(|displaced| displaced.ticket != small));
    let wakeups = gate.release(&answered(10), now);
    assert_eq!(wakeups.started, vec![small]);
}

#[test]
fn usage_is_relative_to_the_rate() {
    let now = MonotonicTime(1);
    let mut gate = gate();
    let with_rate = |rate, organisation, root| AdmissionRequest {
        rate: RatePerSecond(rate),
        ..request(50, organisation, root)
    };
    for root in 0..3 {
        gate.acquire(&with_rate(300, "the-large", root), now);
    }
    gate.acquire(&with_rate(10, "small", 3), now);
    let large =
        ticket(gate.acquire(&with_rate(300, "the-large", 4), now).0).expect("the request waits");
    gate.acquire(&with_rate(10, "small", 5), now);
    let wakeups = gate.release(&answered(10), now);
    assert_eq!(wakeups.started, vec![large]);
}

#[test]
fn request_that_cannot_finish_in_time_does_not_wait() {
    let now = MonotonicTime(1);
    let mut gate = gate();
    for root in 0..u128::from(SLOTS) {
        gate.acquire(&request(50, "large", root), now);
    }
    gate.release(&answered(100), now);
    gate.acquire(&request(50, "large", 10), now);
    let short = |remaining_ms, root| AdmissionRequest {
        remaining: Duration::from_millis(remaining_ms),
        ..request(50, "large", root)
    };
    assert!(matches!(
        gate.acquire(&short(90, 11), now).0,
        AdmissionDecision::Refused(_)
    ));
    assert!(matches!(
        gate.acquire(&short(110, 12), now).0,
        AdmissionDecision::Waiting { .. }
    ));
    // 25 ms for the request ahead and 100 ms for its own service time exceed 120 ms.
    assert!(matches!(
        gate.acquire(&short(120, 13), now).0,
        AdmissionDecision::Refused(_)
    ));
    assert!(matches!(
        gate.acquire(&short(130, 14), now).0,
        AdmissionDecision::Waiting { .. }
    ));
}

#[test]
fn expired_waiting_request_gets_no_slot() {
    let now = MonotonicTime(1);
    let mut gate = full_gate(50, "large", now);
    let late = now.after(Duration::from_secs(2));
    let wakeups = gate.release(&answered(10), late);
    assert_eq!(wakeups.started, vec![]);
    assert_eq!(wakeups.dropped.len(), WAITING_MAX);
}

#[test]
fn idle_server_gets_a_request_although_it_was_slow() {
    let now = MonotonicTime(1);
    let mut gate = gate();
    gate.acquire(&request(50, "large", 0), now);
    gate.release(&answered(5000), now);
    assert_eq!(
        gate.acquire(&request(50, "large", 1), now).0,
        AdmissionDecision::Started
    );
    assert!(matches!(
        gate.acquire(&request(50, "large", 2), now).0,
        AdmissionDecision::Refused(_)
    ));
}

#[test]
fn refused_callers_are_spread_over_the_time_to_serve_them() {
    let now = MonotonicTime(1);
    let mut gate = gate();
    gate.acquire(&request(50, "large", 0), now);
    gate.release(&answered(40), now);
    // 4 slots of 40 ms drain 100 requests per second.
    let after_ms: Vec<u64> = (0..1000)
        .map(|root| gate.retry_after_ms(RequestId(root), now))
        .collect();
    let in_first_second = after_ms.iter().filter(|ms| **ms < 1000).count();
    assert!(
        (100..400).contains(&in_first_second),
        "{in_first_second} retry within a second"
    );
    assert!(after_ms.iter().max() > Some(&8000));
}

#[derive(Clone, Debug)]
enum Step {
    Enter {
        importance: u8,
        organisation: u8,
        remaining_ms: u64,
    },
    Leave {
        held_ms: u64,
    },
    Advance {
        micros: u64,
    },
    Abandon,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..4, 0_u8..3, 1_u64..400).prop_map(|(importance, organisation, remaining_ms)| {
            Step::Enter { importance, organisation, remaining_ms }
        }),
        3 => (1_u64..50).prop_map(|held_ms| Step::Leave { held_ms }),
        2 => (0_u64..50_000).prop_map(|micros| Step::Advance { micros }),
        1 => Just(Step::Abandon),
    ]
}

proptest! {
    /// Important requests are shed last, slots and queue are bounded, and each request gets exactly
    /// one result.
    #[test]
    fn important_requests_are_shed_last(steps in prop::collection::vec(step(), 0..400)) {
        let mut now = MonotonicTime::default();
        let mut gate = gate();
        let mut running = 0_u32;
        let mut waiting: HashMap<Ticket, u8> = HashMap::new();
        for (root, step) in steps.into_iter().enumerate() {
            match step {
                Step::Advance { micros } => now = now.after(Duration::from_micros(micros)),
                Step::Enter { importance, organisation, remaining_ms } => {
                    let request = AdmissionRequest {
                        remaining: Duration::from_millis(remaining_ms),
                        ..request(importance, &format!("org-{organisation}"), root as u128)
                    };
                    let (decision, displaced) = gate.acquire(&request, now);
                    match decision {
                        AdmissionDecision::Started => running += 1,
                        AdmissionDecision::Waiting { ticket, .. } => {
                            waiting.insert(ticket, importance);
                        }
                        AdmissionDecision::Refused(refusal) => {
                            prop_assert!(refusal.retry_after_ms.is_some());
                        }
                    }
                    if let Some(displaced) = displaced {
                        let lost = waiting.remove(&displaced.ticket);
                        prop_assert!(lost.is_some(), "second result for one request");
                        prop_assert!(lost <= Some(importance));
                        prop_assert!(waiting.values().all(|other| Some(*other) >= lost));
                    }
                }
                Step::Leave { held_ms } if running > 0 => {
                    running -= 1;
                    let wakeups = gate.release(&answered(held_ms), now);
                    for dropped in wakeups.dropped {
                        prop_assert!(waiting.remove(&dropped.ticket).is_some());
                    }
                    for ticket in wakeups.started {
                        let importance = waiting.remove(&ticket);
                        prop_assert!(importance.is_some(), "second result for one request");
                        prop_assert!(waiting.values().all(|other| Some(*other) <= importance));
                        running += 1;
                    }
                }
                Step::Leave { .. } => {}
                Step::Abandon => {
                    if let Some(ticket) = waiting.keys().next().copied() {
                        waiting.remove(&ticket);
                        let reason = RefusalReason::DeadlineExceeded;
                        prop_assert!(gate.abandon(ticket, reason, now).is_some());
                        prop_assert!(gate.abandon(ticket, reason, now).is_none());
                    }
                }
            }
            prop_assert_eq!(gate.in_flight(), running);
            prop_assert_eq!(gate.waiting(), waiting.len());
            prop_assert!(running <= SLOTS);
            prop_assert!(waiting.len() <= WAITING_MAX);
            prop_assert!(waiting.is_empty() || running >= gate.slots());
        }
    }
}
