//! Measures the cost of membership per node, at several fleet sizes over loopback UDP sockets.
//!
//! Usage: `cargo run --release --example membership_slopes -- 50 100 200 400 780`. Starts that many
//! memberships in this process, one size after another. Prints one table row for each size, and the
//! value at 780 nodes of the least-squares line through the rows. Bytes are those sent and
//! received, with 28 bytes per datagram for the headers of UDP and IP. Processor time is that of
//! the whole process, in user mode and in the kernel, divided by the number of nodes.

mod links;
mod process_cost;
mod row;
mod start;

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsamfold::process::membership::LinkFilter;
use balsamfold::process::membership::LinkState;
use balsamfold::process::membership::Membership;
use balsamfold::process::membership::NodeCondition;
use balsamfold::values::Clock;
use tokio::net::UdpSocket;

use crate::links::Links;
use crate::process_cost::cpu_s;
use crate::process_cost::resident_kb;
use crate::row::Row;
use crate::row::extrapolated;
use crate::row::print_row;
use crate::start::SEEDS;
use crate::start::node_id;
use crate::start::options;
use crate::start::start_fleet;

const JOIN_LIMIT: Duration = Duration::from_secs(120);
const SETTLE_TIME: Duration = Duration::from_secs(45);
const STEADY_TIME: Duration = Duration::from_secs(20);
const LEAVES: usize = 5;
const RESTART_LIMIT: Duration = Duration::from_secs(30);
const LEAVE_LIMIT: Duration = Duration::from_secs(30);
const CUT_TIME: Duration = Duration::from_secs(30);
const HEAL_LIMIT: Duration = Duration::from_secs(60);
const DEATH_LIMIT: Duration = Duration::from_secs(60);
const POLL_PERIOD: Duration = Duration::from_millis(5);
const HEADER_BYTES: u64 = 28;

#[tokio::main]
async fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    println!(
        "| nodes | join s | join KB/node | steady B/s/node | steady CPU %/node | leave known s (worst of {LEAVES}) | leave KB/node | region heal agreed s | heal KB/node | restart known s | death known s | memory KB/node |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    let mut rows = Vec::new();
    for size in sizes {
        let row = measure(size).await;
        print_row(&format!("{size}"), &row);
        rows.push(row);
    }
    if rows.len() > 1 {
        print_row("extrapolated to 780", &extrapolated(&rows));
    }
}

async fn measure(size: usize) -> Row {
    let memory_before = resident_kb();
    let joining = Instant::now();
    let links = Arc::new(Links::default());
    let mut fleet = start_fleet(size, &links).await;
    wait_until(JOIN_LIMIT, || fleet.iter().all(|node| knows(node, size))).await;
    let join_s = joining.elapsed().as_secs_f64();
    tokio::time::sleep(SETTLE_TIME).await;
    let join_kb = total_bytes(&fleet) as f64 / 1_000.0 / size as f64;

    let (bytes_before, cpu_before) = (total_bytes(&fleet), cpu_s());
    let steady = Instant::now();
    tokio::time::sleep(STEADY_TIME).await;
    let steady_s = steady.elapsed().as_secs_f64();
    let steady_bytes = (total_bytes(&fleet) - bytes_before) as f64;
    let steady_cpu_s = cpu_s() - cpu_before;
    let steady_bytes_per_s = steady_bytes / steady_s / size as f64;

    let bytes_before = total_bytes(&fleet);
    let leaving_since = Instant::now();
    let leave_s = measure_leaves(&fleet, size - LEAVES..size).await;
    let leaves_s = leaving_since.elapsed().as_secs_f64();
    let leave_bytes = (total_bytes(&fleet) - bytes_before) as f64 / size as f64;
    let leave_bytes = leave_bytes - steady_bytes_per_s * leaves_s;
    let (heal_s, heal_bytes) = measure_heal(&fleet, &links).await;
    Row {
        nodes: size,
        join_s,
        join_kb,
        steady_bytes_per_s,
        steady_cpu_percent: 100.0 * steady_cpu_s / steady_s / size as f64,
        leave_s,
        leave_kb: leave_bytes / 1_000.0 / LEAVES as f64,
        heal_s,
        heal_kb: heal_bytes as f64 / 1_000.0 / size as f64,
        restart_s: measure_restart(&mut fleet).await,
        death_s: measure_death(&mut fleet).await,
        memory_kb: (resident_kb() - memory_before) / size as f64,
    }
}

