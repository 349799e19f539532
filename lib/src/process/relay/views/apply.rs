//! Applies changes of the store to what the node believes.

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::messages::MirrorUpdate;
use super::messages::View;
use super::messages::ViewUpdate;
use super::mirror::MirrorChange;
use crate::process::events::relay as events;
use crate::process::membership::NodeRecord;
use crate::process::relay::evacuation;
use crate::process::relay::node::RelayNode;
use crate::process::relay::quarantine;
use crate::process::relay::registration_store::store_registration_until_done;
use crate::process::relay::store::StoreEvent;
use crate::process::relay::store::StoreItem;
use crate::process::relay::store::StoreRevision;
use crate::process::relay::tasks::STORE_ENTRY_PREFIX;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Applies an update of a view. Returns false if changes are missing before it.
pub(super) fn apply_update(node: &Arc<RelayNode>, view: View, update: MirrorUpdate) -> bool {
    let (events, is_new_era) = match node.views.apply(view, update) {
        MirrorChange::None => return true,
        MirrorChange::Gap => return false,
        MirrorChange::Changed { events, is_new_era } => (events, is_new_era),
    };
    match view {
        View::Entries => apply_entries(node, &events, is_new_era),
        View::Quarantines => quarantine::apply_changes(node, &events),
        View::Configuration => {
            // The evacuations are known before the node is ready.
            evacuation::apply_changes(node, &events, is_new_era);
            apply_configuration(node, &events);
        }
    }
    if !events.is_empty() {
        node.views.notify_followers(node.clock.now());
    }
    true
}

fn apply_entries(node: &Arc<RelayNode>, events: &[StoreEvent], is_new_era: bool) {
    let now = node.clock.now();
    if is_new_era {
        node.fleet.lock().begin_era();
        // What this node wrote may be gone, too.
        if node.registration.lock().must_be_stored() {
            tokio::spawn(store_registration_until_done(Arc::clone(node)));
        }
    }
    let mut changed = false;
    for event in events {
        match event {
            StoreEvent::Written(item) => match decode_store_entry(item) {
                Ok(record) => {
                    // An entry of this node that differs from its current record comes from a
                    // delayed write. Until this process has written one, it is the entry of an
                    // earlier process.
                    let is_own = record.id == node.settings.raw.node
                        && node.is_entry_written.load(Ordering::Relaxed);
                    if is_own && record != node.own_record() {
                        node.store_entry_changed.notify_one();
                    }
                    changed |= node.fleet.lock().apply_write(record, item.revision);
                }
                Err(reason) => {
                    events::STORED_UNREADABLE
                        .log(format_args!("key={} reason=\"{reason}\"", item.key));
                    // It replaced the entry of the node, if there was one.
                    apply_missing(node, &item.key, item.revision, now);
                }
            },
            StoreEvent::Removed { key, revision } => apply_missing(node, key, *revision, now),
        }
    }
    if changed {
        node.publish_fleet();
    }
    node.is_fleet_listed.send_replace(true);
}

/// Records that the store has no entry of the node that `key` names since `revision`.
fn apply_missing(node: &RelayNode, key: &str, revision: StoreRevision, now: MonotonicTime) {
    let Some(id) = node_of(key) else {
        return;
    };
    // This node is running, so its entry must be there.
    if id == node.settings.raw.node {
        node.store_entry_changed.notify_one();
    }
    node.fleet.lock().apply_removal(&id, revision, now);
}

/// Decodes a store entry. The error describes what another writer put in its place.
fn decode_store_entry(item: &StoreItem) -> Result<NodeRecord, String> {
    let node = node_of(&item.key).ok_or("key names no node")?;
    let record: NodeRecord =
        serde_json::from_slice(&item.value).map_err(|error| error.to_string())?;
    match () {
        () if record.id != node => Err(format!("entry names node {}", record.id)),
        () if record.addresses.peer.port() == 0 => Err("entry names port 0".to_owned()),
        () => Ok(record),
    }
}

fn node_of(key: &str) -> Option<NodeId> {
    key.strip_prefix(STORE_ENTRY_PREFIX)?.parse().ok()
}

/// Puts the configuration of a listing in force if it is newer, even if the listing is no newer than
/// the mirror: the store may have gone back behind it.
pub(super) fn offer_listed(node: &RelayNode, update: &ViewUpdate) {
    if let (View::Configuration, MirrorUpdate::Listing { items, .. }) =
        (update.view, &update.update)
    {
        let is_configuration = |item: &&StoreItem| item.key == node.protocol.configuration_key;
        for item in items.iter().filter(is_configuration) {
            offer_configuration(node, item);
        }
    }
}

fn apply_configuration(node: &RelayNode, events: &[StoreEvent]) {
    for event in events {
        match event {
            StoreEvent::Written(item) if item.key == node.protocol.configuration_key => {
                let is_decoded = offer_configuration(node, item);
                let is_refused = &node.views.is_configuration_refused;
                is_refused.store(!is_decoded, Ordering::Relaxed);
            }
            StoreEvent::Written(_) | StoreEvent::Removed { .. } => {}
        }
    }
}

/// Puts a stored configuration in force. Returns whether it could be decoded.
fn offer_configuration(node: &RelayNode, item: &StoreItem) -> bool {
    let decode = || (node.protocol.decode_configuration)(&item.value);
    // A panic here would also skip the changes after this one.
    let decoded = catch_unwind(AssertUnwindSafe(decode));
    match decoded.unwrap_or_else(|_| Err("the decoder panicked".to_owned())) {
        Ok(plan) => {
            let version = plan.version;
            if node.offer_plan(plan) {
                node.views.set_in_force(version, item.clone());
            }
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
