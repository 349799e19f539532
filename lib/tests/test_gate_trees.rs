//! A gate that finishes the call trees that have begun.

use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::AdmissionDecision;
use balsamfold::process::gate::AdmissionRequest;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::process::gate::DemandMeter;
use balsamfold::process::gate::GateState;
use balsamfold::process::gate::SpentTime;
use balsamfold::process::gate::Ticket;
use balsamfold::process::gate::TreePart;
use balsamfold::process::gate::WindowLoad;
use balsamfold::values::Importance;
use balsamfold::values::MonotonicTime;
use balsamfold::values::RatePerSecond;
use balsamfold::values::RequestId;
use balsamfold::values::SlotCount;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LOW: Importance = Importance(50);
const HIGH: Importance = Importance(200);

fn request(importance: Importance) -> AdmissionRequest {
    AdmissionRequest {
        importance,
        organisation: None,
        rate: RatePerSecond(1),
        root: RequestId(7),
        remaining: Duration::from_secs(5),
    }
}

fn part(spent_ms: u32) -> TreePart<'static> {
    TreePart {
        route: "route",
        spent: SpentTime(spent_ms),
    }
}

/// A gate with one slot, which is taken.
fn full_gate(now: MonotonicTime) -> GateState {
    let limit = AdaptiveLimit::fixed(SlotCount(1), now);
    let mut gate = GateState::new(limit, now).with_whole_trees(now);
    let (decision, _) = gate.acquire_part(&request(HIGH), part(0), now);
    assert_eq!(decision, AdmissionDecision::Started);
    gate
}

fn wait(gate: &mut GateState, importance: Importance, spent_ms: u32) -> Ticket {
    let now = MonotonicTime(1);
    match gate.acquire_part(&request(importance), part(spent_ms), now) {
        (AdmissionDecision::Waiting { ticket, .. }, None) => ticket,
        other => panic!("{other:?}"),
    }
}

fn release(gate: &mut GateState, held: Duration) -> Vec<Ticket> {
    let completion = Completion {
        outcome: CompletionOutcome::Answered,
        held,
        onward: Duration::ZERO,
    };
    let kind = gate.kind_of("route");
    gate.release_kind(&completion, kind, MonotonicTime(1))
        .started
}

#[test]
fn calls_start_before_requests_that_begin_but_after_more_important_ones() {
    let mut gate = full_gate(MonotonicTime(1));
    let begins = wait(&mut gate, LOW, 0);
    let call = wait(&mut gate, LOW, 20);
    let late_call = wait(&mut gate, LOW, 700);
    let important = wait(&mut gate, HIGH, 0);
    let order: Vec<_> = (0..4)
        .flat_map(|_| release(&mut gate, Duration::from_millis(1)))
        .collect();
    assert_eq!(order, [important, late_call, call, begins]);
}

/// What was spent on its tree would be lost.
#[test]
fn call_displaces_a_request_that_begins_and_not_the_other_way_round() {
    let now = MonotonicTime(1);
    let mut gate = full_gate(now);
    let first = wait(&mut gate, LOW, 0);
    for _ in 0..3 {
        wait(&mut gate, LOW, 300);
    }
    let (decision, displaced) = gate.acquire_part(&request(LOW), part(0), now);
    let refused = matches!(decision, AdmissionDecision::Refused(_));
    assert!(refused || displaced.is_some_and(|dropped| dropped.ticket == first));
    let mut gate = full_gate(now);
    let begins = wait(&mut gate, LOW, 0);
    for _ in 0..3 {
        wait(&mut gate, LOW, 300);
    }
    let (decision, displaced) = gate.acquire_part(&request(LOW), part(300), now);
    assert!(matches!(decision, AdmissionDecision::Waiting { .. }));
    assert_eq!(displaced.map(|dropped| dropped.ticket), Some(begins));
}

/// Ten slots, with requests of 25 ms and of 350 ms in equal parts of the work.
struct Slots {
    meter: DemandMeter,
    now: MonotonicTime,
    random: SmallRng,
}

impl Slots {
    const CAPACITY_PER_S: f64 = 10.0 * DemandMeter::UNITS_PER_S;

    fn new() -> Self {
        let now = MonotonicTime(1);
        Self {
            meter: DemandMeter::of_work(now),
            now,
            random: SmallRng::seed_from_u64(1),
        }
    }

    /// Offers `load` times the capacity in one window to doors that apply the floor, and returns the
    /// fraction that the next floor keeps.
    fn window(&mut self, load: f64, waiting: bool) -> f64 {
        let floor = self.meter.notice(self.now);
        let mut left = Self::CAPACITY_PER_S * DemandMeter::WINDOW.as_secs_f64() * load;
        while left > 0.0 {
            let held_ms = if self.random.random_ratio(1, 15) {
                350.0
            } else {
                25.0
            };
            let units = held_ms / 1e3 * DemandMeter::UNITS_PER_S;
            left -= units;
            let request = AdmissionRequest {
                root: RequestId(self.random.random()),
                ..request(LOW)
            };
            if floor.admits(LOW, None, request.root) {
                self.meter.record_demand(&request, units);
            }
        }
        self.now = self.now.after(DemandMeter::WINDOW);
        let load = WindowLoad {
            capacity_per_s: Self::CAPACITY_PER_S,
            waiting,
        };
        self.meter.close_window(load, self.now);
        self.meter.notice(self.now).floor.kept_fraction(LOW)
    }
}

/// Counted as requests, against a mean that one of the long ones moves by half, the floor follows the
/// order of arrivals.
#[test]
fn floor_of_mixed_kinds_does_not_swing() {
    let mut slots = Slots::new();
    let kept: Vec<_> = (0..60).map(|_| slots.window(2.0, true)).collect();
    let (mut lowest, mut highest): (f64, f64) = (1.0, 0.0);
    for kept in &kept[20..] {
        lowest = lowest.min(*kept);
        highest = highest.max(*kept);
    }
    assert!(lowest > 0.35 && highest < 0.75, "{lowest} to {highest}");
}

/// The floor keeps requests out, so that none waits. That is no reason to let all of them in.
#[test]
fn floor_stays_without_a_queue_until_the_demand_fits() {
    let mut slots = Slots::new();
    for _ in 0..10 {
        slots.window(2.0, true);
    }
    let kept: Vec<_> = (0..20).map(|_| slots.window(2.0, false)).collect();
    assert!(kept.iter().all(|kept| *kept < 0.8), "{kept:?}");
    let opened = (0..20).position(|_| slots.window(0.5, false) == 1.0);
    assert!(opened.is_some_and(|windows| windows < 15), "{opened:?}");
}

#[test]
fn no_floor_without_a_shortage() {
    let mut slots = Slots::new();
    let kept: Vec<_> = (0..50).map(|_| slots.window(0.7, false)).collect();
    assert!(kept.iter().all(|kept| *kept == 1.0), "{kept:?}");
}