/// Lets nodes leave one after another, and returns the longest time until all nodes know of a
/// departure.
async fn measure_leaves(fleet: &[Membership], leaving: Range<usize>) -> f64 {
    let mut worst_s: f64 = 0.0;
    for index in leaving {
        let id = node_id(index);
        let started = Instant::now();
        fleet[index].leave();
        let is_known = |node: &Membership| {
            let table = node.latest();
            let record = table.node(&id);
            record.is_some_and(|record| record.condition == NodeCondition::Leaving)
        };
        wait_until(LEAVE_LIMIT, || fleet.iter().all(is_known)).await;
        worst_s = worst_s.max(started.elapsed().as_secs_f64());
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    worst_s
}

/// Cuts the links between the two regions and restores them. Returns the time from then until no
/// node has a suspect or dead record, and the bytes of all nodes in that time.
async fn measure_heal(fleet: &[Membership], links: &Links) -> (f64, u64) {
    links.set(LinkState::Cut);
    tokio::time::sleep(CUT_TIME).await;
    let suspect = fleet.iter().map(|node| count(node, NodeCondition::Suspect));
    let suspect: usize = suspect.sum();
    let dead = fleet.iter().map(|node| count(node, NodeCondition::Dead));
    let dead: usize = dead.sum();
    eprintln!(
        "{} nodes, cut: {suspect} records suspect, {dead} dead",
        fleet.len()
    );

    let bytes_before = total_bytes(fleet);
    let healed = Instant::now();
    links.set(LinkState::Up);
    let agrees = |node: &Membership| {
        count(node, NodeCondition::Suspect) + count(node, NodeCondition::Dead) == 0
    };
    wait_until(HEAL_LIMIT, || fleet.iter().all(agrees)).await;
    let heal_s = healed.elapsed().as_secs_f64();
    (heal_s, total_bytes(fleet) - bytes_before)
}

fn count(node: &Membership, condition: NodeCondition) -> usize {
    let table = node.latest();
    let nodes = table.nodes();
    nodes.filter(|record| record.condition == condition).count()
}

/// Stops the last node without a notice to the others, and returns the time until they all have it
/// as dead.
async fn measure_death(fleet: &mut Vec<Membership>) -> f64 {
    let id = node_id(fleet.len() - 1);
    fleet.pop();
    let started = Instant::now();
    let is_known = |node: &Membership| {
        let table = node.latest();
        let record = table.node(&id);
        record.is_some_and(|record| record.condition == NodeCondition::Dead)
    };
    wait_until(DEATH_LIMIT, || fleet.iter().all(is_known)).await;
    started.elapsed().as_secs_f64()
}

/// Replaces the last node by one at another address, and returns the time until all nodes know the
/// new address and every node knows the whole fleet.
async fn measure_restart(fleet: &mut Vec<Membership>) -> f64 {
    let size = fleet.len();
    let seeds: Vec<_> = fleet.iter().take(SEEDS).map(probe_address).collect();
    fleet.pop();
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
    let address = socket.local_addr().expect("bound socket");
    let started = Instant::now();
    let options = options(size - 1, address, seeds);
    let clock = Clock::start();
    fleet.push(Membership::start(
        options,
        socket,
        LinkFilter::allow_all(),
        clock,
    ));
    let id = node_id(size - 1);
    let is_known = |node: &Membership| {
        let table = node.latest();
        let record = table.node(&id);
        record.is_some_and(|record| record.addresses.probe == address)
    };
    wait_until(RESTART_LIMIT, || {
        fleet.iter().all(|node| is_known(node) && knows(node, size))
    })
    .await;
    started.elapsed().as_secs_f64()
}

fn probe_address(node: &Membership) -> SocketAddr {
    node.own_record().addresses.probe
}

fn knows(node: &Membership, size: usize) -> bool {
    node.latest().nodes().count() == size
}

async fn wait_until(limit: Duration, reached: impl Fn() -> bool) {
    let started = Instant::now();
    while !reached() && started.elapsed() < limit {
        tokio::time::sleep(POLL_PERIOD).await;
    }
    if !reached() {
        println!("condition not reached within {limit:?}");
    }
}

fn total_bytes(fleet: &[Membership]) -> u64 {
    let counters = fleet.iter().map(Membership::counters);
    counters
        .map(|counters| {
            let datagrams = counters.sent + counters.received;
            counters.sent_bytes + counters.received_bytes + HEADER_BYTES * datagrams
        })
        .sum()
}
