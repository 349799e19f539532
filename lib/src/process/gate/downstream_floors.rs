//! The admission floors of the services below, learnt from their answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::FloorNotice;
use super::OrganisationFloor;
use super::RetryAfter;
use super::rate_meter::RateMeter;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::Importance;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::OrganisationId;
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
    Refuse {
        /// When the caller may try again.
        retry_after_ms: u64,
    },
}

impl Admission {
    /// Returns the refusal of a request that does not go on.
    pub fn into_result(self) -> Result<(), Refusal> {
        match self {
            Self::Admit | Self::Probe => Ok(()),
            Self::Refuse { retry_after_ms } => {
                let refusal = Refusal::not_run(RefusalReason::Overloaded);
                Err(refusal.retry_after_ms(retry_after_ms))
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Heard {
    notice: FloorNotice,
    computed_at: MonotonicTime,
}

#[derive(Clone, Debug, Default)]
struct RouteFloors {
    services: BTreeMap<ServiceId, HashMap<NodeId, Heard>>,
    heard_at: MonotonicTime,
    probed_at: MonotonicTime,
    passed: RateMeter,
    retry_after: RetryAfter,
}

/// The admission floors of the services below, by route.
///
/// Each answer carries the highest floor of its node and of all nodes below it. A route's floor is
/// the highest over the services that it calls of the lower median over the nodes of a service: a
/// single overloaded node is left to routing. A floor is forgotten a second after the gate that set
/// it computed it. A node keeps one table for the requests that enter at it and one for the onward
/// calls of its own backend server.
#[derive(Clone, Debug, Default)]
pub struct DownstreamFloors {
    routes: HashMap<String, RouteFloors>,
}

impl DownstreamFloors {
    /// Time after which a floor that was not computed again is forgotten.
    const FRESH: Duration = Duration::from_secs(1);

    /// Longest silence on a route before a request goes through as a probe.
    const PROBE_AFTER: Duration = Duration::from_millis(100);

    /// Lowest rate of passed requests by which refused callers are spread.
    const PASSED_MIN_PER_S: f64 = 1.0;

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
        let computed_at = MonotonicTime(now.0.saturating_sub(age_us));
        let heard = Heard {
            notice,
            computed_at,
        };
        nodes.insert(node.clone(), heard);
    }

    /// Returns the highest floors below this node on `route`, to be passed on.
    pub fn notice(&self, route: &str, now: MonotonicTime) -> FloorNotice {
        let Some(floors) = self.routes.get(route) else {
            return FloorNotice::default();
        };
        let named = floors.named(now).into_iter().map(|organisation| {
            let floor = floors.highest(Some(&organisation), now).floor;
            OrganisationFloor {
                organisation,
                floor,
            }
        });
        let notice = FloorNotice {
            named: named.collect(),
            ..floors.highest(None, now)
        };
        notice.keep_highest_names()
    }

    /// Decides whether a request goes on to the services below.
    pub fn check(
        &mut self,
        route: &str,
        importance: Importance,
        organisation: Option<&OrganisationId>,
        root: RequestId,
        now: MonotonicTime,
    ) -> Admission {
        match self.routes.get_mut(route) {
            Some(floors) => floors.check(importance, organisation, root, now),
            None => Admission::Admit,
        }
    }
}

impl RouteFloors {
    fn check(
        &mut self,
        importance: Importance,
        organisation: Option<&OrganisationId>,
        root: RequestId,
        now: MonotonicTime,
    ) -> Admission {
        let floor = self.highest(organisation, now).floor;
        if floor.admits(importance, root) {
            self.passed.count(now);
            return Admission::Admit;
        }
        if self.may_probe(now) {
            self.probed_at = now;
            return Admission::Probe;
        }
        let passed_per_s = self
            .passed
            .per_s(now)
            .max(DownstreamFloors::PASSED_MIN_PER_S);
        Admission::Refuse {
            retry_after_ms: self.retry_after.record_refusal(root, 0, passed_per_s, now),
        }
    }

    /// Returns the highest floor for an organisation, over the services called, without names.
    fn highest(&self, organisation: Option<&OrganisationId>, now: MonotonicTime) -> FloorNotice {
        self.services
            .values()
            .filter_map(|nodes| lower_median(nodes, organisation, now))
            .fold(FloorNotice::default(), FloorNotice::merge)
    }

    /// Returns the organisations that any node names.
    fn named(&self, now: MonotonicTime) -> BTreeSet<OrganisationId> {
        self.services
            .values()
            .flat_map(HashMap::values)
            .filter(|heard| is_fresh(heard, now))
            .flat_map(|heard| &heard.notice.named)
            .map(|named| named.organisation.clone())
            .collect()
    }

    fn may_probe(&self, now: MonotonicTime) -> bool {
        let last = self.heard_at.max(self.probed_at);
        now.since(last) >= DownstreamFloors::PROBE_AFTER
    }
}

fn lower_median(
    nodes: &HashMap<NodeId, Heard>,
    organisation: Option<&OrganisationId>,
    now: MonotonicTime,
) -> Option<FloorNotice> {
    let mut fresh: Vec<_> = nodes
        .values()
        .filter(|heard| is_fresh(heard, now))
        .map(|heard| (heard.notice.floor_for(organisation), heard.computed_at))
        .collect();
    fresh.sort_unstable();
    let middle = fresh.len().saturating_sub(1) / 2;
    let (floor, computed_at) = fresh.get(middle).copied()?;
    let age_ms = now.since(computed_at).as_millis() as u32;
    Some(FloorNotice::new(floor, age_ms))
}

fn is_fresh(heard: &Heard, now: MonotonicTime) -> bool {
    now.since(heard.computed_at) < DownstreamFloors::FRESH
}
