//! A share of one class of requests, each with a content of its own, that crashes servers for some time.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsamfold::connection::BufferedResponse;
use balsamfold::process::suspects::Fingerprint;
use balsamfold::process::suspects::SuspectAdmission;
use balsamfold::process::suspects::SuspectEntry;
use balsamfold::process::suspects::SuspectStatus;
use balsamfold::process::suspects::Suspects;
use balsamfold::values::WallTime;
use futures::future::join_all;
use http::StatusCode;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use testutils::relay::sample_open_plan;
use testutils::relay::suspected_on;
use tokio::time::sleep;

const SERVERS: usize = 6;
/// Clients of the class, some of whose requests crash servers, and as many of others.
const CLIENTS: usize = 16;
const CRASHING: &str = "/stock/browse/crashing";
/// Fraction of the class that crashes servers.
const CRASHING_FRACTION: f64 = 0.03;
/// How often a request that crashes servers is sent, by several relays in turn.
const SENDS: usize = 6;
/// Time between a client's requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Time until a crashed server is back.
const DOWN_TIME: Duration = Duration::from_millis(300);
const CRASH_TIME: Duration = Duration::from_secs(5);
/// Time after the last crash until all requests are served.
const RECOVERY_TIME: Duration = Duration::from_secs(1);
const CALM_TIME: Duration = Duration::from_secs(2);
/// Crashes under one request, and retries after them, that are allowed.
const CRASHES_MAX: usize = 3;
const RETRIES_MAX: usize = 3;
/// Body of the servers' responses.
const SERVED: &str = "done";

/// Innocent requests by the body of their responses, which has the reason of a refusal.
#[derive(Debug, Default)]
struct Counts {
    by_body: Mutex<BTreeMap<String, usize>>,
}

impl Counts {
    fn record(&self, response: &BufferedResponse) {
        let body = String::from_utf8_lossy(&response.body).into_owned();
        *self.by_body.lock().entry(body).or_default() += 1;
    }

    fn take(&self) -> BTreeMap<String, usize> {
        std::mem::take(&mut *self.by_body.lock())
    }
}

/// Clients of a fleet, and how many of their innocent requests were served.
struct Storm {
    fleet: RelayFleet,
    sent: AtomicUsize,
    browsing: Counts,
    others: Counts,
}

impl Storm {
    async fn call(&self, index: usize, path: &str) -> BufferedResponse {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        self.fleet.call(index, &id, path, None).await
    }

    /// Sends requests with contents of their own, of which some crash servers until `until`.
    async fn browse(&self, client: usize, crashing_until: Instant, until: Instant) {
        let mut rng = StdRng::seed_from_u64(client as u64);
        for number in 0.. {
            let now = Instant::now();
            if now >= until {
                return;
            }
            if now < crashing_until && rng.random_bool(CRASHING_FRACTION) {
                let path = format!("{CRASHING}-{client}-{number}");
                for send in 0..SENDS {
                    self.call((client + send) % SERVERS, &path).await;
                    sleep(2 * PAUSE).await;
                }
                continue;
            }
            let path = format!("/stock/browse/{client}-{number}");
            let response = self.call(rng.random_range(0..SERVERS), &path).await;
            self.browsing.record(&response);
            sleep(PAUSE).await;
        }
    }

    async fn send_others(&self, client: usize, until: Instant) {
        let mut rng = StdRng::seed_from_u64(1_000 + client as u64);
        while Instant::now() < until {
            let path = format!("/stock/other/{}", rng.random_range(0..20));
            let response = self.call(rng.random_range(0..SERVERS), &path).await;
            self.others.record(&response);
            sleep(PAUSE).await;
        }
    }

    /// Starts crashed servers again after [`DOWN_TIME`].
    async fn keep_servers_up(&self, is_over: &AtomicBool) {
        let mut down_since = [None; SERVERS];
        let mut sequence = 1;
        while !is_over.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(20)).await;
            for (index, relay) in self.fleet.relays.iter().enumerate() {
                let since = down_since[index].get_or_insert_with(Instant::now);
                match relay.server.is_crashed() {
                    true if since.elapsed() >= DOWN_TIME => {
                        relay.server.start_again().await;
                        sequence += 1;
                        self.fleet.report_once(index, sequence, false).await;
                    }
                    true => {}
                    false => down_since[index] = None,
                }
            }
        }
    }

    /// Sends from all clients. Returns once they have ended.
    async fn run(&self, crash_time: Duration, time: Duration) {
        let start = Instant::now();
        let is_over = AtomicBool::new(false);
        let clients = join_all((0..CLIENTS).map(async |client| {
            tokio::join!(
                self.browse(client, start + crash_time, start + time),
                self.send_others(client, start + time),
            )
        }));
        let ending = async {
            clients.await;
            sleep(2 * DOWN_TIME).await;
            is_over.store(true, Ordering::Relaxed);
        };
        tokio::join!(ending, self.keep_servers_up(&is_over));
    }

    /// Returns how often each request that crashes servers reached one.
    fn received_crashing(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for relay in &self.fleet.relays {
            for request in relay.server.received() {
                if request.uri.starts_with(CRASHING) {
                    *counts.entry(request.uri).or_default() += 1;
                }
            }
        }
        counts
    }
}

