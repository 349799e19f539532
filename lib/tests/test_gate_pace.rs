//! A gate whose server takes a limited number of requests per second.

use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::AdmissionDecision;
use balsamfold::process::gate::AdmissionRequest;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::process::gate::GateState;
use balsamfold::request::RefusalReason;
use balsamfold::values::Importance;
use balsamfold::values::MonotonicTime;
use balsamfold::values::RatePerSecond;
use balsamfold::values::RequestId;
use balsamfold::values::ServerRate;
use balsamfold::values::SlotCount;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testutils::relay::at_ms;

const SLOTS: u32 = 100;
/// Time in which the server answers a request.
const HELD_MS: u64 = 60;
const WINDOW_MS: u64 = 4_000;
/// Time for which callers wait.
const PATIENCE_MS: u64 = 5_000;

fn rate(per_s: f64) -> ServerRate {
    ServerRate::try_from(per_s).expect("valid rate")
}

/// A server behind its gate.
struct Server {
    gate: GateState,
    rng: StdRng,
    held_ms: u64,
    /// The rate that the server names in its responses.
    named: Option<ServerRate>,
    /// When the requests end that run, and how.
    ends: Vec<(u64, CompletionOutcome)>,
    /// Times and importance of the requests that started.
    started: Vec<(u64, u8)>,
}

impl Server {
    fn new(seed: u64) -> Self {
        let limit = AdaptiveLimit::fixed(SlotCount(SLOTS), at_ms(0));
        Self {
            gate: GateState::new(limit, at_ms(0)),
            rng: StdRng::seed_from_u64(seed),
            held_ms: HELD_MS,
            named: None,
            ends: Vec::new(),
            started: Vec::new(),
        }
    }

    fn set_rate(&mut self, per_s: Option<f64>, now_ms: u64) {
        self.gate.set_rate(per_s.map(rate), at_ms(now_ms));
    }

    fn finish(&mut self, now_ms: u64) {
        let ended = self.ends.extract_if(.., |(end_ms, _)| *end_ms <= now_ms);
        for (_, outcome) in ended.collect::<Vec<_>>() {
            if outcome == CompletionOutcome::Answered {
                if self.named.is_some() {
                    self.gate.set_rate(self.named, at_ms(now_ms));
                }
                let wakeups = self.gate.record_response(at_ms(now_ms));
                for _ in wakeups.started {
                    self.start(now_ms, 0, PATIENCE_MS);
                }
            }
            let completion = Completion {
                outcome,
                held: Duration::from_millis(self.held_ms),
                onward: Duration::ZERO,
            };
            let wakeups = self.gate.release(&completion, at_ms(now_ms));
            for _ in wakeups.started {
                self.start(now_ms, 0, PATIENCE_MS);
            }
        }
    }

    /// Starts a request whose caller waits for `patience_ms`, and then leaves or lets it time out.
    fn start(&mut self, now_ms: u64, importance: u8, patience_ms: u64) {
        let given_up = match self.rng.random_bool(0.5) {
            true => CompletionOutcome::Cancelled,
            false => CompletionOutcome::Failed,
        };
        self.ends.push(match self.held_ms <= patience_ms {
            true => (now_ms + self.held_ms, CompletionOutcome::Answered),
            false => (now_ms + patience_ms, given_up),
        });
        self.started.push((now_ms, importance));
    }

    fn offer(&mut self, importance: u8, now_ms: u64) -> AdmissionDecision {
        self.offer_within(importance, PATIENCE_MS, now_ms)
    }

    fn offer_within(&mut self, importance: u8, patience_ms: u64, now_ms: u64) -> AdmissionDecision {
        let request = AdmissionRequest {
            importance: Importance(importance),
            organisation: None,
            rate: RatePerSecond(1),
            root: RequestId(self.rng.random()),
            remaining: Duration::from_millis(patience_ms),
        };
        let wakeups = self.gate.start_due(at_ms(now_ms));
        for _ in wakeups.started {
            self.start(now_ms, 0, PATIENCE_MS);
        }
        let (decision, _) = self.gate.acquire(&request, at_ms(now_ms));
        if decision == AdmissionDecision::Started {
            self.start(now_ms, importance, patience_ms);
        }
        decision
    }

    /// Offers `per_s` requests a second in `times_ms`, of the importance that `choose` returns.
    fn offer_load(
        &mut self,
        per_s: f64,
        times_ms: std::ops::Range<u64>,
        choose: impl Fn(&mut StdRng) -> u8,
    ) {
        for now_ms in times_ms {
            self.finish(now_ms);
            if self.rng.random_bool(per_s / 1e3) {
                let importance = choose(&mut self.rng);
                self.offer(importance, now_ms);
            }
        }
    }

