//! Measures what membership costs a node, at several fleet sizes over loopback UDP sockets.
//!
//! `cargo run --release --example membership_slopes -- 50 100 200 400 780` starts that many
//! memberships in this process, one size after another, and prints one table row for each size
//! and the straight line through the rows at 780 nodes. Bytes include 28 a datagram for the
//! headers of UDP and IP, sent and received. Processor time is that of the whole process, the
//! kernel's part included, divided by the number of nodes.

use std::fs;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use balsamfold::process::membership::LinkFilter;
use balsamfold::process::membership::Membership;
use balsamfold::process::membership::MembershipOptions;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::ServerRecord;
use balsamfold::process::secret::FleetSecret;
use balsamfold::values::Clock;
use balsamfold::values::ConnectionCount;
use balsamfold::values::NodeId;
use balsamfold::values::SlotCount;
use tokio::net::UdpSocket;

const TARGET_NODES: f64 = 780.0;
const ZONES: usize = 8;
const SERVICES: usize = 130;
const SEEDS: usize = 16;
const STARTS_PER_BATCH: usize = 50;
const BATCH_PERIOD: Duration = Duration::from_millis(100);
const JOIN_LIMIT: Duration = Duration::from_secs(120);
const SETTLE_TIME: Duration = Duration::from_secs(45);
const STEADY_TIME: Duration = Duration::from_secs(20);
const LEAVES: usize = 5;
const RESTART_LIMIT: Duration = Duration::from_secs(30);
const LEAVE_LIMIT: Duration = Duration::from_secs(30);
const POLL_PERIOD: Duration = Duration::from_millis(5);
const HEADER_BYTES: u64 = 28;
/// Clock ticks a second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Position of the user time in `/proc/self/stat`, counted after the name of the command.
const USER_TIME_FIELD: usize = 11;

/// What one size gave.
struct Row {
    nodes: usize,
    join_s: f64,
    join_kb: f64,
    steady_bytes_per_s: f64,
    steady_cpu_percent: f64,
    leave_s: f64,
    leave_kb: f64,
    restart_s: f64,
    memory_kb: f64,
}

#[tokio::main]
async fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    println!(
        "| nodes | join s | join KB/node | steady B/s/node | steady CPU %/node | leave known s (worst of {LEAVES}) | leave KB/node | restart known s | memory KB/node |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut rows = Vec::new();
    for size in sizes {
        let row = measure(size).await;
        print_row(&format!("{size}"), &row);
        rows.push(row);
    }
    if rows.len() > 1 {
        print_row("line at 780", &extended(&rows));
    }
}

async fn measure(size: usize) -> Row {
    let memory_before = resident_kb();
    let joining = Instant::now();
    let mut fleet = start_fleet(size).await;
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
    Row {
        nodes: size,
        join_s,
        join_kb,
        steady_bytes_per_s,
        steady_cpu_percent: 100.0 * steady_cpu_s / steady_s / size as f64,
        leave_s,
        leave_kb: leave_bytes / 1_000.0 / LEAVES as f64,
        restart_s: measure_restart(&mut fleet).await,
        memory_kb: (resident_kb() - memory_before) / size as f64,
    }
}

/// Lets nodes leave one after another, and returns the longest time until all others knew.
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

/// Replaces the last node, and returns the time until it and all others knew one another.
async fn measure_restart(fleet: &mut Vec<Membership>) -> f64 {
    let size = fleet.len();
    let seeds: Vec<_> = fleet.iter().take(SEEDS).map(probe_address).collect();
    fleet.pop();
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("bound socket");
    let started = Instant::now();
    let options = options(size - 1, address, seeds);
    let clock = Clock::start();
    fleet.push(Membership::start(
        options,
        socket,
        LinkFilter::open(),
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
    node.own().addresses.probe
}

async fn start_fleet(size: usize) -> Vec<Membership> {
    let mut sockets = Vec::new();
    for _ in 0..size {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        sockets.push(socket);
    }
    let addresses: Vec<SocketAddr> = sockets
        .iter()
        .map(|socket| socket.local_addr().expect("bound socket"))
        .collect();
    let seeds: Vec<_> = addresses.iter().take(SEEDS).copied().collect();
    let mut fleet = Vec::new();
    for (index, socket) in sockets.into_iter().enumerate() {
        let options = options(index, addresses[index], seeds.clone());
        let membership = Membership::start(options, socket, LinkFilter::open(), Clock::start());
        fleet.push(membership);
        if index % STARTS_PER_BATCH == 0 {
            tokio::time::sleep(BATCH_PERIOD).await;
        }
    }
    fleet
}

fn options(index: usize, address: SocketAddr, seeds: Vec<SocketAddr>) -> MembershipOptions {
    let secret: FleetSecret = "a secret for measurements".parse().expect("long enough");
    let zone = format!("region-{}-zone-{}", index % 2, index % ZONES);
    let service = format!("service-{}", index % SERVICES);
    MembershipOptions {
        id: node_id(index),
        zone: zone.parse().expect("valid name"),
        addresses: NodeAddresses {
            peer: address,
            control: address,
            probe: address,
        },
        server: Some(ServerRecord {
            service: service.parse().expect("valid name"),
            slots: SlotCount(90),
            connections: ConnectionCount(650),
        }),
        seeds,
        secret,
        random_seed: index as u64,
    }
}

fn node_id(index: usize) -> NodeId {
    format!("instance-{index:04}").parse().expect("valid name")
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
        println!("not reached in {limit:?}");
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

/// Returns the processor time that this process used, in user mode and in the kernel.
fn cpu_s() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").expect("Linux");
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S
}

/// Returns the resident memory of this process.
fn resident_kb() -> f64 {
    let text = fs::read_to_string("/proc/self/status").expect("Linux");
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}

/// Returns the least-squares line through the rows at the target size.
fn extended(rows: &[Row]) -> Row {
    let at_target = |value: fn(&Row) -> f64| {
        let count = rows.len() as f64;
        let mean_x = rows.iter().map(|row| row.nodes as f64).sum::<f64>() / count;
        let mean_y = rows.iter().map(value).sum::<f64>() / count;
        let shift = |row: &Row| row.nodes as f64 - mean_x;
        let covariance: f64 = rows
            .iter()
            .map(|row| shift(row) * (value(row) - mean_y))
            .sum();
        let variance: f64 = rows.iter().map(|row| shift(row).powi(2)).sum();
        mean_y + covariance / variance * (TARGET_NODES - mean_x)
    };
    Row {
        nodes: TARGET_NODES as usize,
        join_s: at_target(|row| row.join_s),
        join_kb: at_target(|row| row.join_kb),
        steady_bytes_per_s: at_target(|row| row.steady_bytes_per_s),
        steady_cpu_percent: at_target(|row| row.steady_cpu_percent),
        leave_s: at_target(|row| row.leave_s),
        leave_kb: at_target(|row| row.leave_kb),
        restart_s: at_target(|row| row.restart_s),
        memory_kb: at_target(|row| row.memory_kb),
    }
}

fn print_row(label: &str, row: &Row) {
    println!(
        "| {label} | {:.1} | {:.0} | {:.0} | {:.3} | {:.2} | {:.1} | {:.2} | {:.0} |",
        row.join_s,
        row.join_kb,
        row.steady_bytes_per_s,
        row.steady_cpu_percent,
        row.leave_s,
        row.leave_kb,
        row.restart_s,
        row.memory_kb,
    );
}
