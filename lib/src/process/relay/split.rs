//! Division of a route's requests among its services by weight.

use std::collections::HashMap;

use crate::values::ServiceId;
use crate::version::PlannedRoute;
use crate::version::WeightedService;

/// Divides the requests of each route among its services by weight.
///
/// Each request adds credit to every service by its weight, and goes to the service with the most
/// credit. The division is exact over any sequence of requests, not only on average.
#[derive(Clone, Debug, Default)]
pub struct SplitState {
    credits: HashMap<String, RouteCredits>,
}

#[derive(Clone, Debug)]
struct RouteCredits {
    targets: Vec<WeightedService>,
    credits: Vec<f64>,
}

impl SplitState {
    /// Chooses the service for the next request of `route`.
    pub fn choose(&mut self, route: &PlannedRoute) -> Option<ServiceId> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let total: f64 = route
            .targets
            .iter()
            .map(|target| f64::from(target.weight))
            .sum();
        if total <= 0.0 {
            return None;
        }
        let known = self
            .credits
            .entry(route.name.clone())
            .or_insert_with(|| RouteCredits::random(route, total));
        if known.targets != route.targets {
            *known = RouteCredits::random(route, total);
        }
        for (credit, target) in known.credits.iter_mut().zip(&known.targets) {
            *credit += f64::from(target.weight) / total;
        }
        let (chosen, _) = known
            .credits
            .iter()
            .enumerate()
            .max_by(|a, b| a.1.total_cmp(b.1))?;
        known.credits[chosen] -= 1.0;
        Some(known.targets[chosen].service.clone())
    }
}

impl RouteCredits {
    /// Starts with random credits, so that nodes do not choose the same service at the same time.
    fn random(route: &PlannedRoute, total: f64) -> Self {
        let credits = route
            .targets
            .iter()
            .map(|target| rand::random::<f64>() * f64::from(target.weight) / total);
        Self {
            credits: credits.collect(),
            targets: route.targets.clone(),
        }
    }
}
