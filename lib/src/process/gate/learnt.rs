//! The admission floors of the services below, learnt from their answers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::AdmissionFloor;
use crate::values::Importance;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::RequestId;
use crate::values::ServiceId;

/// Whether a request goes on to the services below.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The services below would take the request.
    Admit,
    /// The services below would refuse the request, but nothing was heard from them of late.
    Probe,
    /// A service below would refuse the request.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    floor: AdmissionFloor,
    at: MonotonicTime,
}

#[derive(Clone, Debug, Default)]
struct RouteFloors {
    services: BTreeMap<ServiceId, HashMap<NodeId, Heard>>,
    heard_at: MonotonicTime,
    probed_at: MonotonicTime,
}

/// The admission floors of the services below, by route.
///
/// Each answer carries the highest floor of its node and of all nodes below it. A route's floor is
/// the highest over the services that it calls of the lower median over the nodes of a service: a
/// single overloaded node is left to routing. What was not heard again is forgotten after a second.
#[derive(Clone, Debug, Default)]
pub struct LearntFloors {
    routes: HashMap<String, RouteFloors>,
}

impl LearntFloors {
    /// Time after which a floor that was not heard again is forgotten.
    const FRESH: Duration = Duration::from_secs(1);

    /// Longest silence on a route before a request goes through as a probe.
    const PROBE_AFTER: Duration = Duration::from_millis(100);

    /// Takes the floor that came with an answer of `node` to a call made for `route`.
    pub fn learn(
        &mut self,
        route: &str,
        service: &ServiceId,
        node: &NodeId,
        floor: AdmissionFloor,
        now: MonotonicTime,
    ) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteFloors::default());
        }
        let Some(floors) = self.routes.get_mut(route) else {
            return;
        };
        floors.heard_at = now;
        let nodes = floors.services.entry(service.clone()).or_default();
        nodes.retain(|_, heard| is_fresh(heard, now));
        nodes.insert(node.clone(), Heard { floor, at: now });
    }

    /// Returns the highest floor below this node on `route`.
    pub fn floor(&self, route: &str, now: MonotonicTime) -> AdmissionFloor {
        self.routes
            .get(route)
            .and_then(|floors| floors.highest(now))
            .unwrap_or_default()
    }

    /// Decides whether a request goes on to the services below.
    pub fn check(
        &mut self,
        route: &str,
        importance: Importance,
        root: RequestId,
        now: MonotonicTime,
    ) -> Admission {
        let floor = self.floor(route, now);
        match self.routes.get_mut(route) {
            _ if floor.admits(importance, root) => Admission::Admit,
            Some(floors) if floors.may_probe(now) => {
                floors.probed_at = now;
                Admission::Probe
            }
            _ => Admission::Refuse,
        }
    }
}

impl RouteFloors {
    fn highest(&self, now: MonotonicTime) -> Option<AdmissionFloor> {
        self.services
            .values()
            .filter_map(|nodes| lower_median(nodes, now))
            .max()
    }

    fn may_probe(&self, now: MonotonicTime) -> bool {
        let last = self.heard_at.max(self.probed_at);
        now.since(last) >= LearntFloors::PROBE_AFTER
    }
}

fn lower_median(nodes: &HashMap<NodeId, Heard>, now: MonotonicTime) -> Option<AdmissionFloor> {
    let mut floors: Vec<_> = nodes
        .values()
        .filter(|heard| is_fresh(heard, now))
        .map(|heard| heard.floor)
        .collect();
    floors.sort_unstable();
    let middle = floors.len().saturating_sub(1) / 2;
    floors.get(middle).copied()
}

fn is_fresh(heard: &Heard, now: MonotonicTime) -> bool {
    now.since(heard.at) < LearntFloors::FRESH
}
