//! Tasks that confirm the configuration and clean up the view of the fleet.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;
use tokio::time::timeout;

use super::evacuation;
use super::link::Link;
use super::link::ping_frame;
use super::node::RelayNode;
use super::views::refresh;
use crate::process::events::relay as events;
use crate::process::membership::NodeRecord;
use crate::process::platform::Backoff;

/// Prefix of the nodes' entries in the store.
pub(super) const STORE_ENTRY_PREFIX: &str = "nodes/";
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call: half the time in which a running node's lapsed entry must be
/// written again.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time between two checks of the confirmation's age.
const CONFIRM_PERIOD: Duration = Duration::from_millis(100);
/// Confirmation age at which a connected node's report is requested, as a fraction of the time in
/// which a configuration must be in force. The usual source of updates did not help then.
const PEER_REQUEST_AGE_FRACTION: f64 = 0.7;
/// Range of the confirmation age at which the first node of a zone reads the store, as fractions of
/// the same time. Each draws its own age, so that one reads and the others learn from it.
const FIRST_REQUEST_AGE_FRACTIONS: std::ops::Range<f64> = 0.3..0.6;
/// The same range for another node that watches the store because no other one is up to date.
const STORE_REQUEST_AGE_FRACTIONS: std::ops::Range<f64> = 0.9..1.2;
/// Timeout for another node's confirmation report.
const CONFIRMATION_REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two checks for entries that stayed missing.
const CLEAN_UP_PERIOD: Duration = Duration::from_millis(500);

pub(super) fn new_backoff() -> Backoff {
    Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, rand::random())
}

/// Confirms that the configuration in force is the newest, through other nodes or the store.
pub(super) async fn maintain_confirmation(node: Arc<RelayNode>) {
    let apply = node.bounds().configuration_apply();
    let mut store_request_age = random_store_request_age(&node, apply);
    let mut backoff = new_backoff();
    let mut was_accepting = false;
    loop {
        sleep(CONFIRM_PERIOD).await;
        let accepts = node.accepts_keys();
        if accepts != was_accepting {
            log_acceptance(&node, accepts);
            was_accepting = accepts;
        }
        let age = node.confirmation_age().unwrap_or(Duration::MAX);
        if age >= apply.mul_f64(PEER_REQUEST_AGE_FRACTION) {
            request_any_confirmation_report(&node).await;
        }
        let age = node.confirmation_age().unwrap_or(Duration::MAX);
        // Other nodes learn from those that watch the store.
        let is_watching = node.views.is_watching.load(Ordering::Relaxed);
        if age < store_request_age || !is_watching || node.plan().is_none() {
            continue;
        }
        store_request_age = random_store_request_age(&node, apply);
        let is_confirmed =
            refresh(&node).await && node.confirmation_age().is_some_and(|age| age < apply);
        if is_confirmed {
            backoff.reset();
        } else {
            sleep(backoff.next_delay()).await;
        }
    }
}

fn random_store_request_age(node: &RelayNode, apply: Duration) -> Duration {
    let fractions = match node.views.is_first.load(Ordering::Relaxed) {
        true => FIRST_REQUEST_AGE_FRACTIONS,
        false => STORE_REQUEST_AGE_FRACTIONS,
    };
    apply.mul_f64(rand::rng().random_range(fractions))
}

fn log_acceptance(node: &RelayNode, accepts: bool) {
    let version = node.confirmation_report().version;
    let is_newer_named = !node.knows_newest();
    match accepts {
        true => events::CONFIRMED.log(format_args!("version={version}")),
        false => events::UNCONFIRMED.log(format_args!(
            "version={version} newer_version_named={is_newer_named}"
        )),
    }
}

/// Requests and applies the confirmation report of a connected node.
async fn request_any_confirmation_report(node: &Arc<RelayNode>) {
    if let Some(link) = node.links.any_open() {
        request_report_on(node, &link).await;
    }
}

/// Requests and applies the confirmation report of a node. Returns whether it replied in time.
pub(super) async fn request_confirmation_report(node: &RelayNode, other: &NodeRecord) -> bool {
    match timeout(CONFIRMATION_REPORT_TIMEOUT, node.links.get(other)).await {
        Ok(Ok(link)) => request_report_on(node, &link).await,
        Ok(Err(_)) | Err(_) => false,
    }
}

async fn request_report_on(node: &RelayNode, link: &Arc<Link>) -> bool {
    let requested_at = node.clock.now();
    let request = link.exchange(ping_frame);
    match timeout(CONFIRMATION_REPORT_TIMEOUT, request).await {
        Ok(Ok(link_reply)) => {
            node.learn_loads(link_reply.loads);
            if let Some(report) = link_reply.confirmation {
                node.apply_confirmation_report(report, requested_at, link.peer());
            }
            true
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Evicts nodes whose entries stayed missing, ends evacuations that stayed missing, and drops connections that have ended.
pub(super) async fn clean_up_fleet(node: Arc<RelayNode>) {
    loop {
        sleep(CLEAN_UP_PERIOD).await;
        let now = node.clock.now();
        let changed = node.fleet.lock().evict_missing(now);
        if changed {
            node.publish_fleet();
        }
        evacuation::end_missing(&node);
        let members = node.members();
        node.links.remove_closed(&members);
    }
}
