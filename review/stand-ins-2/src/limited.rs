//! A machine whose process the platform kills once it holds more than the memory of the machine, and the ordinary clients
//! of that machine.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::BROKEN;
use crate::HELD;
use crate::NOT_RUN;
use crate::client::is_served;
use crate::http::Connection;
use crate::http::message;
use crate::machine::Machine;
use crate::machine::wait_until_ready;
use crate::record::Record;
use crate::server::Runs;
use crate::store::Store;

/// Memory of the machine, as `memory_mb` of the site.
const MEMORY_MB: u32 = 160;
const MEMORY_BYTES: usize = MEMORY_MB as usize * 1_024 * 1_024;
/// Ordinary clients of the machine.
const ORDINARY: usize = 8;
/// Time until one whose connection was closed opens another.
const RETURN_DELAY: Duration = Duration::from_millis(100);
/// Requests that the rule lets be closed without an answer.
const LOST_MAX: usize = 3;

/// How often the process was killed for its memory, and the most that it held.
static KILLS: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);
/// Requests of ordinary clients: all, those served, and those that were passed on to the server and whose kept connections
/// were closed without an answer.
static SENT: AtomicUsize = AtomicUsize::new(0);
static SERVED: AtomicUsize = AtomicUsize::new(0);
static LOST: AtomicUsize = AtomicUsize::new(0);

/// The machine with its clients, until the case ends.
pub struct LimitedMachine {
    pub callers: SocketAddr,
    record: Record,
    runs: Runs,
    machine: Arc<Mutex<Machine>>,
    tasks: Vec<JoinHandle<()>>,
    _store: Store,
}

impl LimitedMachine {
    /// Starts the machine, and the ordinary clients once it is ready.
    pub async fn start(folder: &Path, record: &Record) -> std::io::Result<Self> {
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
        let machine = Machine::start(folder, 0, "front", MEMORY_MB, &store, &runs).await?;
        let address = machine.callers;
        let machines = [machine];
        if !wait_until_ready(&machines, &store).await {
            return Err(std::io::Error::other("the relay is not ready"));
        }
        let [machine] = machines;
        let machine = Arc::new(Mutex::new(machine));
        let mut tasks = ordinary_clients(address, &runs, record);
        tasks.push(platform(&machine, record));
        record.say("ready");
        Ok(Self {
            callers: address,
            record: record.clone(),
            runs,
            machine,
            tasks,
            _store: store,
        })
    }

    /// Records the memory that the process holds now, and its peak.
    pub fn say_memory(&self, when: &str) {
        let held = self.machine.lock().expect("no panic").memory_bytes();
        self.record
            .say(format!("memory (now, peak) {when}: {held:?}"));
    }

    /// Ends the machine and its clients. Returns the exit code of the case.
    pub async fn end(self) -> i32 {
        for task in &self.tasks {
            task.abort();
        }
        for task in self.tasks {
            let _ = task.await;
        }
        self.machine.lock().expect("no panic").kill();
        let [sent, served, lost] =
            [&SENT, &SERVED, &LOST].map(|count| count.load(Ordering::Relaxed));
        self.record.say(format!(
            "ordinary requests: {sent} sent, {served} served, {lost} passed on from kept connections and closed without an \
             answer"
        ));
        self.record.say(format!(
            "runs of the server: {}",
            self.runs.lock().expect("no panic").len()
        ));
        let kills = KILLS.load(Ordering::Relaxed);
        let peak = PEAK.load(Ordering::Relaxed);
        self.record.say(format!(
            "peak of memory: {peak} of {MEMORY_BYTES} bytes; killed for it {kills} times"
        ));
        match (served, lost) {
            (0, _) => NOT_RUN,
            (_, ..=LOST_MAX) => HELD,
            _ => BROKEN,
        }
    }
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
                let is_kept = kept.is_some();
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
                record.add(format!(
                    "answered {id} {first:?}, passed on: {has_begun}, on a kept connection: {is_kept}"
                ));
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
                        LOST.fetch_add(usize::from(has_begun && is_kept), Ordering::Relaxed);
                    }
                }
            }
        })
    });
    clients.collect()
}
