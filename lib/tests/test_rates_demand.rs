//! Requests within their organisation's rate are not refused at any node.

use balsamfold::values::OrganisationId;
use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::version::Organisation;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testutils::rate_fleet::Counting;
use testutils::rate_fleet::FleetSettings;
use testutils::rate_fleet::Lending;
use testutils::rate_fleet::Link;
use testutils::rate_fleet::NewHolder;
use testutils::rate_fleet::RateFleet;

const SECOND_US: u64 = 1_000_000;
const ZONES: usize = 4;
const NODES_PER_ZONE: usize = 4;

/// By this time holders are chosen and buckets are full.
const WARM_UP_US: u64 = 12 * SECOND_US;

/// Interval at which demand moves to another zone.
const SHIFT_EVERY_US: u64 = 3 * SECOND_US;

/// Parts of the rate and of the burst that the load uses, in percent.
const RATE_PERCENT: u64 = 90;
const BURST_PERCENT: u64 = 50;

/// Nodes at which requests arrive.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Everywhere,
    OneZoneAtATime,
    OneNodeAtATime,
}

fn organisation(rate_per_s: u32, burst_tokens: u64) -> Organisation {
    Organisation {
        id: id(),
        rate_per_s: RatePerSecond(rate_per_s),
        burst_tokens: TokenCount(burst_tokens),
    }
}

fn id() -> OrganisationId {
    "workshop".parse().expect("the name is valid")
}

fn fleet(seed: u64, lending: Lending, organisation: Organisation) -> RateFleet {
    RateFleet::new(FleetSettings {
        seed,
        zone_count: ZONES,
        nodes_per_zone: NODES_PER_ZONE,
        link: Link::default(),
        drift_ppm: 0,
        counting: Counting::Messages,
        new_holder: NewHolder::Empty,
        lending,
        organisations: vec![organisation],
    })
}

fn arrival_node(origin: Origin, at_us: u64, rng: &mut StdRng) -> usize {
    let shift = (at_us / SHIFT_EVERY_US) as usize;
    let zone = shift % ZONES;
    match origin {
        Origin::Everywhere => rng.random_range(0..ZONES * NODES_PER_ZONE),
        Origin::OneZoneAtATime => zone * NODES_PER_ZONE + rng.random_range(0..NODES_PER_ZONE),
        Origin::OneNodeAtATime => zone * NODES_PER_ZONE + shift / ZONES % NODES_PER_ZONE,
    }
}

/// Plans requests that a single bucket with these parts of rate and burst would admit.
fn plan_conforming_load(
    fleet: &mut RateFleet,
    organisation: &Organisation,
    origin: Origin,
    seed: u64,
    until_us: u64,
) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let rate_per_s = f64::from(organisation.rate_per_s.0) * RATE_PERCENT as f64 / 100.0;
    let burst_tokens = (organisation.burst_tokens.0 * BURST_PERCENT / 100).max(1) as f64;
    let mut level = burst_tokens;
    let mut at_us = WARM_UP_US;
    let mut planned = 0;
    while at_us < until_us {
        let gap_us = rng.random_range(0..(2.0 * 1e6 / rate_per_s) as u64);
        at_us += gap_us;
        level = (level + rate_per_s * gap_us as f64 / 1e6).min(burst_tokens);
        let wanted = if rng.random_ratio(1, 50) {
            level as u64
        } else {
            1
        };
        for _ in 0..wanted.min(level as u64) {
            let node = arrival_node(origin, at_us, &mut rng);
            fleet.plan_arrival(at_us, node, &organisation.id);
            level -= 1.0;
            planned += 1;
        }
    }
    planned
}

/// Returns for each refused request the time since the last move of demand, in microseconds.
fn refusals(organisation: &Organisation, lending: Lending, origin: Origin, seed: u64) -> Vec<u64> {
    let until_us = WARM_UP_US + 24 * SECOND_US;
    let mut fleet = fleet(seed, lending, organisation.clone());
    let planned = plan_conforming_load(&mut fleet, organisation, origin, seed, until_us);
    fleet.run_until(until_us + SECOND_US);
    let admitted = fleet.tally.admitted_us.remove(&id()).unwrap_or_default();
    let refused = fleet.tally.refused_us.remove(&id()).unwrap_or_default();
    assert_eq!(admitted.len() + refused.len(), planned);
    let after_shift = refused.into_iter().map(|at_us| at_us % SHIFT_EVERY_US);
    after_shift.collect()
}

#[test]
fn requests_within_the_rate_are_not_refused() {
    for (rate_per_s, burst_tokens) in [(400, 400), (100, 200), (40, 20), (20, 80)] {
        let organisation = organisation(rate_per_s, burst_tokens);
        for origin in [
            Origin::Everywhere,
            Origin::OneZoneAtATime,
            Origin::OneNodeAtATime,
        ] {
            for seed in 0..3 {
                let refused = refusals(&organisation, Lending::On, origin, seed);
                assert_eq!(
                    refused,
                    Vec::<u64>::new(),
                    "{organisation:?} {origin:?} seed {seed}"
                );
            }
        }
    }
}

#[test]
fn without_lending_shifting_demand_is_refused() {
    let organisation = organisation(100, 200);
    let refused = refusals(&organisation, Lending::Off, Origin::OneZoneAtATime, 0);
    let after_a_second = refused.iter().filter(|after_us| **after_us > SECOND_US);
    assert!(after_a_second.count() > 0);
}
