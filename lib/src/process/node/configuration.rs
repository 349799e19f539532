//! The configuration of a node: the one in force, and updates from the platform service and from
//! other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::Node;
use crate::process::configuration::ConfigurationNotice;
use crate::process::configuration::NOTICE_FANOUT;
use crate::process::configuration::StoredConfiguration;
use crate::process::configuration::choose_nodes;
use crate::process::configuration::watches_platform;
use crate::process::control;
use crate::process::control::ControlClient;
use crate::process::events::platform as platform_events;
use crate::process::events::version as events;
use crate::process::platform::Backoff;
use crate::process::platform::PlatformKey;
use crate::process::platform::Revision;
use crate::process::platform::StoredValue;
use crate::process::platform::WatchReply;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::ConfigVersion;
use crate::version::Configuration;
use crate::version::IndexedConfiguration;
use crate::version::OfferOutcome;

/// Delay between the start and the first watch of the platform service, so that the node knows the
/// other nodes first.
const WATCH_START_DELAY: Duration = Duration::from_secs(1);
/// Interval between checks of whether the node is one of the watchers.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Maximum duration of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// First pause after a failed watch.
const WATCH_FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after a failed watch.
const WATCH_LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Mean interval between queries to other nodes once the node has a configuration.
const POLL_PERIOD: Duration = Duration::from_secs(2);
/// Mean interval between queries to other nodes while the node has no configuration.
const POLL_PERIOD_AT_START: Duration = Duration::from_millis(200);
/// Timeout of a control call to another node.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// The tasks that keep the configuration of a node up to date. Dropping this stops them.
#[derive(Debug)]
pub(super) struct ConfigurationTasks {
    _watching: AbortOnDropHandle<()>,
    _polling: AbortOnDropHandle<()>,
    _notifying: AbortOnDropHandle<()>,
}

impl ConfigurationTasks {
    pub(super) fn start(node: &Arc<Node>) -> Self {
        let watching = tokio::spawn(watch_platform(Arc::clone(node)));
        let polling = tokio::spawn(poll_nodes(Arc::clone(node)));
        let notifying = tokio::spawn(notify_nodes(Arc::clone(node)));
        Self {
            _watching: AbortOnDropHandle::new(watching),
            _polling: AbortOnDropHandle::new(polling),
            _notifying: AbortOnDropHandle::new(notifying),
        }
    }
}

impl Node {
    /// Returns the configuration in force with its key index; refuses as not ready if none is.
    pub fn indexed_configuration(&self) -> Result<Arc<IndexedConfiguration>, Refusal> {
        let current = self.configuration.current();
        current.ok_or_else(|| Refusal::not_run(RefusalReason::NotReady))
    }

    /// Returns the configuration in force; refuses as not ready if none is.
    pub fn configuration(&self) -> Result<Arc<Configuration>, Refusal> {
        let current = self.indexed_configuration()?;
        Ok(Arc::clone(current.configuration()))
    }

    /// Puts `configuration` in force if it is newer than the one in force.
    pub fn offer_configuration(&self, configuration: Configuration) -> OfferOutcome {
        self.configuration.offer(configuration)
    }

    /// Handles the notice that another node has a configuration in force; it is fetched if it is
    /// newer.
    pub fn receive_configuration_notice(&self, notice: ConfigurationNotice) {
        if notice.version > self.configuration.version() {
            // Sending fails only while the node is stopping; it needs no further configuration.
            let _ = self.configuration_notices.send(notice);
        }
    }

    /// Returns whether the node is one of the watchers of the platform service in its zone.
    pub(super) fn watches_platform(&self) -> bool {
        let Self { settings, .. } = self;
        !self.is_draining() && watches_platform(&settings.node, &settings.zone, &self.members())
    }

    /// Returns the control address of the node that membership names as having a newer
    /// configuration.
    fn hinted_node(&self) -> Option<SocketAddr> {
        let hint = self.membership.config_hint()?;
        let members = self.members();
        let hinted = members.node(&hint.node)?;
        Some(hinted.addresses.control)
    }

    fn random_nodes(&self, count: usize) -> Vec<SocketAddr> {
        choose_nodes(
            &self.settings.node,
            &self.members(),
            count,
            &mut rand::rng(),
        )
    }
}

