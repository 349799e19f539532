//! A crowd of clients whose chunked bodies mostly stop just short of their end, at one relay. The platform kills
//! a process that holds more than the memory of its machine.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use review_stand_ins_2::BROKEN;
use review_stand_ins_2::HELD;
use review_stand_ins_2::NOT_RUN;
use review_stand_ins_2::client::is_served;
use review_stand_ins_2::crowd::send_chunks;
use review_stand_ins_2::crowd::stay;
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::http::Connection;
use review_stand_ins_2::http::message;
use review_stand_ins_2::machine::Machine;
use review_stand_ins_2::machine::wait_until_ready;
use review_stand_ins_2::record::Record;
use review_stand_ins_2::server::Runs;
use review_stand_ins_2::store::Store;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Memory of the machine, as `memory_mb` of the site.
const MEMORY_MB: u32 = 160;
const MEMORY_BYTES: usize = MEMORY_MB as usize * 1_024 * 1_024;
/// Clients whose bodies stop just short of their end, and end when told.
const FINISHERS: usize = 300;
/// Clients whose bodies stop just short of their end and stay.
const STAYING: usize = 300;
/// More of them, which come once the first bodies have ended.
const COMING: usize = 750;
/// Ordinary clients of the machine.
const ORDINARY: usize = 8;
/// Time until one whose connection was closed opens another.
const RETURN_DELAY: Duration = Duration::from_millis(100);
/// Requests that the rule lets be closed without an answer.
const LOST_MAX: usize = 3;
/// Clients with large bodies that stop just short of their end and stay.
const LARGE: usize = 16;

/// How often the process was killed for its memory, and the most that it held.
static KILLS: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);
/// Requests of ordinary clients: all, those served, and those that were passed on to the server and whose connections
/// were closed without an answer.
static SENT: AtomicUsize = AtomicUsize::new(0);
static SERVED: AtomicUsize = AtomicUsize::new(0);
static LOST: AtomicUsize = AtomicUsize::new(0);

/// Starts clients that end their bodies when told, and read the answer.
fn finish(
    address: SocketAddr,
    told: &watch::Receiver<bool>,
    record: &Record,
) -> Vec<JoinHandle<()>> {
    let clients = (0..FINISHERS).map(|number| {
        let (mut told, record) = (told.clone(), record.clone());
        tokio::spawn(async move {
            // They come one after another.
            tokio::time::sleep(Duration::from_millis(8) * number as u32).await;
            let id = format!("finisher{number}");
            if let Ok(mut stream) = send_chunks(address, &id, 6_000, 9).await {
                let _ = told.wait_for(|told| *told).await;
                let _ = stream.write_all(b"\r\n").await;
                record.add(format!("{id} has ended its body"));
                let answer = Connection::new(stream).read().await;
                let answer = answer.map(|answer| answer.map(|answer| answer.first));
                record.add(format!("answered {id} {answer:?}"));
            }
        })
    });
    clients.collect()
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
    let route = json!({
        "name": "r-note", "prefix": "/note/", "kind": "unsafe", "timeout-ms": 60_000, "target-latency-ms": 1_200,
        "max-attempts": 2, "priority": 0, "service": "front", "public": true,
    });
    store.publish(&json!({
        "version": 1, "services": [{ "name": "front", "health-path": "/health" }],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 67_108_864, "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "hosts": [{ "host": "shop.example", "paths": [route] }],
    }));
    let runs = Runs::default();
    let machine = Machine::start(&folder, 0, "front", MEMORY_MB, &store, &runs).await?;
    let address = machine.callers;
    let machines = [machine];
    if !wait_until_ready(&machines, &store).await {
        return Err(std::io::Error::other("the relay is not ready"));
    }
    let [machine] = machines;
    let machine = Arc::new(Mutex::new(machine));
    let killed = platform(&machine, record);
    let ordinary = ordinary_clients(address, &runs, record);
    record.say("ready");
    let (tell, told) = watch::channel(false);
    let mut crowd = Vec::new();
    if has_trouble() {
        crowd.extend(finish(address, &told, record));
        tokio::time::sleep(Duration::from_secs(4)).await;
        crowd.extend(stay(address, "staying", STAYING, 6_000, 8));
        tokio::time::sleep(Duration::from_secs(4)).await;
        say_memory(record, &machine, "before the first bodies end");
        let _ = tell.send(true);
        tokio::time::sleep(Duration::from_millis(100)).await;
        crowd.extend(stay(address, "coming", COMING, 7_200, 8));
        tokio::time::sleep(Duration::from_secs(2)).await;
        say_memory(record, &machine, "after more have come");
        crowd.extend(stay(address, "large", LARGE, 32_768, 128));
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    say_memory(record, &machine, "at the end");
    for client in crowd {
        client.abort();
    }
    for client in ordinary {
        client.abort();
    }
    killed.abort();
    let _ = killed.await;
    machine.lock().expect("no panic").kill();
    let [sent, served, lost] = [&SENT, &SERVED, &LOST].map(|count| count.load(Ordering::Relaxed));
    record.say(format!(
        "ordinary requests: {sent} sent, {served} served, {lost} passed on and closed without an answer"
    ));
    record.say(format!(
        "runs of the server: {}",
        runs.lock().expect("no panic").len()
    ));
    let kills = KILLS.load(Ordering::Relaxed);
    let peak = PEAK.load(Ordering::Relaxed);
    record.say(format!(
        "peak of memory: {peak} of {MEMORY_BYTES} bytes; killed for it {kills} times"
    ));
    Ok(match (served, lost) {
        (0, _) => NOT_RUN,
        (_, ..=LOST_MAX) => HELD,
        _ => BROKEN,
    })
}

fn say_memory(record: &Record, machine: &Mutex<Machine>, when: &str) {
    let held = machine.lock().expect("no panic").memory_bytes();
    record.say(format!("memory (now, peak) {when}: {held:?}"));
}

/// Kills the process once it holds more than the memory of the machine, and starts it again.
fn platform(machine: &Arc<Mutex<Machine>>, record: &Record) -> JoinHandle<()> {
    let (machine, record) = (Arc::clone(machine), record.clone());
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let mut machine = machine.lock().expect("no panic");
            let Some((now, _)) = machine.memory_bytes() else {
                continue;
            };
            PEAK.fetch_max(now, Ordering::Relaxed);
            if now > MEMORY_BYTES {
                KILLS.fetch_add(1, Ordering::Relaxed);
                record.say(format!(
                    "the process holds {now} of {MEMORY_BYTES} bytes: killed"
                ));
                machine.kill();
                if let Err(error) = machine.start_again() {
                    record.say(format!("not started again: {error}"));
                }
            }
        }
    })
}

