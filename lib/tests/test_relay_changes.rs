//! Changes of the configuration and of the settings, in series and during stops, while callers keep using
//! their connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsamfold::process::relay::RelayNode;
use balsamfold::process::relay::RelaySettings;
use balsamfold::values::RatePerSecond;
use balsamfold::version::OrganisationLimits;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Repeatability;
use balsamfold::version::WeightedService;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testutils::relay::Behaviour;
use testutils::relay::ReceivedRequest;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::organisation_limits;
use testutils::relay::sample_route;
use testutils::relay::soak_seeds;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::stopping_relays::GRACE;
use crate::stopping_relays::callers_of;
use crate::stopping_relays::set_grace;

const SERVICES: [&str; 6] = ["front", "front", "stock", "stock", "alpha", "alpha"];
/// Time for which changes come. The stops are in it.
const SOAK_TIME: Duration = Duration::from_secs(4);
/// When each stop begins, and the relay that it stops.
const STOPS: [(Duration, usize); 2] = [
    (Duration::from_millis(600), 0),
    (Duration::from_millis(1_300), 2),
];
/// Callers of a relay. Those of all relays need more slots than the servers have.
const CALLERS_PER_RELAY: usize = 8;
/// Time for which the servers of `stock` work.
const SERVICE_TIME: Duration = Duration::from_millis(150);
/// Shortest timeout of a route.
const TIMEOUT_MIN: Duration = Duration::from_millis(1_000);
/// Time after its last byte after which a request must not end without a response.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Uncertainty of the times at which a test sees what a relay did.
const TIME_SLACK: Duration = Duration::from_millis(100);
const READ_TIMEOUT: Duration = Duration::from_secs(12);

/// Returns a random configuration. Routes and keys may be missing.
fn random_plan(version: u64, rng: &mut StdRng) -> StoredPlan {
    let mut routes = Vec::new();
    for (name, repeatability, is_open) in [
        ("once", Repeatability::AtMostOnce, true),
        ("safe", Repeatability::Idempotent, true),
        ("keyed", Repeatability::AtMostOnce, false),
    ] {
        let target = |service: &str, weight| WeightedService {
            service: service.parse().expect("valid name"),
            weight,
        };
        let targets = match rng.random_range(0..3) {
            0 => vec![target("stock", 1)],
            1 => vec![target("alpha", 1)],
            _ => vec![target("stock", rng.random_range(1..4)), target("alpha", 1)],
        };
        let route = PlannedRoute {
            targets,
            is_open,
            timeout_ms: [TIMEOUT_MIN.as_millis() as u64, 5_000, 30_000][rng.random_range(0..3)],
            ..sample_route(name, "stock", repeatability)
        };
        if rng.random_bool(0.85) {
            routes.push(("shop".to_owned(), format!("/{name}/"), route));
        }
    }
    let rate = [None, Some(5), Some(1_000)][rng.random_range(0..3)];
    let limits = OrganisationLimits {
        rate_per_s: rate.map(RatePerSecond),
        ..organisation_limits(1, 20)
    };
    let keys = match rng.random_bool(0.8) {
        true => vec!["key-1".to_owned(), "key-2".to_owned()],
        false => vec!["key-2".to_owned()],
    };
    StoredPlan {
        version,
        routes,
        organisations: vec![(limits, keys)],
    }
}

fn first_plan() -> StoredPlan {
    let route = |name: &str, repeatability, is_open| {
        let route = PlannedRoute {
            is_open,
            ..sample_route(name, "stock", repeatability)
        };
        ("shop".to_owned(), format!("/{name}/"), route)
    };
    StoredPlan {
        version: 1,
        routes: vec![
            route("once", Repeatability::AtMostOnce, true),
            route("safe", Repeatability::Idempotent, true),
            route("keyed", Repeatability::AtMostOnce, false),
        ],
        organisations: vec![(organisation_limits(1_000, 1_000), vec!["key-1".to_owned()])],
    }
}

/// How a request ended: with the status of a complete response, or without one.
type Ending = Option<u16>;

/// A request that was written whole.
#[derive(Debug)]
struct Sent {
    relay: usize,
    id: String,
    route: &'static str,
    time_limit: Duration,
    head_at: Instant,
    sent_at: Instant,
    ended_at: Instant,
    ending: Ending,
    is_behind: bool,
}

/// A caller that uses its connections until the relay has closed them.
struct Caller {
    relay: usize,
    address: SocketAddr,
    name: String,
    rng: StdRng,
    sent: Vec<Sent>,
}