    /// Offers 50 requests a second whose callers wait for `patience_ms`, and two that wait longer.
    fn offer_impatient_load(&mut self, patience_ms: u64, times_ms: std::ops::Range<u64>) {
        for now_ms in times_ms {
            self.finish(now_ms);
            if self.rng.random_bool(0.05) {
                self.offer_within(1, patience_ms, now_ms);
            }
            if self.rng.random_bool(0.002) {
                self.offer(1, now_ms);
            }
        }
    }

    fn started_in(&self, times_ms: std::ops::Range<u64>) -> usize {
        let times = self.started.iter().map(|(time_ms, _)| time_ms);
        times.filter(|time_ms| times_ms.contains(time_ms)).count()
    }

    fn most_in_a_window(&self, from_ms: u64) -> usize {
        let starts = self.started.iter().map(|(time_ms, _)| *time_ms);
        let counted = starts.filter(|time_ms| *time_ms >= from_ms);
        counted
            .map(|start_ms| self.started_in(start_ms..start_ms + WINDOW_MS))
            .max()
            .unwrap_or_default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn no_window_has_more_requests_than_the_rate_allows(
        seed: u64,
        per_s in 0.0..60.0,
        offered in 0.1..400.0,
        pause_ms in 0u64..5_000,
    ) {
        let mut server = Server::new(seed);
        server.offer_load(offered, 0..2_000, |_| 1);
        server.set_rate(Some(per_s), 2_000);
        server.offer_load(offered, 2_000..8_000, |_| 1);
        let resumed_ms = 8_000 + pause_ms;
        server.offer_load(offered, resumed_ms..resumed_ms + 8_000, |_| 1);
        let allowed = 1.5 * per_s * 4.0 + 5.0;
        prop_assert!(server.most_in_a_window(5_000) as f64 <= allowed);
    }

    #[test]
    fn rate_is_used_up_under_load(seed: u64, per_s in 2.0..60.0) {
        let mut server = Server::new(seed);
        server.set_rate(Some(per_s), 0);
        server.offer_load(2.0 * per_s + 5.0, 0..20_000, |_| 1);
        let started = server.started.len() as f64;
        prop_assert!(started >= 0.95 * per_s * 20.0 - 1.0, "{started} started");
    }
}

#[test]
fn important_requests_start_first_under_a_rate() {
    let mut server = Server::new(1);
    server.set_rate(Some(20.0), 0);
    // 15 important requests a second, and 45 others.
    server.offer_load(60.0, 0..20_000, |rng| u8::from(rng.random_bool(0.25)));
    let started = server
        .started
        .iter()
        .filter(|(time_ms, _)| *time_ms >= 2_000);
    let important = started.filter(|(_, importance)| *importance == 1).count();
    assert!(
        important as f64 >= 0.85 * 15.0 * 18.0,
        "{important} of about 270"
    );
}

#[test]
fn requests_wait_again_after_the_rate_has_ended() {
    let mut server = Server::new(1);
    server.set_rate(Some(1.0), 0);
    let refused = server.offer(1, 0);
    let AdmissionDecision::Refused(refusal) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::ServerThrottled);
    assert!(refusal.retry_after_ms.is_some());
    server.set_rate(None, 1_000);
    assert_eq!(server.offer(1, 1_000), AdmissionDecision::Started);
}

#[test]
fn waiting_requests_go_to_other_servers_when_a_rate_is_named() {
    let mut server = Server::new(1);
    for _ in 0..SLOTS + 5 {
        server.offer(1, 0);
    }
    let dropped = server.gate.set_rate(Some(rate(10.0)), at_ms(1));
    assert_eq!(dropped.len(), 5);
    let reasons = dropped.iter().map(|dropped| dropped.refusal.reason);
    assert!(
        reasons
            .into_iter()
            .all(|reason| reason == RefusalReason::ServerThrottled)
    );
}

#[test]
fn server_that_takes_nothing_gets_a_request_from_time_to_time() {
    let mut server = Server::new(1);
    server.set_rate(Some(0.0), 0);
    server.offer_load(100.0, 0..20_000, |_| 1);
    assert!((5..=10).contains(&server.started.len()));
    let times: Vec<MonotonicTime> = server.started.iter().map(|(ms, _)| at_ms(*ms)).collect();
    let closest = times.windows(2).map(|pair| pair[1].since(pair[0])).min();
    assert!(closest >= Some(Duration::from_millis(1_000)));
}

// Guards against a slow server that gets far more than its limit until its first response (LIMIT).
#[test]
fn gate_of_a_new_process_learns_the_limit_from_few_requests() {
    let mut server = Server::new(1);
    server.gate = GateState::unproven(AdaptiveLimit::fixed(SlotCount(SLOTS), at_ms(0)), at_ms(0));
    server.held_ms = 600;
    server.named = Some(rate(7.8));
    server.offer_load(300.0, 0..10_000, |_| 1);
    assert!(server.most_in_a_window(0) as f64 <= 1.5 * 7.8 * 4.0 + 5.0);
}

