//! Stores the registration of a leaving backend server for the node's next start.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::node::RelayNode;
use super::registration::Registration;
use super::store::StoreError;
use crate::process::events::relay as events;
use crate::process::platform::Backoff;

/// Prefix of the keys that hold registrations of leaving servers.
const KEY_PREFIX: &str = "departures/";
/// Time for which a registration is stored: far longer than a report can be late.
const REGISTRATION_TTL: Duration = Duration::from_secs(120);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call, well below the time between two reports.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

fn key_of(node: &RelayNode) -> String {
    format!("{KEY_PREFIX}{}", node.settings.raw.node)
}

pub(super) async fn store_registration(node: &RelayNode) -> Result<(), StoreError> {
    let registration = node.registration.lock().clone();
    let value = serde_json::to_vec(&registration).map_err(|error| StoreError::Unreadable {
        reason: error.to_string(),
    })?;
    let granted = node.store.grant_lease(REGISTRATION_TTL).await;
    node.metrics.record_store_call(granted.is_ok());
    let written = node
        .store
        .put(&key_of(node), Bytes::from(value), granted?)
        .await;
    node.metrics.record_store_call(written.is_ok());
    written.map(|_| ())
}

/// Stores the registration, and retries until the write succeeds.
pub(super) async fn store_registration_until_done(node: Arc<RelayNode>) {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, rand::random());
    while let Err(error) = store_registration(&node).await {
        node.metrics.record_store_error(&error);
        sleep(backoff.next_delay()).await;
    }
}

/// Restores the registration that an earlier process of this node stored, and retries until the
/// read succeeds.
pub(super) async fn read_registration(node: Arc<RelayNode>) {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, rand::random());
    loop {
        let read = node.store.get(&key_of(&node)).await;
        node.metrics.record_store_call(read.is_ok());
        match read {
            Ok(found) => {
                if let Some(item) = found.content {
                    restore(&node, &item.key, &item.value);
                }
                node.is_registration_read.store(true, Ordering::Relaxed);
                return;
            }
            Err(error) => {
                node.metrics.record_store_error(&error);
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

fn restore(node: &RelayNode, key: &str, value: &[u8]) {
    match serde_json::from_slice::<Registration>(value) {
        Ok(registration) if registration.is_plausible(node.clock.wall()) => {
            *node.registration.lock() = registration;
        }
        Ok(_) => {
            events::STORED_UNREADABLE.log(format_args!(
                "key={key} reason=\"registration names a time in the far future\""
            ));
        }
        Err(error) => {
            events::STORED_UNREADABLE.log(format_args!("key={key} reason=\"{error}\""));
        }
    }
}
