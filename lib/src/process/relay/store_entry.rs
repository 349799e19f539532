//! Maintains the node's leased entry in the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;
use tokio::time::timeout;

use super::node::RelayNode;
use super::store::LeaseId;
use super::store::StoreError;
use super::tasks::STORE_ENTRY_PREFIX;
use crate::process::events::relay as events;
use crate::process::membership::NodeRecord;
use crate::process::platform::Backoff;

/// Duration of the lease: three renewal periods, so that a lost renewal does not end it.
const LEASE_TTL: Duration = Duration::from_secs(9);
/// Time between two renewals.
const RENEW_PERIOD: Duration = Duration::from_secs(3);
/// Timeout for the first report of the backend server, after which the entry is written without a
/// server: the usual time between two reports.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call: a lapsed entry is written again well within two seconds after
/// the store recovers.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// What the store holds for this node, as far as known.
#[derive(Default)]
struct StoredState {
    lease: Option<LeaseId>,
    written: Option<NodeRecord>,
}

/// Maintains the node's leased entry in the store until the future is dropped.
pub(super) async fn maintain_store_entry(node: Arc<RelayNode>) {
    let mut stored = StoredState::default();
    // If the backend server reports soon, the entry is written once instead of twice.
    let _reported = timeout(FIRST_REPORT_TIMEOUT, node.store_entry_changed.notified()).await;
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, rand::random());
    let mut is_renewal_due = false;
    loop {
        if let Err(error) = sync_once(&node, &mut stored, is_renewal_due).await {
            handle_failure(&node, &mut stored, &error);
            sleep(backoff.next_delay()).await;
            continue;
        }
        backoff.reset();
        let changed = timeout(RENEW_PERIOD, node.store_entry_changed.notified()).await;
        is_renewal_due = changed.is_err();
        if !is_renewal_due {
            // Writes the entry again even if it is unchanged: it may have lapsed, or a delayed
            // write of an earlier entry may have replaced it.
            stored.written = None;
        }
    }
}

async fn sync_once(
    node: &RelayNode,
    stored: &mut StoredState,
    is_renewal_due: bool,
) -> Result<(), StoreError> {
    if is_renewal_due && let Some(lease) = stored.lease {
        let renewed = node.store.renew_lease(lease).await;
        node.metrics.record_store_call(renewed.is_ok());
        renewed?;
    }
    write_if_changed(node, stored).await
}

fn handle_failure(node: &RelayNode, stored: &mut StoredState, error: &StoreError) {
    node.metrics.record_store_error(error);
    if *error == StoreError::LeaseEnded {
        events::ENTRY_LAPSED.log(format_args!("node={}", node.settings.raw.node));
        *stored = StoredState::default();
    }
}

async fn write_if_changed(node: &RelayNode, stored: &mut StoredState) -> Result<(), StoreError> {
    let record = node.own_record();
    if stored.written.as_ref() == Some(&record) {
        return Ok(());
    }
    let lease = match stored.lease {
        Some(lease) => lease,
        None => {
            let granted = node.store.grant_lease(LEASE_TTL).await;
            node.metrics.record_store_call(granted.is_ok());
            *stored.lease.insert(granted?)
        }
    };
    let value = serde_json::to_vec(&record).map_err(|error| StoreError::Unreadable {
        reason: error.to_string(),
    })?;
    let key = format!("{STORE_ENTRY_PREFIX}{}", record.id);
    let written = node.store.put(&key, Bytes::from(value), lease).await;
    node.metrics.record_store_call(written.is_ok());
    let revision = written?;
    events::ENTRY_WRITTEN.log(format_args!(
        "revision={revision} condition={:?} serves={}",
        record.condition,
        record.server.is_some()
    ));
    stored.written = Some(record);
    node.is_entry_written.store(true, Ordering::Relaxed);
    Ok(())
}
