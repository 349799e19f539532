//! A request that crashes servers, beside restarts, outages and other crashes in random order.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use testutils::relay::sample_open_plan;

const SERVERS: usize = 5;
const STEPS: usize = 30;
const CRASHING: &str = "/stock/crashing";
/// Seeds of the run in CI; more are given by `SOAK_SEEDS`.
const SEEDS: std::ops::Range<u64> = 0..2;

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
        let received = self
            .fleet
            .relays
            .iter()
            .map(|relay| relay.server.received());
        let crashing = received.flatten().filter(|request| request.uri == CRASHING);
        crashing.count()
    }
}

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("SOAK_SEEDS").ok();
    given.map_or(SEEDS, |count| 0..count.parse().expect("a number of seeds"))
}

// Guards against a crashing request that is forgotten in a restart or an outage and sent to servers again (BUDGET).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crashing_request_crashes_at_most_two_servers_beside_other_faults() {
    for seed in seeds() {
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
