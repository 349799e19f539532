//! Admission of whole call trees: a request of a caller is refused at its ingress node, before
//! anything is spent on it, if one of the services that its tree needs has no room.

use std::collections::HashMap;
use std::time::Duration;

use super::backend::RunOutcome;
use super::forward::Outbound;
use super::frame::RequestMetadata;
use super::node::RelayNode;
use crate::process::events::relay as events;
use crate::process::gate::Admission;
use crate::process::gate::AdmissionFloor;
use crate::process::gate::RouteTrees;
use crate::process::gate::ServerLoad;
use crate::process::gate::ServiceFloor;
use crate::process::load::NodeKey;
use crate::process::membership::MemberTable;
use crate::request::Refusal;
use crate::values::MonotonicTime;
use crate::values::ServiceId;

/// Interval between two computations of the floors of the services from the reported loads.
const FLOOR_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which the same requests are refused at a floor. After it, the hash selects others, so that
/// a caller that returns is not refused again for its id.
const TURN: Duration = Duration::from_secs(5);

/// What a node knows of the call trees of routes and of the floors of services.
#[derive(Debug, Default)]
pub(super) struct TreeAdmission {
    trees: RouteTrees,
    floors: HashMap<ServiceId, ServiceFloor>,
    floors_due_at: MonotonicTime,
}

/// The service whose floor decides on a request.
#[derive(Clone, Debug)]
struct Deciding {
    service: ServiceId,
    floor: AdmissionFloor,
    age_ms: u32,
}

impl TreeAdmission {
    /// Returns whether the floors are to be computed now, and postpones the next computation.
    fn begin_computation(&mut self, now: MonotonicTime) -> bool {
        let is_due = now >= self.floors_due_at;
        if is_due {
            self.floors_due_at = now.after(FLOOR_INTERVAL);
        }
        is_due
    }

    /// Returns the highest floor over the services that a request needs, if any of them is known.
    fn deciding(&self, metadata: &RequestMetadata, now: MonotonicTime) -> Option<Deciding> {
        let organisation = metadata.organisation.as_ref();
        let services = self.trees.services(&metadata.route, now);
        let known = services.filter_map(|service| Some((service, self.floors.get(service)?)));
        known
            .map(|(service, known)| (known.floor_for(organisation), service, known.age_ms))
            .max()
            .map(|(floor, service, age_ms)| Deciding {
                service: service.clone(),
                floor,
                age_ms,
            })
    }
}

/// Returns whether this node admits whole call trees.
pub(super) fn is_on(node: &RelayNode) -> bool {
    node.settings.raw.load_reports.is_some()
}

/// Returns the turn of the hash that selects requests at floors, the same on all nodes with the same
/// wall clock; zero if whole trees are not admitted. A jump of the clock only selects other requests.
pub(super) fn hash_turn(node: &RelayNode) -> u64 {
    match is_on(node) {
        true => node.clock.wall().0 / TURN.as_millis() as u64,
        false => 0,
    }
}

/// Decides on a request of a caller by the floors of all services that its tree needs. Returns `None`
/// if none of them is known.
pub(super) fn check(node: &RelayNode, metadata: &RequestMetadata) -> Option<Result<(), Refusal>> {
    let now = node.clock.now();
    compute_floors(node, now);
    let deciding = node.whole_trees.lock().deciding(metadata, now)?;
    let (importance, root) = (metadata.importance, metadata.root);
    let admission = node.ingress_floors.lock().check_known(
        &metadata.route,
        deciding.floor,
        importance,
        root,
        now,
    );
    if let Admission::Refuse { retry_after_ms } = admission {
        node.metrics.record_tree_refusal();
        events::TREE_REFUSED.log(format_args!(
            "request={} route={} service={} floor={} age_ms={} retry_after_ms={retry_after_ms}",
            metadata.request_id, metadata.route, deciding.service, deciding.floor, deciding.age_ms
        ));
    }
    Some(admission.into_result())
}

/// Returns whether the floors of the services that a request needs are known here, so that its
/// ingress node knows them too.
pub(super) fn is_known(node: &RelayNode, metadata: &RequestMetadata) -> bool {
    let now = node.clock.now();
    compute_floors(node, now);
    !metadata.spent.is_none() || node.whole_trees.lock().deciding(metadata, now).is_some()
}

/// Records the services that a request needed, for its route and for the request that made it.
pub(super) fn learn_tree(node: &RelayNode, outbound: &Outbound, outcome: &RunOutcome) {
    let succeeded = outcome
        .result
        .as_ref()
        .is_ok_and(|response| !response.status.is_server_error());
    if !succeeded || outcome.load.call_failed || !is_on(node) {
        return;
    }
    let mut tree = outcome.calls.clone();
    tree.add(&outbound.service, 1.0);
    if let Some(parent) = outbound.waiter.parent() {
        parent.record_calls(&tree);
    }
    let now = node.clock.now();
    let mut admission = node.whole_trees.lock();
    admission.trees.learn(&outbound.metadata.route, &tree, now);
}

/// Computes the floors of all services if they are due, and tells the local gate that of its own.
fn compute_floors(node: &RelayNode, now: MonotonicTime) {
    if !node.whole_trees.lock().begin_computation(now) {
        return;
    }
    let floors = floors_of(node, &node.members(), now);
    if let Some(backend) = node.backend() {
        let own = floors.get(&node.settings.raw.service);
        let notice = own.map(ServiceFloor::notice).unwrap_or_default();
        backend.gate.set_service_floor(notice);
    }
    node.whole_trees.lock().floors = floors;
}

fn floors_of(
    node: &RelayNode,
    members: &MemberTable,
    now: MonotonicTime,
) -> HashMap<ServiceId, ServiceFloor> {
    let own = node.own_load();
    let loads = node.loads.lock();
    let mut servers: HashMap<&ServiceId, Vec<ServerLoad<'_>>> = HashMap::new();
    for record in members.nodes() {
        let Some(server) = &record.server else {
            continue;
        };
        let key = NodeKey::from(&record.id);
        let report = match &own {
            Some(own) if own.node == key => Some(own),
            Some(_) | None => loads.of(key, now).map(|known| known.report()),
        };
        let known = report.map(ServerLoad::from);
        servers.entry(&server.service).or_default().extend(known);
    }
    servers
        .into_iter()
        .filter_map(|(service, loads)| {
            let floor = ServiceFloor::of(loads.iter().copied())?;
            Some((service.clone(), floor))
        })
        .collect()
}
