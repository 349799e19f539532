//! Keeps requests away from the servers of evacuated zones.

use super::cold_server;
use super::evacuations::EvacuationChange;
use super::node::RelayNode;
use super::store::StoreEvent;
use crate::process::events::relay as events;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::ServiceId;
use crate::values::ZoneId;

/// Time after which a caller may try again whose service has servers in evacuated zones only.
const RETRY_AFTER_MS: u64 = 1_000;

/// Returns whether operators may evacuate zones, by the settings of the start: what the node reads
/// from the store does not change while it runs.
pub(super) fn is_enabled(node: &RelayNode) -> bool {
    node.settings.raw.bounds.evacuation_ms.is_some()
}

/// Applies changes of the operators' items.
pub(super) fn apply_changes(node: &RelayNode, events: &[StoreEvent], has_gone_back: bool) {
    if !is_enabled(node) {
        return;
    }
    let now = node.clock.now();
    for event in events {
        let change = match event {
            StoreEvent::Written(item) => zone_of(node, &item.key)
                .and_then(|zone| node.evacuations.lock().apply_write(zone, now)),
            StoreEvent::Removed { key, .. } => zone_of(node, key).and_then(|zone| {
                let mut evacuations = node.evacuations.lock();
                evacuations.apply_removal(&zone, has_gone_back, now)
            }),
        };
        if let Some(change) = change {
            follow(node, &change);
        }
    }
}

/// Ends the evacuations that the store lacks since it went back.
pub(super) fn end_missing(node: &RelayNode) {
    let now = node.clock.now();
    let ended = node.evacuations.lock().end_missing(now);
    for change in ended {
        follow(node, &change);
    }
}

fn zone_of(node: &RelayNode, key: &str) -> Option<ZoneId> {
    let name = key.strip_prefix(node.protocol.evacuation_prefix)?;
    let zone = name.parse().ok();
    if zone.is_none() {
        events::STORED_UNREADABLE.log(format_args!("key={key} reason=\"key names no zone\""));
    }
    zone
}

fn follow(node: &RelayNode, change: &EvacuationChange) {
    let (zone, is_evacuated) = match change {
        EvacuationChange::Began(zone) => (zone, true),
        EvacuationChange::Ended(zone, _) => (zone, false),
    };
    match change {
        EvacuationChange::Began(zone) => {
            events::ZONE_EVACUATED.log(format_args!("zone={zone} state=evacuated"));
        }
        EvacuationChange::Ended(zone, age) => events::ZONE_EVACUATED.log(format_args!(
            "zone={zone} state=taken-back after_ms={}",
            age.as_millis()
        )),
    }
    let is_own = *zone == node.settings.raw.zone;
    if let (true, Some(backend)) = (is_own, node.backend()) {
        match is_evacuated {
            true => backend.gate.drop_waiting(RefusalReason::ZoneEvacuated),
            false => cold_server::presume_cold(node, &backend),
        }
    }
}

/// Refuses a request to the local backend server if its zone is evacuated, or if that is not known
/// yet.
pub(super) fn check(node: &RelayNode) -> Result<(), Refusal> {
    match is_enabled(node) {
        true if node.evacuations.lock().contains(&node.settings.raw.zone) => {
            let refusal = Refusal::not_run(RefusalReason::ZoneEvacuated);
            Err(refusal.retry_after_ms(RETRY_AFTER_MS))
        }
        true if !node.views.knows_operators() => Err(Refusal::not_run(RefusalReason::NotReady)),
        _ => Ok(()),
    }
}

/// Returns the evacuated zones.
pub(super) fn evacuated_zones(node: &RelayNode) -> Vec<ZoneId> {
    node.evacuations.lock().zones().cloned().collect()
}

/// Returns the refusal of a request if all servers of its service are in evacuated zones.
pub(super) fn refusal_without_servers(node: &RelayNode, service: &ServiceId) -> Option<Refusal> {
    let members = node.members();
    let serving = members.serving(service);
    let evacuations = node.evacuations.lock();
    let are_evacuated = !serving.is_empty()
        && serving
            .iter()
            .all(|record| evacuations.contains(&record.zone));
    let refusal = Refusal::not_run(RefusalReason::ZoneEvacuated);
    are_evacuated.then(|| refusal.retry_after_ms(RETRY_AFTER_MS))
}
