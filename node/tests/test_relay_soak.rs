//! Relay processes that are stopped, started, reloaded and killed, and whose configuration changes, in
//! random order and overlapping, while clients keep connections open until each process is gone.

use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rustix::process::Signal;
use tokio::task::JoinHandle;

use crate::relay_fleet::Client;
use crate::relay_fleet::Ending;
use crate::relay_fleet::Fleet;
use crate::relay_fleet::GRACE;
use crate::relay_fleet::ProcessEvent;
use crate::relay_fleet::SETUP;
use crate::relay_fleet::Sent;
use crate::relay_fleet::Setup;
use crate::relay_fleet::configuration;

/// Seeds of the run in CI; others are given by `SOAK_SEEDS`.
const SEEDS: Range<u64> = 0..2;
/// Graces of the relays in the runs of even and of odd seeds.
const GRACES: [Duration; 2] = [GRACE, Duration::from_secs(10)];
/// Time after a stop signal until which a request may be sent that is broken off at the end of the stop.
const SENT_EARLY_MAX: Duration = Duration::from_secs(3);
/// Time for which signals and changes come.
const SOAK_TIME: Duration = Duration::from_secs(20);
const CLIENTS_PER_MACHINE: usize = 6;
const SERVICES: [&str; 6] = ["front", "stock", "stock", "alpha", "alpha", "beta"];
/// Time after its last byte after which a request must not end without a response
/// (`loss-slack-ms`).
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time in which a configuration must be in force (`config-apply-ms`).
const APPLY_TIME: Duration = Duration::from_millis(2_000);
/// Uncertainty of the times at which a test sees what a process did.
const TIME_SLACK: Duration = Duration::from_millis(100);

/// A version of the configuration and when it was stored.
struct Published {
    at: Instant,
    /// The service of the route that changes.
    service: &'static str,
}

/// A run of the soak.
struct Soak {
    seed: u64,
    grace: Duration,
    rng: StdRng,
    fleet: Arc<Fleet>,
    published: Vec<Published>,
    stops: Vec<JoinHandle<bool>>,
}

fn version_of(version: usize, service: &str) -> serde_json::Value {
    let routes = [
        ("r-once", "/once/", "unsafe", "stock"),
        ("r-safe", "/safe/", "safe", "stock"),
        ("r-flip", "/flip/", "safe", service),
    ];
    configuration(version as u64, &routes)
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let name = format!("soak-{}-{seed}", std::process::id());
        let grace = GRACES[seed as usize % GRACES.len()];
        let configuration = version_of(1, "alpha");
        let setup = Setup { grace, ..SETUP };
        let fleet = Fleet::start_with(&name, &configuration, &SERVICES, setup).await;
        Self {
            seed,
            grace,
            rng: StdRng::seed_from_u64(seed),
            fleet: Arc::new(fleet),
            published: vec![Published {
                at: Instant::now() - APPLY_TIME,
                service: "alpha",
            }],
            stops: Vec::new(),
        }
    }

    fn clients(&mut self, end: Instant) -> Vec<JoinHandle<Vec<Sent>>> {
        let mut running = Vec::new();
        for (index, machine) in self.fleet.machines.iter().enumerate() {
            for number in 0..CLIENTS_PER_MACHINE {
                let rng = StdRng::seed_from_u64(self.rng.random());
                let name = format!("c{index}.{number}");
                let client = Client::new(index, machine.callers, name, rng);
                running.push(tokio::spawn(client.run(end)));
            }
        }
        running
    }

    fn step(&mut self) {
        let index = self.rng.random_range(0..SERVICES.len());
        let machine = &self.fleet.machines[index];
        match self.rng.random_range(0..12) {
            0..4 if machine.is_up() => self.stop(index),
            // Also during a stop.
            4 => machine.signal(Signal::HUP),
            5 => {
                let apply_ms = self.rng.random_range(1_900..2_000).to_string();
                machine.change_setting("configuration_apply_ms", &apply_ms);
                machine.signal(Signal::HUP);
            }
            6 if !machine.is_up() => machine.signal(Signal::TERM),
            7 if !machine.is_up() => machine.signal(Signal::INT),
            8 if machine.is_up() => {
                machine.kill();
                machine.start_again();
            }
            9..12 => self.publish(),
            _ => {}
        }
    }

    /// Stops a relay and starts it again.
    fn stop(&mut self, index: usize) {
        let pause = Duration::from_millis(self.rng.random_range(0..600));
        let fleet = Arc::clone(&self.fleet);
        self.stops.push(tokio::spawn(async move {
            let machine = &fleet.machines[index];
            let has_stopped = machine.stop().await;
            tokio::time::sleep(pause).await;
            machine.start_again();
            has_stopped
        }));
        // The next step sees the stop.
        while self.fleet.machines[index].is_up() {
            std::thread::yield_now();
        }
    }

    fn publish(&mut self) {
        let service = ["alpha", "beta"][self.rng.random_range(0..2)];
        let version = self.published.len() + 1;
        self.fleet.publish(&version_of(version, service));
        self.published.push(Published {
            at: Instant::now(),
            service,
        });
    }
}

