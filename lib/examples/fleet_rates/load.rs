//! The load, from a seed and equal for all methods.

use balsamfold::values::OrganisationId;
use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::version::Organisation;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const SECOND_US: u64 = 1_000_000;

/// Start of the load. Before it, buckets fill.
pub const STARTS_US: u64 = 6 * SECOND_US;

pub const ENDS_US: u64 = 26 * SECOND_US;

/// Shares of the organisations in the sum of all rates, in percent.
const SHARES_PERCENT: [u64; 8] = [35, 25, 12, 10, 8, 5, 3, 2];

/// Burst of each organisation, in seconds of its rate.
const BURST_S: u64 = 1;

/// Load of the organisations that keep their rates and of the one that does not, in percent of
/// their rates.
const WITHIN_PERCENT: u64 = 80;
const ABOVE_PERCENT: u64 = 400;

/// Index of the organisation that exceeds its rate.
const EXCEEDING_ORGANISATION: usize = 3;

/// Share of the requests of an organisation that arrive in one zone, in percent. The zone changes
/// every [`SHIFT_EVERY_US`].
const SKEW_PERCENT: u32 = 70;

const SHIFT_EVERY_US: u64 = 4 * SECOND_US;

/// Size of a fleet and the sum of all rates.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub zones: usize,
    pub nodes_per_zone: usize,
    pub rate_per_s: u64,
}

/// Arrival of a request at a node. `organisation` is an index.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_us: u64,
    pub node: usize,
    pub organisation: usize,
}

/// The requests of all organisations, ordered by time.
pub struct Load {
    pub size: FleetSize,
    pub organisations: Vec<Organisation>,
    pub arrivals: Vec<Arrival>,
}

impl FleetSize {
    pub fn node_count(&self) -> usize {
        self.zones * self.nodes_per_zone
    }
}

impl Load {
    pub fn new(size: FleetSize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let organisations = SHARES_PERCENT.iter().enumerate().map(|(index, share)| {
            let rate_per_s = size.rate_per_s * share / 100;
            Organisation {
                id: format!("o{index}").parse().expect("valid name"),
                rate_per_s: RatePerSecond(rate_per_s as u32),
                burst_tokens: TokenCount(rate_per_s * BURST_S),
            }
        });
        let organisations: Vec<_> = organisations.collect();
        let mut arrivals = Vec::new();
        for (index, organisation) in organisations.iter().enumerate() {
            let percent = if index == EXCEEDING_ORGANISATION {
                ABOVE_PERCENT
            } else {
                WITHIN_PERCENT
            };
            let rate_per_s = u64::from(organisation.rate_per_s.0) * percent / 100;
            let mut at_us = STARTS_US;
            while at_us < ENDS_US {
                let node = place(size, index, at_us, &mut rng);
                arrivals.push(Arrival {
                    at_us,
                    node,
                    organisation: index,
                });
                let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
                at_us += (-uniform.ln() * 1e6 / rate_per_s as f64) as u64;
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_us);
        Self {
            size,
            organisations,
            arrivals,
        }
    }

    pub fn id(&self, organisation: usize) -> &OrganisationId {
        &self.organisations[organisation].id
    }
}

fn place(size: FleetSize, organisation: usize, at_us: u64, rng: &mut StdRng) -> usize {
    let turn = (at_us / SHIFT_EVERY_US) as usize + organisation;
    let zone = match rng.random_range(0..100) < SKEW_PERCENT {
        true => turn % size.zones,
        false => rng.random_range(0..size.zones),
    };
    zone * size.nodes_per_zone + rng.random_range(0..size.nodes_per_zone)
}
