//! Connections between machines that go silent for good, while new ones work (DEPLOY.md, "How these
//! days are played").

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Outcome;
use crate::Setup;
use crate::client::Call;
use crate::client::Ending;
use crate::client::get;
use crate::client::request;
use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::fleet::configuration;
use crate::json::Json;
use crate::record::Record;
use crate::server::Behaviour;

/// `recover-s` of the site files.
const RECOVER: Duration = Duration::from_secs(15);
/// `stable-ms` of the site files: after it, the machines are back in touch.
const STABLE: Duration = Duration::from_secs(3);
/// `grace-s` of the site files.
const GRACE: Duration = Duration::from_secs(6);
/// `loss-slack-ms` of the site files.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time between two requests of a machine's clients.
const GAP: Duration = Duration::from_millis(200);

/// A request of a client, with its retry if there was one.
struct Sent {
    machine: usize,
    at_ms: u64,
    is_served: bool,
    endings: Vec<(u64, Ending)>,
}

/// The clients of some machines.
struct Clients {
    is_running: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Clients {
    /// Sends a request to each machine every `GAP`, whether or not earlier ones were answered. A
    /// machine that has twice not said that it is ready gets none until it says so.
    fn start(
        machines: &[(SocketAddr, SocketAddr)],
        call: &'static Call<'static>,
        record: &Record,
    ) -> Self {
        let clients = Self {
            is_running: Arc::new(AtomicBool::new(true)),
            sent: Arc::default(),
        };
        for (machine, (callers, ready)) in machines.iter().enumerate() {
            let is_in = clients.ask_whether_ready(*ready);
            let is_running = Arc::clone(&clients.is_running);
            let sent = Arc::clone(&clients.sent);
            let (callers, record) = (*callers, record.clone());
            std::thread::spawn(move || {
                let mut number = 0u32;
                while is_running.load(Ordering::SeqCst) {
                    std::thread::sleep(GAP);
                    if !is_in.load(Ordering::SeqCst) {
                        continue;
                    }
                    number += 1;
                    let id = format!("{machine:02x}{number:012x}");
                    let (sent, record) = (Arc::clone(&sent), record.clone());
                    std::thread::spawn(move || {
                        let at_ms = record.now_ms();
                        let (is_served, endings) = request(callers, &id, call, &record);
                        sent.lock().unwrap().push(Sent {
                            machine,
                            at_ms,
                            is_served,
                            endings,
                        });
                    });
                }
            });
        }
        clients
    }

    /// Asks each second, as the platform does.
    fn ask_whether_ready(&self, ready: SocketAddr) -> Arc<AtomicBool> {
        let is_in = Arc::new(AtomicBool::new(true));
        let (known, is_running) = (Arc::clone(&is_in), Arc::clone(&self.is_running));
        std::thread::spawn(move || {
            let mut misses = 0;
            while is_running.load(Ordering::SeqCst) {
                misses = match get(ready, "/api/ready") {
                    Some(200) => 0,
                    _ => misses + 1,
                };
                known.store(misses < 2, Ordering::SeqCst);
                std::thread::sleep(Duration::from_secs(1));
            }
        });
        is_in
    }

    /// Returns how many requests were sent in a time, and how many of them were served.
    fn share(&self, from_ms: u64, to_ms: u64) -> (usize, usize) {
        let sent = self.sent.lock().unwrap();
        let in_span = |one: &&Sent| one.at_ms >= from_ms && one.at_ms < to_ms;
        let all = sent.iter().filter(in_span).count();
        let served = sent.iter().filter(in_span).filter(|one| one.is_served);
        (served.count(), all)
    }

    /// Returns how many requests, sent to a machine between its SIGTERM and a second after
    /// `grace-s`, lost their connection without an answer later than `loss-slack-ms`.
    fn lost(&self, machine: usize, stopped_ms: u64) -> usize {
        let until_ms = stopped_ms + GRACE.as_millis() as u64 + 1_000;
        let sent = self.sent.lock().unwrap();
        let here = sent.iter().filter(|one| one.machine == machine);
        let endings = here.flat_map(|one| &one.endings);
        let lost = endings.filter(|(at_ms, ending)| {
            *at_ms >= stopped_ms
                && *at_ms < until_ms
                && matches!(ending, Ending::Closed(after) if *after > LOSS_SLACK)
        });
        lost.count()
    }

    fn stop(&self) {
        self.is_running.store(false, Ordering::SeqCst);
    }
}

fn working(ms: u64) -> Behaviour {
    Behaviour::working(Duration::from_millis(ms))
}

fn addresses(fleet: &Fleet, nodes: &[&str]) -> Vec<(SocketAddr, SocketAddr)> {
    let machines = fleet.machines.iter();
    machines
        .filter(|machine| nodes.contains(&machine.relay.node.as_str()))
        .map(|machine| {
            (
                machine.relay.addresses.callers,
                machine.relay.addresses.ready,
            )
        })
        .collect()
}

fn log_new_connections(
    setup: &Setup,
    fleet: &Fleet,
    opened: &std::collections::BTreeMap<String, u64>,
) {
    for (node, proxy) in &fleet.proxies {
        let later = proxy.opened() - opened[node];
        let text = format!("{later} connections to {node} were opened since");
        setup.record.line(&text);
    }
}

/// Orders are not idempotent. The connections to the nodes of their service go silent, and later the
/// machines that take the orders are stopped as planned, one after the other.
pub fn orders(setup: &Setup) -> Outcome {
    static CALL: Call = Call {
        method: "POST",
        path: "/shop/order",
        key: None,
        limit: Duration::from_millis(5_000),
    };
    let record = &setup.record;
    let mut fleet = Fleet::new(&configuration("unsafe", true));
    fleet.add(setup, "side-1", "front", working(10))?;
    let orders = ["side-6", "side-7", "side-8", "side-9"];
    for node in orders {
        fleet.add(setup, node, "orders", working(30))?;
    }
    for node in orders {
        fleet.wire(node);
    }
    let fronts = ["side-2", "side-3", "side-4"];
    for node in fronts {
        fleet.add(setup, node, "front", working(10))?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let clients = Clients::start(&addresses(&fleet, &fronts), &CALL, record);
    std::thread::sleep(Duration::from_secs(6));
    let silenced_ms = record.now_ms();
    let opened = fleet.silence(setup);
    std::thread::sleep(STABLE + Duration::from_secs(12));
    let planned_ms = record.now_ms();
    log_new_connections(setup, &fleet, &opened);
    let before = clients.share(0, silenced_ms);
    let since = clients.share(silenced_ms + 3_000, planned_ms.saturating_sub(6_000));
    let mut stopped = Vec::new();
    for (machine, node) in fronts.iter().enumerate() {
        let found = fleet.machines.iter_mut();
        let mut found = found.filter(|machine| machine.relay.node == *node);
        let relay = &mut found.next().expect("a known node").relay;
        record.line(&format!("{node} gets SIGTERM"));
        stopped.push((machine, record.now_ms()));
        relay.stop(GRACE);
        record.line(&format!("{node} has ended and starts again"));
        relay.start_again();
        std::thread::sleep(Duration::from_secs(4));
    }
    clients.stop();
    std::thread::sleep(Duration::from_millis(6_200));
    let lost = stopped
        .iter()
        .map(|(machine, at_ms)| clients.lost(*machine, *at_ms));
    let lost: usize = lost.sum();
    let text = format!(
        "served before: {} of {}; served from stable-ms after the event until the planned work: {} of {}; orders cut without an answer under planned work: {lost}",
        before.0, before.1, since.0, since.1
    );
    record.line(&text);
    println!("{text}");
    if before.1 < 30 || before.0 * 10 < before.1 * 9 {
        return Err("the orders before the disruption were not served".to_owned());
    }
    Ok(lost == 0)
}

/// Requests with a key need tokens of the zone's holder. All processes are killed and start again;
/// then the connections to the holder go silent.
pub fn tokens(setup: &Setup) -> Outcome {
    static CALL: Call = Call {
        method: "GET",
        path: "/shop/7",
        key: Some(KEY),
        limit: Duration::from_millis(5_000),
    };
    let record = &setup.record;
    let mut fleet = Fleet::new(&configuration("safe", false));
    // Alone at first, so that it becomes the holder.
    fleet.add(setup, "side-1", "front", working(10))?;
    wait_for_holder(&fleet, "side-1", 0)?;
    for node in ["side-8", "side-9"] {
        fleet.add(setup, node, "orders", working(30))?;
    }
    let others = ["side-2", "side-3", "side-4", "side-5", "side-6"];
    for node in others {
        fleet.add(setup, node, "front", working(10))?;
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let mut fronts = vec!["side-1"];
    fronts.extend(others);
    let clients = Clients::start(&addresses(&fleet, &fronts), &CALL, record);
    std::thread::sleep(Duration::from_secs(6));
    let fault_ms = record.now_ms();
    record.line("final fault: all processes are killed");
    for machine in &mut fleet.machines {
        machine.relay.kill();
    }
    let first = ["side-1", "side-8", "side-9"];
    let written = first.map(|node| fleet.store.revision(&format!("nodes/{node}")));
    let epoch = epoch(&fleet);
    std::thread::sleep(Duration::from_millis(500));
    let later = |machine: &crate::fleet::Machine| others.contains(&machine.relay.node.as_str());
    for machine in fleet.machines.iter_mut().filter(|machine| !later(machine)) {
        machine.relay.start_again();
    }
    for (node, written) in first.iter().zip(written) {
        fleet.wait_for_entry(node, written)?;
    }
    wait_for_holder(&fleet, "side-1", epoch)?;
    fleet.wire("side-1");
    for machine in fleet.machines.iter_mut().filter(|machine| later(machine)) {
        machine.relay.start_again();
    }
    for machine in &fleet.machines {
        machine.relay.wait_until_ready()?;
    }
    record.line("all processes are back");
    std::thread::sleep(Duration::from_secs(5));
    let silenced_ms = record.now_ms();
    let opened = fleet.silence(setup);
    std::thread::sleep(STABLE + RECOVER);
    let from_ms = record.now_ms();
    std::thread::sleep(Duration::from_secs(18));
    let to_ms = record.now_ms();
    log_new_connections(setup, &fleet, &opened);
    clients.stop();
    std::thread::sleep(Duration::from_millis(6_200));
    let before = clients.share(0, fault_ms);
    let back = clients.share(silenced_ms.saturating_sub(2_000), silenced_ms);
    let after = clients.share(from_ms, to_ms);
    let text = format!(
        "served before the final fault: {} of {}; in the two seconds before the silence: {} of {}; later than stable-ms + recover-s after it: {} of {}",
        before.0, before.1, back.0, back.1, after.0, after.1
    );
    record.line(&text);
    println!("{text}");
    if before.1 < 50 || before.0 * 10 < before.1 * 9 || back.0 * 2 < back.1 {
        return Err("the requests before the disruption were not served".to_owned());
    }
    Ok(after.0 * 4 >= after.1)
}

/// Returns the epoch in the zone's holder record.
fn epoch(fleet: &Fleet) -> u64 {
    let record = fleet.store.value("rates/centro").unwrap_or_default();
    let record = Json::parse(&record);
    record
        .and_then(|record| record.number("epoch"))
        .unwrap_or(0)
}

/// Waits until a node holds the rates of the zone, in a later epoch than `after`.
fn wait_for_holder(fleet: &Fleet, node: &str, after: u64) -> Result<(), String> {
    let expected = format!("\"holder\":\"{node}\"");
    for _ in 0..100 {
        let record = fleet.store.value("rates/centro").unwrap_or_default();
        if record.contains(&expected) && epoch(fleet) > after {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err(format!("{node} does not hold the rates"))
}
