//! The admission floors of the services below, learnt from their answers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::AdmissionFloor;
use super::FloorNotice;
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Heard {
    floor: AdmissionFloor,
    computed_at: MonotonicTime,
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
/// single overloaded node is left to routing. A floor is forgotten a second after the gate that set
/// it computed it. A node keeps one table for the requests that enter at it and one for the onward
/// calls of its own backend server.
#[derive(Clone, Debug, Default)]
pub struct LearntFloors {
    routes: HashMap<String, RouteFloors>,
}

impl LearntFloors {
    /// Time after which a floor that was not computed again is forgotten.
    const FRESH: Duration = Duration::from_secs(1);

    /// Longest silence on a route before a request goes through as a probe.
    const PROBE_AFTER: Duration = Duration::from_millis(100);

    /// Takes the floor that came with an answer of `node` to a call made for `route`.
    pub fn learn(
        &mut self,
        route: &str,
        service: &ServiceId,
        node: &NodeId,
        notice: FloorNotice,
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
        let age_us = u64::from(notice.age_ms) * 1000;
        let heard = Heard {
            floor: notice.floor,
            computed_at: MonotonicTime(now.0.saturating_sub(age_us)),
        };
        nodes.insert(node.clone(), heard);
    }

    /// Returns the highest floor below this node on `route`.
    pub fn floor(&self, route: &str, now: MonotonicTime) -> FloorNotice {
        let highest = self
            .routes
            .get(route)
            .and_then(|floors| floors.highest(now));
        match highest {
            Some(heard) => FloorNotice {
                floor: heard.floor,
                age_ms: now.since(heard.computed_at).as_millis() as u32,
            },
            None => FloorNotice::default(),
        }
    }

    /// Decides whether a request goes on to the services below.
    pub fn check(
        &mut self,
        route: &str,
        importance: Importance,
        root: RequestId,
        now: MonotonicTime,
    ) -> Admission {
        let floor = self.floor(route, now).floor;
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
    fn highest(&self, now: MonotonicTime) -> Option<Heard> {
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

fn lower_median(nodes: &HashMap<NodeId, Heard>, now: MonotonicTime) -> Option<Heard> {
    let mut fresh: Vec<_> = nodes
        .values()
        .filter(|heard| is_fresh(heard, now))
        .copied()
        .collect();
    fresh.sort_unstable();
    let middle = fresh.len().saturating_sub(1) / 2;
    fresh.get(middle).copied()
}

fn is_fresh(heard: &Heard, now: MonotonicTime) -> bool {
    now.since(heard.computed_at) < LearntFloors::FRESH
}
