//! Hands terms with their records over to other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::terms::connect;
use crate::process::control;
use crate::process::control::ControlClient;
use crate::process::membership::NodeRecord;
use crate::process::node::Node;
use crate::process::once::ProcessSession;
use crate::process::once::RecordHandover;
use crate::process::once::SlotHandover;
use crate::process::once::SlotId;

/// Timeout of a control call that carries records.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks for runs that have not ended.
const RUNS_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Transfers each slot for which another node was the better home at two checks in a row.
pub(super) async fn transfer_to_better_homes(node: &Arc<Node>) {
    for slot in node.once.held_slots() {
        if let Some(better) = stable_better_home(node, &slot) {
            transfer_slot(node, &slot, &better).await;
        }
    }
}

fn stable_better_home(node: &Node, slot: &SlotId) -> Option<NodeRecord> {
    let better = best_home(node, slot).filter(|best| best.id != node.settings.node);
    let mut home = node.once.home.lock();
    let seen_before = match &better {
        Some(better) => home.better_homes.insert(slot.clone(), better.id.clone()),
        None => home.better_homes.remove(slot),
    };
    better.filter(|better| seen_before.as_ref() == Some(&better.id))
}

/// Waits until all runs under a record have ended, including runs whose caller has disconnected.
pub(in crate::process::node) async fn wait_for_runs(node: &Node) {
    while !node.once.home.lock().running.is_empty() {
        tokio::time::sleep(RUNS_POLL_PERIOD).await;
    }
}

/// Transfers all slots at a planned stop.
pub(in crate::process::node) async fn transfer_all(node: &Arc<Node>) {
    for slot in node.once.held_slots() {
        for next in next_homes(node, &slot) {
            if transfer_slot(node, &slot, &next).await {
                break;
            }
        }
    }
}

fn best_home(node: &Node, slot: &SlotId) -> Option<NodeRecord> {
    let members = node.members();
    let in_zone = members
        .nodes()
        .filter(|record| record.zone == node.settings.zone);
    slot.candidates(in_zone).first().map(|best| (*best).clone())
}

fn next_homes(node: &Node, slot: &SlotId) -> Vec<NodeRecord> {
    let members = node.members();
    let others = members
        .nodes()
        .filter(|record| record.zone == node.settings.zone && record.id != node.settings.node);
    slot.candidates(others).into_iter().cloned().collect()
}

/// Transfers one slot. Returns whether this node no longer holds it.
async fn transfer_slot(node: &Arc<Node>, slot: &SlotId, next: &NodeRecord) -> bool {
    let Some(control) = connect(node, next) else {
        return false;
    };
    let Ok(Some(session)) = control.once_session().await else {
        return false;
    };
    let Some(handover) = prepare_handover(node, slot, session, next.addresses.control) else {
        return false;
    };
    let secret = &node.settings.fleet_secret;
    if let Ok(control) = control::connect(next.addresses.control, secret, RECORDS_TIMEOUT) {
        // If the call fails, the term may still have arrived: it must not be used here again.
        let _ = control.once_hand_over(handover).await;
    }
    true
}

fn prepare_handover(
    node: &Node,
    slot: &SlotId,
    session: ProcessSession,
    next: SocketAddr,
) -> Option<SlotHandover> {
    let mut home = node.once.home.lock();
    let moved = home.terms.transfer(slot, session)?;
    let records = home.records.hand_over(slot);
    for record in &records {
        home.handover_addresses.insert(record.key, next);
    }
    Some(SlotHandover {
        moved,
        records,
        expired_before: home.records.expired_before(),
    })
}

/// Sends the outcome of an attempt to the node that received its record while it ran here.
pub(super) async fn send_settlement(node: &Node, next: SocketAddr, settled: RecordHandover) {
    let secret = &node.settings.fleet_secret;
    if let Ok(control) = control::connect(next, secret, RECORDS_TIMEOUT) {
        // If the call fails, the next home node still responds that the request may have run.
        let _ = control.once_settle(settled).await;
    }
}
