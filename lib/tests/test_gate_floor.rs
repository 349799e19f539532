//! The admission floor: its text form, the gate that computes it and the ingress node that applies
//! it.

use std::time::Duration;

use balsamfold::process::gate::Admission;
use balsamfold::process::gate::AdmissionFloor;
use balsamfold::process::gate::AdmissionRequest;
use balsamfold::process::gate::DemandMeter;
use balsamfold::process::gate::DownstreamFloors;
use balsamfold::process::gate::FloorNotice;
use balsamfold::process::gate::OrganisationDemand;
use balsamfold::process::gate::OrganisationFloor;
use balsamfold::process::gate::WindowLoad;
use balsamfold::process::gate::fair_level;
use balsamfold::values::Importance;
use balsamfold::values::MonotonicTime;
use balsamfold::values::RatePerSecond;
use balsamfold::values::RequestId;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const HIGH: Importance = Importance(200);
const LOW: Importance = Importance(50);
const ROUTE: &str = "/catalogue";

fn floor(importance: u8, cut: u16) -> AdmissionFloor {
    let importance = Importance(importance);
    AdmissionFloor { importance, cut }
}

fn named(organisation: &str, floor: AdmissionFloor) -> OrganisationFloor {
    OrganisationFloor {
        organisation: organisation.parse().expect("valid name"),
        floor,
    }
}

fn request(importance: Importance, organisation: &str, root: RequestId) -> AdmissionRequest {
    AdmissionRequest {
        importance,
        organisation: Some(organisation.parse().expect("valid name")),
        rate: RatePerSecond(100),
        root,
        remaining: Duration::from_secs(1),
    }
}

proptest! {
    #[test]
    fn text_round_trips(importance: u8, cut: u16, age_ms: u32) {
        let floor = floor(importance, cut);
        let notice = FloorNotice {
            named: vec![named("large", floor)],
            ..FloorNotice::new(floor, age_ms)
        };
        prop_assert_eq!(floor.to_string().parse(), Ok(floor));
        prop_assert_eq!(notice.to_string().parse(), Ok(notice));
    }

    #[test]
    fn parsing_arbitrary_text_does_not_panic(text: String) {
        let _ = text.parse::<AdmissionFloor>();
        let _ = text.parse::<FloorNotice>();
    }

    #[test]
    fn higher_floor_admits_no_more(
        a in (0_u8..3, any::<u16>()),
        b in (0_u8..3, any::<u16>()),
        importance in 0_u8..3,
        root: u128,
    ) {
        let (low, high) = (floor(a.0, a.1).min(floor(b.0, b.1)), floor(a.0, a.1).max(floor(b.0, b.1)));
        let passes = |floor: AdmissionFloor| floor.admits(Importance(importance), RequestId(root));
        prop_assert!(!passes(high) || passes(low));
        prop_assert!(passes(AdmissionFloor::OPEN));
    }
}

#[test]
fn fraction_kept_is_the_fraction_admitted() {
    let floor = AdmissionFloor::keeping(LOW, 0.3);
    let admitted = (0..10_000)
        .filter(|root| floor.admits(LOW, RequestId(*root)))
        .count();
    assert!((2800..3200).contains(&admitted), "{admitted} of 10000");
    assert_eq!(floor.kept_fraction(HIGH), 1.0);
    assert_eq!(floor.kept_fraction(Importance(10)), 0.0);
}

/// A gate behind ingress nodes that apply its floor with a lag.
struct Fleet {
    meter: DemandMeter,
    now: MonotonicTime,
    random: SmallRng,
    received: [FloorNotice; 2],
}

impl Fleet {
    fn new() -> Self {
        let now = MonotonicTime::default();
        Self {
            meter: DemandMeter::new(now),
            now,
            random: SmallRng::seed_from_u64(1),
            received: Default::default(),
        }
    }

    /// Runs `windows` windows and returns the requests of high and of low importance that passed
    /// the floor in the last one.
    fn run(&mut self, windows: u32, high: u32, low: u32, capacity: u32) -> (u32, u32) {
        let mut passed = (0, 0);
        for _ in 0..windows {
            passed = (self.send(HIGH, high), self.send(LOW, low));
            let excess = (passed.0 + passed.1).saturating_sub(capacity);
            (0..excess).for_each(|_| self.meter.record_shed());
            self.received.swap(0, 1);
            self.received[1] = self.meter.notice(self.now);
            self.now = self.now.after(DemandMeter::WINDOW);
            let load = WindowLoad {
                capacity_per_s: f64::from(capacity) * 10.0,
                waiting: excess > 0,
            };
            self.meter.close_window(load, self.now);
        }
        passed
    }

    fn send(&mut self, importance: Importance, count: u32) -> u32 {
        let mut passed = 0;
        for _ in 0..count {
            let root = RequestId(self.random.random());
            let request = request(importance, "large", root);
            let organisation = request.organisation.as_ref();
            if self.received[0].admits(importance, organisation, root) {
                self.meter.record_arrival(&request);
                passed += u32::from(self.meter.admits(&request));
            }
        }
        passed
    }
}

#[test]
fn floor_keeps_all_important_requests_and_as_many_others_as_fit() {
    let mut fleet = Fleet::new();
    fleet.run(30, 20, 100, 40);
    let passed: Vec<_> = (0..50).map(|_| fleet.run(1, 20, 100, 40)).collect();
    let high: u32 = passed.iter().map(|(high, _)| high).sum();
    let low: u32 = passed.iter().map(|(_, low)| low).sum();
    assert_eq!(high, 50 * 20);
    assert!((800..1300).contains(&low), "{low} passed, 1000 fit");
}

