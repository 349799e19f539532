//! Connections between machines that go silent for good, while new ones work (DEPLOY.md, "How these
//! days are played").

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Outcome;
use crate::Setup;
use crate::client::Call;
use crate::client::request;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::configuration;
use crate::record::Record;
use crate::server::Behaviour;

/// `recover-s` of the site files.
const RECOVER: Duration = Duration::from_secs(15);
/// `stable-ms` of the site files: after it, the machines are back in touch.
const STABLE: Duration = Duration::from_secs(3);
const BEFORE: Duration = Duration::from_secs(8);
const AFTER: Duration = Duration::from_secs(30);
/// Time between two requests of a machine's clients.
const GAP: Duration = Duration::from_millis(200);

/// A request of a client, with its retry if there was one.
struct Sent {
    at_ms: u64,
    is_served: bool,
}

/// Sends a request to each machine every `gap`, whether or not earlier ones were answered.
fn clients(
    callers: &[SocketAddr],
    call: &'static Call<'static>,
    gap: Duration,
    record: &Record,
) -> (Arc<AtomicBool>, Arc<Mutex<Vec<Sent>>>) {
    let is_running = Arc::new(AtomicBool::new(true));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    for (machine, address) in callers.iter().enumerate() {
        let (is_running, sent) = (Arc::clone(&is_running), Arc::clone(&sent));
        let (address, record) = (*address, record.clone());
        std::thread::spawn(move || {
            let mut number = 0u32;
            while is_running.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("{machine:02x}{number:012x}");
                let (sent, record) = (Arc::clone(&sent), record.clone());
                std::thread::spawn(move || {
                    let at_ms = record.now_ms();
                    let is_served = request(address, &id, call, &record);
                    sent.lock().unwrap().push(Sent { at_ms, is_served });
                });
                std::thread::sleep(gap);
            }
        });
    }
    (is_running, sent)
}

fn share(sent: &[Sent], from_ms: u64, to_ms: u64) -> (usize, usize) {
    let in_span = |one: &&Sent| one.at_ms >= from_ms && one.at_ms < to_ms;
    let all = sent.iter().filter(in_span).count();
    let served = sent.iter().filter(in_span).filter(|one| one.is_served);
    (served.count(), all)
}

/// Plays clients before and after the silence, and judges RECOVER.
fn play(
    setup: &Setup,
    fleet: &Fleet,
    callers: &[SocketAddr],
    call: &'static Call<'static>,
) -> Outcome {
    let record = &setup.record;
    let (is_running, sent) = clients(callers, call, GAP, record);
    std::thread::sleep(BEFORE);
    let silenced_ms = record.now_ms();
    let mut opened = BTreeMap::new();
    for (node, proxy) in &fleet.proxies {
        let open = match setup.has_trouble {
            true => proxy.silence(),
            false => proxy.opened(),
        };
        opened.insert(node.clone(), open);
        let what = if setup.has_trouble {
            "go silent"
        } else {
            "stay"
        };
        record.line(&format!("the {open} connections to {node} {what}"));
    }
    std::thread::sleep(STABLE + RECOVER + AFTER);
    let end_ms = record.now_ms() - 6_000;
    for (node, proxy) in &fleet.proxies {
        let later = proxy.opened() - opened[node];
        record.line(&format!("{later} connections to {node} were opened since"));
    }
    is_running.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(6_200));
    let sent = sent.lock().unwrap();
    let back_ms = silenced_ms + (STABLE + RECOVER).as_millis() as u64;
    let before = share(&sent, 0, silenced_ms);
    let after = share(&sent, back_ms, end_ms);
    let runs: usize = fleet
        .machines
        .iter()
        .map(|machine| machine.server.runs.lock().unwrap().len())
        .sum();
    let text = format!(
        "served before: {} of {}; served later than stable-ms + recover-s after: {} of {}; runs in all: {runs}",
        before.0, before.1, after.0, after.1
    );
    record.line(&text);
    println!("{text}");
    if before.1 < 50 || before.0 * 4 < before.1 || after.1 < 10 {
        return Err(
            "the traffic before the disruption was not served, or is too little".to_owned(),
        );
    }
    Ok(after.0 * 4 >= after.1)
}

fn working(ms: u64) -> Behaviour {
    Behaviour::working(Duration::from_millis(ms))
}

/// Requests with a key need tokens of the zone's holder. The connections to the holder go silent.
pub fn tokens(setup: &Setup) -> Outcome {
    static CALL: Call = Call {
        method: "GET",
        path: "/shop/7",
        key: Some(KEY),
        limit: Duration::from_millis(5_000),
    };
    let mut fleet = Fleet::new(&configuration("safe", false));
    // Alone at first, so that it becomes the holder.
    fleet.add(setup, "side-1", "front", working(10))?;
    std::thread::sleep(Duration::from_millis(3_000));
    if fleet.store.value("rates/centro").is_none() {
        return Err("there is no holder".to_owned());
    }
    for node in ["side-8", "side-9"] {
        fleet.add(setup, node, "orders", working(30))?;
    }
    fleet.wire("side-1");
    for node in ["side-2", "side-3", "side-4", "side-5", "side-6"] {
        fleet.add(setup, node, "front", working(10))?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let fronts = fleet
        .machines
        .iter()
        .filter(|machine| machine.server.service == "front");
    let callers: Vec<SocketAddr> = fronts
        .map(|machine| machine.relay.addresses.callers)
        .collect();
    let holder = fleet.store.value("rates/centro").unwrap_or_default();
    setup.record.line(&format!("holder record: {holder}"));
    play(setup, &fleet, &callers, &CALL)
}

/// Orders are not idempotent. The connections to the nodes of the service go silent.
pub fn orders(setup: &Setup) -> Outcome {
    static CALL: Call = Call {
        method: "POST",
        path: "/shop/order",
        key: None,
        limit: Duration::from_millis(5_000),
    };
    let mut fleet = Fleet::new(&configuration("unsafe", true));
    fleet.add(setup, "side-1", "front", working(10))?;
    for node in ["side-8", "side-9"] {
        fleet.add(setup, node, "orders", working(30))?;
    }
    for node in ["side-8", "side-9"] {
        fleet.wire(node);
    }
    for node in ["side-2", "side-3", "side-4"] {
        fleet.add(setup, node, "front", working(10))?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let fronts = fleet
        .machines
        .iter()
        .filter(|machine| machine.server.service == "front" && machine.relay.node != "side-1");
    let callers: Vec<SocketAddr> = fronts
        .map(|machine| machine.relay.addresses.callers)
        .collect();
    play(setup, &fleet, &callers, &CALL)
}
