//! Machines are stopped and started in turn, a second apart, while clients send orders, some of them of four seconds of work.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use review_stand_ins_2::BROKEN;
use review_stand_ins_2::HELD;
use review_stand_ins_2::NOT_RUN;
use review_stand_ins_2::client::call;
use review_stand_ins_2::client::is_served;
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::machine::Machine;
use review_stand_ins_2::machine::wait_until_ready;
use review_stand_ins_2::record::Record;
use review_stand_ins_2::server::Runs;
use review_stand_ins_2::store::Store;
use rustix::process::Signal;
use serde_json::json;

/// `grace-s` of the site.
const GRACE: Duration = Duration::from_secs(6);
/// Time between the stops of two machines, as `gap_s` of the site's `roll_term`.
const GAP: Duration = Duration::from_millis(1_000);
/// Work of a short order and of a long one, and the time limit of both.
const SHORT_MS: u64 = 100;
const LONG_MS: u64 = 4_000;
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// A stopping machine's clients get no new work once two questions in a row, a second apart, had no 200.
const READY_PERIOD: Duration = Duration::from_secs(1);
const PERIOD: Duration = Duration::from_millis(10);
/// Rounds of stops.
const ROUNDS: usize = 3;

/// An order of a client.
struct Order {
    id: String,
    work: Duration,
    sent_at: Instant,
    ended_at: Instant,
    status: Option<u16>,
    is_served: bool,
}

#[tokio::main(worker_threads = 2)]
async fn main() {
    let record = Record::default();
    let code = play(&record).await.unwrap_or_else(|error| {
        record.say(format!("could not run: {error}"));
        NOT_RUN
    });
    record.write();
    exit(code);
}

