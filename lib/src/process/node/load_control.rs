//! Load of other nodes as observed by a node: the router and the admission floors.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;

use super::Node;
use super::forward::Outbound;
use super::response::NodeReply;
use crate::process::gate::Admission;
use crate::process::gate::DownstreamFloors;
use crate::process::gate::FloorNotice;
use crate::process::membership::NodeRecord;
use crate::process::routing::CallOutcome;
use crate::process::routing::ChooseContext;
use crate::process::routing::Router;
use crate::request::InFlight;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::RequestId;
use crate::values::ZoneId;
use crate::version::Route;

/// The load of other nodes as observed by a node.
///
/// The three locks are leaves: none is held while another lock is acquired.
#[derive(Debug)]
pub(super) struct LoadControl {
    router: Mutex<Router>,
    ingress_floors: Mutex<DownstreamFloors>,
    onward_floors: Mutex<DownstreamFloors>,
    refused_at_ingress: AtomicU64,
}

/// The origin of an outbound request.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin<'a> {
    /// A caller for whose request this node is the ingress node.
    Caller,
    /// A request that runs on the local backend server.
    Parent(&'a InFlight),
}

impl LoadControl {
    /// Creates the state of a node that has made no calls.
    pub(super) fn new(zone: ZoneId, now: MonotonicTime) -> Self {
        Self {
            router: Mutex::new(Router::new(zone, rand::random(), now)),
            ingress_floors: Mutex::default(),
            onward_floors: Mutex::default(),
            refused_at_ingress: AtomicU64::new(0),
        }
    }

    /// Returns the number of requests of callers that were refused because a downstream service
    /// would have refused them.
    pub(super) fn refused_at_ingress(&self) -> u64 {
        self.refused_at_ingress.load(Ordering::Relaxed)
    }

    /// Returns the highest downstream floors for requests on `route` to the local backend server.
    pub(super) fn downstream_floors(&self, route: &str, now: MonotonicTime) -> FloorNotice {
        self.onward_floors.lock().notice(route, now)
    }

    /// Refuses a request of a caller that the downstream services would refuse.
    pub(super) fn check_ingress(
        &self,
        route: &Route,
        organisation: Option<&OrganisationId>,
        root: RequestId,
        now: MonotonicTime,
    ) -> Result<(), Refusal> {
        let mut floors = self.ingress_floors.lock();
        let admission = floors.check(&route.path, route.importance, organisation, root, now);
        drop(floors);
        if let Admission::Refuse { .. } = admission {
            self.refused_at_ingress.fetch_add(1, Ordering::Relaxed);
        }
        admission.into_result()
    }

    /// Refuses a request to the backend server whose onward calls would be refused.
    pub(super) fn check_onward(
        &self,
        request: &InFlight,
        now: MonotonicTime,
    ) -> Result<(), Refusal> {
        let admission = self.onward_floors.lock().check(
            &request.route,
            request.context.importance,
            request.context.organisation.as_ref(),
            request.context.root,
            now,
        );
        admission.into_result()
    }
}

/// Chooses a node of the service that is not in `tried`.
pub(super) fn choose(
    node: &Node,
    outbound: &Outbound<'_>,
    tried: &[NodeId],
) -> Result<NodeRecord, Refusal> {
    let configuration = node.configuration()?;
    let members = node.members();
    let context = ChooseContext {
        members: &members,
        zones: &configuration.zones,
        excluded: tried,
        cross_zone_cost: Router::CROSS_ZONE_COST,
        loads: &[],
        now: node.clock.now(),
    };
    let chosen = node
        .load
        .router
        .lock()
        .choose(&outbound.route.service, &context);
    chosen.ok_or_else(|| Refusal::not_run(RefusalReason::NoServer))
}

/// A call to a node; dropping it before `finish` counts the call as cancelled.
pub(super) struct ObservedCall {
    node: Arc<Node>,
    destination: NodeId,
    started_at: MonotonicTime,
    is_finished: bool,
}

impl ObservedCall {
    pub(super) fn start(node: &Arc<Node>, destination: &NodeId) -> Self {
        node.load.router.lock().record_start(destination);
        Self {
            node: Arc::clone(node),
            destination: destination.clone(),
            started_at: node.clock.now(),
            is_finished: false,
        }
    }

    /// Records the end of the call, and the admission floor in its reply.
    pub(super) fn finish(mut self, outbound: &Outbound<'_>, reply: &NodeReply) {
        self.end(call_outcome(reply));
        let now = self.node.clock.now();
        let Some(notice) = reply.floor.clone() else {
            return;
        };
        let load = &self.node.load;
        let (floors, route) = match outbound.origin {
            Origin::Caller => (&load.ingress_floors, &outbound.route.path),
            Origin::Parent(parent) => (&load.onward_floors, &parent.route),
        };
        let service = &outbound.route.service;
        floors
            .lock()
            .learn(route, service, &self.destination, notice, now);
    }

    fn end(&mut self, outcome: CallOutcome) {
        self.is_finished = true;
        let now = self.node.clock.now();
        let latency: Duration = now.since(self.started_at);
        let mut router = self.node.load.router.lock();
        router.record_end(&self.destination, outcome, latency, now);
    }
}

impl Drop for ObservedCall {
    fn drop(&mut self) {
        if !self.is_finished {
            self.end(CallOutcome::Cancelled);
        }
    }
}

fn call_outcome(reply: &NodeReply) -> CallOutcome {
    match reply.outcome.as_ref().map_err(|refusal| refusal.reason) {
        Ok(_) => CallOutcome::Answered,
        Err(RefusalReason::NoServer | RefusalReason::BadAnswer) => CallOutcome::Failed,
        Err(
            RefusalReason::Overloaded | RefusalReason::Draining | RefusalReason::DeadlineExceeded,
        ) => CallOutcome::Refused,
        Err(_) => CallOutcome::Cancelled,
    }
}
