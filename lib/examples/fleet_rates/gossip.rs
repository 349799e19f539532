//! Each node counts the requests that it admits, and learns the counts of the others by gossip.
//!
//! Messages are modelled, not simulated one by one. In each period a node sends to a few others.
//! Counts reach all nodes after a number of periods that grows with the logarithm of the number of
//! nodes. Every node receives the counts of every other node that admitted requests.

use super::load::Load;
use super::load::SECOND_US;
use super::load::STARTS_US;
use super::outcome::LocalBucket;
use super::outcome::Outcome;
use super::outcome::Traffic;

const PERIOD_US: u64 = 500_000;
const FANOUT: f64 = 3.0;

/// Size of an entry: a node number and one count for each of 8 organisations.
const ENTRY_BYTES: f64 = 4.0 + 8.0 * 4.0;
const MESSAGE_BYTES: f64 = 60.0;

pub fn run(load: &Load) -> Outcome {
    let nodes = load.size.node_count();
    let rounds = ((nodes as f64).ln() / (FANOUT + 1.0).ln()).ceil() as u64;
    let delay_us = rounds * PERIOD_US;
    let mut admitted_us = vec![Vec::new(); load.organisations.len()];
    for (index, times) in admitted_us.iter_mut().enumerate() {
        *times = run_organisation(load, index, delay_us);
    }
    let per_s = SECOND_US as f64 / PERIOD_US as f64;
    let messages = 2.0 * FANOUT * per_s;
    let bytes = messages * MESSAGE_BYTES + 2.0 * nodes as f64 * ENTRY_BYTES * per_s;
    Outcome::new(load, &admitted_us, even(messages), even(bytes))
}

fn even(per_s: f64) -> Traffic {
    Traffic {
        mean_per_node: per_s,
        max_per_node: per_s,
    }
}

fn run_organisation(load: &Load, organisation: usize, delay_us: u64) -> Vec<u64> {
    let limits = &load.organisations[organisation];
    let (rate_per_s, burst) = (f64::from(limits.rate_per_s.0), limits.burst_tokens.0 as f64);
    let nodes = load.size.node_count();
    let mut buckets = vec![LocalBucket::full(rate_per_s, burst, STARTS_US); nodes];
    let mut learnt = vec![0; nodes];
    let mut admitted: Vec<(u64, usize)> = Vec::new();
    let arrivals = load.arrivals.iter();
    for arrival in arrivals.filter(|arrival| arrival.organisation == organisation) {
        let bucket = &mut buckets[arrival.node];
        let learnt = &mut learnt[arrival.node];
        while let Some((at_us, node)) = admitted.get(*learnt).copied() {
            if at_us + delay_us > arrival.at_us {
                break;
            }
            *learnt += 1;
            if node != arrival.node {
                bucket.take(at_us + delay_us);
            }
        }
        if bucket.admit(arrival.at_us) {
            admitted.push((arrival.at_us, arrival.node));
        }
    }
    admitted.into_iter().map(|(at_us, _)| at_us).collect()
}
