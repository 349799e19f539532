//! The registrar of a zone: determines which node it is, and performs its work.

use std::sync::Arc;
use std::time::Duration;

use super::state::OwnRegistrar;
use super::terms::connect;
use crate::process::control::ControlClient;
use crate::process::events::once as events;
use crate::process::membership::NodeRecord;
use crate::process::node::Node;
use crate::process::once::MintTime;
use crate::process::once::Registrar;
use crate::process::once::RegistrarRecord;
use crate::process::once::SlotId;
use crate::process::platform::PlatformKey;
use crate::process::platform::PlatformValue;
use crate::process::platform::Revision;
use crate::process::platform::StoredValue;
use crate::process::platform::SwapReply;
use crate::values::NodeId;
use crate::version::Repeatability;

/// Time after the start before a node may become registrar, so that it knows the other nodes.
const START_DELAY: Duration = Duration::from_millis(500);
/// The registrar raises its grant limit when this much time has passed since the last raise.
const LIMIT_RENEWAL_INTERVAL: Duration = Duration::from_secs(60);

/// Returns the node that this node presumes to be the registrar of the zone.
pub(super) fn presumed(node: &Node) -> Option<NodeRecord> {
    let members = node.members();
    let known = node.known_registrar();
    let known = known.and_then(|id| members.node(&id).cloned());
    known
        .filter(NodeRecord::accepts_work)
        .or_else(|| first_of_zone(node))
}

fn first_of_zone(node: &Node) -> Option<NodeRecord> {
    let members = node.members();
    members
        .nodes()
        .filter(|record| record.zone == node.settings.zone)
        .find(|record| record.accepts_work())
        .cloned()
}

/// Records the reply of a node that is not the registrar; `other` is the one that it knows.
pub(super) fn on_not_registrar(node: &Node, other: Option<NodeId>) {
    node.once.role.lock().known_registrar = other;
}

/// Records that the presumed registrar did not reply.
pub(super) fn on_unresponsive(node: &Node, unresponsive: &NodeId) {
    let mut role = node.once.role.lock();
    if role.known_registrar.as_ref() == Some(unresponsive) {
        role.known_registrar = None;
    }
}

/// Takes over the role if this node is presumed to have it, and performs its work.
pub(super) async fn maintain_role(node: &Arc<Node>) {
    let started = node.clock.now().0 >= START_DELAY.as_micros() as u64;
    let is_presumed = presumed(node).is_some_and(|presumed| presumed.id == node.settings.node);
    let has_role = node.once.role.lock().own.is_some();
    match has_role {
        true => advance_and_assign(node).await,
        false if started && is_presumed && !wanted_slots(node).is_empty() => take_over(node).await,
        false => {}
    }
}

fn key(node: &Node) -> PlatformKey {
    PlatformKey::RecordHome(node.settings.zone.clone())
}

fn record_of(stored: &StoredValue) -> Option<RegistrarRecord> {
    serde_json::from_str(stored.value.as_str()).ok()
}

/// Becomes registrar unless the platform's record names another node that still accepts work.
async fn take_over(node: &Arc<Node>) {
    let Ok(stored) = node.platform.get(&key(node)).await else {
        return;
    };
    let earlier = match &stored {
        Some(stored) => match record_of(stored) {
            Some(record) => Some(record),
            // An unreadable record must not be replaced, because it bounds what was granted.
            None => return,
        },
        None => None,
    };
    if let Some(other) = other_registrar(node, earlier.as_ref()) {
        node.once.role.lock().known_registrar = Some(other);
        return;
    }
    let wall = MintTime::from(node.clock.wall());
    let own_id = node.settings.node.clone();
    let next = RegistrarRecord::take_over(earlier.as_ref(), own_id.clone(), wall);
    let expected = stored.map(|stored| stored.revision);
    if let Some(revision) = write(node, expected, &next).await {
        events::REGISTRAR_TAKEN.log(format_args!("epoch {}", next.epoch));
        let mut role = node.once.role.lock();
        role.known_registrar = Some(own_id);
        role.own = Some(OwnRegistrar {
            registrar: Registrar::new(next),
            revision: Some(revision),
            taken_over_at: node.clock.now(),
        });
    }
}

fn other_registrar(node: &Node, record: Option<&RegistrarRecord>) -> Option<NodeId> {
    let named = &record?.registrar;
    let members = node.members();
    let is_available = members.node(named).is_some_and(NodeRecord::accepts_work);
    (is_available && *named != node.settings.node).then(|| named.clone())
}

