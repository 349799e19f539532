//! Stores the quarantine of requests that crashed several backend servers, and reads it.
//!
//! Nodes notify each other of suspects at once. The store keeps the quarantine for nodes that start
//! later, also after all processes have ended, and for nodes that could not be reached.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::node::RelayNode;
use super::store::StoreError;
use super::store::StoreEvent;
use super::store::StoreItem;
use super::tasks::new_backoff;
use crate::process::events::relay as events;
use crate::process::suspects::Fingerprint;
use crate::process::suspects::SuspectEntry;
use crate::process::suspects::Suspects;
use crate::values::WallTime;

/// Prefix of the stored quarantines.
pub(super) const QUARANTINE_PREFIX: &str = "suspects/";

/// Time that a node leaves to each node before it, in order of their names, to store a quarantine:
/// several round trips of the store and of the watch that reports it.
const TURN: Duration = Duration::from_millis(200);

/// Stores quarantines that the store lacks.
///
/// The nodes of the crashed servers write at once, and the others in turn, because the processes of
/// those nodes may have ended, or may each know of one crash only.
pub(super) async fn store_quarantines(node: Arc<RelayNode>) {
    let mut backoff = new_backoff();
    loop {
        let missing = missing_quarantines(&node);
        if missing.is_empty() {
            backoff.reset();
            node.suspects.quarantine_formed.notified().await;
            continue;
        }
        sleep(turn(&node, &missing)).await;
        for entry in missing_quarantines(&node) {
            match write_quarantine(&node, &entry).await {
                Ok(()) => node.stored_quarantines.lock().insert(entry.fingerprint),
                Err(error) => {
                    node.metrics.record_store_error(&error);
                    sleep(backoff.next_delay()).await;
                    break;
                }
            };
        }
    }
}

fn missing_quarantines(node: &RelayNode) -> Vec<SuspectEntry> {
    let quarantined = node.suspects.quarantined();
    let stored = node.stored_quarantines.lock();
    let missing = quarantined
        .into_iter()
        .filter(|entry| !stored.contains(&entry.fingerprint));
    missing.collect()
}

fn turn(node: &RelayNode, missing: &[SuspectEntry]) -> Duration {
    let own_id = &node.settings.raw.node;
    let mut sites = missing.iter().flat_map(|entry| &entry.crashes);
    if sites.any(|site| site.node == *own_id) {
        return Duration::ZERO;
    }
    let members = node.members();
    let before = members.nodes().filter(|record| record.id < *own_id).count();
    TURN * (1 + before as u32)
}

async fn write_quarantine(node: &RelayNode, entry: &SuspectEntry) -> Result<(), StoreError> {
    let value = serde_json::to_vec(entry).map_err(|error| StoreError::Unreadable {
        reason: error.to_string(),
    })?;
    let granted = node.store.grant_lease(Suspects::QUARANTINE).await;
    node.metrics.record_store_call(granted.is_ok());
    let key = key_of(entry.fingerprint);
    let written = node.store.put(&key, Bytes::from(value), granted?).await;
    node.metrics.record_store_call(written.is_ok());
    written.map(|_| ())
}

/// Applies changes of the stored quarantines.
pub(super) fn apply_changes(node: &RelayNode, changes: &[StoreEvent]) {
    for change in changes {
        match change {
            StoreEvent::Written(item) => apply_item(node, item),
            // An entry ends by its age. If its item is removed earlier, it is written again.
            StoreEvent::Removed { key, .. } => {
                let mut stored = node.stored_quarantines.lock();
                stored.retain(|fingerprint| key_of(*fingerprint) != *key);
                drop(stored);
                node.suspects.quarantine_formed.notify_one();
            }
        }
    }
}

fn key_of(fingerprint: Fingerprint) -> String {
    format!("{QUARANTINE_PREFIX}{fingerprint}")
}

fn apply_item(node: &RelayNode, item: &StoreItem) {
    match decode_item(item, node.clock.wall()) {
        Ok(entry) => {
            node.stored_quarantines.lock().insert(entry.fingerprint);
            node.merge_suspects(&[entry]);
        }
        Err(reason) => {
            events::STORED_UNREADABLE.log(format_args!("key={} reason=\"{reason}\"", item.key));
        }
    }
}

fn decode_item(item: &StoreItem, now: WallTime) -> Result<SuspectEntry, String> {
    let entry: SuspectEntry =
        serde_json::from_slice(&item.value).map_err(|error| error.to_string())?;
    match () {
        () if key_of(entry.fingerprint) != item.key => {
            Err(format!("entry names request {}", entry.fingerprint))
        }
        () if !entry.is_plausible(now) => Err("entry names a crash in the far future".to_owned()),
        () => Ok(entry),
    }
}
