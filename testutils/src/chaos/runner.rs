//! Injects each failure under load and prints a table of the results.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::Duration;

use balsamfold::process::configuration::ConfigurationStore;
use balsamfold::process::configuration::WriteOutcome;
use balsamfold::process::platform::PlatformClient;
use balsamfold::process::platform::PlatformSettings;
use balsamfold::request::Verdict;
use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::version::Configuration;
use balsamfold::version::Repeatability;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::FaultKind;
use super::faults::Recovery;
use super::faults::inject;
use super::faults::recover;
use super::invariants::Allowance;
use super::invariants::Breach;
use super::invariants::find_breaches;
use super::load::Workload;
use super::load::send_load;
use super::records::CallerRecord;
use super::records::RequestOutcome;
use super::records::RunCollector;
use crate::fleet::sample_configuration;
use crate::fleet::sample_key;
use crate::mesh::ProcessFleet;
use crate::mesh::Programs;
use crate::mesh::ServicePlan;
use crate::mesh::chain;

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const SERVICES: [&str; 3] = ["catalogue", "price", "stock"];
const ORDER: &str = "order";
const ORGANISATIONS: [&str; 3] = ["large", "small", "withdrawn"];
const RATES_PER_S: [u32; 3] = [120, 40, 40];
/// Load of the large organisation as a multiple of its rate.
const LARGE_EXCESS: f64 = 2.0;
const SERVERS_PER_ZONE: usize = 2;
const SERVICE_TIME_MS: f64 = 3.0;
const TIME_BEFORE_FAULT: Duration = Duration::from_secs(4);
const FAULT_DURATION: Duration = Duration::from_secs(4);
const TIME_AFTER_FAULT: Duration = Duration::from_secs(6);
const SETTLE_TIME: Duration = Duration::from_secs(3);
const WINDOW_MS: u64 = 250;
/// Fraction of the goodput before the failure at which the fleet counts as recovered.
const RECOVERED_FRACTION: f64 = 0.95;

/// The failures of one run.
#[derive(Clone, Debug)]
pub struct ChaosPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Steps of the run; the failures of one step are injected together.
    pub faults: Vec<Vec<FaultKind>>,
}

impl ChaosPlan {
    /// Creates the plan with all failures one after another, and then the pairs.
    pub fn all(seed: u64) -> Self {
        let pairs = FaultKind::PAIRS
            .iter()
            .map(|(one, other)| vec![*one, *other]);
        let single_faults = FaultKind::ALL.iter().map(|fault| vec![*fault]);
        Self {
            seed,
            faults: single_faults.chain(pairs).collect(),
        }
    }
}

/// Runs the plan on a fleet of processes; returns the number of breaches.
pub async fn run_chaos(programs: &Programs, plan: ChaosPlan) -> Result<usize, Box<dyn Error>> {
    let runs = RunCollector::start().await?;
    let services = services(&runs);
    let mut fleet = ProcessFleet::start(programs, &ZONES, &services)?;
    let configuration = configuration();
    store_configuration(&fleet, &configuration).await?;
    fleet.wait_until_ready().await?;
    println!(
        "{:<44} {:>6} {:>6} {:>7} {:>6} {:>6} {:>9} {:>8}",
        "failure", "sent", "whole", "refused", "may", "lost", "recovery", "breaches"
    );
    let mut total = 0;
    for (number, faults) in plan.faults.iter().enumerate() {
        tokio::time::sleep(SETTLE_TIME).await;
        runs.take();
        let seed = plan.seed.wrapping_add(number as u64);
        let records = run_faults(&mut fleet, faults, seed).await?;
        // Reports of the last runs may still be in flight.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let found = find_breaches(&records, &runs.take(), &["/order"], &allowances());
        print_row(faults, &records, &found);
        total += found.len();
    }
    Ok(total)
}

async fn run_faults(
    fleet: &mut ProcessFleet,
    faults: &[FaultKind],
    seed: u64,
) -> Result<BTreeMap<String, CallerRecord>, Box<dyn Error>> {
    let mut random = StdRng::seed_from_u64(seed);
    let load = send_load(
        fleet.caller_addresses(),
        workloads(),
        TIME_BEFORE_FAULT + FAULT_DURATION + TIME_AFTER_FAULT,
        seed,
    );
    let load = tokio::spawn(load);
    tokio::time::sleep(TIME_BEFORE_FAULT).await;
    let mut recoveries = Vec::new();
    for fault in faults {
        let excluded = recoveries.iter().find_map(Recovery::node);
        recoveries.push(inject(*fault, fleet, excluded, &mut random).await?);
    }
    tokio::time::sleep(FAULT_DURATION).await;
    for recovery in recoveries {
        recover(recovery, fleet).await?;
    }
    Ok(load.await?)
}

