//! Random schedules of several home nodes and registrars, in which no key may run twice.
//!
//! Every message may be delayed, lost or duplicated. Any node may receive a request with any key,
//! as if member tables differed. Any holder may be replaced while it still runs, and any node may
//! become registrar while others still act as registrar. Each node's clock is fast by up to 4 s.

use std::collections::HashMap;
use std::time::Duration;

use balsamfold::process::once::Assignment;
use balsamfold::process::once::AttemptOutcome;
use balsamfold::process::once::ContentDigest;
use balsamfold::process::once::HeldTerms;
use balsamfold::process::once::KeyDigest;
use balsamfold::process::once::KeyedDecision;
use balsamfold::process::once::KeyedRequest;
use balsamfold::process::once::MintTime;
use balsamfold::process::once::OnceLimits;
use balsamfold::process::once::OnceRecords;
use balsamfold::process::once::ProcessSession;
use balsamfold::process::once::RecordHandover;
use balsamfold::process::once::RecordId;
use balsamfold::process::once::Registrar;
use balsamfold::process::once::RegistrarRecord;
use balsamfold::process::once::Renewal;
use balsamfold::process::once::RenewalOutcome;
use balsamfold::process::once::SlotHandover;
use balsamfold::process::once::SlotId;
use balsamfold::process::once::StoredResponse;
use balsamfold::request::AttemptCount;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

const HOMES: usize = 4;
const SLOTS: usize = 2;
const START_MS: u64 = 1_000_000;
const GRANT_AHEAD_MS: u64 = 8_000;

/// A rule that a schedule omits, to show that the schedules detect its absence.
#[derive(Clone, Copy, PartialEq)]
enum Omitted {
    Nothing,
    /// A new home node also runs keys that were minted before the window of its term.
    MintRule,
    /// The window of a new term starts now, instead of after the mint times that were granted to
    /// the replaced holder.
    WindowStart,
    /// A new registrar ignores the mint times that its predecessor may grant.
    PriorLimit,
    /// Holders accept extensions from a registrar after they reported to the next one.
    Epochs,
}

struct Home {
    terms: HeldTerms,
    records: OnceRecords,
    registrar: Option<Registrar>,
    skew_ms: u64,
}

enum Message {
    Assign(Assignment),
    Renew { from: usize, renewal: Renewal },
    Renewed(RenewalOutcome),
    HandOver { from: usize, handover: SlotHandover },
    Settle(RecordHandover),
    Write(RegistrarRecord, RegistrarRecord),
}

struct Attempt {
    home: usize,
    session: ProcessSession,
    record: RecordId,
    key: usize,
}

#[derive(Default)]
struct KeyState {
    runs: u32,
    reported_a_possible_run: bool,
}

struct World {
    rng: StdRng,
    omitted: Omitted,
    now_ms: u64,
    homes: Vec<Home>,
    platform: Option<RegistrarRecord>,
    messages: Vec<(usize, Message)>,
    attempts: Vec<Attempt>,
    requests: Vec<KeyedRequest>,
    keys: HashMap<usize, KeyState>,
    next_homes: HashMap<KeyDigest, usize>,
    sessions: u64,
    false_responses: u32,
}

fn node_name(node: usize) -> NodeId {
    format!("n{node}").parse().unwrap()
}

fn limits() -> OnceLimits {
    OnceLimits {
        retention: Duration::from_secs(20),
        ..OnceLimits::default()
    }
}

