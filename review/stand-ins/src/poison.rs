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
    let served = sent.iter().filter(|(_, _, status)| *status == 200).count();
    let text = format!(
        "sent {SENDS}, served {served}, crashes {}, third at {third_ms:?} ms, retries that reached a server later than stable-ms after it: {late}, allowed {RETRIES_MAX}",
        crashes.len()
    );
    record.line(&text);
    println!("{text}");
    match setup.has_trouble {
        true if crashes.is_empty() => Err("no server crashed".to_owned()),
        false if served < SENDS as usize / 2 => Err("the request was not served".to_owned()),
        _ => Ok(late <= RETRIES_MAX),
    }
}
