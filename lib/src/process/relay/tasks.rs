//! Tasks that keep the configuration and the view of the fleet up to date.

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
pub(super) const ENTRY_PREFIX: &str = "nodes/";
/// Longest wait of one watch, below the store's own limit of half a minute.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call: half the time in which a living node's entry must be back.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time between two looks at the age of the confirmation.
const CONFIRM_PERIOD: Duration = Duration::from_millis(100);
/// Age of the confirmation at which another node is asked, as a part of the time in which a
/// configuration must be in force.
const ASK_PEER_AT: f64 = 0.5;
/// Age at which the store is asked, as a part of the same time. Each node draws its own, so that
/// one node asks and reports the answer to the others.
const ASK_STORE_AT: std::ops::Range<f64> = 0.6..1.1;
/// Longest wait for another node's confirmation report.
const CONFIRMATION_REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a change of the fleet, so that changes that come together cost one call. Other nodes
/// refuse a request for a server that has gone, so a late view costs only another attempt.
const GATHER_CHANGES: Duration = Duration::from_millis(200);
/// Time between two looks for entries that stayed missing.
const FLEET_PERIOD: Duration = Duration::from_millis(500);

/// Reads the newest configuration from the store and puts it in force.
///
/// Returns whether the store answered.
pub(super) async fn read_configuration(node: &Arc<RelayNode>) -> bool {
    let asked_at = node.clock.now();
    let read = node.store.get(node.protocol.configuration_key).await;
    node.metrics.store_call(read.is_ok());
    match read {
        Ok(found) => {
            if let Some(item) = found.content
                && take_configuration(node, &item)
            {
                node.confirm(asked_at);
            }
            true
        }
        Err(error) => {
            node.metrics.note_store_error(&error);
            false
        }
    }
}

/// Puts a stored configuration in force. Returns whether it could be read.
fn take_configuration(node: &RelayNode, item: &StoreItem) -> bool {
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

fn new_backoff() -> Backoff {
    Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, rand::random())
}

/// Watches the configuration.
pub(super) async fn watch_configuration(node: Arc<RelayNode>) {
    let mut backoff = new_backoff();
    let key = node.protocol.configuration_key;
    loop {
        let asked_at = node.clock.now();
        let read = node.store.get(key).await;
        node.metrics.store_call(read.is_ok());
        let error = match read {
            Ok(found) => {
                events_of_store(&node, true, "configuration");
                backoff.reset();
                if let Some(item) = &found.content
                    && take_configuration(&node, item)
                {
                    node.confirm(asked_at);
                }
                follow_configuration(&node, found.revision).await
            }
            Err(error) => error,
        };
        if error != StoreError::HistoryLost {
            node.metrics.note_store_error(&error);
            events_of_store(&node, false, &error.to_string());
            sleep(backoff.next_pause()).await;
        }
    }
}

async fn follow_configuration(node: &RelayNode, mut after: StoreRevision) -> StoreError {
    let key = node.protocol.configuration_key;
    loop {
        match node.store.watch(key, after, WATCH_WAIT).await {
            Ok(changes) => {
                node.metrics.store_call(true);
                for event in &changes.content {
                    if let StoreEvent::Written(item) = event
                        && item.key == key
                    {
                        take_configuration(node, item);
                    }
                }
                after = after.max(changes.revision);
            }
            Err(error) => {
                node.metrics.store_call(false);
                return error;
            }
        }
    }
}

fn events_of_store(node: &RelayNode, answers: bool, detail: &str) {
    match (node.metrics.set_store_answers(answers), answers) {
        (true, true) => events::STORE_BACK.log(detail),
        (true, false) => events::STORE_LOST.log(detail),
        (false, _) => {}
    }
}

/// Confirms that the configuration in force is the newest, through other nodes or the store.
pub(super) async fn keep_confirmed(node: Arc<RelayNode>) {
    let apply = node.bounds().configuration_apply();
    let mut ask_store_at = draw_ask_store_at(apply);
    let mut backoff = new_backoff();
    let mut was_accepting = false;
    loop {
        tokio::select! {
            () = sleep(CONFIRM_PERIOD) => {}
            () = node.configuration_wanted.notified() => {
                read_configuration(&node).await;
            }
        }
        let accepts = node.accepts_keys();
        if accepts != was_accepting {
            log_acceptance(&node, accepts);
            was_accepting = accepts;
        }
        let age = node.confirmation_age().unwrap_or(Duration::MAX);
        if age < apply.mul_f64(ASK_PEER_AT) {
            continue;
        }
        ask_peer(&node).await;
        let age = node.confirmation_age().unwrap_or(Duration::MAX);
        if age < ask_store_at {
            continue;
        }
        if read_configuration(&node).await {
            ask_store_at = draw_ask_store_at(apply);
            backoff.reset();
        } else {
            sleep(backoff.next_pause()).await;
        }
    }
}

