//! Organisations get what a single bucket would admit, whatever the size of the fleet and the limit.

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
/// By this time holders are chosen and buckets are full.
const WARM_UP_US: u64 = 12 * SECOND_US;
/// Requests of each run, so that the share that is admitted is not left to chance.
const REQUESTS: u64 = 400;

/// Nodes at which requests arrive.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Everywhere,
    OneZone,
    OneNode,
}

fn id() -> OrganisationId {
    "workshop".parse().expect("the name is valid")
}

/// Plans requests at random times, at the organisation's rate on average. Returns how many of them a
/// single bucket for the whole fleet would admit.
fn plan_load_at_the_rate(
    fleet: &mut RateFleet,
    organisation: &Organisation,
    origin: Origin,
    seed: u64,
) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let rate_per_s = f64::from(organisation.rate_per_s.0);
    let burst_tokens = organisation.burst_tokens.0 as f64;
    let mut level = burst_tokens;
    let mut at_us = WARM_UP_US;
    let mut owed = 0;
    for _ in 0..REQUESTS {
        let gap_us = rng.random_range(0..(2.0 * 1e6 / rate_per_s) as u64);
        at_us += gap_us;
        level = (level + rate_per_s * gap_us as f64 / 1e6).min(burst_tokens);
        if level >= 1.0 {
            level -= 1.0;
            owed += 1;
        }
        let node = match origin {
            Origin::Everywhere => rng.random_range(0..fleet.node_count()),
            Origin::OneZone => rng.random_range(0..fleet.node_count() / ZONES),
            Origin::OneNode => 0,
        };
        fleet.plan_arrival(at_us, node, &organisation.id);
    }
    (owed, at_us)
}

/// Returns the share of what is owed that a fleet admits.
fn admitted_share(nodes_per_zone: usize, limits: (u32, u64), origin: Origin, seed: u64) -> f64 {
    let organisation = Organisation {
        id: id(),
        rate_per_s: RatePerSecond(limits.0),
        burst_tokens: TokenCount(limits.1),
    };
    let mut fleet = RateFleet::new(FleetSettings {
        seed,
        zone_count: ZONES,
        nodes_per_zone,
        link: Link::default(),
        drift_ppm: 0,
        counting: Counting::Messages,
        new_holder: NewHolder::Empty,
        lending: Lending::On,
        organisations: vec![organisation.clone()],
    });
    let (owed, until_us) = plan_load_at_the_rate(&mut fleet, &organisation, origin, seed);
    fleet.run_until(until_us + SECOND_US);
    let admitted = fleet.tally.admitted_us.remove(&id()).unwrap_or_default();
    admitted.len() as f64 / owed as f64
}

/// Checks the share that is admitted in fleets of 4 to 300 nodes: 0.95 of what is owed with even load,
/// 0.90 with all of it at one node or in one zone.
fn check_shares(limits: (u32, u64)) {
    for nodes_per_zone in [1, 20, 75] {
        for (origin, share_min) in [
            (Origin::Everywhere, 0.95),
            (Origin::OneZone, 0.90),
            (Origin::OneNode, 0.90),
        ] {
            let share = admitted_share(nodes_per_zone, limits, origin, 1);
            assert!(
                share >= share_min,
                "rate and burst {limits:?}, {nodes_per_zone} nodes a zone, {origin:?}: {share:.3}"
            );
        }
    }
}

/// Guards against limits that are divided by the number of nodes, which left nothing to an
/// organisation with fewer tokens than nodes.
#[test]
fn share_that_is_admitted_does_not_depend_on_the_number_of_nodes() {
    for limits in [(4, 1), (10, 10), (40, 40), (200, 20), (200, 200)] {
        check_shares(limits);
    }
}

/// Guards against small bursts of which each zone keeps a token or two, so that most zones are full and mint
/// nothing while one is short: load at the rate got 0.82 to 0.87 of what is owed.
#[test]
fn bursts_of_a_few_tokens_are_pooled() {
    for limits in [(4, 4), (5, 5), (10, 10), (40, 5)] {
        check_shares(limits);
    }
}

/// Guards against tokens that are lost at full buckets of one or two tokens in each zone, while other
/// zones are short.
#[test]
fn bursts_of_a_token_or_two_for_each_zone_are_used_up() {
    for limits in [(4, 4), (40, 1), (40, 5)] {
        check_shares(limits);
    }
}
