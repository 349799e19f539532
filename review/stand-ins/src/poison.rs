//! A request that crashes each server that runs it, shortly after its client has left.

use std::sync::Arc;
use std::time::Duration;

use crate::Outcome;
use crate::Setup;
use crate::client::Call;
use crate::client::Ending;
use crate::client::attempt;
use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::server::Behaviour;

const POISON: &str = "/shop/poison";
/// The time limit of `existencia-urgente` and of its clients.
const LIMIT: Duration = Duration::from_millis(400);
/// The server crashes after this much work, when the client has left.
const CRASH_AFTER: Duration = Duration::from_millis(500);
/// How long a crashed server is down.
const DOWN: Duration = Duration::from_secs(3);
const SENDS: u32 = 40;
const GAP: Duration = Duration::from_millis(1_000);
/// `stable-ms` of the site files.
const STABLE_MS: u64 = 3_000;
/// Retries that may still reach a server.
const RETRIES_MAX: usize = 3;

/// What happens beside the request that crashes servers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Beside {
    Nothing,
    /// Relays of the service are killed and start again, one each 5 s.
    Kills,
    /// Other clients send the same popular request all the time.
    Popular,
}

/// The client waits longer than a server takes to crash. Several machines get copies, as in an incident.
pub fn prompt_crash(setup: &Setup, beside: Beside) -> Outcome {
    let mut fleet = Fleet::new(&configuration("safe", true));
    let front = Behaviour::working(Duration::from_millis(10));
    for node in ["side-1", "side-2", "side-3", "side-4"] {
        fleet.add(setup, node, "front", front.clone())?;
    }
    let orders = Behaviour {
        work: Duration::from_millis(150),
        drops_closed: true,
        crashing: setup
            .has_trouble
            .then_some((POISON, Duration::from_millis(25))),
        down: Duration::from_millis(1_500),
        limit: None,
    };
    for node in ["side-5", "side-6", "side-7", "side-8"] {
        fleet.add(setup, node, "orders", orders.clone())?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let record = &setup.record;
    let callers: Vec<_> = (0..4)
        .map(|index| fleet.machines[index].relay.addresses.callers)
        .collect();
    let is_running = Arc::new(std::sync::atomic::AtomicBool::new(true));
    if beside == Beside::Popular {
        for (machine, address) in callers.iter().enumerate() {
            let (address, record, is_running) = (*address, record.clone(), Arc::clone(&is_running));
            std::thread::spawn(move || {
                for number in 0u32.. {
                    if !is_running.load(std::sync::atomic::Ordering::SeqCst) {
                        return;
                    }
                    let record = record.clone();
                    std::thread::spawn(move || {
                        let call = Call {
                            method: "GET",
                            path: "/shop/popular",
                            key: None,
                            limit: Duration::from_millis(1_500),
                        };
                        let id = format!("{:04x}{number:012x}", 0xb0 + machine);
                        attempt(address, &id, &call, call.limit, &record);
                    });
                    std::thread::sleep(Duration::from_millis(40));
                }
            });
        }
    }
    let call = Call {
        method: "GET",
        path: POISON,
        key: None,
        limit: Duration::from_millis(1_500),
    };
    let mut sent = Vec::new();
    for number in 0..80u32 {
        if beside == Beside::Kills && number % 10 == 9 {
            let index = 4 + (number as usize / 10) % 4;
            record.line(&format!("a relay of the service is killed: {index}"));
            fleet.machines[index].relay.kill();
            fleet.machines[index].relay.start_again();
        }
        let callers = callers[number as usize % 4];
        let id = format!("{number:016x}");
        let at_ms = record.now_ms();
        let status = match attempt(callers, &id, &call, call.limit, record) {
            Ending::Answered(answer) => answer.status(),
            _ => 0,
        };
        sent.push((id, at_ms, status));
        std::thread::sleep(Duration::from_millis(500));
    }
    is_running.store(false, std::sync::atomic::Ordering::SeqCst);
    judge(setup, &fleet, &sent)
}

pub fn late_crash(setup: &Setup) -> Outcome {
    let mut fleet = Fleet::new(&configuration("safe", true));
    let front = Behaviour::working(Duration::from_millis(10));
    fleet.add(setup, "side-1", "front", front.clone())?;
    fleet.add(setup, "side-2", "front", front)?;
    let orders = Behaviour {
        work: Duration::from_millis(24),
        drops_closed: false,
        crashing: setup.has_trouble.then_some((POISON, CRASH_AFTER)),
        down: DOWN,
        limit: None,
    };
    for node in ["side-5", "side-6", "side-7", "side-8"] {
        fleet.add(setup, node, "orders", orders.clone())?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let record = &setup.record;
    let call = Call {
        method: "GET",
        path: POISON,
        key: None,
        limit: LIMIT,
    };
    let mut sent = Vec::new();
    for number in 0..SENDS {
        let callers = fleet.machines[number as usize % 2].relay.addresses.callers;
        let id = format!("{number:016x}");
        let at_ms = record.now_ms();
        let status = match attempt(callers, &id, &call, LIMIT, record) {
            Ending::Answered(answer) => answer.status(),
            _ => 0,
        };
        sent.push((id, at_ms, status));
        std::thread::sleep(GAP);
    }
    judge(setup, &fleet, &sent)
}

fn judge(setup: &Setup, fleet: &Fleet, sent: &[(String, u64, u16)]) -> Outcome {
    let record = &setup.record;
    let servers: Vec<_> = fleet
        .machines
        .iter()
        .map(|machine| Arc::clone(&machine.server))
        .collect();
    let mut crashes: Vec<u64> = Vec::new();
    let mut ran: Vec<String> = Vec::new();
    for server in &servers {
        crashes.extend(server.crashes.lock().unwrap().iter());
        let runs = server.runs.lock().unwrap();
        ran.extend(runs.iter().map(|run| run.request_id.clone()));
    }
    crashes.sort_unstable();
    let third_ms = crashes.get(2).copied();
    let late = sent.iter().filter(|(id, at_ms, _)| {
        ran.contains(id) && third_ms.is_some_and(|third| *at_ms > third + STABLE_MS)
    });
    let late = late.count();
    let all = sent.len();
    let served = sent.iter().filter(|(_, _, status)| *status == 200).count();
    let text = format!(
        "sent {all}, served {served}, crashes {}, third at {third_ms:?} ms, retries that reached a server later than stable-ms after it: {late}, allowed {RETRIES_MAX}",
        crashes.len()
    );
    record.line(&text);
    println!("{text}");
    match setup.has_trouble {
        true if crashes.is_empty() => Err("no server crashed".to_owned()),
        false if served < all / 2 => Err("the request was not served".to_owned()),
        _ => Ok(late <= RETRIES_MAX),
    }
}