fn draw_ask_store_at(apply: Duration) -> Duration {
    apply.mul_f64(rand::rng().random_range(ASK_STORE_AT))
}

fn log_acceptance(node: &RelayNode, accepts: bool) {
    let version = node.confirmation_report().version;
    match accepts {
        true => events::CONFIRMED.log(format_args!("version={version}")),
        false => events::UNCONFIRMED.log(format_args!("version={version}")),
    }
}

/// Asks a connected node for its confirmation report.
async fn ask_peer(node: &Arc<RelayNode>) {
    let Some(link) = node.links.any_open() else {
        return;
    };
    let asked_at = node.clock.now();
    let asked = link.exchange(ping_frame);
    if let Ok(Ok(link_reply)) = tokio::time::timeout(CONFIRMATION_REPORT_TIMEOUT, asked).await
        && let Some(report) = link_reply.confirmation
    {
        node.apply_confirmation_report(report, asked_at);
    }
}

/// Watches the entries of the fleet's nodes.
pub(super) async fn watch_fleet(node: Arc<RelayNode>) {
    let mut backoff = new_backoff();
    loop {
        let listed = node.store.list(ENTRY_PREFIX).await;
        node.metrics.store_call(listed.is_ok());
        let error = match listed {
            Ok(listed) => {
                backoff.reset();
                take_list(&node, &listed.content, listed.revision);
                follow_fleet(&node, listed.revision).await
            }
            Err(error) => error,
        };
        if error != StoreError::HistoryLost {
            node.metrics.note_store_error(&error);
            sleep(backoff.next_pause()).await;
        }
    }
}

fn take_list(node: &RelayNode, items: &[StoreItem], revision: StoreRevision) {
    let now = node.clock.now();
    let mut listed: Vec<NodeId> = Vec::new();
    let mut changed = false;
    for item in items {
        if let Some(record) = read_entry(item) {
            listed.push(record.id.clone());
            changed |= node.fleet.lock().write(record, item.revision);
        }
    }
    node.fleet.lock().list(&listed, revision, now);
    if changed {
        node.publish_fleet();
    }
}

/// Reads an entry; one that another writer spoiled names no node.
fn read_entry(item: &StoreItem) -> Option<NodeRecord> {
    let node = node_of(&item.key)?;
    match serde_json::from_slice::<NodeRecord>(&item.value) {
        Ok(record) if record.id == node => Some(record),
        Ok(record) => {
            events::STORED_UNREADABLE.log(format_args!(
                "key={} reason=\"entry is of {}\"",
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
    key.strip_prefix(ENTRY_PREFIX)?.parse().ok()
}

async fn follow_fleet(node: &Arc<RelayNode>, mut after: StoreRevision) -> StoreError {
    loop {
        match node.store.watch(ENTRY_PREFIX, after, WATCH_WAIT).await {
            Ok(changes) => {
                node.metrics.store_call(true);
                take_changes(node, &changes.content);
                after = after.max(changes.revision);
                if !changes.content.is_empty() {
                    sleep(GATHER_CHANGES).await;
                }
            }
            Err(error) => {
                node.metrics.store_call(false);
                return error;
            }
        }
    }
}

fn take_changes(node: &RelayNode, changes: &[StoreEvent]) {
    let now = node.clock.now();
    let mut changed = false;
    for change in changes {
        match change {
            StoreEvent::Written(item) => {
                if let Some(record) = read_entry(item) {
                    // An entry of this node that is not its present one was written late.
                    let is_own = record.id == node.settings.raw.node;
                    if is_own && record != node.own_record() {
                        node.entry_changed.notify_one();
                    }
                    changed |= node.fleet.lock().write(record, item.revision);
                }
            }
            StoreEvent::Removed { key, revision } => {
                if let Some(id) = node_of(key) {
                    // The node's own lease ended while it lives.
                    if id == node.settings.raw.node {
                        node.entry_changed.notify_one();
                    }
                    node.fleet.lock().remove(&id, *revision, now);
                }
            }
        }
    }
    if changed {
        node.publish_fleet();
    }
}

/// Forgets nodes whose entries stayed missing, and connections that have ended.
pub(super) async fn tidy_fleet(node: Arc<RelayNode>) {
    loop {
        sleep(FLEET_PERIOD).await;
        let now = node.clock.now();
        let changed = node.fleet.lock().forget_missing(now);
        if changed {
            node.publish_fleet();
        } else if let Some(plan) = node.plan() {
            node.share_allowances(&plan);
        }
        let members = node.members();
        let known = members.nodes().map(|record| record.addresses.peer);
        node.links.remove_closed(&known.collect());
    }
}