#[test]
fn gate_of_a_new_process_uses_all_slots_after_the_first_response() {
    let mut server = Server::new(1);
    server.gate = GateState::unproven(AdaptiveLimit::fixed(SlotCount(SLOTS), at_ms(0)), at_ms(0));
    for _ in 0..20 {
        server.offer(1, 0);
    }
    assert_eq!(server.started.len(), 4);
    server.finish(HELD_MS);
    assert_eq!(server.started.len(), 20);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    // Guards against a limit that is forgotten with the process that knew it (LIMIT).
    #[test]
    fn limit_holds_across_a_restart_of_the_relay(
        seed: u64,
        per_s in 1.0..60.0,
        offered in 10.0..400.0,
        held_ms in 20u64..1_500,
        restart_ms in 4_000u64..8_000,
    ) {
        let mut server = Server::new(seed);
        server.held_ms = held_ms;
        server.named = Some(rate(per_s));
        server.offer_load(offered, 0..restart_ms, |_| 1);
        let limit = AdaptiveLimit::fixed(SlotCount(SLOTS), at_ms(restart_ms));
        server.gate = GateState::unproven(limit, at_ms(restart_ms));
        server.ends.clear();
        server.offer_load(offered, restart_ms..restart_ms + 6_000, |_| 1);
        let allowed = 1.5 * per_s * 4.0 + 5.0;
        let most = server.most_in_a_window(3_000);
        prop_assert!(most as f64 <= allowed, "{most} of {allowed}");
    }
}

/// Returns a server whose gate is that of a new process.
fn unproven_server(seed: u64, held_ms: u64) -> Server {
    let mut server = Server::new(seed);
    server.gate = GateState::unproven(AdaptiveLimit::fixed(SlotCount(SLOTS), at_ms(0)), at_ms(0));
    server.held_ms = held_ms;
    server
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    // Guards against requests that time out or are cancelled, and count as responses of a server whose limit
    // is not known yet (LIMIT).
    #[test]
    fn requests_that_were_given_up_do_not_open_the_gate(
        seed: u64,
        per_s in 0.0..4.0,
        held_ms in 400u64..3_000,
        patience_ms in 20u64..400,
    ) {
        let mut server = unproven_server(seed, held_ms);
        server.named = Some(rate(per_s));
        server.offer_impatient_load(patience_ms, 0..20_000);
        let allowed = 1.5 * per_s * 4.0 + 5.0;
        let most = server.most_in_a_window(0);
        prop_assert!(most as f64 <= allowed, "{most} of {allowed}");
    }

    // Guards against a server that gets request after request although it never responds (LIMIT).
    #[test]
    fn server_that_never_responds_gets_few_requests(seed: u64, patience_ms in 20u64..2_000) {
        let mut server = unproven_server(seed, u64::MAX);
        server.offer_impatient_load(patience_ms, 0..20_000);
        prop_assert!(server.most_in_a_window(0) <= 5);
        prop_assert!(server.started.len() >= 8);
    }

    // Guards against a slow server that is not used because impatient callers take all of its first requests.
    #[test]
    fn slow_server_is_opened_by_a_request_with_more_time(seed: u64, patience_ms in 20u64..600) {
        let mut server = unproven_server(seed, 700);
        server.offer_impatient_load(patience_ms, 0..8_000);
        prop_assert_eq!(server.gate.slots(), SLOTS);
    }
}

// Guards against a server that is hardly tried again since a request that waits keeps later ones from
// starting, although there is room for one.
#[test]
fn server_without_a_response_is_tried_while_requests_wait() {
    let mut server = unproven_server(1_792_861_910_140_074_672, u64::MAX);
    server.offer_impatient_load(156, 0..20_000);
    assert!(server.started.len() >= 8, "{:?}", server.started);
}

// Guards against a server without a limit that is starved because its first responses take a second.
#[test]
fn slow_server_without_a_limit_is_used_up_after_its_first_response() {
    let mut server = unproven_server(1, 1_000);
    server.offer_load(200.0, 0..1_000, |_| 1);
    assert_eq!(server.started.len(), 4);
    server.offer_load(200.0, 1_000..1_200, |_| 1);
    assert_eq!(server.gate.in_flight(), SLOTS);
}

// Guards against a server that counts as tried because a request was cancelled before it was sent.
#[test]
fn requests_that_were_not_sent_leave_room_for_others() {
    let mut server = unproven_server(1, 1_000);
    for now_ms in 0..20 {
        assert_eq!(server.offer(1, now_ms), AdmissionDecision::Started);
        let completion = Completion {
            outcome: CompletionOutcome::NotSent,
            held: Duration::ZERO,
            onward: Duration::ZERO,
        };
        server.gate.release(&completion, at_ms(now_ms));
    }
}
