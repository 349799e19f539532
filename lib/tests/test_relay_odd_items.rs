//! Values that another writer left in the store, and reports with figures that no server has.

use std::net::SocketAddr;

use balsamfold::process::suspects::CrashSite;
use balsamfold::process::suspects::CrashedRun;
use balsamfold::process::suspects::SuspectEntry;
use balsamfold::values::Clock;
use balsamfold::values::WallTime;
use bytes::Bytes;
use http::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::Value;
use serde_json::json;
use testutils::relay::RelayFleet;
use testutils::relay::sample_open_plan;
use testutils::relay::suspected_on;

/// Depth at which a decoder that recurses overflows its stack.
const DEPTH: usize = 100_000;
const PATH: &str = "/stock/1";

fn odd_value(valid: &Value, rng: &mut StdRng) -> Vec<u8> {
    let numbers = [
        json!(u64::MAX),
        json!(u32::MAX),
        json!(i64::MIN),
        json!(-1),
        json!(0),
        json!(1e300),
    ];
    let others = [json!(null), json!(""), json!([]), json!({}), json!("1")];
    let mut fields = Vec::new();
    list_fields(valid, String::new(), &mut fields);
    let field = fields.choose(rng).expect("fields");
    let mut odd = valid.clone();
    let place = odd.pointer_mut(field).expect("a field");
    match rng.random_range(0..4) {
        0 | 1 => *place = numbers.choose(rng).expect("numbers").clone(),
        2 => *place = others.choose(rng).expect("values").clone(),
        _ => {
            *place = json!("DEEP");
            let deep = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
            return odd.to_string().replace("\"DEEP\"", &deep).into_bytes();
        }
    }
    odd.to_string().into_bytes()
}

fn list_fields(value: &Value, path: String, fields: &mut Vec<String>) {
    fields.push(path.clone());
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                list_fields(member, format!("{path}/{name}"), fields);
            }
        }
        Value::Array(members) => {
            for (index, member) in members.iter().enumerate() {
                list_fields(member, format!("{path}/{index}"), fields);
            }
        }
        _ => {}
    }
}

fn stored(fleet: &RelayFleet, key: &str) -> Value {
    let value = fleet.store.value(key).expect("an item");
    serde_json::from_slice(&value).expect("a valid item")
}

fn quarantined(path: &str) -> SuspectEntry {
    let mut entry = suspected_on(path, "node-1");
    entry.crashes.insert(CrashSite {
        at: Clock::start().wall(),
        node: "node-1".parse().expect("valid name"),
        run: CrashedRun::Trial,
    });
    entry
}

fn write_suspect(fleet: &RelayFleet, key: &str, entry: &SuspectEntry) {
    let value = serde_json::to_vec(entry).expect("entries can be encoded");
    fleet
        .store
        .write(&format!("suspects/{key}"), Bytes::from(value));
}

/// Waits until both relays know a node whose entry is written now.
async fn expect_changes_arrive(fleet: &RelayFleet, name: &str) {
    let unused: SocketAddr = "127.0.0.1:1".parse().expect("valid address");
    fleet.write_entry(name, "front", unused);
    let id = name.parse().expect("valid name");
    fleet
        .wait_until(|fleet| {
            let mut relays = fleet.relays.iter();
            relays.all(|relay| relay.daemon.node().members().node(&id).is_some())
        })
        .await;
}

// Guards against values of another writer that end what follows the store, or hide a node (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relays_go_on_beside_odd_entries_and_quarantines() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock", "stock"]).await;
    let entry = stored(&fleet, "nodes/node-0");
    let suspect = serde_json::to_value(quarantined("/stock/other")).expect("a value");
    for seed in 0..25 {
        let mut rng = StdRng::seed_from_u64(seed);
        for number in 0..8 {
            let mut odd = entry.clone();
            odd["id"] = json!(format!("odd-{number}"));
            odd["addresses"]["peer"] = json!("127.0.0.1:1");
            let value = odd_value(&odd, &mut rng);
            let key = format!("nodes/odd-{number}");
            fleet.store.write(&key, Bytes::from(value));
            let value = odd_value(&suspect, &mut rng);
            let key = format!("suspects/{}", quarantined("/stock/other").fingerprint);
            fleet.store.write(&key, Bytes::from(value));
        }
        expect_changes_arrive(&fleet, &format!("late-{seed}")).await;
        for index in 0..2 {
            let id = format!("r{seed}-{index}");
            let response = fleet.call(index, &id, PATH, None).await;
            assert_eq!(response.status, StatusCode::OK, "seed {seed}");
        }
    }
}