#[test]
fn floor_opens_within_a_second_after_capacity_recovers() {
    let mut fleet = Fleet::new();
    fleet.run(30, 20, 100, 40);
    assert!(!fleet.meter.notice(fleet.now).is_open());
    fleet.run(10, 20, 100, 200);
    assert!(fleet.meter.notice(fleet.now).is_open());
}

#[test]
fn there_is_no_floor_without_shedding() {
    let mut fleet = Fleet::new();
    fleet.run(30, 20, 15, 40);
    assert!(fleet.meter.notice(fleet.now).is_open());
}

fn learn(floors: &mut DownstreamFloors, node: &str, floor: AdmissionFloor, now: MonotonicTime) {
    let service = "stock".parse().expect("valid name");
    let node = node.parse().expect("valid name");
    let notice = FloorNotice::new(floor, 0);
    floors.learn(ROUTE, &service, &node, notice, now);
}

#[test]
fn request_that_most_downstream_nodes_would_refuse_is_refused() {
    let now = MonotonicTime::default();
    let mut floors = DownstreamFloors::default();
    let closed = floor(200, 0);
    learn(&mut floors, "a", closed, now);
    learn(&mut floors, "b", AdmissionFloor::OPEN, now);
    learn(&mut floors, "c", AdmissionFloor::OPEN, now);
    assert_eq!(
        floors.check(ROUTE, LOW, None, RequestId(1), now),
        Admission::Admit
    );
    learn(&mut floors, "b", closed, now);
    let refused = floors.check(ROUTE, LOW, None, RequestId(1), now);
    assert!(matches!(
        refused,
        Admission::Refuse {
            retry_after_ms: 1..
        }
    ));
    assert_eq!(
        floors.check(ROUTE, HIGH, None, RequestId(1), now),
        Admission::Admit
    );
    assert_eq!(
        floors.check("/other", LOW, None, RequestId(1), now),
        Admission::Admit
    );
}

#[test]
fn route_without_responses_is_probed_at_a_low_rate_and_opens_after_a_second() {
    let mut now = MonotonicTime::default();
    let mut floors = DownstreamFloors::default();
    learn(&mut floors, "a", floor(200, 0), now);
    let mut probes = 0;
    for _ in 0..900 {
        now = now.after(Duration::from_millis(1));
        probes += u32::from(floors.check(ROUTE, LOW, None, RequestId(1), now) == Admission::Probe);
    }
    assert!((8..=9).contains(&probes), "{probes} probes in 0.9 s");
    now = now.after(Duration::from_millis(200));
    assert_eq!(
        floors.check(ROUTE, LOW, None, RequestId(1), now),
        Admission::Admit
    );
}

#[test]
fn floor_passed_on_in_a_cycle_of_two_nodes_expires() {
    let mut now = MonotonicTime::default();
    let mut tables = [DownstreamFloors::default(), DownstreamFloors::default()];
    learn(&mut tables[0], "source", floor(200, 0), now);
    let service = "price".parse().expect("valid name");
    let node = "other".parse().expect("valid name");
    for turn in 0..2000 {
        now = now.after(Duration::from_millis(1));
        let notice = tables[turn % 2].notice(ROUTE, now);
        tables[(turn + 1) % 2].learn(ROUTE, &service, &node, notice, now);
    }
    assert!(tables[0].notice(ROUTE, now).is_open());
    assert!(tables[1].notice(ROUTE, now).is_open());
}

#[test]
fn capacity_is_divided_by_rate_and_small_demands_are_met() {
    let demand = |organisation: &str, demand_per_s, rate_per_s| OrganisationDemand {
        organisation: Some(organisation.parse().expect("valid name")),
        demand_per_s,
        rate_per_s,
    };
    let mut demands = vec![
        demand("over", 450.0, 450.0),
        demand("large", 75.0, 375.0),
        demand("small", 6.0, 30.0),
    ];
    let level = fair_level(&mut demands, 256.0);
    assert!((level - 175.0 / 450.0).abs() < 1e-9);
    assert!(fair_level(&mut demands, 600.0).is_infinite());
}

/// An organisation whose demand far exceeds its share does not displace the others at the same
/// importance.
#[test]
fn organisation_over_its_share_is_named_and_the_others_pass() {
    let mut now = MonotonicTime::default();
    let mut meter = DemandMeter::new(now);
    let mut random = SmallRng::seed_from_u64(1);
    let mut passed = [0, 0];
    for window in 0..80 {
        for (index, (organisation, count)) in [("over", 60), ("within", 20)].into_iter().enumerate()
        {
            for _ in 0..count {
                let request = request(HIGH, organisation, RequestId(random.random()));
                if meter.admits(&request) {
                    meter.record_arrival(&request);
                    passed[index] += u32::from(window >= 30);
                }
            }
        }
        meter.record_shed();
        now = now.after(DemandMeter::WINDOW);
        let load = WindowLoad {
            capacity_per_s: 500.0,
            waiting: true,
        };
        meter.close_window(load, now);
    }
    assert_eq!(meter.notice(now).named.len(), 1);
    assert!(passed[1] > 990, "{} of 1000 passed", passed[1]);
    assert!(
        (1200..1800).contains(&passed[0]),
        "{} passed, 1500 fit",
        passed[0]
    );
}

#[test]
fn notice_names_only_the_highest_floors() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let one = |index: usize| FloorNotice {
        named: vec![named(names[index], floor(200, 1000 * index as u16))],
        ..FloorNotice::new(floor(200, 500), 0)
    };
    let joined = (0..names.len())
        .map(one)
        .fold(FloorNotice::default(), FloorNotice::merge);
    assert_eq!(joined.named.len(), FloorNotice::NAMED_MAX);
    assert_eq!(joined.named[0], named("f", floor(200, 5000)));
    assert_eq!(joined.floor, floor(200, 500));
}