// Guards against many different requests that crash servers, of which each reaches servers without an end (BUDGET), and
// against innocent requests that stay refused after that.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_are_served_again_after_a_share_of_a_class_crashed_servers() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    for relay in &fleet.relays {
        let behaviour = Behaviour::SlowAndCrashOn(Duration::from_millis(20), CRASHING);
        relay.server.set_behaviour(behaviour);
    }
    let storm = Storm {
        fleet,
        sent: AtomicUsize::new(0),
        browsing: Counts::default(),
        others: Counts::default(),
    };
    storm.run(CRASH_TIME, CRASH_TIME).await;
    let during = (storm.browsing.take(), storm.others.take());
    let received = storm.received_crashing();
    let most = received.values().max().copied().unwrap_or_default();
    println!(
        "{} contents crashed servers {} times, at most {most} each; responses to the others of the class {:?}, to other requests {:?}",
        received.len(),
        received.values().sum::<usize>(),
        during.0,
        during.1
    );
    assert!(received.len() >= 5, "{received:?}");
    assert!(most <= CRASHES_MAX + RETRIES_MAX, "{received:?}");
    sleep(RECOVERY_TIME).await;
    storm.run(Duration::ZERO, CALM_TIME).await;
    for responses in [storm.browsing.take(), storm.others.take()] {
        assert!(responses.keys().eq([SERVED]), "{responses:?}");
    }
}

// Guards against copies of a popular request that are not woken when its trial ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn copies_of_a_popular_request_are_answered_as_soon_as_its_trial_ends() {
    const SERVICE_TIME: Duration = Duration::from_millis(100);
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; SERVERS]).await;
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::Slow(SERVICE_TIME));
        let entry = suspected_on("/stock/popular", "node-1");
        relay.daemon.node().merge_suspects(&[entry]);
    }
    let started_at = Instant::now();
    let copies = (0..8).map(async |number: usize| {
        let id = format!("p{number}");
        let response = fleet
            .call(number % SERVERS, &id, "/stock/popular", None)
            .await;
        response.status
    });
    assert_eq!(join_all(copies).await, [StatusCode::OK; 8]);
    // One trial, and then all others at the same time.
    let elapsed = started_at.elapsed();
    assert!(elapsed < 4 * SERVICE_TIME, "{elapsed:?}");
}

fn table(node: usize) -> Suspects {
    Suspects::new(format!("node-{node}").parse().expect("a name"))
}

/// Returns the fingerprint of a request.
fn fingerprint(number: u32) -> Fingerprint {
    suspected_on(&format!("/stock/{number}"), "node-0").fingerprint
}

fn status_of(table: &Suspects, request: Fingerprint) -> Option<SuspectStatus> {
    let mut entries = table.entries();
    let entry = entries.find(|entry| entry.fingerprint == request);
    entry.map(SuspectEntry::status)
}

/// Crashes the server of a table under a suspect on trial and other requests, and returns what the other nodes learn.
fn crash_on_trial(
    node: usize,
    known: &[SuspectEntry],
    suspect: Fingerprint,
    others: &[Fingerprint],
) -> Vec<SuspectEntry> {
    let mut table = table(node);
    let mut known = known.to_vec();
    for entry in &mut known {
        entry.assign_trial(format!("node-{node}").parse().expect("a name"));
    }
    let wall = WallTime(1_000 * (1 + node as u64));
    table.merge(&known, wall);
    assert_eq!(table.admit(suspect), SuspectAdmission::RunAlone);
    let in_flight = others.iter().copied().chain([suspect]);
    table.on_crash(in_flight, &[], wall)
}

// Guards against innocent requests that stay quarantined because other requests crashed the servers of their trials.
#[test]
fn crash_that_a_quarantined_request_explains_does_not_count_against_others() {
    let (innocent, first, second) = (fingerprint(1), fingerprint(2), fingerprint(3));
    let mut node = table(0);
    let crash = node.on_crash([innocent, first], &[], WallTime(1_000));
    let of = |entries: &[SuspectEntry], request| {
        let mut entries = entries.iter();
        entries
            .find(|entry| entry.fingerprint == request)
            .cloned()
            .expect("an entry")
    };
    let innocent_crash = crash_on_trial(1, &[of(&crash, innocent)], innocent, &[second]);
    node.merge(&innocent_crash, WallTime(2_000));
    assert_eq!(status_of(&node, innocent), Some(SuspectStatus::Quarantined));
    let second_crash = crash_on_trial(2, &[of(&innocent_crash, second)], second, &[]);
    node.merge(&second_crash, WallTime(3_000));
    assert_eq!(status_of(&node, second), Some(SuspectStatus::Quarantined));
    assert_eq!(status_of(&node, innocent), Some(SuspectStatus::Suspected));
    let first_crash = crash_on_trial(3, &[of(&crash, first)], first, &[]);
    node.merge(&first_crash, WallTime(4_000));
    assert_eq!(status_of(&node, first), Some(SuspectStatus::Quarantined));
    assert_eq!(status_of(&node, innocent), Some(SuspectStatus::Cleared));
}

// Guards against requests that clear each other of the crashes that one of them causes (BUDGET).
#[test]
fn crash_under_its_own_trial_only_does_not_explain_that_of_another_request() {
    let (crashing, other) = (fingerprint(1), fingerprint(2));
    let crash = table(0).on_crash([crashing], &[], WallTime(1_000));
    let mut node = table(1);
    node.merge(
        &crash_on_trial(2, &crash, crashing, &[other]),
        WallTime(3_000),
    );
    assert_eq!(status_of(&node, crashing), Some(SuspectStatus::Quarantined));
    assert_eq!(status_of(&node, other), Some(SuspectStatus::Suspected));
    node.merge(&crash, WallTime(3_000));
    assert_eq!(status_of(&node, crashing), Some(SuspectStatus::Quarantined));
}
