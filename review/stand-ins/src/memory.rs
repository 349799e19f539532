//! Clients that send large bodies, within the limit that the configuration names.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Outcome;
use crate::Setup;
use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::http::Connection;
use crate::record::Record;
use crate::relay::kill;
use crate::relay::memory_mb;
use crate::server::Behaviour;

/// `memory-mb` of the site file's machines.
const MEMORY_MB: u64 = 260;
/// Below `max-body-bytes`, which is 67,108,864.
const LARGE_BYTES: usize = 60 * 1_024 * 1_024;
const SMALL_BYTES: usize = 32 * 1_024;
const UPLOADS: u32 = 8;
const CLIENTS: u32 = 8;
const WORK: Duration = Duration::from_millis(300);
/// What LOST allows.
const LOST_MAX: usize = 3;

pub fn large_bodies(setup: &Setup) -> Outcome {
    let mut fleet = Fleet::new(&configuration("safe", true));
    fleet.add(setup, "side-1", "front", Behaviour::working(WORK))?;
    for node in ["side-5", "side-6"] {
        fleet.add(setup, node, "orders", Behaviour::working(WORK))?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let record = &setup.record;
    let front = &fleet.machines[0].relay;
    let (callers, process) = (front.addresses.callers, front.process());
    let is_running = Arc::new(AtomicBool::new(true));
    let (peak_mb, is_killed) = watch_memory(process, &is_running, record);
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(AtomicU64::new(0));
    for client in 0..CLIENTS {
        let (unanswered, answered) = (Arc::clone(&unanswered), Arc::clone(&answered));
        let (record, is_running) = (record.clone(), Arc::clone(&is_running));
        std::thread::spawn(move || {
            if let Some(id) = send_in_turn(callers, client, &is_running, &answered, &record) {
                unanswered.lock().unwrap().push(id);
            }
        });
    }
    std::thread::sleep(Duration::from_secs(4));
    let bytes = if setup.has_trouble {
        LARGE_BYTES
    } else {
        SMALL_BYTES
    };
    for number in 0..UPLOADS {
        let record = record.clone();
        std::thread::spawn(move || upload(callers, number, bytes, &record));
    }
    std::thread::sleep(Duration::from_secs(8));
    is_running.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(2));
    let unanswered = unanswered.lock().unwrap();
    let ran = |id: &&String| {
        fleet.machines.iter().any(|machine| {
            let runs = machine.server.runs.lock().unwrap();
            runs.iter().any(|run| run.request_id == **id)
        })
    };
    let lost = unanswered.iter().filter(ran).count();
    let text = format!(
        "answered on kept connections: {}; peak memory {} MB, allowed {MEMORY_MB}; killed: {}; passed on and closed without an answer: {lost}, allowed {LOST_MAX}",
        answered.load(Ordering::SeqCst),
        peak_mb.load(Ordering::SeqCst),
        is_killed.load(Ordering::SeqCst),
    );
    record.line(&text);
    println!("{text}");
    if answered.load(Ordering::SeqCst) < 50 {
        return Err("too few requests were answered before".to_owned());
    }
    Ok(lost <= LOST_MAX)
}

/// Stands in for the platform, which kills a process that exceeds its memory.
fn watch_memory(
    process: u32,
    is_running: &Arc<AtomicBool>,
    record: &Record,
) -> (Arc<AtomicU64>, Arc<AtomicBool>) {
    let (peak_mb, is_killed) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let (peak, killed) = (Arc::clone(&peak_mb), Arc::clone(&is_killed));
    let (is_running, record) = (Arc::clone(is_running), record.clone());
    std::thread::spawn(move || {
        while is_running.load(Ordering::SeqCst) {
            let Some(now_mb) = memory_mb(process) else {
                return;
            };
            peak.fetch_max(now_mb, Ordering::SeqCst);
            if now_mb > MEMORY_MB {
                record.line(&format!("the relay has {now_mb} MB and is killed"));
                kill(process);
                killed.store(true, Ordering::SeqCst);
                return;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    (peak_mb, is_killed)
}

/// Sends one request after another on one connection. Returns the id of one without an answer.
fn send_in_turn(
    callers: SocketAddr,
    client: u32,
    is_running: &AtomicBool,
    answered: &AtomicU64,
    record: &Record,
) -> Option<String> {
    let mut connection = Connection::new(TcpStream::connect(callers).ok()?);
    for number in 0u32.. {
        if !is_running.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{client:08x}{number:08x}");
        let text = format!(
            "GET /shop/{client} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 5000\r\n\r\n"
        );
        record.line(&format!("sent {id}"));
        if connection.stream.write_all(text.as_bytes()).is_err() {
            return None;
        }
        match connection.read() {
            Ok(answer) => {
                record.line(&format!("answered {id} {}", answer.status()));
                answered.fetch_add(1, Ordering::SeqCst);
            }
            Err(error) => {
                record.line(&format!("closed without an answer: {id} ({error})"));
                return Some(id);
            }
        }
    }
    None
}

fn upload(callers: SocketAddr, number: u32, bytes: usize, record: &Record) -> Option<()> {
    let id = format!("{:016x}", 0xaa00_0000_u32 + number);
    let mut connection = Connection::new(TcpStream::connect(callers).ok()?);
    record.line(&format!("sent {id} with a body of {bytes} bytes"));
    let text = format!(
        "POST /shop/plan HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 5000\r\nContent-Length: {bytes}\r\n\r\n"
    );
    let sent = connection.stream.write_all(text.as_bytes());
    let sent = sent.and_then(|()| connection.stream.write_all(&vec![b'x'; bytes]));
    let answer = sent.and_then(|()| connection.read());
    let text = match answer {
        Ok(answer) => format!("answered {id} {}", answer.status()),
        Err(error) => format!("closed without an answer: {id} ({error})"),
    };
    record.line(&text);
    Some(())
}
