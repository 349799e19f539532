//! Tasks that update the configuration and the view of the fleet.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use super::link::ping_frame;
use super::node::RelayNode;
use super::store::StoreError;
use super::store::StoreEvent;
use super::store::StoreItem;
use super::store::StoreRevision;
use crate::process::events::relay as events;
use crate::process::membership::NodeRecord;
use crate::process::platform::Backoff;
use crate::values::NodeId;

/// Prefix of the nodes' entries in the store.
pub(super) const STORE_ENTRY_PREFIX: &str = "nodes/";
/// Longest wait of one watch, below the store's own limit of half a minute.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call: half the time in which a running node's lapsed entry must be
/// written again.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time between two checks of the confirmation's age.
const CONFIRM_PERIOD: Duration = Duration::from_millis(100);
/// Confirmation age at which another node's report is requested, as a fraction of the time in which
/// a configuration must be in force.
const PEER_REQUEST_AGE_FRACTION: f64 = 0.5;
/// Range of the confirmation age at which the store is read, as fractions of the same time. Each
/// node draws its own age, so that one node reads the store and reports the result to the others.
const STORE_REQUEST_AGE_FRACTIONS: std::ops::Range<f64> = 0.6..1.1;
/// Timeout for another node's confirmation report.
const CONFIRMATION_REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after changes, so that changes close together cost one call. Other nodes refuse a request
/// for a server that has left, so an outdated view of the fleet costs only another attempt.
const CHANGE_DELAY: Duration = Duration::from_millis(200);
/// Time between two checks for entries that stayed missing.
const CLEAN_UP_PERIOD: Duration = Duration::from_millis(500);

/// Reads the newest configuration from the store and puts it in force.
///
/// Returns whether the store responded.
pub(super) async fn read_configuration(node: &Arc<RelayNode>) -> bool {
    let requested_at = node.clock.now();
    let read = node.store.get(node.protocol.configuration_key).await;
    node.metrics.record_store_call(read.is_ok());
    match read {
        Ok(found) => {
            if let Some(item) = found.content
                && apply_configuration(node, &item)
            {
                node.confirm(requested_at);
            }
            true
        }
        Err(error) => {
            node.metrics.record_store_error(&error);
            false
        }
    }
}

/// Puts a stored configuration in force. Returns whether it could be decoded.
fn apply_configuration(node: &RelayNode, item: &StoreItem) -> bool {
    match (node.protocol.decode_configuration)(&item.value) {
        Ok(plan) => {
            node.offer_plan(plan);
            true
        }
        Err(reason) => {
            events::CONFIGURATION_REFUSED.log(format_args!(
                "key={} revision={} reason=\"{reason}\"",
                item.key, item.revision
            ));
            false
        }
    }
}

pub(super) fn new_backoff() -> Backoff {
    Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, rand::random())
}

/// Watches the configuration in the store, and puts newer versions in force.
pub(super) async fn watch_configuration(node: Arc<RelayNode>) {
    let mut backoff = new_backoff();
    let key = node.protocol.configuration_key;
    loop {
        let requested_at = node.clock.now();
        let read = node.store.get(key).await;
        node.metrics.record_store_call(read.is_ok());
        let error = match read {
            Ok(found) => {
                log_store_reachability(&node, true, "configuration");
                backoff.reset();
                if let Some(item) = &found.content
                    && apply_configuration(&node, item)
                {
                    node.confirm(requested_at);
                }
                follow_configuration(&node, found.revision).await
            }
            Err(error) => error,
        };
        if error != StoreError::HistoryLost {
            node.metrics.record_store_error(&error);
            log_store_reachability(&node, false, &error.to_string());
            sleep(backoff.next_delay()).await;
        }
    }
}

async fn follow_configuration(node: &RelayNode, mut after: StoreRevision) -> StoreError {
    let key = node.protocol.configuration_key;
    loop {
        match node.store.watch(key, after, WATCH_TIMEOUT).await {
            Ok(changes) => {
                node.metrics.record_store_call(true);
                for event in &changes.content {
                    if let StoreEvent::Written(item) = event
                        && item.key == key
                    {
                        apply_configuration(node, item);
                    }
                }
                after = after.max(changes.revision);
            }
            Err(error) => {
                node.metrics.record_store_call(false);
                return error;
            }
        }
    }
}

fn log_store_reachability(node: &RelayNode, is_reachable: bool, detail: &str) {
    match (node.metrics.set_store_reachable(is_reachable), is_reachable) {
        (true, true) => events::STORE_BACK.log(detail),
        (true, false) => events::STORE_LOST.log(detail),
        (false, _) => {}
    }
}

/// Confirms that the configuration in force is the newest, through other nodes or the store.
pub(super) async fn maintain_confirmation(node: Arc<RelayNode>) {
    let apply = node.bounds().configuration_apply();
    let mut store_request_age = random_store_request_age(apply);
    let mut backoff = new_backoff();
    let mut was_accepting = false;
    loop {
        tokio::select! {
            () = sleep(CONFIRM_PERIOD) => {}
            () = node.configuration_refresh.notified() => {
                read_configuration(&node).await;
            }
        }
        let accepts = node.accepts_keys();
        if accepts != was_accepting {
            log_acceptance(&node, accepts);
            was_accepting = accepts;
        }
        let age = node.confirmation_age().unwrap_or(Duration::MAX);
        if age < apply.mul_f64(PEER_REQUEST_AGE_FRACTION) {
            continue;
        }
        request_confirmation_report(&node).await;
        let age = node.confirmation_age().unwrap_or(Duration::MAX);
        if age < store_request_age {
            continue;
        }
        if read_configuration(&node).await {
            store_request_age = random_store_request_age(apply);
            backoff.reset();
        } else {
            sleep(backoff.next_delay()).await;
        }
    }
}