impl Caller {
    async fn run(mut self, end: Instant) -> Vec<Sent> {
        while Instant::now() < end {
            match TcpStream::connect(self.address).await {
                Ok(stream) => self.use_connection(stream, end).await,
                Err(_) => tokio::time::sleep(TIME_SLACK).await,
            }
        }
        self.sent
    }

    async fn use_connection(&mut self, mut stream: TcpStream, end: Instant) {
        let mut received = Vec::new();
        while Instant::now() < end && self.exchange(&mut stream, &mut received).await {
            let pause_ms = self.rng.random_range(0..30);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Writes one request, or two at once. Returns whether the connection can be used again.
    async fn exchange(&mut self, stream: &mut TcpStream, received: &mut Vec<u8>) -> bool {
        let count = if self.rng.random_bool(0.1) { 2 } else { 1 };
        let mut text = String::new();
        let mut written = Vec::new();
        for _ in 0..count {
            let number = self.sent.len() + written.len();
            let id = format!("{}-{number}", self.name);
            let route = ["once", "safe", "keyed"][self.rng.random_range(0..3)];
            let time_limit = [400, 2_000, 8_000][self.rng.random_range(0..3)];
            text += &format!(
                "POST /{route}/{id} HTTP/1.1\r\nhost: shop\r\nrequest-id: {id}\r\nwait-ms: \
                 {time_limit}\r\nauthorization: Key key-1\r\ncontent-length: 5\r\n\r\norder"
            );
            written.push((id, route, Duration::from_millis(time_limit)));
        }
        let (first, rest) = text.split_at(text.len() - 3);
        let mut is_open = stream.write_all(first.as_bytes()).await.is_ok();
        let head_at = Instant::now();
        if count == 1 && self.rng.random_bool(0.2) {
            let pause_ms = self.rng.random_range(20..300);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        is_open &= stream.write_all(rest.as_bytes()).await.is_ok();
        let sent_at = Instant::now();
        for (index, (id, route, time_limit)) in written.into_iter().enumerate() {
            let reading = read_response(stream, received);
            let response = match is_open {
                true => tokio::time::timeout(READ_TIMEOUT, reading).await,
                false => Ok(None),
            };
            let response = response.ok().flatten();
            is_open = response.is_some_and(|(_, is_last)| !is_last);
            self.sent.push(Sent {
                relay: self.relay,
                id,
                route,
                time_limit,
                head_at,
                sent_at,
                ended_at: Instant::now(),
                ending: response.map(|(status, _)| status),
                is_behind: index > 0,
            });
        }
        is_open
    }
}

/// Returns the status of the next complete response, and whether the relay closes the connection then.
async fn read_response(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<(u16, bool)> {
    loop {
        if let Some(head_end) = received.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
            let mut lines = head.lines();
            let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
            let length = lines.find_map(|line| line.strip_prefix("content-length: "))?;
            let end = head_end + 4 + length.parse::<usize>().ok()?;
            if received.len() >= end {
                received.drain(..end);
                return Some((status, head.contains("connection: close")));
            }
        }
        if stream.read_buf(received).await.ok()? == 0 {
            return None;
        }
    }
}

/// What a soak has recorded.
struct Record {
    runs: HashMap<String, usize>,
    stopped_at: HashMap<usize, Instant>,
}

impl Record {
    fn new(received: Vec<ReceivedRequest>, stopped_at: HashMap<usize, Instant>) -> Self {
        let mut runs = HashMap::new();
        for request in received {
            let id = request.headers.get("request-id").expect("an id");
            let id = id.to_str().expect("text").to_owned();
            *runs.entry(id).or_default() += 1;
        }
        Self { runs, stopped_at }
    }

    fn fault_of(&self, sent: &Sent) -> Option<&'static str> {
        let runs = self.runs.get(&sent.id).copied().unwrap_or(0);
        let held = sent.ended_at - sent.sent_at;
        let waited = sent.ended_at - sent.head_at;
        let time_limit = sent.time_limit.min(TIMEOUT_MIN);
        match sent.ending {
            _ if runs > 1 && sent.route != "safe" => Some("it ran twice"),
            None if runs == 0 && (sent.is_behind || held <= LOSS_SLACK) => None,
            None => Some("no response"),
            Some(200) => None,
            Some(401 | 404 | 429 | 503) if runs > 0 => Some("refused as not run, but it ran"),
            // Those behind another one wait for its response.
            Some(401 | 404 | 429 | 503)
                if waited > sent.time_limit + TIME_SLACK && !sent.is_behind =>
            {
                Some("refused after its time")
            }
            Some(401 | 404 | 429 | 503) => None,
            Some(502 | 504) if waited + TIME_SLACK >= time_limit || self.was_stopped(sent) => None,
            Some(502 | 504) => Some("broken off early"),
            Some(_) => Some("an unexpected status"),
        }
    }

    /// Returns whether the stop of its relay may have ended the request.
    fn was_stopped(&self, sent: &Sent) -> bool {
        let stopped_at = self.stopped_at.get(&sent.relay);
        stopped_at.is_some_and(|at| *at + GRACE.mul_f64(5.0 / 6.0) < sent.ended_at + TIME_SLACK)
    }
}

/// Changes of the configuration and of the settings.
struct Changes {
    nodes: Vec<Arc<RelayNode>>,
    version: u64,
    rng: StdRng,
}

impl Changes {
    /// Publishes random configurations and reloads settings until `end`.
    async fn run_until(&mut self, end: Instant, fleet: &RelayFleet) {
        while Instant::now() < end {
            self.version += 1;
            fleet.publish(&random_plan(self.version, &mut self.rng));
            if self.rng.random_bool(0.3) {
                let node = &self.nodes[self.rng.random_range(0..self.nodes.len())];
                let mut raw = node.settings.raw.clone();
                raw.bounds.stop_grace_s = GRACE.as_secs_f64();
                raw.bounds.configuration_apply_ms = self.rng.random_range(1_500..2_500);
                node.reload(RelaySettings::try_from(raw).expect("valid settings"));
            }
            let pause_ms = self.rng.random_range(2..120);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

async fn soak(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = RelayFleet::start(&first_plan(), &SERVICES).await;
    for relay in &fleet.relays {
        set_grace(&relay.daemon, GRACE);
        if relay.service == "stock" {
            relay.server.set_behaviour(Behaviour::Slow(SERVICE_TIME));
        }
    }
    let relays = fleet.relays.iter();
    let mut changes = Changes {
        nodes: relays
            .map(|relay| Arc::clone(relay.daemon.node()))
            .collect(),
        version: 1,
        rng: StdRng::seed_from_u64(rng.random()),
    };
    let started_at = Instant::now();
    let end = started_at + SOAK_TIME;
    let mut callers = Vec::new();
    for relay in 0..SERVICES.len() {
        for number in 0..CALLERS_PER_RELAY {
            let caller = Caller {
                relay,
                address: callers_of(&fleet, relay),
                name: format!("c{relay}.{number}"),
                rng: StdRng::seed_from_u64(rng.random()),
                sent: Vec::new(),
            };
            callers.push(tokio::spawn(caller.run(end)));
        }
    }
    let mut stops: Vec<JoinHandle<_>> = Vec::new();
    let mut stopped_at = HashMap::new();
    for (number, (moment, relay)) in STOPS.into_iter().enumerate() {
        let is_leaving = rng.random_bool(0.5);
        changes.run_until(started_at + moment, &fleet).await;
        let index = relay - number;
        if is_leaving {
            fleet.report_departure(index + 2).await;
        }
        stopped_at.insert(relay, Instant::now());
        stops.push(tokio::spawn(fleet.relays.remove(index).stop()));
    }
    changes.run_until(end, &fleet).await;
    let mut sent = Vec::new();
    for caller in callers {
        sent.extend(caller.await.expect("the caller ends"));
    }
    let mut received = Vec::new();
    for stop in stops {
        received.extend(stop.await.expect("the stop ends").received());
    }
    received.extend(
        fleet
            .relays
            .iter()
            .flat_map(|relay| relay.server.received()),
    );
    let record = Record::new(received, stopped_at);
    let mut endings: HashMap<Ending, usize> = HashMap::new();
    for request in &sent {
        *endings.entry(request.ending).or_default() += 1;
    }
    println!("seed {seed}: {} sent, {endings:?}", sent.len());
    assert!(endings.contains_key(&Some(200)), "nothing was served");
    let faults = sent.iter().filter_map(|request| {
        let fault = record.fault_of(request)?;
        Some(format!("seed {seed}: {fault}: {request:?}"))
    });
    faults.collect()
}

// Guards against requests that end without a response, are refused although they run, or wait for nothing,
// because a configuration, a reload or a stop comes while they wait, are sent, or run.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn requests_end_truthfully_while_changes_and_stops_overlap() {
    let mut faults = Vec::new();
    for seed in soak_seeds(0..1) {
        faults.extend(soak(seed).await);
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
