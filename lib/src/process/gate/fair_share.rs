//! Division of a capacity between organisations by their rates.

use crate::values::OrganisationId;

/// What an organisation asks for at one importance.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationDemand {
    /// The organisation; none for requests on routes open to all.
    pub organisation: Option<OrganisationId>,
    /// Requests a second.
    pub demand_per_s: f64,
    /// The rate of the organisation, which is its share.
    pub rate_per_s: f64,
}

impl OrganisationDemand {
    fn demand_per_rate(&self) -> f64 {
        self.demand_per_s / self.rate_per_s
    }

    /// Returns what the organisation gets at a level.
    pub fn granted_per_s(&self, level: f64) -> f64 {
        self.demand_per_s.min(level * self.rate_per_s)
    }
}

/// Returns the level at which a capacity is used up when each organisation gets its demand, but at
/// most the level times its rate (max-min fairness, weighted by the rates).
pub fn fair_level(demands: &mut [OrganisationDemand], capacity_per_s: f64) -> f64 {
    demands.sort_by(|a, b| a.demand_per_rate().total_cmp(&b.demand_per_rate()));
    let mut left_per_s = capacity_per_s;
    let mut left_rate: f64 = demands.iter().map(|demand| demand.rate_per_s).sum();
    for demand in demands {
        let level = left_per_s / left_rate;
        if demand.demand_per_rate() > level {
            return level;
        }
        left_per_s -= demand.demand_per_s;
        left_rate -= demand.rate_per_s;
    }
    f64::INFINITY
}