fn random_store_request_age(apply: Duration) -> Duration {
    apply.mul_f64(rand::rng().random_range(STORE_REQUEST_AGE_FRACTIONS))
}

fn log_acceptance(node: &RelayNode, accepts: bool) {
    let version = node.confirmation_report().version;
    match accepts {
        true => events::CONFIRMED.log(format_args!("version={version}")),
        false => events::UNCONFIRMED.log(format_args!("version={version}")),
    }
}

/// Requests and applies the confirmation report of a connected node.
async fn request_confirmation_report(node: &Arc<RelayNode>) {
    let Some(link) = node.links.any_open() else {
        return;
    };
    let requested_at = node.clock.now();
    let request = link.exchange(ping_frame);
    if let Ok(Ok(link_reply)) = tokio::time::timeout(CONFIRMATION_REPORT_TIMEOUT, request).await
        && let Some(report) = link_reply.confirmation
    {
        node.apply_confirmation_report(report, requested_at);
    }
}

/// Watches the store entries of the fleet's nodes.
pub(super) async fn watch_fleet(node: Arc<RelayNode>) {
    watch_items(
        &node,
        STORE_ENTRY_PREFIX,
        |items, revision| apply_listing(&node, items, revision),
        |changes| apply_changes(&node, changes),
    )
    .await;
}

/// Reads all items below `prefix`, and then follows their changes. After a failure or a loss of
/// history, it starts again.
pub(super) async fn watch_items(
    node: &RelayNode,
    prefix: &str,
    apply_listing: impl Fn(&[StoreItem], StoreRevision),
    apply_changes: impl Fn(&[StoreEvent]),
) {
    let mut backoff = new_backoff();
    loop {
        let listed = node.store.list(prefix).await;
        node.metrics.record_store_call(listed.is_ok());
        let error = match listed {
            Ok(listed) => {
                backoff.reset();
                apply_listing(&listed.content, listed.revision);
                follow_items(node, prefix, listed.revision, &apply_changes).await
            }
            Err(error) => error,
        };
        if error != StoreError::HistoryLost {
            node.metrics.record_store_error(&error);
            sleep(backoff.next_delay()).await;
        }
    }
}

async fn follow_items(
    node: &RelayNode,
    prefix: &str,
    mut after: StoreRevision,
    apply_changes: impl Fn(&[StoreEvent]),
) -> StoreError {
    loop {
        match node.store.watch(prefix, after, WATCH_TIMEOUT).await {
            Ok(changes) => {
                node.metrics.record_store_call(true);
                apply_changes(&changes.content);
                after = after.max(changes.revision);
                if !changes.content.is_empty() {
                    sleep(CHANGE_DELAY).await;
                }
            }
            Err(error) => {
                node.metrics.record_store_call(false);
                return error;
            }
        }
    }
}

fn apply_listing(node: &RelayNode, items: &[StoreItem], revision: StoreRevision) {
    let now = node.clock.now();
    let mut listed: Vec<NodeId> = Vec::new();
    let mut changed = false;
    for item in items {
        if let Some(record) = decode_store_entry(item) {
            listed.push(record.id.clone());
            changed |= node.fleet.lock().apply_write(record, item.revision);
        }
    }
    node.fleet.lock().apply_listing(&listed, revision, now);
    if changed {
        node.publish_fleet();
    }
    node.is_fleet_listed.send_replace(true);
}

/// Decodes a store entry. An entry that another writer corrupted is logged and skipped.
fn decode_store_entry(item: &StoreItem) -> Option<NodeRecord> {
    let node = node_of(&item.key)?;
    match serde_json::from_slice::<NodeRecord>(&item.value) {
        Ok(record) if record.id == node => Some(record),
        Ok(record) => {
            events::STORED_UNREADABLE.log(format_args!(
                "key={} reason=\"entry names node {}\"",
                item.key, record.id
            ));
            None
        }
        Err(error) => {
            events::STORED_UNREADABLE.log(format_args!("key={} reason=\"{error}\"", item.key));
            None
        }
    }
}

fn node_of(key: &str) -> Option<NodeId> {
    key.strip_prefix(STORE_ENTRY_PREFIX)?.parse().ok()
}

fn apply_changes(node: &RelayNode, changes: &[StoreEvent]) {
    let now = node.clock.now();
    let mut changed = false;
    for change in changes {
        match change {
            StoreEvent::Written(item) => {
                if let Some(record) = decode_store_entry(item) {
                    // An entry of this node that differs from its current record comes from a
                    // delayed write.
                    let is_own = record.id == node.settings.raw.node;
                    if is_own && record != node.own_record() {
                        node.store_entry_changed.notify_one();
                    }
                    changed |= node.fleet.lock().apply_write(record, item.revision);
                }
            }
            StoreEvent::Removed { key, revision } => {
                if let Some(id) = node_of(key) {
                    // The lease of this node ended while the node is running.
                    if id == node.settings.raw.node {
                        node.store_entry_changed.notify_one();
                    }
                    node.fleet.lock().apply_removal(&id, *revision, now);
                }
            }
        }
    }
    if changed {
        node.publish_fleet();
    }
}

/// Evicts nodes whose entries stayed missing, and drops connections that have ended.
pub(super) async fn clean_up_fleet(node: Arc<RelayNode>) {
    loop {
        sleep(CLEAN_UP_PERIOD).await;
        let now = node.clock.now();
        let changed = node.fleet.lock().evict_missing(now);
        if changed {
            node.publish_fleet();
        }
        let members = node.members();
        let known = members.nodes().map(|record| record.addresses.peer);
        node.links.remove_closed(&known.collect());
    }
}
