//! Stores the quarantine of requests that crashed several backend servers, and reads it.
//!
//! Nodes notify each other of suspects at once. The store keeps the quarantine for nodes that start
//! later, also after all processes have ended, and for nodes that could not be reached.

use std::sync::Arc;

use bytes::Bytes;

use super::node::RelayNode;
use super::store::StoreError;
use super::store::StoreEvent;
use super::store::StoreItem;
use super::tasks::new_backoff;
use super::tasks::watch_items;
use crate::process::events::relay as events;
use crate::process::suspects::SuspectEntry;
use crate::process::suspects::Suspects;

/// Prefix of the stored quarantines.
const QUARANTINE_PREFIX: &str = "suspects/";

/// Writes a quarantine to the store, and retries until the quarantine is over.
pub(super) async fn store_quarantine(node: Arc<RelayNode>, entry: SuspectEntry) {
    let started_at = node.clock.now();
    let mut backoff = new_backoff();
    while node.clock.now().since(started_at) < Suspects::QUARANTINE {
        match write_quarantine(&node, &entry).await {
            Ok(()) => return,
            Err(error) => node.metrics.record_store_error(&error),
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

async fn write_quarantine(node: &RelayNode, entry: &SuspectEntry) -> Result<(), StoreError> {
    let value = serde_json::to_vec(entry).map_err(|error| StoreError::Unreadable {
        reason: error.to_string(),
    })?;
    let granted = node.store.grant_lease(Suspects::QUARANTINE).await;
    node.metrics.record_store_call(granted.is_ok());
    let key = format!("{QUARANTINE_PREFIX}{}", entry.fingerprint);
    let written = node.store.put(&key, Bytes::from(value), granted?).await;
    node.metrics.record_store_call(written.is_ok());
    written.map(|_| ())
}

/// Watches the stored quarantines.
pub(super) async fn watch_quarantines(node: Arc<RelayNode>) {
    watch_items(
        &node,
        QUARANTINE_PREFIX,
        |items, _| {
            for item in items {
                apply_item(&node, item);
            }
        },
        |changes| {
            for change in changes {
                // An entry ends by its age, not by its removal.
                if let StoreEvent::Written(item) = change {
                    apply_item(&node, item);
                }
            }
        },
    )
    .await;
}

fn apply_item(node: &RelayNode, item: &StoreItem) {
    match serde_json::from_slice::<SuspectEntry>(&item.value) {
        // Entries that this node can clear are not quarantined elsewhere for that.
        Ok(entry) => drop(node.merge_suspects(&[entry])),
        Err(error) => {
            events::STORED_UNREADABLE.log(format_args!("key={} reason=\"{error}\"", item.key));
        }
    }
}
