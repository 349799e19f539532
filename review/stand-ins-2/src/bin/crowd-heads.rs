//! A crowd of clients whose chunked bodies stop just short of their end, at one relay, while ordinary clients of that
//! relay send requests with short and with long headers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use review_stand_ins_2::BROKEN;
use review_stand_ins_2::HELD;
use review_stand_ins_2::NOT_RUN;
use review_stand_ins_2::client::call_with;
use review_stand_ins_2::client::is_served;
use review_stand_ins_2::crowd::stay;
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::machine::Machine;
use review_stand_ins_2::machine::wait_until_ready;
use review_stand_ins_2::record::Record;
use review_stand_ins_2::server::Runs;
use review_stand_ins_2::store::Store;
use serde_json::json;

/// Memory of each machine, as `memory_mb` of the site.
const MEMORY_MB: u32 = 160;
/// Clients of the crowd.
const CROWD: usize = 300;
/// Length of a long header. `max-header-bytes` is 16,384.
const LONG_HEADER_BYTES: usize = 12_000;
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// Time between two requests of a kind.
const PERIOD: Duration = Duration::from_millis(100);
/// A kind is starved if it is served less than this part as often as all requests.
const STARVED: f64 = 0.25;

/// A kind of ordinary requests.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    header_bytes: usize,
}

const KINDS: [Kind; 2] = [
    Kind {
        name: "short",
        header_bytes: 100,
    },
    Kind {
        name: "long",
        header_bytes: LONG_HEADER_BYTES,
    },
];

/// How a request ended.
struct Outcome {
    kind: &'static str,
    is_served: bool,
    /// Its client got no answer at all.
    is_unanswered: bool,
}

#[tokio::main(worker_threads = 2)]
async fn main() {
    let record = Record::default();
    let code = play(&record).await.unwrap_or_else(|error| {
        record.say(format!("could not run: {error}"));
        NOT_RUN
    });
    record.write();
    exit(code);
}

async fn play(record: &Record) -> std::io::Result<i32> {
    let folder = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| "/tmp".to_owned()));
    let store = Store::start().await?;
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": format!("r-{name}"), "prefix": format!("/{name}/"), "kind": kind, "timeout-ms": 60_000,
            "target-latency-ms": 1_200, "max-attempts": 2, "priority": 0, "service": service, "public": true,
        })
    };
    let paths = [route("page", "safe", "front")];
    store.publish(&json!({
        "version": 1,
        "services": [{ "name": "front", "health-path": "/health" }],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 67_108_864, "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "hosts": [{ "host": "shop.example", "paths": paths }],
    }));
    let runs = Runs::default();
    let mut machines = Vec::new();
    for (index, service) in ["front"].into_iter().enumerate() {
        let machine =
            Machine::start(&folder, index as u8, service, MEMORY_MB, &store, &runs).await?;
        machines.push(machine);
    }
    if !wait_until_ready(&machines, &store).await {
        return Err(std::io::Error::other("the relays are not ready"));
    }
    let address = machines[0].callers;
    record.say("ready");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let crowd = match has_trouble() {
        true => stay(address, "crowd", CROWD, 65_536, 3),
        false => Vec::new(),
    };
    tokio::time::sleep(Duration::from_secs(8)).await;
    let outcomes = ordinary_calls(address, record).await;
    for client in crowd {
        client.abort();
    }
    for (index, machine) in machines.iter_mut().enumerate() {
        let is_running = machine.is_running();
        let memory = machine.memory_bytes();
        record.say(format!(
            "machine {index}: runs: {is_running}, memory (now, peak): {memory:?}"
        ));
        machine.kill();
    }
    Ok(judge(&outcomes, record))
}

/// Sends ordinary requests of all kinds for some time, like clients with one retry.
async fn ordinary_calls(address: SocketAddr, record: &Record) -> Vec<Outcome> {
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for kind in KINDS {
        let record = record.clone();
        let (outcomes, is_over) = (Arc::clone(&outcomes), Arc::clone(&is_over));
        clients.push(tokio::spawn(async move {
            let mut calls = Vec::new();
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                let record = record.clone();
                let outcomes = Arc::clone(&outcomes);
                calls.push(tokio::spawn(async move {
                    let outcome = ordinary_call(address, kind, number, &record).await;
                    outcomes.lock().expect("no panic").push(outcome);
                }));
                number += 1;
                tokio::time::sleep(PERIOD).await;
            }
            for call in calls {
                let _ = call.await;
            }
        }));
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.await;
    }
    std::mem::take(&mut *outcomes.lock().expect("no panic"))
}

async fn ordinary_call(address: SocketAddr, kind: Kind, number: usize, record: &Record) -> Outcome {
    let mut outcome = Outcome {
        kind: kind.name,
        is_served: false,
        is_unanswered: true,
    };
    for attempt in 0..2 {
        let id = format!("{}{number}a{attempt}", kind.name);
        record.add(format!("sent {id}"));
        let value = "c".repeat(kind.header_bytes);
        let cookie = Some(("Cookie", value.as_str()));
        let answer = call_with(address, "GET", "/page/20/400/x", &id, TIME_LIMIT, cookie).await;
        let first = answer.as_ref().map(|answer| answer.first.as_str());
        record.add(format!("answered {id} {first:?}"));
        outcome.is_served = is_served(answer.as_ref(), &id);
        outcome.is_unanswered &= answer.is_none();
        if outcome.is_served {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    outcome
}

fn judge(outcomes: &[Outcome], record: &Record) -> i32 {
    let part = |outcomes: &[&Outcome]| {
        let served = outcomes.iter().filter(|outcome| outcome.is_served).count();
        served as f64 / outcomes.len().max(1) as f64
    };
    let all = part(&outcomes.iter().collect::<Vec<_>>());
    let mut code = HELD;
    for kind in KINDS {
        let of_kind: Vec<_> = outcomes
            .iter()
            .filter(|outcome| outcome.kind == kind.name)
            .collect();
        let unanswered = of_kind
            .iter()
            .filter(|outcome| outcome.is_unanswered)
            .count();
        let served = part(&of_kind);
        record.say(format!(
            "{}: {} sent, {:.3} of them served, all requests {all:.3}; without any answer, also to the retry: {unanswered}",
            kind.name,
            of_kind.len(),
            served
        ));
        if served < all * STARVED {
            record.say(format!("{} is starved", kind.name));
            code = BROKEN;
        }
    }
    code
}