impl World {
    fn new(seed: u64, omitted: Omitted) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            omitted,
            now_ms: START_MS,
            homes: Vec::new(),
            platform: None,
            messages: Vec::new(),
            attempts: Vec::new(),
            requests: Vec::new(),
            keys: HashMap::new(),
            next_homes: HashMap::new(),
            sessions: 0,
            false_responses: 0,
        };
        for _ in 0..HOMES {
            let home = world.fresh_home();
            world.homes.push(home);
        }
        world
    }

    fn fresh_home(&mut self) -> Home {
        self.sessions += 1;
        Home {
            terms: HeldTerms::new(ProcessSession(self.sessions)),
            records: OnceRecords::new(limits()),
            registrar: None,
            skew_ms: self.rng.random_range(0..4000),
        }
    }

    fn any_home(&mut self) -> usize {
        self.rng.random_range(0..HOMES)
    }

    /// Selects with high probability the node that wrote the zone's record last.
    fn any_registrar(&mut self) -> usize {
        let latest = self.platform.as_ref().map(|record| &record.registrar);
        let latest = (0..HOMES).find(|node| Some(&node_name(*node)) == latest);
        match latest {
            Some(latest) if self.rng.random_bool(0.8) => latest,
            _ => self.any_home(),
        }
    }

    /// Selects with high probability a node that holds a term of the slot.
    fn any_home_for(&mut self, slot: &SlotId) -> usize {
        let holders: Vec<_> = (0..HOMES)
            .filter(|node| self.homes[*node].terms.window(slot).is_some())
            .collect();
        match holders.choose(&mut self.rng) {
            Some(holder) if self.rng.random_bool(0.8) => *holder,
            _ => self.any_home(),
        }
    }

    fn slots(&self) -> Vec<SlotId> {
        SlotId::all(&"orders".parse().unwrap())
            .take(SLOTS)
            .collect()
    }

    fn wall(&self, home: usize) -> MintTime {
        MintTime(self.now_ms + self.homes[home].skew_ms)
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.now_ms * 1000)
    }

    fn send(&mut self, to: usize, message: Message) {
        self.messages.push((to, message));
    }

    fn step(&mut self) {
        self.now_ms += self.rng.random_range(0..50);
        match self.rng.random_range(0..1000) {
            0..500 => self.deliver(),
            500..660 => self.request(),
            660..740 => self.end_attempt(),
            740..900 => self.renew(),
            900..906 => self.change_record(1),
            906..930 => self.change_record(0),
            930..938 => self.hand_over(),
            938..940 => self.take_over_registrar(),
            940..941 => self.crash(),
            941..960 => self.read_back(),
            _ => self.assign(),
        }
    }

    fn request(&mut self) {
        let key = match self.rng.random_bool(0.4) || self.requests.is_empty() {
            true => self.new_key(),
            false => {
                let recent = self.requests.len().saturating_sub(20);
                self.rng.random_range(recent..self.requests.len())
            }
        };
        let request = self.requests[key].clone();
        let home = self.any_home_for(&request.slot);
        let (wall, now) = (self.wall(home), self.now());
        let Home { terms, records, .. } = &mut self.homes[home];
        let begin = records.begin(&request, terms.window(&request.slot), wall, now);
        let state = self.keys.entry(key).or_default();
        match begin {
            KeyedDecision::Run { record, .. } => self.attempts.push(Attempt {
                home,
                session: self.homes[home].terms.session(),
                record,
                key,
            }),
            KeyedDecision::Answered(_) => {
                state.reported_a_possible_run = true;
                self.false_responses += u32::from(state.runs == 0);
            }
            KeyedDecision::Join(_) | KeyedDecision::MayHaveRun => {
                state.reported_a_possible_run = true
            }
            KeyedDecision::NotHome
            | KeyedDecision::BeyondWindow { .. }
            | KeyedDecision::AttemptsExhausted => {}
            other => panic!("unexpected decision {other:?}"),
        }
    }

    fn new_key(&mut self) -> usize {
        let mint = self.now_ms.saturating_sub(500) + self.rng.random_range(0..3000);
        let number = self.requests.len();
        let slots = self.slots();
        let slot = slots.choose(&mut self.rng).unwrap().clone();
        self.requests.push(KeyedRequest {
            key: KeyDigest::of(
                &"workshop".parse().unwrap(),
                &number.to_string().parse().unwrap(),
            ),
            organisation: "workshop".parse().unwrap(),
            slot,
            mint: Some(MintTime(mint)),
            content: ContentDigest::of("POST", "/orders", b"zip"),
            extra_attempts: AttemptCount(3),
        });
        number
    }

    fn end_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.attempts.len());
        let attempt = self.attempts.swap_remove(index);
        let reached = self.rng.random_bool(0.7);
        let answered = self.rng.random_bool(0.7);
        let state = self.keys.entry(attempt.key).or_default();
        state.runs += u32::from(reached);
        let outcome = match (reached, answered) {
            (true, true) => AttemptOutcome::Answered(StoredResponse {
                status: 200,
                headers: Vec::new(),
                body: "done".into(),
            }),
            (true, false) => AttemptOutcome::MayHaveRun,
            (false, _) => AttemptOutcome::NotRun {
                unspent: AttemptCount(3),
            },
        };
        state.reported_a_possible_run |= reached;
        let now = self.now();
        let home = &mut self.homes[attempt.home];
        if home.terms.session() != attempt.session {
            return;
        }
        if let Some(handover) = home.records.finish(attempt.record, outcome, now) {
            let to = self.next_homes[&handover.key];
            self.send(to, Message::Settle(handover));
        }
    }

    fn renew(&mut self) {
        let from = self.any_home();
        let to = self.any_registrar();
        let renewal = self.homes[from].terms.renewal();
        self.send(to, Message::Renew { from, renewal });
    }

    /// Raises the grant limit, and replaces the holders of `count` slots, responsive or not.
    fn change_record(&mut self, count: usize) {
        let node = self.any_registrar();
        let wall = self.wall(node);
        let slots = self.slots();
        let replaced: Vec<_> = slots
            .choose_multiple(&mut self.rng, count)
            .cloned()
            .collect();
        if let Some(registrar) = &self.homes[node].registrar {
            let base = registrar.record().clone();
            let mut next = base.advance(wall, &replaced);
            next.grant_limit = base.grant_limit.max(wall.after_ms(GRANT_AHEAD_MS));
            self.send(node, Message::Write(base, next));
        }
    }

    fn assign(&mut self) {
        let (node, to) = (self.any_registrar(), self.any_home());
        let (wall, now) = (self.wall(node), self.now());
        let session = self.homes[to].terms.session();
        let omitted = self.omitted;
        let Some(registrar) = &mut self.homes[node].registrar else {
            return;
        };
        let assignments: Vec<_> = registrar
            .unassigned_slots()
            .iter()
            .filter_map(|slot| registrar.assign(slot, session, wall, now))
            .collect();
        for mut assignment in assignments {
            let window = &mut assignment.held.window;
            match omitted {
                Omitted::MintRule => window.from = MintTime(0),
                Omitted::WindowStart => window.from = window.from.min(wall),
                _ => {}
            }
            self.send(to, Message::Assign(assignment));
        }
    }

    fn hand_over(&mut self) {
        let (from, to) = (self.any_home(), self.any_home());
        let slots = self.slots();
        let slot = slots.choose(&mut self.rng).unwrap().clone();
        let session = self.homes[to].terms.session();
        let home = &mut self.homes[from];
        let Some(moved) = home.terms.transfer(&slot, session) else {
            return;
        };
        let records = home.records.hand_over(&slot);
        for record in &records {
            self.next_homes.insert(record.key, to);
        }
        let handover = SlotHandover {
            moved,
            records,
            expired_before: home.records.expired_before(),
        };
        self.send(to, Message::HandOver { from, handover });
    }

    fn take_over_registrar(&mut self) {
        let node = self.any_home();
        let name = node_name(node);
        let mut next = RegistrarRecord::take_over(self.platform.as_ref(), name, self.wall(node));
        next.grant_limit = self.wall(node).after_ms(GRANT_AHEAD_MS);
        if self.omitted == Omitted::PriorLimit {
            next.prior_limit = MintTime(0);
        }
        self.platform = Some(next.clone());
        self.homes[node].registrar = Some(Registrar::new(next));
    }

    fn crash(&mut self) {
        let node = self.any_home();
        self.homes[node] = self.fresh_home();
    }

    fn read_back(&mut self) {
        let node = self.any_registrar();
        let (Some(registrar), Some(record)) = (&mut self.homes[node].registrar, &self.platform)
        else {
            return;
        };
        match record.epoch == registrar.record().epoch {
            true => registrar.on_confirmed(record.clone()),
            false if self.rng.random_bool(0.5) => self.homes[node].registrar = None,
            false => {}
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let newest = self.messages.len().saturating_sub(8);
        let first = match self.rng.random_bool(0.9) {
            true => newest,
            false => 0,
        };
        let index = self.rng.random_range(first..self.messages.len());
        let (to, message) = self.messages.remove(index);
        if self.rng.random_bool(0.1) {
            return;
        }
        let (wall, now) = (self.wall(to), self.now());
        let is_duplicated = self.rng.random_bool(0.1);
        match message {
            Message::Assign(assignment) => {
                self.homes[to].terms.assign(assignment.clone());
                if is_duplicated {
                    self.send(to, Message::Assign(assignment));
                }
            }
            Message::Renew { from, renewal } => {
                if let Some(registrar) = &mut self.homes[to].registrar {
                    let mut renewal = renewal;
                    if self.omitted == Omitted::Epochs {
                        renewal.epoch = registrar.record().epoch;
                    }
                    let outcome = registrar.renew(&renewal, wall, now);
                    self.send(from, Message::Renewed(outcome));
                }
            }
            Message::Renewed(mut outcome) => {
                if self.omitted == Omitted::Epochs {
                    outcome.epoch = self.homes[to].terms.renewal().epoch;
                }
                self.homes[to].terms.on_renewal_outcome(outcome);
            }
            Message::HandOver { from, handover } => {
                if is_duplicated {
                    let handover = handover.clone();
                    self.send(to, Message::HandOver { from, handover });
                }
                self.adopt(to, handover, now);
            }
            Message::Settle(handover) => {
                self.homes[to].records.settle(handover.clone(), now);
                if is_duplicated {
                    self.send(to, Message::Settle(handover));
                }
            }
            Message::Write(base, next) => self.write(to, base, next),
        }
    }

    fn adopt(&mut self, to: usize, handover: SlotHandover, now: MonotonicTime) {
        let home = &mut self.homes[to];
        let slot = handover.moved.held.slot.clone();
        if home.terms.adopt(handover.moved) {
            home.records
                .take_over(&slot, handover.records, handover.expired_before, now);
        }
    }

    fn write(&mut self, node: usize, base: RegistrarRecord, next: RegistrarRecord) {
        if self.platform.as_ref() != Some(&base) {
            return;
        }
        self.platform = Some(next.clone());
        let reply_arrives = self.rng.random_bool(0.8);
        match &mut self.homes[node].registrar {
            Some(registrar) if reply_arrives && registrar.record().epoch == next.epoch => {
                registrar.on_confirmed(next);
            }
            _ => {}
        }
    }

    fn keys_run_twice(&self) -> usize {
        self.keys.values().filter(|state| state.runs > 1).count()
    }

    fn false_not_runs(&self) -> usize {
        self.keys
            .values()
            .filter(|state| state.runs > 0 && !state.reported_a_possible_run)
            .count()
    }
}

