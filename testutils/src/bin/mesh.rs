//! Starts a fleet of processes on the loopback interface, sends load through a chain of four
//! services and prints the outcomes. Ends by itself and kills all its processes.

use std::io::IsTerminal;
use std::time::Duration;

use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;
use testutils::load::LoadPlan;
use testutils::load::Tenant;
use testutils::load::run_load;
use testutils::mesh::ProcessFleet;
use testutils::mesh::Programs;
use testutils::mesh::chain;
use testutils::mesh::wait_for_stop_signal;

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const SERVICES: [&str; 4] = ["catalogue", "price", "order", "stock"];
const ORGANISATIONS: [&str; 3] = ["large", "medium", "small"];
const RATES_PER_S: [f64; 3] = [300.0, 120.0, 30.0];
const SERVERS_PER_ZONE: usize = 2;
const SERVICE_TIME_MS: f64 = 3.0;
const DURATION: Duration = Duration::from_secs(8);

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    tokio::select! {
        result = run() => result,
        () = wait_for_stop_signal() => Err("stopped by a signal".into()),
    }
}

async fn run() -> Result<(), Box<dyn std::error::Error>> {
    let show = std::io::stderr().is_terminal();
    println!("building the programs");
    let programs = Programs::build()?;
    println!(
        "starting {} nodes and their backend servers in {} zones",
        ZONES.len() * SERVICES.len() * SERVERS_PER_ZONE,
        ZONES.len()
    );
    let services = chain(&SERVICES, SERVERS_PER_ZONE, SERVICE_TIME_MS);
    let fleet = ProcessFleet::start(&programs, &ZONES, &services)?;
    fleet
        .configure(&sample_configuration(&ZONES, &ORGANISATIONS, &SERVICES))
        .await?;
    println!("sending load through {}", SERVICES.join(" -> "));
    let tenants = ORGANISATIONS
        .iter()
        .zip(RATES_PER_S)
        .map(|(name, rate_per_s)| Tenant {
            name: (*name).to_owned(),
            key: sample_key(name).reveal().to_owned(),
            path: format!("/{}", SERVICES[0]),
            rate_per_s,
        });
    let plan = LoadPlan {
        caller_addresses: fleet.caller_addresses(),
        tenants: tenants.collect(),
        duration: DURATION,
    };
    let report = run_load(plan, |elapsed, whole| {
        if show {
            eprint!(
                "\r{:>4.1} s  {whole} complete responses",
                elapsed.as_secs_f64()
            );
        }
    })
    .await;
    if show {
        eprintln!();
    }
    print!("{report}");
    Ok(())
}
