//! Clients of two tenants, of which some repeat their requests at once. A client names its attempts by one id and
//! a number: the first `ID`, the repeats `ID.1`, `ID.2` and so on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use review_stand_ins_2::BROKEN;
use review_stand_ins_2::HELD;
use review_stand_ins_2::NOT_RUN;
use review_stand_ins_2::client::call_with;
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::machine::Machine;
use review_stand_ins_2::machine::wait_until_ready;
use review_stand_ins_2::record::Record;
use review_stand_ins_2::server::Runs;
use review_stand_ins_2::store::Store;
use serde_json::json;

const TENANTS: [(&str, &str); 2] = [
    ("tenant-a", "6wsjnbanfqasnmgkcuyj"),
    ("tenant-b", "8pjbvk9m68k7b2ex5wa5"),
];
/// Requests of each tenant.
const REQUESTS: usize = 50;
/// Part of the clients that repeat, and how often, as `retry_abuse` of the site.
const REPEATING_SHARE: f64 = 0.3;
const REPEATS: usize = 3;
const PERIOD: Duration = Duration::from_millis(100);
const TIME_LIMIT: Duration = Duration::from_secs(5);

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
    let tenants = TENANTS.map(|(name, key)| {
        json!({ "name": name, "api-keys": [key], "priority": 1, "rate-per-s": 142, "burst": 142 })
    });
    let route = json!({
        "name": "r-page", "prefix": "/page/", "kind": "safe", "timeout-ms": 5_000, "target-latency-ms": 1_200,
        "max-attempts": 2, "priority": 2, "service": "front", "public": false,
    });
    store.publish(&json!({
        "version": 1, "services": [{ "name": "front", "health-path": "/health" }], "tenants": tenants,
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 67_108_864, "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "hosts": [{ "host": "shop.example", "paths": [route] }],
    }));
    let runs = Runs::default();
    let machine = Machine::start(&folder, 0, "front", 260, &store, &runs).await?;
    let address = machine.callers;
    let mut machines = [machine];
    if !wait_until_ready(&machines, &store).await {
        return Err(std::io::Error::other("the relay is not ready"));
    }
    record.say("ready");
    // The first holder of the tenants' tokens begins with none.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        for (tenant, key) in TENANTS {
            let repeats = match has_trouble() && (number as f64) < REQUESTS as f64 * REPEATING_SHARE
            {
                true => REPEATS,
                false => 0,
            };
            let id = format!("{tenant}{number:04}");
            clients.push(tokio::spawn(client(
                address,
                id,
                key,
                repeats,
                record.clone(),
            )));
        }
        tokio::time::sleep(PERIOD).await;
    }
    for client in clients {
        let _ = client.await;
    }
    for machine in &mut machines {
        machine.kill();
    }
    Ok(judge(&runs, record))
}

/// Sends a request, and repeats it at once.
async fn client(
    address: SocketAddr,
    id: String,
    key: &'static str,
    repeats: usize,
    record: Record,
) {
    let mut attempts = Vec::new();
    for attempt in 0..=repeats {
        let id = match attempt {
            0 => id.clone(),
            attempt => format!("{id}.{attempt}"),
        };
        let record = record.clone();
        attempts.push(tokio::spawn(async move {
            record.add(format!("sent {id}"));
            let path = "/page/450/400/x";
            let key = format!("Token {key}");
            let key = Some(("Authorization", key.as_str()));
            let answer = call_with(address, "GET", path, &id, TIME_LIMIT, key).await;
            record.add(format!(
                "answered {id} {:?}",
                answer.map(|answer| answer.first)
            ));
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for attempt in attempts {
        let _ = attempt.await;
    }
}

fn judge(runs: &Runs, record: &Record) -> i32 {
    let mut counts: HashMap<String, usize> = HashMap::new();
    let mut wrong = 0;
    let runs = runs.lock().expect("no panic");
    for run in runs.iter() {
        let of_tenant = TENANTS
            .iter()
            .find(|(tenant, _)| run.id.starts_with(tenant));
        let is_right = run.tenant.as_deref() == of_tenant.map(|(tenant, _)| *tenant);
        record.add(format!("run {} tenant {:?}", run.id, run.tenant));
        wrong += usize::from(!is_right);
        *counts.entry(format!("{:?}", run.tenant)).or_default() += 1;
    }
    record.say(format!("{} runs by X-Tenant-Id: {counts:?}", runs.len()));
    record.say(format!(
        "runs without the tenant that holds the client's key: {wrong}"
    ));
    match wrong {
        0 if runs.is_empty() => NOT_RUN,
        0 => HELD,
        _ => BROKEN,
    }
}
