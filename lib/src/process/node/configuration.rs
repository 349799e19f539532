//! The configuration of a node: in force, from the platform's service and from other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::Node;
use crate::process::configuration::ConfigurationNews;
use crate::process::configuration::NEWS_FANOUT;
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
use crate::version::Offer;

/// Time after the start before a node may watch the platform's service, so that it knows the others.
const WATCH_START_DELAY: Duration = Duration::from_secs(1);
/// Time between two looks at whether the node is one of the watchers.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// First pause after a failed watch.
const WATCH_FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after a failed watch.
const WATCH_LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Time between two questions to other nodes once the node has a configuration.
const ASK_PERIOD: Duration = Duration::from_secs(2);
/// Time between two questions to other nodes while the node has no configuration.
const ASK_PERIOD_AT_START: Duration = Duration::from_millis(200);
/// Longest time for a control call to another node.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// The tasks that keep the configuration of a node up to date. They stop when this is dropped.
#[derive(Debug)]
pub(super) struct ConfigurationTasks {
    _watching: AbortOnDropHandle<()>,
    _asking: AbortOnDropHandle<()>,
    _telling: AbortOnDropHandle<()>,
}

impl ConfigurationTasks {
    /// Starts the tasks.
    pub(super) fn start(node: &Arc<Node>) -> Self {
        let watching = tokio::spawn(watch_platform(Arc::clone(node)));
        let asking = tokio::spawn(ask_nodes(Arc::clone(node)));
        let telling = tokio::spawn(tell_nodes(Arc::clone(node)));
        Self {
            _watching: AbortOnDropHandle::new(watching),
            _asking: AbortOnDropHandle::new(asking),
            _telling: AbortOnDropHandle::new(telling),
        }
    }
}

impl Node {
    /// Returns the configuration in force with its index of keys.
    pub fn indexed_configuration(&self) -> Result<Arc<IndexedConfiguration>, Refusal> {
        let current = self.configuration.current();
        current.ok_or_else(|| Refusal::not_run(RefusalReason::NotReady))
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Result<Arc<Configuration>, Refusal> {
        let current = self.indexed_configuration()?;
        Ok(Arc::clone(current.configuration()))
    }

    /// Puts `configuration` in force unless the one in force is as new.
    pub fn offer_configuration(&self, configuration: Configuration) -> Offer {
        self.configuration.offer(configuration)
    }

    /// Notes that another node has a configuration in force, which is fetched if it is newer.
    pub fn note_configuration_news(&self, news: ConfigurationNews) {
        if news.version > self.configuration.version() {
            // An error here means that the node is stopping and learns nothing more.
            let _ = self.configuration_news.send(news);
        }
    }

    /// Returns whether the node is one of those of its zone that watch the platform's service.
    pub(super) fn watches_platform(&self) -> bool {
        let Self { settings, .. } = self;
        !self.is_draining() && watches_platform(&settings.node, &settings.zone, &self.members())
    }

    /// Returns the control address of a node that has a newer configuration, if one is known.
    fn hinted_node(&self) -> Option<SocketAddr> {
        let hint = self.membership.config_hint()?;
        let members = self.members();
        let hinted = members.node(&hint.node)?;
        Some(hinted.addresses.control)
    }

    fn some_nodes(&self, count: usize) -> Vec<SocketAddr> {
        choose_nodes(
            &self.settings.node,
            &self.members(),
            count,
            &mut rand::rng(),
        )
    }
}

/// Watches the platform's service while the node is one of the watchers of its zone.
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
                known = take_watched(&node, known, watched);
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

/// Offers what a watch saw, and returns the revision now known.
fn take_watched(node: &Node, known: Option<Revision>, watched: WatchReply) -> Option<Revision> {
    let stored = match watched {
        WatchReply::Unchanged => return known,
        WatchReply::Changed(None) => return None,
        WatchReply::Changed(Some(stored)) => stored,
    };
    take_stored(node, &stored);
    Some(stored.revision)
}

fn take_stored(node: &Node, stored: &StoredValue) {
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

/// Asks other nodes for a newer configuration: on news at once, on a hint of membership soon, else
/// one node now and then.
async fn ask_nodes(node: Arc<Node>) {
    let mut news = node.configuration_news.subscribe();
    loop {
        match timeout(ask_pause(&node), news.recv()).await {
            Ok(Ok(told)) if told.version > node.configuration.version() => {
                fetch(&node, told.control).await;
            }
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => ask_one(&node).await,
        }
    }
}

/// Asks the node that membership names as newer, and if that brings nothing, a random one.
async fn ask_one(node: &Node) {
    let before = node.configuration.version();
    if let Some(hinted) = node.hinted_node() {
        fetch(node, hinted).await;
    }
    match node.some_nodes(1).pop() {
        Some(other) if node.configuration.version() == before => fetch(node, other).await,
        Some(_) | None => {}
    }
}

/// Returns the time until the next question, with a random part.
fn ask_pause(node: &Node) -> Duration {
    let period = match node.configuration.version() {
        ConfigVersion(0) => ASK_PERIOD_AT_START,
        _ => ASK_PERIOD,
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

/// Tells a few other nodes of each newer configuration that comes into force on this one.
async fn tell_nodes(node: Arc<Node>) {
    let mut versions: watch::Receiver<ConfigVersion> = node.configuration.subscribe();
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        node.membership.set_config(version);
        let news = ConfigurationNews {
            version,
            control: node.addresses.control,
        };
        let told = node.some_nodes(NEWS_FANOUT);
        let calls = told.into_iter().map(|address| tell(&node, address, news));
        futures::future::join_all(calls).await;
    }
}

async fn tell(node: &Node, address: SocketAddr, news: ConfigurationNews) {
    let secret = &node.settings.fleet_secret;
    if let Ok(other) = control::connect(address, secret, CONTROL_TIMEOUT) {
        // Without an answer the other node learns from others, or when it asks.
        let _ = other.configuration_news(news).await;
    }
}
