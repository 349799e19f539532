//! Measures how long an accepted configuration takes to come into force on all nodes, and how many
//! platform watches this takes.
//!
//! Usage: `cargo run --release --example configuration_spread -- NODES CHANGES KEYS`. The nodes run
//! in this process over loopback sockets, in 8 zones, with a stand-in for the platform's service.

use std::time::Duration;
use std::time::Instant;

use balsamfold::values::ConfigVersion;
use balsamfold::version::ChangeId;
use balsamfold::version::Configuration;
use testutils::fleet::ConfiguredFleet;
use testutils::fleet::sample_configuration;

const ZONES: [&str; 8] = ["a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"];

#[tokio::main]
async fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<usize>());
    let mut number = |default| args.next().and_then(Result::ok).unwrap_or(default);
    let (nodes, changes, keys) = (number(16), number(20), number(8));
    let organisations: Vec<_> = (0..keys).map(|key| format!("organisation-{key}")).collect();
    let organisations: Vec<_> = organisations.iter().map(String::as_str).collect();
    let configuration = sample_configuration(&ZONES, &organisations, &["stock"]);
    let bytes = serde_json::to_vec(&configuration).map_or(0, |bytes| bytes.len());
    let zones: Vec<_> = ZONES.into_iter().cycle().take(nodes).collect();
    let fleet = ConfiguredFleet::start(&configuration, &zones).await;
    let settled = fleet.change(next_version).await;
    fleet.wait_for_version(settled).await;
    let before = fleet.platform.status().calls;
    let mut times = Vec::new();
    for _ in 0..changes {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let started = Instant::now();
        let version = fleet.change(next_version).await;
        fleet.wait_for_version(version).await;
        times.push(started.elapsed());
    }
    let after = fleet.platform.status().calls;
    times.sort();
    println!("{nodes} nodes, {changes} changes of {bytes} bytes");
    println!("from before the read of the change until in force on all nodes:");
    println!(
        "  median {:?}, longest {:?}",
        times[changes / 2],
        times[changes - 1]
    );
    println!(
        "platform watches by all nodes: {}",
        after.watches - before.watches
    );
}

fn next_version(current: &Configuration, change_id: ChangeId) -> Configuration {
    Configuration {
        version: ConfigVersion(current.version.0 + 1),
        change_id,
        ..current.clone()
    }
}