/// Starts ordinary clients, each with one request after the other on a kept connection.
fn ordinary_clients(address: SocketAddr, runs: &Runs, record: &Record) -> Vec<JoinHandle<()>> {
    let clients = (0..ORDINARY).map(|client| {
        let (runs, record) = (Arc::clone(runs), record.clone());
        tokio::spawn(async move {
            let mut kept: Option<Connection> = None;
            for number in 0.. {
                let id = format!("client{client}n{number}");
                let mut connection = match kept.take() {
                    Some(connection) => connection,
                    None => match TcpStream::connect(address).await {
                        Ok(stream) => Connection::new(stream),
                        Err(_) => {
                            tokio::time::sleep(RETURN_DELAY).await;
                            continue;
                        }
                    },
                };
                record.add(format!("sent {id}"));
                SENT.fetch_add(1, Ordering::Relaxed);
                let headers = [
                    ("Host", "shop.example"),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", "5000"),
                ];
                let request = message("POST /note/250/400/y HTTP/1.1", &headers, b"");
                let answer = match connection.write(&request).await {
                    Ok(()) => connection.read().await.ok().flatten(),
                    Err(_) => None,
                };
                let first = answer.as_ref().map(|answer| answer.first.clone());
                let has_begun = runs
                    .lock()
                    .expect("no panic")
                    .iter()
                    .any(|run| run.id == id);
                record.add(format!("answered {id} {first:?}, passed on: {has_begun}"));
                SERVED.fetch_add(
                    usize::from(is_served(answer.as_ref(), &id)),
                    Ordering::Relaxed,
                );
                if !is_served(answer.as_ref(), &id) {
                    tokio::time::sleep(RETURN_DELAY).await;
                }
                match answer {
                    Some(answer) if answer.header("connection") != Some("close") => {
                        kept = Some(connection)
                    }
                    Some(_) => {}
                    None => {
                        LOST.fetch_add(usize::from(has_begun), Ordering::Relaxed);
                    }
                }
            }
        })
    });
    clients.collect()
}
