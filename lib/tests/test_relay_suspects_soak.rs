//! A request that crashes servers, beside restarts, outages and other crashes in random order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsamfold::connection::BufferedRequest;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::PoolLimits;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use testutils::relay::relay_protocol;
use testutils::relay::sample_open_plan;
use testutils::relay::soak_seeds;

const SERVERS: usize = 5;
const STEPS: usize = 30;
const CRASHING: &str = "/stock/crashing";
/// Seeds of the run in CI; others are given by `SOAK_SEEDS`.
const SEEDS: Range<u64> = 0..2;

struct Soak {
    rng: StdRng,
    fleet: RelayFleet,
    sequence: u64,
    sent: usize,
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
        for relay in &fleet.relays {
            let behaviour = Behaviour::SlowAndCrashOn(Duration::from_millis(20), CRASHING);
            relay.server.set_behaviour(behaviour);
        }
        Self {
            rng: StdRng::seed_from_u64(seed),
            fleet,
            sequence: 1,
            sent: 0,
        }
    }

    async fn step(&mut self) {
        let index = self.rng.random_range(0..SERVERS);
        match self.rng.random_range(0..10) {
            0..4 => self.send(index, CRASHING).await,
            4..6 => {
                let path = format!("/stock/{}", self.rng.random_range(0..20));
                self.send(index, &path).await;
            }
            6 => self.fleet.relays[index].server.crash(),
            7 if !self.fleet.store.is_down() => self.fleet.restart(index).await,
            8 => self.fleet.store.set_down(true),
            7 | 9 => {
                self.fleet.store.set_down(false);
                self.recover().await;
            }
            _ => {}
        }
        if self.rng.random_bool(0.5) {
            self.start_servers_again().await;
        }
    }

    async fn send(&mut self, index: usize, path: &str) {
        self.sent += 1;
        let id = format!("r{}", self.sent);
        self.fleet.call(index, &id, path, None).await;
    }

    async fn start_servers_again(&mut self) {
        self.sequence += 1;
        for (index, relay) in self.fleet.relays.iter().enumerate() {
            if relay.server.is_crashed() {
                relay.server.start_again().await;
            }
            // A relay that was restarted during an outage refuses reports until the store is back.
            self.fleet.report_once(index, self.sequence, false).await;
        }
    }

    async fn recover(&mut self) {
        self.sequence += 1;
        for (index, relay) in self.fleet.relays.iter().enumerate() {
            if relay.server.is_crashed() {
                relay.server.start_again().await;
            }
            self.fleet.report(index, self.sequence, false).await;
        }
        self.fleet.wait_until_ready().await;
    }

    fn crashes(&self) -> usize {
        self.received(CRASHING)
    }

    /// Returns how many times a server received a request for `path`.
    fn received(&self, path: &str) -> usize {
        let received = self
            .fleet
            .relays
            .iter()
            .map(|relay| relay.server.received());
        let for_path = received.flatten().filter(|request| request.uri == path);
        for_path.count()
    }
}

// Guards against a crashing request that is forgotten in a restart or an outage and sent to servers again (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crashing_request_crashes_at_most_two_servers_beside_other_faults() {
    for seed in soak_seeds(SEEDS) {
        let mut soak = Soak::start(seed).await;
        for _ in 0..STEPS {
            soak.step().await;
        }
        assert!(
            soak.crashes() <= 2,
            "seed {seed}: {} crashes",
            soak.crashes()
        );
    }
}

/// Answers or fails the request at random servers, before it crashes them.
async fn answer_before_crashes(soak: &mut Soak) -> usize {
    let behaviours = [Behaviour::Respond, Behaviour::Fail];
    for _ in 0..4 * SERVERS {
        for relay in &soak.fleet.relays {
            let behaviour = &behaviours[soak.rng.random_range(0..behaviours.len())];
            relay.server.set_behaviour(behaviour.clone());
        }
        let index = soak.rng.random_range(0..SERVERS);
        soak.send(index, CRASHING).await;
    }
    for relay in &soak.fleet.relays {
        let crashing = Behaviour::SlowAndCrashOn(Duration::from_millis(20), CRASHING);
        relay.server.set_behaviour(crashing);
    }
    soak.crashes()
}