// Guards against a node that is lost to those that start later, because its entry was overwritten (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn overwritten_entry_of_a_running_node_is_written_again() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock", "stock"]).await;
    let entry = stored(&fleet, "nodes/node-0");
    let overwrite = |value: &str| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        fleet.store.write("nodes/node-0", value);
    };
    for odd in ["{", "", "null", r#"{"id":"node-1"}"#] {
        overwrite(odd);
        fleet
            .wait_until(|fleet| {
                let value = fleet.store.value("nodes/node-0").expect("an item");
                serde_json::from_slice(&value).ok() == Some(entry.clone())
            })
            .await;
    }
}

// Guards against an entry that was overwritten after its node ended, and that nobody removes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn overwritten_entry_of_an_ended_node_names_no_node() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"]).await;
    expect_changes_arrive(&fleet, "ended").await;
    fleet.store.write("nodes/ended", Bytes::from_static(b"{"));
    let id = "ended".parse().expect("valid name");
    fleet
        .wait_until(|fleet| {
            let members = fleet.relays[0].daemon.node().members();
            members.node(&id).is_none()
        })
        .await;
}

// Guards against a quarantine of requests that its key does not name, or that never ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn quarantine_under_another_key_or_of_the_far_future_refuses_nothing() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"]).await;
    write_suspect(&fleet, "another", &quarantined(PATH));
    let mut late = quarantined(PATH);
    late.crashes.insert(CrashSite {
        at: WallTime(u64::MAX),
        node: "node-1".parse().expect("valid name"),
        run: CrashedRun::Trial,
    });
    write_suspect(&fleet, &late.fingerprint.to_string(), &late);
    // Changes arrive in the order of the writes.
    let marker = quarantined("/stock/marker");
    write_suspect(&fleet, &marker.fingerprint.to_string(), &marker);
    let unknown = [SuspectEntry::new(marker.fingerprint)];
    fleet
        .wait_until(|fleet| {
            let known = fleet.relays[0].daemon.node().merge_suspects(&unknown);
            !known.is_empty()
        })
        .await;
    let refused = fleet.call(0, "r0", "/stock/marker", None).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let response = fleet.call(0, "r1", PATH, None).await;
    assert_eq!(response.status, StatusCode::OK);
}

fn report(address: SocketAddr, born_ms: u64, slots: u64) -> String {
    json!({
        "service": "stock",
        "address": address,
        "born_ms": born_ms,
        "sequence": 1_000,
        "slots": slots,
        "is_draining": false,
    })
    .to_string()
}

// Guards against a report that takes a server's place for good, or ends the handling of reports (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn report_with_figures_that_no_server_has_is_refused() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"]).await;
    let address = fleet.relays[0].server.address;
    let figures = [
        (u64::MAX, 8),
        (1 << 53, 8),
        (2, 0),
        (2, u64::from(u32::MAX)),
        (2, u64::from(u32::MAX) - 16),
        (2, u64::MAX),
    ];
    for (born_ms, slots) in figures {
        let status = fleet.report_bytes(0, report(address, born_ms, slots)).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{born_ms} {slots}");
        let response = fleet.call(0, "r1", PATH, None).await;
        assert_eq!(response.status, StatusCode::OK, "{born_ms} {slots}");
    }
    // The known server is still the one beside the relay.
    assert_eq!(fleet.report(0, 2, true).await, StatusCode::OK);
    let response = fleet.call(0, "r2", PATH, None).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
}

// Guards against a stored departure that makes all reports of a node's servers outdated (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stored_departure_of_the_far_future_is_not_restored() {
    let far = u64::MAX;
    let odd = [
        json!({"latest": {"server_id": "x", "born_ms": far, "sequence": 1},
            "is_draining": false, "departed": null}),
        json!({"latest": null, "is_draining": false,
            "departed": {"server_id": "server-0", "at": far}}),
        json!({"latest": {"server_id": 7}}),
        json!([]),
    ];
    let mut fleet = RelayFleet::start(&sample_open_plan(), &["stock"]).await;
    for (number, odd) in odd.into_iter().enumerate() {
        let value = Bytes::from(odd.to_string());
        fleet.store.write("departures/node-0", value);
        fleet.restart(0).await;
        fleet.report(0, 1, false).await;
        fleet.wait_until_ready().await;
        let response = fleet.call(0, &format!("r{number}"), PATH, None).await;
        assert_eq!(response.status, StatusCode::OK, "{odd}");
    }
}
