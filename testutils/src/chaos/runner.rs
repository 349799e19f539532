//! Runs each failure under load and prints a table.

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
use super::faults::Remedy;
use super::faults::begin;
use super::faults::end;
use super::invariants::Allowance;
use super::invariants::Breach;
use super::invariants::breaches;
use super::journal::End;
use super::journal::Runs;
use super::journal::Seen;
use super::pressure::Source;
use super::pressure::press;
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
/// The large organisation sends this many times its rate.
const LARGE_EXCESS: f64 = 2.0;
const SERVERS_PER_ZONE: usize = 2;
const SERVICE_TIME_MS: f64 = 3.0;
const BEFORE: Duration = Duration::from_secs(4);
const DURING: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(6);
const SETTLE: Duration = Duration::from_secs(3);
const WINDOW_MS: u64 = 250;
/// Part of the goodput before that counts as recovered.
const RECOVERED: f64 = 0.95;

/// What a run brings about.
#[derive(Clone, Debug)]
pub struct ChaosPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Failures; each entry happens at the same time.
    pub faults: Vec<Vec<FaultKind>>,
}

impl ChaosPlan {
    /// All failures one after another, and then the pairs.
    pub fn all(seed: u64) -> Self {
        let pairs = FaultKind::PAIRS
            .iter()
            .map(|(one, other)| vec![*one, *other]);
        let withdrawn_last = FaultKind::ALL.iter().map(|fault| vec![*fault]);
        Self {
            seed,
            faults: withdrawn_last.chain(pairs).collect(),
        }
    }
}

/// Runs the plan on a fleet of processes; returns the number of breaches.
pub async fn run_chaos(programs: &Programs, plan: ChaosPlan) -> Result<usize, Box<dyn Error>> {
    let runs = Runs::receive().await?;
    let services = services(&runs);
    let mut fleet = ProcessFleet::start(programs, &ZONES, &services)?;
    let configuration = configuration();
    store(&fleet, &configuration).await?;
    fleet.wait_until_ready().await?;
    println!(
        "{:<44} {:>6} {:>6} {:>7} {:>6} {:>6} {:>9} {:>8}",
        "failure", "sent", "whole", "refused", "may", "lost", "recovery", "breaches"
    );
    let mut total = 0;
    for (number, faults) in plan.faults.iter().enumerate() {
        tokio::time::sleep(SETTLE).await;
        runs.take();
        let seed = plan.seed.wrapping_add(number as u64);
        let seen = run_faults(&mut fleet, faults, seed).await?;
        // Reports of the last runs may still be on their way.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let found = breaches(&seen, &runs.take(), &["/order"], &allowances());
        print_row(faults, &seen, &found);
        total += found.len();
    }
    Ok(total)
}

async fn run_faults(
    fleet: &mut ProcessFleet,
    faults: &[FaultKind],
    seed: u64,
) -> Result<BTreeMap<String, Seen>, Box<dyn Error>> {
    let mut random = StdRng::seed_from_u64(seed);
    let load = press(fleet.entries(), sources(), BEFORE + DURING + AFTER, seed);
    let load = tokio::spawn(load);
    tokio::time::sleep(BEFORE).await;
    let mut remedies = Vec::new();
    for fault in faults {
        let spare = remedies.iter().find_map(Remedy::node);
        remedies.push(begin(*fault, fleet, spare, &mut random).await?);
    }
    tokio::time::sleep(DURING).await;
    for remedy in remedies {
        end(remedy, fleet).await?;
    }
    Ok(load.await?)
}

fn print_row(faults: &[FaultKind], seen: &BTreeMap<String, Seen>, found: &[Breach]) {
    let names: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let count =
        |wanted: &dyn Fn(End) -> bool| seen.values().filter(|seen| wanted(seen.end)).count();
    let recovery = match recovery_ms(seen) {
        Some(recovery_ms) => format!("{:.2} s", recovery_ms as f64 / 1_000.0),
        None => "none".to_owned(),
    };
    println!(
        "{:<44} {:>6} {:>6} {:>7} {:>6} {:>6} {:>9} {:>8}",
        names.join(" + "),
        seen.len(),
        count(&|end| end == End::Whole),
        count(&|end| end == End::Refused(Verdict::NotRun)),
        count(&|end| matches!(end, End::Refused(Verdict::MayHaveRun | Verdict::Ran))),
        count(&|end| end == End::Lost),
        recovery,
        found.len(),
    );
    for breach in found.iter().take(5) {
        println!("    {breach:?}");
    }
}

/// Returns the time from the begin of the failure until goodput is back for good.
fn recovery_ms(seen: &BTreeMap<String, Seen>) -> Option<u64> {
    let mut windows: BTreeMap<u64, u64> = BTreeMap::new();
    for seen in seen.values().filter(|seen| seen.end == End::Whole) {
        *windows.entry(seen.finished_ms / WINDOW_MS).or_default() += 1;
    }
    let whole = |from: u64, to: u64| -> f64 {
        (from..to)
            .map(|window| windows.get(&window).copied().unwrap_or(0))
            .sum::<u64>() as f64
    };
    let begin = BEFORE.as_millis() as u64 / WINDOW_MS;
    let last = (BEFORE + DURING + AFTER).as_millis() as u64 / WINDOW_MS;
    // The first quarter of the load spends the burst and warms up.
    let quiet = begin / 2;
    let before = whole(quiet, begin) / (begin - quiet) as f64;
    let span = 4;
    (begin..last - span)
        .find(|from| {
            whole(*from, last) / (last - from) as f64 >= RECOVERED * before
                && whole(*from, from + span) / span as f64 >= RECOVERED * before
        })
        .map(|from| (from - begin) * WINDOW_MS)
}

fn services(runs: &Runs) -> Vec<ServicePlan> {
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

async fn store(fleet: &ProcessFleet, configuration: &Configuration) -> Result<(), Box<dyn Error>> {
    let client = PlatformClient::new(&PlatformSettings::new(fleet.platform_address));
    match ConfigurationStore::new(&client, 1)
        .write(None, configuration)
        .await
    {
        Ok(WriteOutcome::Done) => Ok(()),
        outcome => Err(format!("the configuration was not accepted: {outcome:?}").into()),
    }
}

fn sources() -> Vec<Source> {
    let source = |index: usize, path: &str, factor: f64| Source {
        organisation: ORGANISATIONS[index].to_owned(),
        key: sample_key(ORGANISATIONS[index]).reveal().to_owned(),
        path: path.to_owned(),
        rate_per_s: f64::from(RATES_PER_S[index]) * factor,
    };
    vec![
        source(0, "/catalogue", LARGE_EXCESS / 2.0),
        source(0, "/order", LARGE_EXCESS / 2.0),
        source(1, "/catalogue", 0.45),
        source(1, "/order", 0.45),
        source(2, "/catalogue", 0.9),
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