/// Watches the platform service while the node is one of the watchers of its zone.
async fn watch_platform(node: Arc<Node>) {
    let mut backoff = Backoff::new(WATCH_FIRST_PAUSE, WATCH_LONGEST_PAUSE, rand::random());
    let mut known = None;
    let mut reachable = true;
    sleep(WATCH_START_DELAY).await;
    loop {
        if !node.watches_platform() {
            sleep(ROLE_CHECK_PERIOD).await;
            continue;
        }
        let key = &PlatformKey::Configuration;
        match node.platform.watch(key, known, WATCH_WAIT).await {
            Ok(watched) => {
                if !reachable {
                    platform_events::REACHABLE.log("watch");
                }
                reachable = true;
                backoff.reset();
                known = apply_watched(&node, known, watched);
            }
            Err(error) => {
                if reachable {
                    platform_events::UNREACHABLE.log(error);
                }
                reachable = false;
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Offers the configuration that a watch returned, and returns the revision that is now known.
fn apply_watched(node: &Node, known: Option<Revision>, watched: WatchReply) -> Option<Revision> {
    let stored = match watched {
        WatchReply::Unchanged => return known,
        WatchReply::Changed(None) => return None,
        WatchReply::Changed(Some(stored)) => stored,
    };
    apply_stored(node, &stored);
    Some(stored.revision)
}

fn apply_stored(node: &Node, stored: &StoredValue) {
    match StoredConfiguration::try_from(stored) {
        Ok(stored) if stored.configuration.version < node.configuration.version() => {
            let stored = stored.configuration.version;
            let in_force = node.configuration.version();
            events::STORE_BEHIND.log(format_args!("{stored} stored, {in_force} in force"));
        }
        Ok(stored) => {
            node.offer_configuration(stored.configuration);
        }
        Err(error) => events::STORED_UNREADABLE.log(error),
    }
}

/// Queries other nodes for a newer configuration: immediately after a notice of one, otherwise
/// periodically, with the node that membership names as newer first.
async fn poll_nodes(node: Arc<Node>) {
    let mut notices = node.configuration_notices.subscribe();
    loop {
        match timeout(poll_pause(&node), notices.recv()).await {
            Ok(Ok(notice)) if notice.version > node.configuration.version() => {
                fetch(&node, notice.control).await;
            }
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => poll_one(&node).await,
        }
    }
}

/// Queries the node that membership names as newer, and a random node if that yields nothing newer.
async fn poll_one(node: &Node) {
    let before = node.configuration.version();
    if let Some(hinted) = node.hinted_node() {
        fetch(node, hinted).await;
    }
    match node.random_nodes(1).pop() {
        Some(other) if node.configuration.version() == before => fetch(node, other).await,
        Some(_) | None => {}
    }
}

/// Returns the time until the next query, with jitter.
fn poll_pause(node: &Node) -> Duration {
    let period = match node.configuration.version() {
        ConfigVersion(0) => POLL_PERIOD_AT_START,
        _ => POLL_PERIOD,
    };
    period.mul_f64(rand::rng().random_range(0.5..=1.5))
}

async fn fetch(node: &Node, address: SocketAddr) {
    let secret = &node.settings.fleet_secret;
    let Ok(other) = control::connect(address, secret, CONTROL_TIMEOUT) else {
        return;
    };
    let newer = other
        .newer_configuration(node.configuration.version())
        .await;
    if let Ok(Some(newer)) = newer {
        node.offer_configuration(newer);
    }
}

/// Notifies some other nodes of each newer configuration that comes into force on this one.
async fn notify_nodes(node: Arc<Node>) {
    let mut versions: watch::Receiver<ConfigVersion> = node.configuration.subscribe();
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        node.membership.set_config(version);
        let notice = ConfigurationNotice {
            version,
            control: node.addresses.control,
        };
        let addresses = node.random_nodes(NOTICE_FANOUT);
        let calls = addresses
            .into_iter()
            .map(|address| notify(&node, address, notice));
        futures::future::join_all(calls).await;
    }
}

async fn notify(node: &Node, address: SocketAddr, notice: ConfigurationNotice) {
    let secret = &node.settings.fleet_secret;
    if let Ok(other) = control::connect(address, secret, CONTROL_TIMEOUT) {
        // If the call fails, the other node learns of it from other notices or its own queries.
        let _ = other.configuration_news(notice).await;
    }
}