async fn play(record: &Record) -> std::io::Result<i32> {
    let folder = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| "/tmp".to_owned()));
    let store = Store::start().await?;
    let route = json!({
        "name": "r-order", "prefix": "/order/", "kind": "unsafe", "timeout-ms": 5_000, "target-latency-ms": 3_000,
        "max-attempts": 2, "priority": 0, "service": "orders", "public": true,
    });
    store.publish(&json!({
        "version": 1,
        "services": [
            { "name": "front", "health-path": "/health" }, { "name": "orders", "health-path": "/health" },
        ],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 67_108_864, "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "hosts": [{ "host": "shop.example", "paths": [route] }],
    }));
    let runs = Runs::default();
    let mut machines = Vec::new();
    for (index, service) in ["front", "orders", "orders"].into_iter().enumerate() {
        machines.push(Machine::start(&folder, index as u8, service, 160, &store, &runs).await?);
    }
    if !wait_until_ready(&machines, &store).await {
        return Err(std::io::Error::other("the relays are not ready"));
    }
    record.say("ready");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let address = machines[0].callers;
    let ready = machines[0].ready;
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = tokio::spawn(send_orders(
        address,
        ready,
        Arc::clone(&orders),
        Arc::clone(&is_over),
        record.clone(),
    ));
    // When the machine of the clients was stopped.
    let mut stops = Vec::new();
    for _ in 0..ROUNDS {
        tokio::time::sleep(Duration::from_secs(4)).await;
        if !has_trouble() {
            tokio::time::sleep(GAP * 2 + GRACE).await;
            continue;
        }
        // A server's machine first, then that of the clients, then the other server's.
        let mut stopping = Vec::new();
        for index in [1, 0, 2] {
            record.say(format!("SIGTERM to machine {index}"));
            machines[index].signal(Signal::TERM);
            if index == 0 {
                stops.push(Instant::now());
            }
            stopping.push((index, Instant::now()));
            let until = Instant::now() + GAP;
            while Instant::now() < until {
                restart_ended(&mut machines, &mut stopping, record)?;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        while !stopping.is_empty() {
            restart_ended(&mut machines, &mut stopping, record)?;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    is_over.store(true, Ordering::Relaxed);
    let _ = clients.await;
    tokio::time::sleep(TIME_LIMIT + Duration::from_secs(2)).await;
    for machine in &mut machines {
        machine.kill();
    }
    let orders = orders.lock().expect("no panic");
    Ok(judge(&orders, &stops, &runs, record))
}

/// Starts the processes again that have ended, and kills those that have not within the grace.
fn restart_ended(
    machines: &mut [Machine],
    stopping: &mut Vec<(usize, Instant)>,
    record: &Record,
) -> std::io::Result<()> {
    let mut result = Ok(());
    stopping.retain(|(index, stopped_at)| {
        let machine = &mut machines[*index];
        if machine.is_running() && stopped_at.elapsed() < GRACE {
            return true;
        }
        record.add(format!(
            "machine {index} has ended after {:?}",
            stopped_at.elapsed()
        ));
        machine.kill();
        if let Err(error) = machine.start_again() {
            result = Err(error);
        }
        false
    });
    result
}

async fn is_ready(ready: SocketAddr) -> bool {
    let asking = call(ready, "GET", "/api/ready", "", Duration::from_millis(500));
    asking.await.is_some_and(|answer| answer.status() == 200)
}

/// Sends orders, each on a connection of its own, as long as the platform lets clients send work to the machine.
async fn send_orders(
    address: SocketAddr,
    ready: SocketAddr,
    orders: Arc<Mutex<Vec<Order>>>,
    is_over: Arc<AtomicBool>,
    record: Record,
) {
    let (mut misses, mut asked_at) = (0, Instant::now());
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        if asked_at.elapsed() >= READY_PERIOD {
            asked_at = Instant::now();
            misses = match is_ready(ready).await {
                true => 0,
                false => misses + 1,
            };
        }
        if misses < 2 {
            let (orders, record) = (Arc::clone(&orders), record.clone());
            let id = format!("order{number}");
            let work_ms = match number % 8 {
                0 => LONG_MS,
                _ => SHORT_MS,
            };
            number += 1;
            tokio::spawn(async move {
                let sent_at = Instant::now();
                record.add(format!("sent {id}"));
                let path = format!("/order/{work_ms}/400/x");
                let answer = call(address, "POST", &path, &id, TIME_LIMIT).await;
                let is_served = is_served(answer.as_ref(), &id);
                let status = answer.map(|answer| answer.status());
                record.add(format!("answered {id} {status:?}"));
                orders.lock().expect("no panic").push(Order {
                    id,
                    work: Duration::from_millis(work_ms),
                    sent_at,
                    ended_at: Instant::now(),
                    status,
                    is_served,
                });
            });
        }
        tokio::time::sleep(PERIOD).await;
    }
}

fn judge(orders: &[Order], stops: &[Instant], runs: &Runs, record: &Record) -> i32 {
    let runs = runs.lock().expect("no panic");
    let mut lost = 0;
    for order in orders.iter().filter(|order| !order.is_served) {
        let Some(run) = runs.iter().find(|run| run.id == order.id) else {
            continue;
        };
        let work_end = run.began_at + order.work;
        // The SIGTERM of the machine that took the order, until 1 s after the grace.
        let stop = stops.iter().find(|stop| {
            order.ended_at >= **stop && order.sent_at <= **stop + GRACE + Duration::from_secs(1)
        });
        let Some(stop) = stop else {
            continue;
        };
        let is_timed_out = order.ended_at >= order.sent_at + TIME_LIMIT;
        let is_at_work_late = work_end >= *stop + GRACE.mul_f64(5.0 / 6.0);
        let after_stop = |at: Instant| match at.checked_duration_since(*stop) {
            Some(after) => after.as_secs_f64(),
            None => -stop.duration_since(at).as_secs_f64(),
        };
        let is_lost = !is_timed_out && !is_at_work_late;
        record.say(format!(
            "{} ran at {} and got {:?}: by the SIGTERM of its machine sent at {:.3} s, answered at {:.3} s, its work \
             would have ended at {:.3} s; lost: {is_lost}",
            order.id,
            run.server,
            order.status,
            after_stop(order.sent_at),
            after_stop(order.ended_at),
            after_stop(work_end)
        ));
        lost += usize::from(is_lost);
    }
    let served = orders.iter().filter(|order| order.is_served).count();
    record.say(format!(
        "{} orders sent, {served} served, {lost} lost",
        orders.len()
    ));
    match (served, lost) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
