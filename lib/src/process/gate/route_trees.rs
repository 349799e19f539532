//! The services that the call tree of a route needs, learnt from its runs.

use std::collections::HashMap;
use std::time::Duration;

use crate::values::MonotonicTime;
use crate::values::ServiceId;

plain_data! {
    /// Calls of one service that a request needs, itself included.
    pub struct ServiceCalls {
        /// The service.
        pub service: ServiceId,
        /// Number of calls.
        pub calls: f32,
    }
}

plain_data! {
    /// The calls that one request needed, by service; at most [`CallTree::SERVICES_MAX`] services.
    #[derive(Default)]
    pub struct CallTree(pub Vec<ServiceCalls>);
}

impl CallTree {
    /// Maximum number of services. Calls of further ones are not counted.
    pub const SERVICES_MAX: usize = 16;

    /// Counts `calls` of a service.
    pub fn add(&mut self, service: &ServiceId, calls: f32) {
        let known = self.0.iter().position(|known| known.service == *service);
        match known {
            Some(at) => self.0[at].calls += calls,
            None if self.0.len() < Self::SERVICES_MAX => self.0.push(ServiceCalls {
                service: service.clone(),
                calls,
            }),
            None => {}
        }
    }

    /// Counts the calls of another tree.
    pub fn merge(&mut self, other: &Self) {
        for known in &other.0 {
            self.add(&known.service, known.calls);
        }
    }
}

#[derive(Clone, Debug)]
struct LearntTree {
    calls: Vec<(ServiceId, f64)>,
    learnt_at: MonotonicTime,
}

/// The services that the call tree of each route needs: a moving average over the runs that
/// succeeded, as others may have ended before their last calls.
#[derive(Clone, Debug, Default)]
pub struct RouteTrees {
    routes: HashMap<String, LearntTree>,
}

impl RouteTrees {
    /// Time after which a tree is forgotten unless it is learnt again.
    pub const TTL: Duration = Duration::from_secs(300);

    /// Maximum number of routes.
    pub const ROUTES_MAX: usize = 256;

    /// Weight of one run in the moving average.
    const RUN_WEIGHT: f64 = 0.1;

    /// Mean number of calls below which a route does not need a service.
    const NEEDED_CALLS: f64 = 0.2;

    /// Applies the calls of a run that succeeded.
    pub fn learn(&mut self, route: &str, tree: &CallTree, now: MonotonicTime) {
        if let Some(learnt) = self.routes.get_mut(route) {
            learnt.apply(tree, now);
            return;
        }
        if self.routes.len() >= Self::ROUTES_MAX {
            self.routes
                .retain(|_, learnt| now.since(learnt.learnt_at) < Self::TTL);
        }
        if self.routes.len() < Self::ROUTES_MAX {
            let calls = tree.0.iter();
            let learnt = LearntTree {
                calls: calls
                    .map(|known| (known.service.clone(), known.calls.into()))
                    .collect(),
                learnt_at: now,
            };
            self.routes.insert(route.to_owned(), learnt);
        }
    }

    /// Returns the services that requests of a route need; none if the route is unknown.
    pub fn services(&self, route: &str, now: MonotonicTime) -> impl Iterator<Item = &ServiceId> {
        let learnt = self.routes.get(route);
        learnt
            .filter(|learnt| now.since(learnt.learnt_at) < Self::TTL)
            .into_iter()
            .flat_map(|learnt| &learnt.calls)
            .filter(|(_, calls)| *calls >= Self::NEEDED_CALLS)
            .map(|(service, _)| service)
    }
}

impl LearntTree {
    fn apply(&mut self, tree: &CallTree, now: MonotonicTime) {
        self.learnt_at = now;
        for (service, calls) in &mut self.calls {
            let seen = tree.0.iter().find(|known| known.service == *service);
            let seen = seen.map_or(0.0, |known| f64::from(known.calls));
            *calls += RouteTrees::RUN_WEIGHT * (seen - *calls);
        }
        for known in &tree.0 {
            let is_new = self
                .calls
                .iter()
                .all(|(service, _)| *service != known.service);
            if is_new && self.calls.len() < CallTree::SERVICES_MAX {
                let calls = RouteTrees::RUN_WEIGHT * f64::from(known.calls);
                self.calls.push((known.service.clone(), calls));
            }
        }
    }
}
