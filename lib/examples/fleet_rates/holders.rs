//! One holder per zone, with the library's state machines.

use testutils::rate_fleet::Counting;
use testutils::rate_fleet::FleetSettings;
use testutils::rate_fleet::Lending;
use testutils::rate_fleet::Link;
use testutils::rate_fleet::NewHolder;
use testutils::rate_fleet::RateFleet;

use super::SEED;
use super::load::ENDS_US;
use super::load::Load;
use super::load::SECOND_US;
use super::load::STARTS_US;
use super::outcome::Outcome;
use super::outcome::Traffic;

pub fn run(load: &Load, lending: Lending) -> Outcome {
    let mut fleet = RateFleet::new(FleetSettings {
        seed: SEED,
        zone_count: load.size.zones,
        nodes_per_zone: load.size.nodes_per_zone,
        link: Link::default(),
        drift_ppm: 0,
        counting: Counting::Bytes,
        new_holder: NewHolder::Empty,
        lending,
        organisations: load.organisations.clone(),
    });
    for arrival in &load.arrivals {
        let organisation = load.id(arrival.organisation);
        fleet.plan_arrival(arrival.at_us, arrival.node, organisation);
    }
    fleet.run_until(ENDS_US + SECOND_US);
    let admitted_us: Vec<Vec<u64>> = load
        .organisations
        .iter()
        .map(|limits| {
            fleet
                .tally
                .admitted_us
                .remove(&limits.id)
                .unwrap_or_default()
        })
        .collect();
    let messages = Traffic::of_nodes(&fleet.tally.messages_by_node, STARTS_US);
    let bytes = Traffic::of_nodes(&fleet.tally.json_bytes_by_node, STARTS_US);
    let waited = 100.0 * fleet.tally.waited as f64 / load.arrivals.len() as f64;
    println!("  {:?}", fleet.tally.messages_by_kind);
    println!("  ({waited:.1} % of the requests waited for a token)");
    Outcome::new(load, &admitted_us, messages, bytes)
}