/// Writes a record. Returns its revision only if the platform's service confirmed the write.
async fn write(
    node: &Node,
    expected: Option<Revision>,
    record: &RegistrarRecord,
) -> Option<Revision> {
    let text = serde_json::to_string(record).ok()?;
    let value = PlatformValue::try_from(text).ok()?;
    let swap = node
        .platform
        .compare_and_swap(&key(node), expected, &value, None)
        .await;
    match swap {
        Ok(SwapReply::Done(revision)) => Some(revision),
        Ok(SwapReply::Conflict(_)) | Err(_) => None,
    }
}

async fn advance_and_assign(node: &Arc<Node>) {
    let wall = MintTime::from(node.clock.wall());
    let planned = {
        let role = node.once.role.lock();
        role.own.as_ref().map(|own| {
            let slots = slots_needing_term(node, own);
            let current = own.registrar.record();
            let due = limit_is_due(current, wall) || !slots.is_empty();
            let next = current.advance(wall, &slots);
            (due, own.revision, next)
        })
    };
    if let Some((true, revision, next)) = planned {
        advance(node, revision, next).await;
    }
    assign_unassigned_slots(node, wall).await;
}

fn limit_is_due(record: &RegistrarRecord, wall: MintTime) -> bool {
    let ahead = RegistrarRecord::GRANT_AHEAD - LIMIT_RENEWAL_INTERVAL;
    record.grant_limit < wall.after_ms(ahead.as_millis() as u64)
}

fn slots_needing_term(node: &Node, own: &OwnRegistrar) -> Vec<SlotId> {
    let now = node.clock.now();
    let wanted = wanted_slots(node);
    own.registrar
        .slots_needing_term(&wanted, own.taken_over_at, now)
}

/// Returns the slots of services with at-most-once routes.
fn wanted_slots(node: &Node) -> Vec<SlotId> {
    let Ok(configuration) = node.configuration() else {
        return Vec::new();
    };
    let mut wanted: Vec<SlotId> = configuration
        .routes
        .iter()
        .filter(|route| route.repeatability == Repeatability::AtMostOnce)
        .flat_map(|route| SlotId::all(&route.service))
        .collect();
    wanted.sort();
    wanted.dedup();
    wanted
}

async fn advance(node: &Arc<Node>, revision: Option<Revision>, next: RegistrarRecord) {
    match write(node, revision, &next).await {
        Some(revision) => {
            let mut role = node.once.role.lock();
            if let Some(own) = &mut role.own {
                own.registrar.on_confirmed(next);
                own.revision = Some(revision);
            }
        }
        None => read_back(node).await,
    }
}

/// Reads the platform's record back after a write that failed or was not confirmed.
///
/// Gives up the role if the record has another epoch.
async fn read_back(node: &Arc<Node>) {
    let Ok(Some(stored)) = node.platform.get(&key(node)).await else {
        return;
    };
    let Some(record) = record_of(&stored) else {
        return;
    };
    let mut role = node.once.role.lock();
    let Some(own) = &mut role.own else {
        return;
    };
    if record.epoch == own.registrar.record().epoch {
        own.registrar.on_confirmed(record);
        own.revision = Some(stored.revision);
    } else {
        role.known_registrar = Some(record.registrar);
        role.own = None;
    }
}

/// Assigns each unassigned slot to the most preferred node of the zone that returns its session.
async fn assign_unassigned_slots(node: &Arc<Node>, wall: MintTime) {
    let unassigned = {
        let role = node.once.role.lock();
        role.own
            .as_ref()
            .map(|own| own.registrar.unassigned_slots())
    };
    for slot in unassigned.unwrap_or_default() {
        assign(node, &slot, wall).await;
    }
}

async fn assign(node: &Arc<Node>, slot: &SlotId, wall: MintTime) {
    let members = node.members();
    let in_zone = members
        .nodes()
        .filter(|record| record.zone == node.settings.zone);
    for candidate in slot.candidates(in_zone) {
        let is_own = candidate.id == node.settings.node;
        let control = connect(node, candidate);
        let session = match &control {
            _ if is_own => node.once_session(),
            Some(control) => control.once_session().await.ok().flatten(),
            None => None,
        };
        let Some(session) = session else {
            continue;
        };
        let now = node.clock.now();
        let assignment = {
            let mut role = node.once.role.lock();
            let own = role.own.as_mut();
            own.and_then(|own| own.registrar.assign(slot, session, wall, now))
        };
        if let Some(assignment) = assignment {
            match control {
                _ if is_own => {
                    node.accept_assignment(assignment);
                }
                // If the assignment is lost, the holder sends no renewals and is replaced.
                Some(control) => drop(control.once_assign(assignment).await),
                None => {}
            }
        }
        return;
    }
}
