//! Measures the latency that nodes add to a chain of services: the same chain is called directly and
//! through nodes in turn, well below its capacity. Then one node is loaded to saturation.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use balsamfold::connection::BufferedRequest;
use testutils::backend_server::Upstream;
use testutils::fleet::Caller;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;
use testutils::load::LoadPlan;
use testutils::load::LoadReport;
use testutils::load::Tenant;
use testutils::load::run_load;
use testutils::mesh::ChildProcess;
use testutils::mesh::ProcessFleet;
use testutils::mesh::ProcessUsage;
use testutils::mesh::Programs;
use testutils::mesh::ServicePlan;
use testutils::mesh::chain;
use testutils::mesh::start_server;
use tokio::time::Instant;

const ORGANISATION: &str = "small";
const DEPTHS: [usize; 3] = [1, 4, 14];
const RATE_PER_S: f64 = 100.0;
const SERVICE_TIME_MS: f64 = 1.0;
const ROUND_DURATION: Duration = Duration::from_secs(5);
const ROUNDS: usize = 2;
const SATURATION_DURATION: Duration = Duration::from_secs(5);
const CONCURRENCY: usize = 12;
const IDLE_CONNECTIONS: usize = 1_000;
/// Target for the 99 % quantile of the latency added to a call, from the size that the design is
/// made for.
const TARGET_ADDED_MS: f64 = 0.88;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let programs = Programs::build()?;
    println!("depth  chain     median ms   99 % ms   added a call: median ms, 99 % ms");
    for depth in DEPTHS {
        compare(&programs, depth).await?;
    }
    println!("target: {TARGET_ADDED_MS} ms added to a call at the 99 % quantile");
    saturate(&programs).await
}

async fn compare(programs: &Programs, depth: usize) -> Result<(), Box<dyn Error>> {
    let names: Vec<String> = (0..depth).map(|level| format!("level-{level}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let services = chain(&names, 1, SERVICE_TIME_MS);
    let fleet = ProcessFleet::start(programs, &["zone-a"], &services)?;
    fleet
        .configure(&sample_configuration(&["zone-a"], &[ORGANISATION], &names))
        .await?;
    let (direct, _servers) = start_direct(programs, &services)?;
    // The last node is the ingress node, so that it forwards the request to the first one.
    let ingress = fleet.nodes[depth - 1].addresses.caller;
    let mut direct_report = LoadReport::new();
    let mut nodes_report = LoadReport::new();
    // The first requests open the connections of the fleet and are not counted.
    load(direct).await;
    load(ingress).await;
    for _ in 0..ROUNDS {
        direct_report
            .latency_us
            .add(load(direct).await.latency_us)?;
        nodes_report
            .latency_us
            .add(load(ingress).await.latency_us)?;
    }
    let added_ms = |quantile: f64| {
        let direct_us = direct_report.quantile_us(quantile) as f64;
        let nodes_us = nodes_report.quantile_us(quantile) as f64;
        (nodes_us - direct_us) / depth as f64 / 1_000.0
    };
    print_row(depth, "direct", &direct_report, "");
    let added = format!("{:.3}, {:.3}", added_ms(0.5), added_ms(0.99));
    print_row(depth, "nodes", &nodes_report, &added);
    Ok(())
}

fn print_row(depth: usize, chain: &str, report: &LoadReport, added: &str) {
    let median_ms = report.quantile_us(0.5) as f64 / 1_000.0;
    let high_ms = report.quantile_us(0.99) as f64 / 1_000.0;
    println!("{depth:>5}  {chain:<8} {median_ms:>10.3} {high_ms:>9.3}   {added}");
}

fn start_direct(
    programs: &Programs,
    services: &[ServicePlan],
) -> Result<(SocketAddr, Vec<ChildProcess>), Box<dyn Error>> {
    let mut servers = Vec::new();
    let mut upstream = Upstream::None;
    for service in services.iter().rev() {
        let server = start_server(programs, &service.server, &service.behaviour, upstream)?;
        upstream = Upstream::Direct(server.first_line().parse()?);
        servers.push(server);
    }
    match upstream {
        Upstream::Direct(address) => Ok((address, servers)),
        Upstream::Node(_) | Upstream::None => Err("the chain has no service".into()),
    }
}

async fn load(ingress: SocketAddr) -> LoadReport {
    let tenant = Tenant {
        name: ORGANISATION.to_owned(),
        key: sample_key(ORGANISATION).reveal().to_owned(),
        path: "/level-0".to_owned(),
        rate_per_s: RATE_PER_S,
    };
    let plan = LoadPlan {
        caller_addresses: vec![ingress],
        tenants: vec![tenant],
        duration: ROUND_DURATION,
    };
    run_load(plan, |_, _| {}).await
}

/// Loads one node that is ingress node and admission gate, and prints its throughput and memory.
async fn saturate(programs: &Programs) -> Result<(), Box<dyn Error>> {
    let mut services = chain(&["level-0"], 1, 0.0);
    services[0].behaviour.jitter_ratio = 0.0;
    let fleet = ProcessFleet::start(programs, &["zone-a"], &services)?;
    fleet
        .configure(&sample_configuration(
            &["zone-a"],
            &[ORGANISATION],
            &["level-0"],
        ))
        .await?;
    let node = &fleet.nodes[0];
    let idle = ProcessUsage::read(node.node.pid())?;
    println!("memory of an idle node: {} kB", idle.resident_kb);
    let whole = closed_loop(node.addresses.caller).await;
    let busy = ProcessUsage::read(node.node.pid())?;
    let cpu_s = busy.cpu_s - idle.cpu_s;
    println!(
        "one node as ingress and gate: {:.0} requests/s, {:.0} requests per second of processor time",
        whole as f64 / SATURATION_DURATION.as_secs_f64(),
        whole as f64 / cpu_s
    );
    let mut open = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        open.push(tokio::net::TcpStream::connect(node.addresses.caller).await?);
    }
    let caller = Caller::new(node.addresses.caller);
    let response = caller.send(request()).await?;
    let connected = ProcessUsage::read(node.node.pid())?;
    println!(
        "memory with {IDLE_CONNECTIONS} idle connections: {} kB (status of one more request: {})",
        connected.resident_kb, response.status
    );
    Ok(())
}

async fn closed_loop(ingress: SocketAddr) -> u64 {
    let deadline = Instant::now() + SATURATION_DURATION;
    let callers = (0..CONCURRENCY).map(|_| async move {
        let caller = Caller::new(ingress);
        let mut whole = 0;
        while Instant::now() < deadline {
            match caller.send(request()).await {
                Ok(response) if response.status == http::StatusCode::OK => whole += 1,
                Ok(_) | Err(_) => {}
            }
        }
        whole
    });
    futures::future::join_all(callers).await.into_iter().sum()
}

fn request() -> BufferedRequest {
    post("/level-0", Some(&sample_key(ORGANISATION)), &[], "request")
}