fn run(seed: u64, omitted: Omitted) -> World {
    let mut world = World::new(seed, omitted);
    for _ in 0..4000 {
        world.step();
    }
    world
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    #[test]
    fn no_key_runs_twice_on_any_schedule(seed: u64) {
        let world = run(seed, Omitted::Nothing);
        prop_assert_eq!(world.keys_run_twice(), 0);
        prop_assert_eq!(world.false_not_runs(), 0);
        prop_assert_eq!(world.false_responses, 0);
    }
}

#[test]
fn schedules_run_most_of_their_keys() {
    let worlds: Vec<_> = (0..10).map(|seed| run(seed, Omitted::Nothing)).collect();
    let keys: usize = worlds.iter().map(|world| world.requests.len()).sum();
    let runs: u32 = worlds
        .iter()
        .flat_map(|world| world.keys.values())
        .map(|state| state.runs)
        .sum();
    assert!(runs as usize * 4 > keys, "{runs} of {keys} keys ran");
}

fn some_schedule_runs_a_key_twice(omitted: Omitted) -> bool {
    (0..2000).any(|seed| run(seed, omitted).keys_run_twice() > 0)
}

#[test]
fn without_the_mint_rule_keys_would_run_twice() {
    assert!(some_schedule_runs_a_key_twice(Omitted::MintRule));
}

#[test]
fn without_the_window_start_rule_keys_would_run_twice() {
    assert!(some_schedule_runs_a_key_twice(Omitted::WindowStart));
}

#[test]
fn without_the_prior_limit_keys_would_run_twice() {
    assert!(some_schedule_runs_a_key_twice(Omitted::PriorLimit));
}

#[test]
fn without_epochs_keys_would_run_twice() {
    assert!(some_schedule_runs_a_key_twice(Omitted::Epochs));
}
