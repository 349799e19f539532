//! A slow server in need, whose relay is killed and starts again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Outcome;
use crate::Setup;
use crate::client::Call;
use crate::client::attempt;
use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::record::Record;
use crate::server::Behaviour;

const LIMIT: f64 = 1.0;
const LIMIT_TEXT: &str = "1.0";
const WINDOW_MS: u64 = 4_000;
const STABLE_MS: u64 = 3_000;

pub fn restart(setup: &Setup) -> Outcome {
    let record = &setup.record;
    let mut fleet = Fleet::new(&configuration("safe", true));
    let front = Behaviour::working(Duration::from_millis(10));
    for node in ["side-1", "side-2"] {
        fleet.add(setup, node, "front", front.clone())?;
    }
    let slow = Behaviour {
        limit: Some(LIMIT_TEXT),
        ..Behaviour::working(Duration::from_millis(700))
    };
    fleet.add(setup, "side-8", "orders", slow)?;
    std::thread::sleep(Duration::from_millis(1_500));
    let is_running = Arc::new(AtomicBool::new(true));
    for machine in 0..2 {
        let callers = fleet.machines[machine].relay.addresses.callers;
        send(callers, machine * 2, 20, 400, &is_running, record);
        send(callers, machine * 2 + 1, 1_000, 5_000, &is_running, record);
    }
    std::thread::sleep(Duration::from_secs(12));
    let killed_ms = record.now_ms();
    if setup.has_trouble {
        let relay = &mut fleet.machines[2].relay;
        record.line("the relay beside the server is killed");
        relay.kill();
        std::thread::sleep(Duration::from_millis(300));
        relay.start_again();
    }
    std::thread::sleep(Duration::from_secs(12));
    is_running.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(6));
    let runs = fleet.machines[2].server.runs.lock().unwrap();
    let named_ms = runs.first().map_or(0, |run| run.at_ms) + 700 + STABLE_MS;
    let times: Vec<u64> = runs
        .iter()
        .map(|run| run.at_ms)
        .filter(|at| *at > named_ms)
        .collect();
    let most = |from: u64, to: u64| {
        let windows = times.iter().filter(|start| **start >= from && **start < to);
        let counts = windows.map(|start| {
            times
                .iter()
                .filter(|at| **at >= *start && **at < *start + WINDOW_MS)
                .count()
        });
        counts.max().unwrap_or(0)
    };
    let before = most(0, killed_ms.saturating_sub(WINDOW_MS));
    let all = most(0, u64::MAX);
    let allowed = 1.5 * LIMIT * WINDOW_MS as f64 / 1e3 + 5.0;
    let text = format!(
        "most requests in 4 s: {all}, before: {before}, allowed: {allowed}; requests in all: {}",
        times.len()
    );
    record.line(&text);
    println!("{text}");
    Ok(all as f64 <= allowed)
}

fn send(
    callers: SocketAddr,
    number: usize,
    gap_ms: u64,
    limit_ms: u64,
    is_running: &Arc<AtomicBool>,
    record: &Record,
) {
    let (is_running, record) = (Arc::clone(is_running), record.clone());
    std::thread::spawn(move || {
        for request in 0u32.. {
            if !is_running.load(Ordering::SeqCst) {
                return;
            }
            let record = record.clone();
            std::thread::spawn(move || {
                let limit = Duration::from_millis(limit_ms);
                let call = Call {
                    method: "GET",
                    path: "/shop/7",
                    key: None,
                    limit,
                };
                attempt(
                    callers,
                    &format!("{number:04x}{request:012x}"),
                    &call,
                    limit,
                    &record,
                );
            });
            std::thread::sleep(Duration::from_millis(gap_ms));
        }
    });
}