/// What a soak has recorded.
struct Record {
    grace: Duration,
    fleet: Arc<Fleet>,
    published: Vec<Published>,
    /// The machines whose servers began to run each request.
    runs: HashMap<String, Vec<usize>>,
}

impl Record {
    fn new(grace: Duration, fleet: Arc<Fleet>, published: Vec<Published>) -> Self {
        let mut runs: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, machine) in fleet.machines.iter().enumerate() {
            for id in machine.server.runs() {
                runs.entry(id).or_default().push(index);
            }
        }
        Self {
            grace,
            fleet,
            published,
            runs,
        }
    }

    /// Returns the faults in what became of a request.
    fn faults_of(&self, sent: &Sent) -> Vec<&'static str> {
        let runs = self.runs.get(&sent.id).map_or(0, Vec::len);
        let is_once = sent.path.starts_with("/once/");
        let held = sent.ended_at - sent.sent_at;
        let mut faults = Vec::new();
        if is_once && runs > 1 {
            faults.push("it ran twice");
        }
        match &sent.ending {
            Ending::TimedOut => faults.push("no response in time"),
            Ending::Closed if self.was_killed(sent.machine, sent) => {}
            Ending::Closed if sent.is_behind && runs == 0 => {}
            Ending::Closed if runs > 0 || held > LOSS_SLACK => faults.push("no response"),
            Ending::Closed => {}
            Ending::Answered { status: 200, body } => {
                if !body.ends_with(&format!(" {}", sent.id)) {
                    faults.push("the response belongs to another request");
                }
                if sent.path.starts_with("/flip/") && !self.may_run_at(sent, body) {
                    faults.push("an older version was in force");
                }
            }
            Ending::Answered {
                status: 429 | 503 | 408 | 421,
                ..
            } => {
                if is_once && runs > 0 {
                    faults.push("refused as not run, but it ran");
                }
            }
            Ending::Answered {
                status: 502 | 504, ..
            } => {
                let waited = sent.ended_at - sent.head_at;
                if waited + TIME_SLACK < sent.time_limit && !self.may_be_broken_off(sent) {
                    faults.push("broken off early");
                }
            }
            Ending::Answered { .. } => faults.push("an unexpected status"),
        }
        faults
    }

    /// Returns whether the process of a machine was killed while the request was open.
    fn was_killed(&self, machine: usize, sent: &Sent) -> bool {
        let history = self.fleet.machines[machine].history();
        history.iter().any(|(at, event)| {
            let is_open = *at + TIME_SLACK > sent.sent_at && *at < sent.ended_at + TIME_SLACK;
            *event == ProcessEvent::Killed && is_open
        })
    }

    /// Returns whether a process that may have held the request was killed, or was at the end of its
    /// grace, while the request was open.
    fn may_be_broken_off(&self, sent: &Sent) -> bool {
        let mut holders: Vec<usize> = (0..self.fleet.machines.len()).collect();
        // Nobody else has a request that is not repeated and has run.
        if let (true, Some(runs)) = (sent.path.starts_with("/once/"), self.runs.get(&sent.id)) {
            holders.retain(|machine| *machine == sent.machine || runs.contains(machine));
        }
        holders.into_iter().any(|machine| {
            self.was_killed(machine, sent) || self.was_at_limit_of_stop(machine, sent)
        })
    }

    fn was_at_limit_of_stop(&self, machine: usize, sent: &Sent) -> bool {
        let history = self.fleet.machines[machine].history();
        history.iter().any(|(at, event)| {
            let limit = *at + self.grace.mul_f64(5.0 / 6.0);
            let is_open = limit < sent.ended_at + TIME_SLACK && *at + self.grace > sent.sent_at;
            // The process that took it knows how late it was sent.
            let is_early = machine != sent.machine || sent.sent_at <= *at + SENT_EARLY_MAX;
            *event == ProcessEvent::Stopping && is_open && is_early
        })
    }

    /// Returns whether the service that answered is that of a version which may have been in force.
    fn may_run_at(&self, sent: &Sent, body: &str) -> bool {
        let known = |version: &Published| version.at + APPLY_TIME <= sent.sent_at;
        let oldest = self.published.iter().rposition(known).unwrap_or(0);
        let mut possible = self.published[oldest..]
            .iter()
            .filter(|version| version.at < sent.ended_at);
        possible.any(|version| body.starts_with(&format!("{} ", version.service)))
    }
}

