//! The admission floors of downstream services, learned from their responses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::AdmissionFloor;
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

/// Whether a request may proceed to the downstream services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The downstream services would admit the request.
    Admit,
    /// The last known floors refuse the request, but no response arrived recently.
    Probe,
    /// A downstream service would refuse the request.
    Refuse {
        /// Time after which the caller may retry.
        retry_after_ms: u64,
    },
}

impl Admission {
    /// Returns the refusal as an error if the request may not proceed.
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
struct ReceivedNotice {
    notice: FloorNotice,
    computed_at: MonotonicTime,
}

#[derive(Clone, Debug, Default)]
struct RouteFloors {
    services: BTreeMap<ServiceId, HashMap<NodeId, ReceivedNotice>>,
    received_at: MonotonicTime,
    probed_at: MonotonicTime,
    passed: RateMeter,
    retry_after: RetryAfter,
}

/// The admission floors of the downstream services, by route.
///
/// Each response carries the highest floor of its node and of all nodes downstream of it. The floor
/// of a service is the lower median over its nodes, so that avoiding a single overloaded node is
/// left to routing. The floor of a route is the highest over the services that it calls. A floor
/// expires one second after the gate that set it computed it. A node keeps one table for the
/// requests of which it is the ingress node and one for the onward calls of its own backend server.
#[derive(Clone, Debug, Default)]
pub struct DownstreamFloors {
    routes: HashMap<String, RouteFloors>,
}

impl DownstreamFloors {
    /// Time after which a floor expires unless it is computed again.
    const FLOOR_TTL: Duration = Duration::from_secs(1);

    /// Time without a response or probe on a route after which a request proceeds as a probe.
    const PROBE_AFTER: Duration = Duration::from_millis(100);

    /// Lowest rate of passed requests that is used to spread the retries of refused callers.
    const PASSED_MIN_PER_S: f64 = 1.0;

    /// Applies the floor in a response of `node` to a call made for `route`.
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
        floors.received_at = now;
        let nodes = floors.services.entry(service.clone()).or_default();
        nodes.retain(|_, received| is_fresh(received, now));
        let age_us = u64::from(notice.age_ms) * 1000;
        let computed_at = MonotonicTime(now.0.saturating_sub(age_us));
        let received = ReceivedNotice {
            notice,
            computed_at,
        };
        nodes.insert(node.clone(), received);
    }

    /// Returns the highest downstream floors on `route`, to be sent upstream.
    pub fn notice(&self, route: &str, now: MonotonicTime) -> FloorNotice {
        let Some(floors) = self.routes.get(route) else {
            return FloorNotice::default();
        };
        let named = floors
            .named_organisations(now)
            .into_iter()
            .map(|organisation| {
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

    /// Decides whether a request may proceed to the downstream services.
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

    /// Decides whether a request may proceed to downstream services of which the highest floor is
    /// known, so that no probe is needed.
    pub fn check_known(
        &mut self,
        route: &str,
        floor: AdmissionFloor,
        importance: Importance,
        root: RequestId,
        now: MonotonicTime,
    ) -> Admission {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteFloors::default());
        }
        match self.routes.get_mut(route) {
            Some(floors) if floor.admits(importance, root) => {
                floors.passed.count(now);
                Admission::Admit
            }
            Some(floors) => floors.refuse(root, now),
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
        self.refuse(root, now)
    }

    fn refuse(&mut self, root: RequestId, now: MonotonicTime) -> Admission {
        let passed_per_s = self
            .passed
            .per_s(now)
            .max(DownstreamFloors::PASSED_MIN_PER_S);
        Admission::Refuse {
            retry_after_ms: self.retry_after.record_refusal(root, 0, passed_per_s, now),
        }
    }

    /// Returns the highest floor for an organisation over the services called, naming none.
    fn highest(&self, organisation: Option<&OrganisationId>, now: MonotonicTime) -> FloorNotice {
        self.services
            .values()
            .filter_map(|nodes| lower_median(nodes, organisation, now))
            .fold(FloorNotice::default(), FloorNotice::merge)
    }

    /// Returns the organisations named in any unexpired notice.
    fn named_organisations(&self, now: MonotonicTime) -> BTreeSet<OrganisationId> {
        self.services
            .values()
            .flat_map(HashMap::values)
            .filter(|received| is_fresh(received, now))
            .flat_map(|received| &received.notice.named)
            .map(|named| named.organisation.clone())
            .collect()
    }

    fn may_probe(&self, now: MonotonicTime) -> bool {
        let last = self.received_at.max(self.probed_at);
        now.since(last) >= DownstreamFloors::PROBE_AFTER
    }
}

fn lower_median(
    nodes: &HashMap<NodeId, ReceivedNotice>,
    organisation: Option<&OrganisationId>,
    now: MonotonicTime,
) -> Option<FloorNotice> {
    let mut fresh: Vec<_> = nodes
        .values()
        .filter(|received| is_fresh(received, now))
        .map(|received| {
            (
                received.notice.floor_for(organisation),
                received.computed_at,
            )
        })
        .collect();
    fresh.sort_unstable();
    let middle = fresh.len().saturating_sub(1) / 2;
    let (floor, computed_at) = fresh.get(middle).copied()?;
    let age_ms = now.since(computed_at).as_millis() as u32;
    Some(FloorNotice::new(floor, age_ms))
}

fn is_fresh(received: &ReceivedNotice, now: MonotonicTime) -> bool {
    now.since(received.computed_at) < DownstreamFloors::FLOOR_TTL
}