// Guards against responses from before its crashes that clear a request, beside restarts and outages (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_answered_before_crashes_at_most_two_servers_beside_other_faults() {
    for seed in soak_seeds(SEEDS) {
        let mut soak = Soak::start(seed).await;
        let answered = answer_before_crashes(&mut soak).await;
        for _ in 0..STEPS {
            soak.step().await;
        }
        let crashes = soak.crashes() - answered;
        assert!(crashes <= 2, "seed {seed}: {crashes} crashes");
    }
}

/// Calls popular paths through one relay over open connections until `stop` is set. Returns the
/// number of responses by status, and of refusals as quarantined.
async fn call_popular_paths(
    callers: SocketAddr,
    client: usize,
    mut rng: StdRng,
    stop: Arc<AtomicBool>,
) -> (BTreeMap<StatusCode, usize>, usize) {
    let limits = PoolLimits {
        connections_max: 1,
        connect_timeout_ms: 1_000,
        idle_timeout_ms: 5_000,
        response_bytes_max: 65_536,
    };
    let pool = ConnectionPool::new(callers, limits);
    let (mut statuses, mut quarantined) = (BTreeMap::new(), 0);
    for sent in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let path = format!("/stock/popular-{}", rng.random_range(0..10));
        let id = HeaderValue::try_from(format!("p{client}.{sent}")).expect("valid header");
        let host = HeaderValue::from_static("shop");
        let name = relay_protocol().headers.request_id;
        let request = BufferedRequest {
            method: Method::GET,
            uri: path.parse().expect("valid path"),
            headers: HeaderMap::from_iter([(name, id), (header::HOST, host)]),
            body: Bytes::new(),
        };
        if let Ok(response) = pool.exchange(request, Duration::from_secs(5)).await {
            quarantined += usize::from(response.body == "quarantined");
            *statuses.entry(response.status).or_default() += 1;
        }
    }
    (statuses, quarantined)
}

// Guards against popular requests that are refused because other requests crash servers beside them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn popular_requests_are_served_beside_requests_that_crash_servers() {
    for seed in soak_seeds(SEEDS) {
        let mut soak = Soak::start(seed).await;
        let stop = Arc::new(AtomicBool::new(false));
        let relays = soak.fleet.relays.iter().enumerate();
        let clients: Vec<_> = relays
            .map(|(client, relay)| {
                let callers = relay.daemon.node().settings.raw.listen.callers;
                let rng = StdRng::seed_from_u64(seed << 8 | client as u64);
                let stop = Arc::clone(&stop);
                tokio::spawn(call_popular_paths(callers, client, rng, stop))
            })
            .collect();
        for round in 0..6 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let path = format!("{CRASHING}-{round}");
            for _ in 0..4 {
                let index = soak.rng.random_range(0..SERVERS);
                soak.send(index, &path).await;
                soak.start_servers_again().await;
            }
            let crashes = soak.received(&path);
            assert!(crashes <= 2, "seed {seed}: {crashes} crashes under {path}");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        stop.store(true, Ordering::Relaxed);
        let mut served = 0;
        for client in clients {
            let (statuses, quarantined) = client.await.expect("the client ends");
            assert_eq!(quarantined, 0, "seed {seed}: {statuses:?}");
            served += statuses.get(&StatusCode::OK).copied().unwrap_or_default();
        }
        assert!(served > 0, "seed {seed}");
        for path in (0..10).map(|number| format!("/stock/popular-{number}")) {
            let response = soak.fleet.call(0, "last", &path, None).await;
            assert_eq!(response.status, StatusCode::OK, "seed {seed}: {path}");
        }
    }
}
