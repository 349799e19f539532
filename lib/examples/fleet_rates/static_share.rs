//! Each node has a fixed share of each rate and burst, and sends no messages.

use super::load::Load;
use super::load::STARTS_US;
use super::outcome::LocalBucket;
use super::outcome::Outcome;
use super::outcome::Traffic;

pub fn run(load: &Load) -> Outcome {
    let nodes = load.size.node_count();
    let shares = load.organisations.iter().map(|limits| {
        let rate_per_s = f64::from(limits.rate_per_s.0) / nodes as f64;
        let burst = limits.burst_tokens.0 as f64 / nodes as f64;
        vec![LocalBucket::full(rate_per_s, burst, STARTS_US); nodes]
    });
    let mut buckets: Vec<Vec<LocalBucket>> = shares.collect();
    let mut admitted_us = vec![Vec::new(); load.organisations.len()];
    for arrival in &load.arrivals {
        if buckets[arrival.organisation][arrival.node].admit(arrival.at_us) {
            admitted_us[arrival.organisation].push(arrival.at_us);
        }
    }
    Outcome::new(load, &admitted_us, Traffic::default(), Traffic::default())
}
