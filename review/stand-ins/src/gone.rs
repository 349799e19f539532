//! Clients that send further requests before the first is answered, and leave.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::Outcome;
use crate::Setup;
use crate::client::Call;
use crate::client::Ending;
use crate::client::attempt;
use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::http::Connection;
use crate::server::Behaviour;

const WORK: Duration = Duration::from_millis(1_500);
/// When clients leave.
const PATIENCE: Duration = Duration::from_millis(200);
const CLIENTS: u32 = 24;
const REQUESTS: u32 = 3;
/// What the rule allows after the close.
const GRACE_MS: u64 = 500;
const FEW: usize = 5;

pub fn pipeline(setup: &Setup) -> Outcome {
    let mut fleet = Fleet::new(&configuration("safe", true));
    let front = Behaviour::working(Duration::from_millis(10));
    fleet.add(setup, "side-1", "front", front)?;
    for node in ["side-5", "side-6"] {
        fleet.add(setup, node, "orders", Behaviour::working(WORK))?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let callers = fleet.machines[0].relay.addresses.callers;
    // The relays have seen both servers answer before the clients come.
    for number in 0..6 {
        let call = Call {
            method: "GET",
            path: "/shop/7",
            key: None,
            limit: Duration::from_secs(5),
        };
        let id = format!("{:016x}", 0xffff_0000_u32 + number);
        let ending = attempt(callers, &id, &call, call.limit, &setup.record);
        if !matches!(ending, Ending::Answered(answer) if answer.status() == 200) {
            return Err("a request before the others was not served".to_owned());
        }
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = setup.record.clone();
            let leaves = setup.has_trouble;
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(50 * u64::from(client)));
                let stream = TcpStream::connect(callers).ok()?;
                let mut connection = Connection::new(stream);
                let mut ids = Vec::new();
                for number in 0..REQUESTS {
                    let id = format!("{client:08x}{number:08x}");
                    let text = format!(
                        "GET /shop/7 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 5000\r\n\r\n"
                    );
                    connection.stream.write_all(text.as_bytes()).ok()?;
                    record.line(&format!("sent {id}"));
                    ids.push(id);
                }
                if leaves {
                    std::thread::sleep(PATIENCE);
                } else {
                    for id in &ids {
                        let answer = connection.read().ok()?;
                        record.line(&format!("answered {id} {}", answer.status()));
                    }
                }
                drop(connection);
                record.line(&format!("client {client} closes its connection"));
                Some((ids, record.now_ms()))
            })
        })
        .collect();
    let closed: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok()?)
        .collect();
    std::thread::sleep(Duration::from_millis(6_000));
    let (mut late, mut at_work, mut would_last) = (0, 0, 0);
    for machine in &fleet.machines {
        for run in machine.server.runs.lock().unwrap().iter() {
            let Some((_, closed_ms)) = closed.iter().find(|(ids, _)| ids.contains(&run.request_id))
            else {
                continue;
            };
            let grace_ms = closed_ms + GRACE_MS;
            late += usize::from(run.at_ms > grace_ms);
            if run.at_ms <= *closed_ms && run.at_ms + WORK.as_millis() as u64 > grace_ms {
                would_last += 1;
                at_work += usize::from(run.ended_ms.is_none_or(|ended| ended > grace_ms));
            }
        }
    }
    let text = format!(
        "clients {}, requests that reached a server over half a second after the close: {late}; still at work then: {at_work} of {would_last}",
        closed.len()
    );
    setup.record.line(&text);
    println!("{text}");
    if closed.len() < CLIENTS as usize {
        return Err("a client could not send or got no answer".to_owned());
    }
    Ok(late <= FEW && at_work * 4 <= would_last)
}
