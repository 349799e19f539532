//! A gate whose server is cold for a time.

use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::AdmissionDecision;
use balsamfold::process::gate::AdmissionRequest;
use balsamfold::process::gate::ColdNotice;
use balsamfold::process::gate::ColdStart;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::process::gate::GateState;
use balsamfold::request::RefusalReason;
use balsamfold::values::Importance;
use balsamfold::values::RatePerSecond;
use balsamfold::values::RequestId;
use balsamfold::values::SlotCount;
use proptest::prelude::*;
use testutils::relay::at_ms;

const SLOTS: u32 = 12;
const REQUESTS_MAX: u32 = 16;

fn gate() -> GateState {
    let limit = AdaptiveLimit::fixed(SlotCount(SLOTS), at_ms(0));
    GateState::new(limit, at_ms(0))
}

fn request(number: u64) -> AdmissionRequest {
    AdmissionRequest {
        importance: Importance((number % 3) as u8),
        organisation: None,
        rate: RatePerSecond(0),
        root: RequestId(u128::from(number)),
        remaining: Duration::from_secs(5),
    }
}

fn cold(left_ms: u64) -> ColdNotice {
    ColdNotice {
        requests_max: Some(REQUESTS_MAX),
        left: Duration::from_millis(left_ms),
    }
}

fn ended() -> Completion {
    Completion {
        outcome: CompletionOutcome::Answered,
        held: Duration::from_millis(5),
        onward: Duration::ZERO,
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive,
    End,
    /// A report with the time for which the server stays cold.
    Report(u64),
    /// The zone was taken back.
    Presume,
}

fn any_step() -> impl Strategy<Value = (u64, Step)> {
    let step = prop_oneof![
        12 => Just(Step::Arrive),
        8 => Just(Step::End),
        1 => (0_u64..3_000).prop_map(Step::Report),
        1 => Just(Step::Report(0)),
        1 => Just(Step::Presume),
    ];
    (0_u64..60, step)
}

/// A gate that counts what starts.
struct Flood {
    gate: GateState,
    in_flight: u32,
    starts_ms: Vec<u64>,
}

impl Flood {
    fn apply(&mut self, step: Step, number: u64, now_ms: u64) {
        let now = at_ms(now_ms);
        let started = match step {
            Step::Arrive => {
                let (decision, _) = self.gate.acquire(&request(number), now);
                usize::from(decision == AdmissionDecision::Started)
            }
            Step::End if self.in_flight > 0 => {
                self.in_flight -= 1;
                self.gate.release(&ended(), now).started.len()
            }
            Step::End => 0,
            Step::Report(left_ms) => {
                self.gate.apply_cold_notice(cold(left_ms), now);
                0
            }
            Step::Presume => {
                self.gate.presume_cold(REQUESTS_MAX, now);
                0
            }
        };
        self.in_flight += started as u32;
        self.starts_ms.extend(std::iter::repeat_n(now_ms, started));
        let in_second = self.starts_ms.iter().rev();
        let in_second = in_second.take_while(|start| **start + 1_000 > now_ms);
        let count = in_second.count();
        if started > 0 && self.gate.is_cold(now) {
            assert!(count <= REQUESTS_MAX as usize, "{count} at {now_ms} ms");
        }
    }
}

proptest! {
    // Guards against a cold server that gets more requests in a second than it takes, also from those sent
    // just before it turned cold.
    #[test]
    fn cold_server_never_gets_more_than_its_bound_in_a_second(
        steps in prop::collection::vec(any_step(), 1..800),
    ) {
        let mut flood = Flood { gate: gate(), in_flight: 0, starts_ms: Vec::new() };
        let mut now_ms = 0;
        for (number, (pause_ms, step)) in steps.into_iter().enumerate() {
            now_ms += pause_ms;
            flood.apply(step, number as u64, now_ms);
        }
    }
}

// Guards against a queue that starts at once when its server has turned cold.
#[test]
fn waiting_requests_go_elsewhere_when_the_server_turns_cold() {
    let mut gate = gate();
    let decisions: Vec<_> = (0..u64::from(SLOTS) + 3)
        .map(|number| gate.acquire(&request(number), at_ms(1)).0)
        .collect();
    let waiting =
        |decision: &&AdmissionDecision| matches!(decision, AdmissionDecision::Waiting { .. });
    assert_eq!(decisions.iter().filter(waiting).count(), 3);
    let (has_changed, dropped) = gate.apply_cold_notice(cold(1_000), at_ms(2));
    assert!(has_changed);
    let reasons: Vec<_> = dropped
        .iter()
        .map(|dropped| dropped.refusal.reason)
        .collect();
    assert_eq!(reasons, [RefusalReason::ServerCold; 3]);
    assert_eq!(gate.waiting(), 0);
}

#[test]
fn part_of_the_room_is_kept_for_important_requests() {
    let starts = |kept_fraction: f64, cold_start: &mut ColdStart| {
        let mut count = 0;
        while count < 100 && cold_start.has_room(kept_fraction, at_ms(5)) {
            cold_start.record_start(at_ms(5));
            count += 1;
        }
        count
    };
    let mut cold_start = ColdStart::new(at_ms(0));
    cold_start.apply(cold(1_000), at_ms(5));
    let unimportant = starts(0.0, &mut cold_start);
    let important = starts(1.0, &mut cold_start);
    assert_eq!((unimportant, important), (8, 8));
}

#[test]
fn bound_ends_with_the_announced_time_or_a_later_report() {
    let mut cold_start = ColdStart::new(at_ms(0));
    cold_start.apply(cold(500), at_ms(0));
    assert!(cold_start.is_cold(at_ms(500)));
    assert!(!cold_start.is_cold(at_ms(700)));
    cold_start.apply(cold(500), at_ms(800));
    cold_start.apply(cold(0), at_ms(900));
    assert!(!cold_start.is_cold(at_ms(900)));
    let unbounded = ColdNotice {
        requests_max: None,
        left: Duration::from_secs(1),
    };
    cold_start.apply(unbounded, at_ms(1_000));
    assert!(!cold_start.is_cold(at_ms(1_000)));
}

// Guards against a report that was on its way when the server turned cold.
#[test]
fn presumed_cold_start_ends_with_the_first_report_that_can_know_of_it() {
    let mut cold_start = ColdStart::new(at_ms(0));
    cold_start.presume(REQUESTS_MAX, at_ms(1_000));
    cold_start.apply(cold(0), at_ms(1_050));
    assert!(cold_start.is_cold(at_ms(1_500)));
    cold_start.apply(cold(0), at_ms(2_400));
    assert!(!cold_start.is_cold(at_ms(2_400)));
}

// Guards against requests of an earlier process that are not counted.
#[test]
fn nothing_starts_at_a_cold_server_while_requests_of_an_earlier_process_may_count() {
    let mut cold_start = ColdStart::new(at_ms(1_150));
    cold_start.apply(cold(3_000), at_ms(100));
    assert!(!cold_start.has_room(1.0, at_ms(1_100)));
    assert!(cold_start.has_room(1.0, at_ms(1_200)));
}