/// Returns the seeds of `SOAK_SEEDS`, a count or a range such as `3..5`.
fn seeds() -> Range<u64> {
    let Ok(given) = std::env::var("SOAK_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = given.split_once("..").unwrap_or(("0", &given));
    let number = |text: &str| text.parse::<u64>().expect("a number of seeds");
    number(first)..number(end)
}

// Guards against requests that end without a response, run twice, or are refused although they run, and
// against configurations that are not in force in time, around signals, restarts and changes (LOST, TWICE,
// REFUSED, CONFIG).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_end_truthfully_around_signals_restarts_and_changes() {
    let mut failures = Vec::new();
    for seed in seeds() {
        let mut soak = Soak::start(seed).await;
        let end = Instant::now() + SOAK_TIME;
        let clients = soak.clients(end);
        while Instant::now() < end {
            soak.step();
            let pause_ms = soak.rng.random_range(50..900);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let mut stops_cut = 0;
        for stop in soak.stops.drain(..) {
            stops_cut += usize::from(!stop.await.expect("the stop ends"));
        }
        let mut sent = Vec::new();
        for client in clients {
            sent.extend(client.await.expect("the client ends"));
        }
        let machines = soak.fleet.machines.iter();
        let ended = machines.filter(|machine| !machine.is_running()).count();
        if ended > 0 {
            failures.push(format!(
                "seed {seed}: {ended} processes ended by themselves"
            ));
        }
        let record = Record::new(soak.grace, Arc::clone(&soak.fleet), soak.published);
        let mut statuses: HashMap<u16, usize> = HashMap::new();
        let mut closed = 0;
        for request in &sent {
            match &request.ending {
                Ending::Answered { status, .. } => *statuses.entry(*status).or_default() += 1,
                Ending::Closed | Ending::TimedOut => closed += 1,
            }
            for fault in record.faults_of(request) {
                failures.push(format!("seed {}: {fault}: {request:?}", soak.seed));
            }
        }
        if stops_cut > 0 {
            failures.push(format!(
                "seed {seed}: {stops_cut} processes did not stop in time"
            ));
        }
        println!(
            "seed {seed}: {} sent, {statuses:?}, {closed} closed",
            sent.len()
        );
        assert!(
            statuses.contains_key(&200),
            "seed {seed}: nothing was served"
        );
        if failures.is_empty() {
            record.fleet.remove_files();
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
