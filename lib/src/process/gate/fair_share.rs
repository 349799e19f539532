//! Division of a capacity among organisations, weighted by their rates.

use crate::values::OrganisationId;

/// The demand of an organisation at one importance.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationDemand {
    /// The organisation; `None` for requests on open routes.
    pub organisation: Option<OrganisationId>,
    /// Demand in requests per second.
    pub demand_per_s: f64,
    /// Rate limit of the organisation, which is its weight.
    pub rate_per_s: f64,
}

impl OrganisationDemand {
    fn demand_per_rate(&self) -> f64 {
        self.demand_per_s / self.rate_per_s
    }

    /// Returns how many requests per second the organisation gets at a fairness level.
    pub fn granted_per_s(&self, level: f64) -> f64 {
        self.demand_per_s.min(level * self.rate_per_s)
    }
}

/// Returns the level at which a capacity is exhausted when each organisation gets its demand, but
/// at most the level times its rate (max-min fairness, weighted by the rates).
///
/// The level is infinite if the capacity covers all demands.
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
