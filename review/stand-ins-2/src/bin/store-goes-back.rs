//! A relay is stopped and started as planned. The store then returns from a copy that was made between. One tenant sends
//! as many requests as its burst allows while the store is away, and 120 more 4.85 s later.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;
use std::time::Instant;

use review_stand_ins_2::BROKEN;
use review_stand_ins_2::HELD;
use review_stand_ins_2::NOT_RUN;
use review_stand_ins_2::client::call_with;
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::machine::Machine;
use review_stand_ins_2::machine::wait_until_ready;
use review_stand_ins_2::record::Record;
use review_stand_ins_2::server::Runs;
use review_stand_ins_2::store::Store;
use rustix::process::Signal;
use serde_json::json;

const KEY: &str = "Token 6wsjnbanfqasnmgkcuyj";
const RATE: f64 = 8.0;
const BURST: usize = 160;
/// `quota-window-s`, `quota-over` and `quota-slack` of the site.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;
/// `grace-s` of the site.
const GRACE: Duration = Duration::from_secs(6);
/// How long the relay runs again before the store goes away, how much longer in each further round, and how long the
/// store is away.
const SETTLED: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(330);
const AWAY: Duration = Duration::from_millis(400);
/// How long before the return the first job is sent, and the time from it to the second one.
const LEAD: Duration = Duration::from_millis(150);
const BETWEEN: Duration = Duration::from_millis(4_850);
/// Requests of the two jobs: together seven times what the rate allows in 5 s (`hot_tenant` of the site: 7.5).
const JOBS: [usize; 2] = [BURST, 120];
const TIME_LIMIT: Duration = Duration::from_secs(5);
const ROUNDS: u32 = 3;

/// When a request was sent, by its id.
type Sent = std::sync::Arc<std::sync::Mutex<std::collections::HashMap<String, Instant>>>;

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
    store.count_eras();
    let route = json!({
        "name": "r-page", "prefix": "/page/", "kind": "safe", "timeout-ms": 5_000, "target-latency-ms": 1_200,
        "max-attempts": 2, "priority": 2, "service": "front", "public": false,
    });
    let configuration = json!({
        "version": 1, "services": [{ "name": "front", "health-path": "/health" }],
        "tenants": [{
            "name": "tenant-a", "api-keys": [KEY.trim_start_matches("Token ")], "priority": 1,
            "rate-per-s": RATE, "burst": BURST,
        }],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 67_108_864, "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "hosts": [{ "host": "shop.example", "paths": [route] }],
    });
    store.publish(&configuration);
    let runs = Runs::default();
    let sent = Sent::default();
    let mut machines = [Machine::start(&folder, 0, "front", 260, &store, &runs).await?];
    tokio::spawn(note_holders(store.clone(), record.clone()));
    for round in 0..ROUNDS {
        if !wait_until_ready(&machines, &store).await {
            return Err(std::io::Error::other("the relay is not ready"));
        }
        // The bucket fills up.
        tokio::time::sleep(Duration::from_secs_f64(BURST as f64 / RATE + 2.0)).await;
        stop(&mut machines, record).await;
        let copy = store.copy();
        let copied_at = Instant::now();
        for machine in &mut machines {
            machine.start_again()?;
        }
        if !wait_until_ready(&machines, &store).await {
            return Err(std::io::Error::other("the relay is not ready again"));
        }
        tokio::time::sleep(SETTLED + STEP * round).await;
        if has_trouble() {
            store.set_down(true);
        }
        tokio::time::sleep(AWAY - LEAD).await;
        let address = machines[0].callers;
        let began_at = tokio::time::Instant::now();
        let first = send_job(address, &format!("{round}a"), JOBS[0], &sent, record).await;
        tokio::time::sleep_until(began_at + LEAD).await;
        if has_trouble() {
            store.go_back(&copy, &configuration);
            store.set_down(false);
            record.say(format!(
                "the store is back from a copy of {:?} ago",
                copied_at.elapsed()
            ));
        }
        tokio::time::sleep_until(began_at + BETWEEN).await;
        let second = send_job(address, &format!("{round}b"), JOBS[1], &sent, record).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        for client in first.into_iter().chain(second) {
            let _ = client.await;
        }
    }
    for machine in &mut machines {
        machine.kill();
    }
    Ok(judge(&runs, &sent, record))
}

/// Notes each change of the record of the tenants' tokens.
async fn note_holders(store: Store, record: Record) {
    let mut last = Vec::new();
    loop {
        let values = store.values("rates/");
        if values != last {
            for (key, value) in &values {
                record.add(format!("stored {key} {value}"));
            }
            last = values;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Stops the relay as planned.
async fn stop(machines: &mut [Machine], record: &Record) {
    for machine in machines.iter() {
        machine.signal(Signal::TERM);
    }
    let stopped_at = Instant::now();
    while machines.iter_mut().any(Machine::is_running) && stopped_at.elapsed() < GRACE {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for machine in machines {
        machine.kill();
    }
    record.add(format!("stopped within {:?}", stopped_at.elapsed()));
}

async fn send_job(
    address: SocketAddr,
    name: &str,
    count: usize,
    sent: &Sent,
    record: &Record,
) -> Vec<tokio::task::JoinHandle<()>> {
    let send = |number: usize| {
        let id = format!("{name}{number:04}");
        let (sent, record) = (Sent::clone(sent), record.clone());
        tokio::spawn(async move {
            sent.lock()
                .expect("no panic")
                .insert(id.clone(), Instant::now());
            record.add(format!("sent {id}"));
            let key = Some(("Authorization", KEY));
            let answer = call_with(address, "GET", "/page/5/400/x", &id, TIME_LIMIT, key).await;
            record.add(format!(
                "answered {id} {:?}",
                answer.map(|answer| answer.first)
            ));
        })
    };
    let mut clients = Vec::new();
    for number in 0..count {
        clients.push(send(number));
        // No more at once than the server has slots.
        if number % 8 == 7 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    clients
}

/// Counts the runs that were sent and arrived within the same window.
fn judge(runs: &Runs, sent: &Sent, record: &Record) -> i32 {
    let sent = sent.lock().expect("no panic");
    let runs = runs.lock().expect("no panic");
    let mut spans: Vec<(Instant, Instant)> = Vec::new();
    for run in runs.iter() {
        record.add(format!("run {} tenant {:?}", run.id, run.tenant));
        if let Some(sent_at) = sent.get(&run.id) {
            spans.push((*sent_at, run.began_at));
        }
    }
    let within = |from: Instant| {
        let is_within = |(sent_at, began_at): &&(Instant, Instant)| {
            *sent_at >= from && *began_at <= from + WINDOW
        };
        spans.iter().filter(is_within).count()
    };
    let most = spans.iter().map(|(sent_at, _)| within(*sent_at)).max();
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST as f64) * (1.0 + OVER) + SLACK;
    record.say(format!(
        "{} runs; most in {WINDOW:?}: {most:?}, allowed: {allowed}",
        spans.len()
    ));
    match most {
        None => NOT_RUN,
        Some(most) if most as f64 <= allowed => HELD,
        Some(_) => BROKEN,
    }
}