fn print_row(faults: &[FaultKind], records: &BTreeMap<String, CallerRecord>, found: &[Breach]) {
    let names: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let count = |wanted: &dyn Fn(RequestOutcome) -> bool| {
        records
            .values()
            .filter(|record| wanted(record.outcome))
            .count()
    };
    let recovery = match recovery_ms(records) {
        Some(recovery_ms) => format!("{:.2} s", recovery_ms as f64 / 1_000.0),
        None => "none".to_owned(),
    };
    println!(
        "{:<44} {:>6} {:>6} {:>7} {:>6} {:>6} {:>9} {:>8}",
        names.join(" + "),
        records.len(),
        count(&|outcome| outcome == RequestOutcome::Whole),
        count(&|outcome| outcome == RequestOutcome::Refused(Verdict::NotRun)),
        count(&|outcome| matches!(
            outcome,
            RequestOutcome::Refused(Verdict::MayHaveRun | Verdict::Ran)
        )),
        count(&|outcome| outcome == RequestOutcome::Lost),
        recovery,
        found.len(),
    );
    for breach in found.iter().take(5) {
        println!("    {breach:?}");
    }
}

/// Returns the time from the start of the failure until the goodput recovers and stays recovered.
fn recovery_ms(records: &BTreeMap<String, CallerRecord>) -> Option<u64> {
    let mut windows: BTreeMap<u64, u64> = BTreeMap::new();
    for record in records
        .values()
        .filter(|record| record.outcome == RequestOutcome::Whole)
    {
        *windows.entry(record.finished_ms / WINDOW_MS).or_default() += 1;
    }
    let whole = |from: u64, to: u64| -> f64 {
        (from..to)
            .map(|window| windows.get(&window).copied().unwrap_or(0))
            .sum::<u64>() as f64
    };
    let begin = TIME_BEFORE_FAULT.as_millis() as u64 / WINDOW_MS;
    let last =
        (TIME_BEFORE_FAULT + FAULT_DURATION + TIME_AFTER_FAULT).as_millis() as u64 / WINDOW_MS;
    // The first half of the time before the failure is left out: it spends the burst and warms up.
    let measured_from = begin / 2;
    let before = whole(measured_from, begin) / (begin - measured_from) as f64;
    let span = 4;
    (begin..last - span)
        .find(|from| {
            whole(*from, last) / (last - from) as f64 >= RECOVERED_FRACTION * before
                && whole(*from, from + span) / span as f64 >= RECOVERED_FRACTION * before
        })
        .map(|from| (from - begin) * WINDOW_MS)
}

fn services(runs: &RunCollector) -> Vec<ServicePlan> {
    let mut services = chain(&SERVICES, SERVERS_PER_ZONE, SERVICE_TIME_MS);
    let mut order = chain(&[ORDER], SERVERS_PER_ZONE, SERVICE_TIME_MS);
    order[0].server.calls = vec!["/stock".to_owned()];
    services.append(&mut order);
    for service in &mut services {
        service.server.report_to = Some(runs.address());
    }
    services
}

fn configuration() -> Configuration {
    let services = [SERVICES.as_slice(), &[ORDER]].concat();
    let mut configuration = sample_configuration(&ZONES, &ORGANISATIONS, &services);
    for route in &mut configuration.routes {
        if route.service.as_str() == ORDER {
            route.repeatability = Repeatability::AtMostOnce;
        }
    }
    for (name, rate_per_s) in ORGANISATIONS.iter().zip(RATES_PER_S) {
        let organisation = configuration
            .organisations
            .values_mut()
            .find(|organisation| organisation.id.as_str() == *name);
        if let Some(organisation) = organisation {
            organisation.rate_per_s = RatePerSecond(rate_per_s);
            organisation.burst_tokens = TokenCount(u64::from(rate_per_s));
        }
    }
    configuration
}

async fn store_configuration(
    fleet: &ProcessFleet,
    configuration: &Configuration,
) -> Result<(), Box<dyn Error>> {
    let client = PlatformClient::new(&PlatformSettings::new(fleet.platform_address));
    match ConfigurationStore::new(&client, 1)
        .write(None, configuration)
        .await
    {
        Ok(WriteOutcome::Done) => Ok(()),
        outcome => Err(format!("the configuration was not accepted: {outcome:?}").into()),
    }
}

fn workloads() -> Vec<Workload> {
    let workload = |index: usize, path: &str, factor: f64| Workload {
        organisation: ORGANISATIONS[index].to_owned(),
        key: sample_key(ORGANISATIONS[index]).reveal().to_owned(),
        path: path.to_owned(),
        rate_per_s: f64::from(RATES_PER_S[index]) * factor,
    };
    vec![
        workload(0, "/catalogue", LARGE_EXCESS / 2.0),
        workload(0, "/order", LARGE_EXCESS / 2.0),
        workload(1, "/catalogue", 0.45),
        workload(1, "/order", 0.45),
        workload(2, "/catalogue", 0.9),
    ]
}

fn allowances() -> BTreeMap<String, Allowance> {
    ORGANISATIONS
        .iter()
        .zip(RATES_PER_S)
        .map(|(name, rate_per_s)| {
            let rate_per_s = f64::from(rate_per_s);
            let allowance = Allowance {
                rate_per_s,
                burst_tokens: rate_per_s,
            };
            ((*name).to_owned(), allowance)
        })
        .collect()
}
