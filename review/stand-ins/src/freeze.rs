//! Relays stand still for a while (SIGSTOP) while orders run.

use std::collections::HashMap;
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
use crate::fleet::configuration;
use crate::server::Behaviour;

const FREEZES_MS: [u64; 4] = [1_000, 3_000, 8_000, 20_000];

pub fn relays(setup: &Setup) -> Outcome {
    let record = &setup.record;
    let mut fleet = Fleet::new(&configuration("unsafe", true));
    for node in ["side-1", "side-2"] {
        fleet.add(
            setup,
            node,
            "front",
            Behaviour::working(Duration::from_millis(10)),
        )?;
    }
    for node in ["side-8", "side-9"] {
        let orders = Behaviour {
            drops_closed: false,
            ..Behaviour::working(Duration::from_millis(400))
        };
        fleet.add(setup, node, "orders", orders)?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let is_running = Arc::new(AtomicBool::new(true));
    let statuses: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    for machine in 0..2 {
        let callers = fleet.machines[machine].relay.addresses.callers;
        let (record, statuses) = (record.clone(), Arc::clone(&statuses));
        let is_running = Arc::clone(&is_running);
        std::thread::spawn(move || {
            for number in 0u32.. {
                if !is_running.load(Ordering::SeqCst) {
                    return;
                }
                let (record, statuses) = (record.clone(), Arc::clone(&statuses));
                std::thread::spawn(move || {
                    let call = Call {
                        method: "POST",
                        path: "/shop/order",
                        key: None,
                        limit: Duration::from_secs(5),
                    };
                    let id = format!("{machine:04x}{number:012x}");
                    let status = match attempt(callers, &id, &call, call.limit, &record) {
                        Ending::Answered(answer) => answer.status(),
                        _ => 0,
                    };
                    statuses.lock().unwrap().insert(id, status);
                });
                std::thread::sleep(Duration::from_millis(40));
            }
        });
    }
    std::thread::sleep(Duration::from_secs(3));
    for (round, freeze_ms) in FREEZES_MS.iter().enumerate() {
        if setup.has_trouble {
            // By turns a machine with clients and one with a server.
            let relay = &fleet.machines[[2, 0, 3, 2][round]].relay;
            record.line(&format!("{} stands still for {freeze_ms} ms", relay.node));
            relay.signal("STOP");
            std::thread::sleep(Duration::from_millis(*freeze_ms));
            relay.signal("CONT");
        }
        std::thread::sleep(Duration::from_secs(6));
    }
    is_running.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(6));
    let mut runs: HashMap<String, usize> = HashMap::new();
    for machine in &fleet.machines {
        for run in machine.server.runs.lock().unwrap().iter() {
            *runs.entry(run.request_id.clone()).or_default() += 1;
        }
    }
    let statuses = statuses.lock().unwrap();
    let twice = runs.values().filter(|count| **count > 1).count();
    let refused = statuses
        .iter()
        .filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && runs.contains_key(*id));
    let refused = refused.count();
    let served = statuses.values().filter(|status| **status == 200).count();
    let text = format!(
        "orders {}, served {served}, run twice {twice}, refused although they ran {refused}",
        statuses.len()
    );
    record.line(&text);
    println!("{text}");
    Ok(twice == 0 && refused == 0)
}
