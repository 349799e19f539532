//! The store comes back from a copy, while a relay starts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Outcome;
use crate::Setup;
use crate::client::Call;
use crate::client::Ending;
use crate::client::attempt;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::OLD_KEY;
use crate::fleet::version_with_keys;
use crate::server::Behaviour;

/// `revoke-ms` of the site files.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time from the store's return to the kill of the relay.
const KILLED: Duration = Duration::from_millis(1_000);
/// Time from the kill until the operator has written again what the store has lost.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_500);

pub fn withdrawn_key(setup: &Setup) -> Outcome {
    let record = &setup.record;
    let mut fleet = Fleet::new(&version_with_keys(7, &[KEY, OLD_KEY]));
    for node in ["side-1", "side-2", "side-3"] {
        fleet.add(
            setup,
            node,
            "front",
            Behaviour::working(Duration::from_millis(10)),
        )?;
    }
    fleet.add(
        setup,
        "side-8",
        "orders",
        Behaviour::working(Duration::from_millis(20)),
    )?;
    std::thread::sleep(Duration::from_millis(6_000));
    let served = |key: &'static str, number: u32| {
        let callers = fleet.machines[1].relay.addresses.callers;
        let call = Call {
            method: "GET",
            path: "/shop/7",
            key: Some(key),
            limit: Duration::from_secs(2),
        };
        let id = format!("{:016x}", 0xcc00_0000_u32 + number);
        matches!(attempt(callers, &id, &call, call.limit, record), Ending::Answered(answer) if answer.status() == 200)
    };
    if !served(OLD_KEY, 1) || !served(KEY, 2) {
        return Err("a key did not work before".to_owned());
    }
    let copy = fleet.store.copy();
    std::thread::sleep(Duration::from_secs(1));
    fleet
        .store
        .write("op/config", &version_with_keys(8, &[KEY]));
    let acked_ms = record.now_ms();
    record.line("version 8, which takes a key away, is acknowledged");
    std::thread::sleep(REVOKE + Duration::from_millis(500));
    if served(OLD_KEY, 3) {
        return Err("the key works although no process was restarted".to_owned());
    }
    let is_running = Arc::new(AtomicBool::new(true));
    let runs: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let callers = fleet.machines[1].relay.addresses.callers;
    {
        let (record, is_running, runs) =
            (record.clone(), Arc::clone(&is_running), Arc::clone(&runs));
        std::thread::spawn(move || {
            for number in 0u32.. {
                if !is_running.load(Ordering::SeqCst) {
                    return;
                }
                let call = Call {
                    method: "GET",
                    path: "/shop/7",
                    key: Some(OLD_KEY),
                    limit: Duration::from_secs(2),
                };
                let id = format!("{:016x}", 0xdd00_0000_u32 + number);
                let at_ms = record.now_ms();
                attempt(callers, &id, &call, call.limit, &record);
                runs.lock().unwrap().push((id, at_ms));
                std::thread::sleep(Duration::from_millis(50));
            }
        });
    }
    if setup.has_trouble {
        record.line("the store is away");
        fleet.store.set_down(true);
        std::thread::sleep(AWAY);
        fleet.store.go_back_to(&copy);
        fleet.store.set_down(false);
        record.line("the store is back from its copy");
    }
    std::thread::sleep(KILLED);
    record.line("side-2 is killed and starts again");
    fleet.machines[1].relay.kill();
    fleet.machines[1].relay.start_again();
    std::thread::sleep(WRITTEN_AGAIN);
    if setup.has_trouble {
        fleet
            .store
            .write("op/config", &version_with_keys(8, &[KEY]));
        record.line("version 8 is written again");
    }
    std::thread::sleep(Duration::from_secs(5));
    is_running.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(1));
    let server_runs = fleet.machines[3].server.runs.lock().unwrap();
    let late_ms = acked_ms + REVOKE.as_millis() as u64;
    let sent = runs.lock().unwrap();
    let ran = sent.iter().filter(|(id, at_ms)| {
        *at_ms > late_ms && server_runs.iter().any(|run| run.request_id == *id)
    });
    let ran = ran.count();
    let text = format!(
        "requests with the withdrawn key, sent later than revoke-ms after the acknowledgement: {}, run: {ran}",
        sent.len()
    );
    record.line(&text);
    println!("{text}");
    Ok(ran == 0)
}
