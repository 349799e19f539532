//! All machines are stopped as planned at the same moment, under load.

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
use crate::client::get;
use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::server::Behaviour;

const GRACE: Duration = Duration::from_secs(6);

pub fn all(setup: &Setup, without_store: bool) -> Outcome {
    let record = &setup.record;
    let mut fleet = Fleet::new(&configuration("unsafe", true));
    for node in ["side-1", "side-2", "side-3"] {
        fleet.add(
            setup,
            node,
            "front",
            Behaviour::working(Duration::from_millis(10)),
        )?;
    }
    for node in ["side-6", "side-7", "side-8"] {
        fleet.add(
            setup,
            node,
            "orders",
            Behaviour::working(Duration::from_millis(600)),
        )?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let is_running = Arc::new(AtomicBool::new(true));
    let lost: Arc<Mutex<Vec<(u64, String, Duration)>>> = Arc::default();
    let answered = Arc::new(Mutex::new(0u32));
    for machine in 0..6 {
        let addresses = &fleet.machines[machine].relay.addresses;
        let (callers, ready) = (addresses.callers, addresses.ready);
        let is_in = Arc::new(AtomicBool::new(true));
        let (known, running) = (Arc::clone(&is_in), Arc::clone(&is_running));
        std::thread::spawn(move || {
            let mut misses = 0;
            while running.load(Ordering::SeqCst) {
                misses = if get(ready, "/api/ready") == Some(200) {
                    0
                } else {
                    misses + 1
                };
                known.store(misses < 2, Ordering::SeqCst);
                std::thread::sleep(Duration::from_secs(1));
            }
        });
        let (record, lost, answered) = (record.clone(), Arc::clone(&lost), Arc::clone(&answered));
        let running = Arc::clone(&is_running);
        std::thread::spawn(move || {
            for number in 0u32.. {
                if !running.load(Ordering::SeqCst) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(20));
                if !is_in.load(Ordering::SeqCst) {
                    continue;
                }
                let (record, lost, answered) =
                    (record.clone(), Arc::clone(&lost), Arc::clone(&answered));
                std::thread::spawn(move || {
                    let call = Call {
                        method: "POST",
                        path: "/shop/order",
                        key: None,
                        limit: Duration::from_secs(5),
                    };
                    let id = format!("{machine:04x}{number:012x}");
                    let at_ms = record.now_ms();
                    match attempt(callers, &id, &call, call.limit, &record) {
                        Ending::Closed(after) => lost.lock().unwrap().push((at_ms, id, after)),
                        Ending::Answered(answer) if answer.status() == 200 => {
                            *answered.lock().unwrap() += 1;
                        }
                        _ => {}
                    }
                });
            }
        });
    }
    std::thread::sleep(Duration::from_secs(5));
    if without_store {
        record.line("the store goes down");
        fleet.store.set_down(true);
        std::thread::sleep(Duration::from_secs(1));
    }
    if setup.has_trouble {
        record.line("all relays get SIGTERM");
        std::thread::scope(|scope| {
            for machine in &mut fleet.machines {
                scope.spawn(|| machine.relay.stop(GRACE));
            }
        });
        record.line("all have ended");
    }
    std::thread::sleep(Duration::from_secs(2));
    is_running.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(6));
    let lost = lost.lock().unwrap();
    let cut = lost
        .iter()
        .filter(|(_, _, after)| *after > Duration::from_millis(200));
    let ran = |id: &str| {
        fleet.machines.iter().any(|machine| {
            let runs = machine.server.runs.lock().unwrap();
            runs.iter().any(|run| run.request_id == id)
        })
    };
    let passed_on = lost.iter().filter(|(_, id, _)| ran(id)).count();
    let (closed, cut) = (lost.len(), cut.count());
    let text = format!(
        "answered 200: {}; closed without an answer: {closed}, later than loss-slack-ms: {cut}, passed on: {passed_on}",
        answered.lock().unwrap()
    );
    record.line(&text);
    println!("{text}");
    Ok(cut == 0 && passed_on == 0)
}
