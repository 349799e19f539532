//! Reads views from the store and watches them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::select_all;
use tokio::time::sleep;

use super::apply::apply_update;
use super::messages::MirrorUpdate;
use super::messages::View;
use crate::process::events::relay as events;
use crate::process::platform::Backoff;
use crate::process::relay::evacuation;
use crate::process::relay::node::RelayNode;
use crate::process::relay::quarantine::QUARANTINE_PREFIX;
use crate::process::relay::store::StoreError;
use crate::process::relay::store::StorePosition;
use crate::process::relay::tasks::STORE_ENTRY_PREFIX;
use crate::process::relay::tasks::new_backoff;

/// Longest wait of one watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay after changes, so that changes close together cost one call. Other nodes refuse a request
/// for a server that has left, so an outdated view of the fleet costs only another attempt.
const CHANGE_DELAY: Duration = Duration::from_millis(200);
/// First pause after a failed call of a node that is not the first of its zone.
const OTHER_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause of such a node. It learns from other nodes as soon as one of them is up to date.
const OTHER_PAUSE_MAX: Duration = Duration::from_secs(2);

fn prefix_of(node: &RelayNode, view: View) -> &'static str {
    match view {
        View::Entries => STORE_ENTRY_PREFIX,
        View::Quarantines => QUARANTINE_PREFIX,
        View::Configuration if evacuation::is_enabled(node) => node.protocol.operator_prefix,
        View::Configuration => node.protocol.configuration_key,
    }
}

/// Reads a view from the store.
pub(super) async fn read_view(node: &Arc<RelayNode>, view: View) -> Result<(), StoreError> {
    let requested_at = node.clock.now();
    let prefix = prefix_of(node, view);
    let is_one_item = prefix == node.protocol.configuration_key;
    let (items, position) = match is_one_item {
        false => {
            let listed = node.store.list(prefix).await;
            node.metrics.record_store_call(listed.is_ok());
            let listed = listed?;
            let position = listed.position();
            (listed.content, position)
        }
        true => {
            let read = node.store.get(prefix).await;
            node.metrics.record_store_call(read.is_ok());
            let read = read?;
            let position = read.position();
            (read.content.into_iter().collect(), position)
        }
    };
    let is_found = items
        .iter()
        .any(|item| item.key == node.protocol.configuration_key);
    apply_update(node, view, MirrorUpdate::Listing { items, position });
    let is_refused = node.views.is_configuration_refused.load(Ordering::Relaxed);
    // A late response of an earlier era is not applied, and may hold a newer configuration.
    let is_applied = node.views.era() == Some(position.era);
    if view == View::Configuration && is_found && !is_refused && is_applied {
        node.confirm(requested_at, position.era);
    }
    Ok(())
}

/// Watches all views in the store until the future is dropped.
///
/// While the store fails, it gets one call at a time, of which a node other than the first of its
/// zone makes few.
pub(super) async fn watch_store(node: Arc<RelayNode>) {
    let mut backoff = new_watch_backoff(&node);
    loop {
        let started_at = node.clock.now();
        let error = match read_view(&node, View::Configuration).await {
            Ok(()) => {
                log_reachability(&node, true, "read");
                let watches = View::ALL.map(|view| Box::pin(follow_view(&node, view)));
                select_all(watches).await.0
            }
            Err(error) => error,
        };
        node.metrics.record_store_error(&error);
        log_reachability(&node, false, &error.to_string());
        if node.clock.now().since(started_at) > OTHER_PAUSE_MAX {
            backoff = new_watch_backoff(&node);
        }
        sleep(backoff.next_delay()).await;
    }
}

fn new_watch_backoff(node: &RelayNode) -> Backoff {
    match node.views.is_first.load(Ordering::Relaxed) {
        true => new_backoff(),
        false => Backoff::new(OTHER_PAUSE, OTHER_PAUSE_MAX, rand::random()),
    }
}

/// Follows a view until a call fails. Reads the whole view first if changes are missing.
async fn follow_view(node: &Arc<RelayNode>, view: View) -> StoreError {
    loop {
        let result = match await_change(node, view, WATCH_TIMEOUT).await {
            Ok(true) if view != View::Configuration => {
                sleep(CHANGE_DELAY).await;
                Ok(())
            }
            Ok(_) => Ok(()),
            Err(StoreError::HistoryLost) => read_view(node, view).await,
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            return error;
        }
    }
}

/// Waits for changes of a view in the store and applies them. Returns whether there were any.
async fn await_change(
    node: &Arc<RelayNode>,
    view: View,
    wait: Duration,
) -> Result<bool, StoreError> {
    let after = node.views.positions()[view as usize].ok_or(StoreError::HistoryLost)?;
    let prefix = prefix_of(node, view);
    let changes = node.store.watch(prefix, after.revision, wait).await;
    node.metrics.record_store_call(changes.is_ok());
    let changes = changes?;
    let position = changes.position();
    let has_changes = !changes.content.is_empty();
    let update = MirrorUpdate::Changes {
        events: changes.content,
        after: after.revision,
        position: StorePosition {
            revision: position.revision.max(after.revision),
            ..position
        },
    };
    // After a return to an earlier copy, changes do not follow what is known.
    match position.era == after.era && apply_update(node, view, update) {
        true => Ok(has_changes),
        false => Err(StoreError::HistoryLost),
    }
}

fn log_reachability(node: &RelayNode, is_reachable: bool, detail: &str) {
    match (node.metrics.set_store_reachable(is_reachable), is_reachable) {
        (true, true) => events::STORE_BACK.log(detail),
        (true, false) => events::STORE_LOST.log(detail),
        (false, _) => {}
    }
}
