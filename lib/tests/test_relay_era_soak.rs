//! Keys that are withdrawn, beside a store that goes back to earlier copies and relays that restart, in
//! random order.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use balsamfold::values::ConfigVersion;
use futures::future::join_all;
use http::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::index::sample;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::sample_keyed_plan;
use testutils::relay::soak_seeds;

const SERVERS: usize = 4;
const STEPS: usize = 3;
/// Most relays that restart in a step. The others know the newest configuration all the while.
const RESTARTS_MAX: usize = 2;
/// Length of a step.
const STEP_MS: u64 = 2_500;
/// Time between two requests with the withdrawn key.
const CALL_PERIOD: Duration = Duration::from_millis(10);
/// Seeds of the run in CI; others are given by `SOAK_SEEDS`.
const SEEDS: Range<u64> = 0..2;

#[derive(Clone, Copy, Debug)]
enum Fault {
    StoreIsDown,
    StoreIsBack,
    Restart(usize),
}

struct Soak {
    seed: u64,
    rng: StdRng,
    fleet: RelayFleet,
    version: u64,
    sent: usize,
}

impl Soak {
    async fn start(seed: u64) -> Self {
        Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            fleet: RelayFleet::start(&plan(1), &["stock"; SERVERS]).await,
            version: 1,
            sent: 0,
        }
    }

    /// Withdraws a key, and lets the store go back to the copy from before while relays restart.
    async fn step(&mut self) {
        let copy = self.fleet.store.copy();
        self.version += 1;
        self.fleet.publish(&plan(self.version));
        self.wait_for_version().await;
        let mut faults = self.plan_faults();
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_millis(STEP_MS) {
            let elapsed_ms = started_at.elapsed().as_millis() as u64;
            for (_, fault) in faults.extract_if(.., |(at_ms, _)| *at_ms <= elapsed_ms) {
                match fault {
                    Fault::StoreIsDown => self.fleet.store.set_down(true),
                    Fault::StoreIsBack => {
                        self.fleet.store.go_back_to(&copy);
                        self.fleet.store.set_down(false);
                    }
                    Fault::Restart(index) => self.fleet.restart(index).await,
                }
            }
            self.check_withdrawn_key(elapsed_ms).await;
            tokio::time::sleep(CALL_PERIOD).await;
        }
        // The operator writes again what was lost.
        self.fleet.publish(&plan(self.version));
        for index in 0..SERVERS {
            self.fleet.report(index, self.version, false).await;
        }
        self.fleet.wait_until_ready().await;
        self.wait_for_version().await;
    }

    /// Returns the faults of a step, with their times in milliseconds after its start.
    fn plan_faults(&mut self) -> Vec<(u64, Fault)> {
        let down_at_ms = self.rng.random_range(0..500);
        let back_at_ms = down_at_ms + self.rng.random_range(0..600);
        let restarts = self.rng.random_range(1..=RESTARTS_MAX);
        let mut faults = vec![
            (down_at_ms, Fault::StoreIsDown),
            (back_at_ms, Fault::StoreIsBack),
        ];
        for index in sample(&mut self.rng, SERVERS, restarts) {
            let at_ms = self.rng.random_range(0..STEP_MS * 4 / 5);
            faults.push((at_ms, Fault::Restart(index)));
        }
        faults.sort_by_key(|(at_ms, _)| *at_ms);
        faults
    }

    async fn wait_for_version(&self) {
        let version = ConfigVersion(self.version);
        self.fleet
            .wait_until(|fleet| {
                fleet.relays.iter().all(|relay| {
                    let plan = relay.daemon.node().plan();
                    plan.is_some_and(|plan| plan.version == version)
                })
            })
            .await;
    }

    /// Sends a request with the withdrawn key to each relay.
    async fn check_withdrawn_key(&mut self, elapsed_ms: u64) {
        self.sent += 1;
        let key = key(self.version - 1);
        let calls = (0..SERVERS).map(|index| {
            let id = format!("withdrawn-{}-{index}", self.sent);
            let (fleet, key) = (&self.fleet, &key);
            async move { fleet.call(index, &id, "/stock/1", Some(key)).await.status }
        });
        for (index, status) in join_all(calls).await.into_iter().enumerate() {
            assert!(
                [StatusCode::UNAUTHORIZED, StatusCode::SERVICE_UNAVAILABLE].contains(&status),
                "seed {}, version {}, {elapsed_ms} ms: {status} at node {index}",
                self.seed,
                self.version
            );
        }
    }
}

fn key(version: u64) -> String {
    format!("key-{version}")
}

/// Returns the configuration that withdraws the key of the version before.
fn plan(version: u64) -> StoredPlan {
    sample_keyed_plan(version, &[&key(version), &key(version + 1)])
}

// Guards against a withdrawn key that runs while any relay knows that it was withdrawn (CONFIG).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn withdrawn_keys_stay_withdrawn_beside_restarts_and_returns_of_the_store() {
    for seed in soak_seeds(SEEDS) {
        let mut soak = Soak::start(seed).await;
        for _ in 0..STEPS {
            soak.step().await;
        }
    }
}
