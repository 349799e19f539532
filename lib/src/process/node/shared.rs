//! The state that all requests of a node share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::broadcast;

use super::ProbeSocket;
use super::load_control::LoadControl;
use super::local_server::LocalServer;
use super::once::OnceState;
use super::rates::new_rates;
use super::retries::Retries;
use super::suspects::SuspectState;
use crate::connection::ConnectionPool;
use crate::connection::PoolLimits;
use crate::process::configuration::ConfigurationNotice;
use crate::process::membership::Membership;
use crate::process::membership::NodeAddresses;
use crate::process::metrics::Metrics;
use crate::process::platform::PlatformClient;
use crate::process::platform::PlatformSettings;
use crate::process::rates::BucketDump;
use crate::process::rates::FleetRates;
use crate::process::secret::DerivedKey;
use crate::process::secret::KeyPurpose;
use crate::process::settings::NodeSettings;
use crate::request::InFlightTable;
use crate::values::Clock;
use crate::values::OrganisationId;
use crate::version::ConfigurationHolder;

/// Maximum number of connections from one node to another.
const PEER_CONNECTIONS_MAX: u32 = 1_024;
/// Timeout for opening a connection to another node or to the backend server.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Maximum number of queued configuration notices.
const NOTICE_QUEUE_MAX: usize = 64;
/// Time after which an idle connection is closed.
pub(super) const IDLE_TIMEOUT_MS: u64 = 30_000;

/// The state that all requests of a node share.
///
/// Each lock is held for one short operation only, and never while another lock is acquired.
#[derive(Debug)]
pub struct Node {
    /// The checked settings.
    pub settings: NodeSettings,
    /// The addresses on which the node listens, with the ports that the operating system assigned.
    pub addresses: NodeAddresses,
    /// The source of time.
    pub clock: Clock,
    /// Metrics for operators.
    pub metrics: Metrics,
    /// Requests that run on the local backend server.
    pub in_flight: Arc<InFlightTable>,
    /// The other nodes.
    pub membership: Membership,
    pub(super) peer_key: DerivedKey,
    pub(super) retries: Retries,
    pub(super) once: OnceState,
    pub(super) suspects: SuspectState,
    /// The configuration in force.
    pub configuration: ConfigurationHolder,
    /// Client of the platform's service.
    pub platform: PlatformClient,
    pub(super) configuration_notices: broadcast::Sender<ConfigurationNotice>,
    pub(super) load: LoadControl,
    server: RwLock<Option<Arc<LocalServer>>>,
    peer_pools: Mutex<HashMap<SocketAddr, Arc<ConnectionPool>>>,
    draining: AtomicBool,
    rates: OnceLock<FleetRates>,
}

impl Node {
    /// Creates a node without a configuration and without a backend server, and starts membership.
    pub fn new(
        settings: NodeSettings,
        addresses: NodeAddresses,
        probes: ProbeSocket,
        metrics: Metrics,
    ) -> Self {
        let clock = Clock::start();
        let platform = PlatformClient::new(&PlatformSettings {
            zone: Some(settings.zone.clone()),
            ..PlatformSettings::new(settings.platform)
        });
        let suspects = SuspectState::new(settings.node.clone());
        Self {
            load: LoadControl::new(settings.zone.clone(), clock.now()),
            peer_key: settings.fleet_secret.derive(KeyPurpose::PeerRequest),
            membership: probes.start(&settings, &addresses, &clock),
            settings,
            addresses,
            clock,
            in_flight: Arc::default(),
            metrics,
            retries: Retries::new(rand::random()),
            once: OnceState::new(),
            suspects,
            configuration: ConfigurationHolder::new(),
            platform,
            configuration_notices: broadcast::Sender::new(NOTICE_QUEUE_MAX),
            server: RwLock::default(),
            peer_pools: Mutex::default(),
            draining: AtomicBool::new(false),
            rates: OnceLock::new(),
        }
    }

    /// Returns the local backend server while it is announced.
    pub(super) fn server(&self) -> Option<Arc<LocalServer>> {
        self.server.read().clone()
    }

    /// Replaces the local backend server, and announces the change to the fleet.
    pub(super) fn set_server(&self, server: Option<Arc<LocalServer>>) {
        *self.server.write() = server;
        self.publish_server();
    }

    /// Returns the connection pool for another node; creates it on first use.
    pub(super) fn peer_pool(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        let limits = self.pool_limits(PEER_CONNECTIONS_MAX);
        let mut pools = self.peer_pools.lock();
        let pool = pools
            .entry(address)
            .or_insert_with(|| Arc::new(ConnectionPool::new(address, limits)));
        Arc::clone(pool)
    }

    /// Returns the limits of a pool of at most `connections_max` connections.
    pub(super) fn pool_limits(&self, connections_max: u32) -> PoolLimits {
        PoolLimits {
            connections_max,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
            response_bytes_max: self.settings.body_bytes_max,
        }
    }

    /// Returns this node's rate client and holder service; creates them on first use.
    pub(super) fn rates(self: &Arc<Self>) -> &FleetRates {
        self.rates.get_or_init(|| new_rates(self))
    }

    /// Returns whether this node currently holds the rates of its zone.
    pub fn holds_rates(self: &Arc<Self>) -> bool {
        self.rates().service.is_holder()
    }

    /// Returns an organisation's token bucket in the zone, if this node holds the zone's rates.
    pub fn rate_tokens(self: &Arc<Self>, organisation: &OrganisationId) -> Option<BucketDump> {
        self.rates().service.bucket(organisation)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Begins a planned stop and announces it to the fleet; returns false if it had already begun.
    pub fn start_draining(&self) -> bool {
        self.membership.leave();
        !self.draining.swap(true, Ordering::Relaxed)
    }
}
