//! The state that all requests of a node share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::watch;

use super::local_server::LocalServer;
use super::once::OnceState;
use super::retries::Retries;
use crate::connection::ConnectionPool;
use crate::connection::PoolLimits;
use crate::process::configuration::ConfigurationNews;
use crate::process::membership::MemberTable;
use crate::process::membership::NodeAddresses;
use crate::process::platform::PlatformClient;
use crate::process::platform::PlatformSettings;
use crate::process::secret::DerivedKey;
use crate::process::secret::KeyPurpose;
use crate::process::settings::NodeSettings;
use crate::request::InFlightTable;
use crate::values::Clock;
use crate::version::ConfigurationHolder;

/// Most connections from one node to another.
const PEER_CONNECTIONS_MAX: u32 = 1_024;
/// Longest time to open a connection to another node or to the backend server.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// The state that all requests of a node share.
///
/// Each lock is held for single steps only and never while another one is taken.
#[derive(Debug)]
pub struct Node {
    /// The checked settings.
    pub settings: NodeSettings,
    /// Where the node really listens, with the ports that it was given.
    pub addresses: NodeAddresses,
    /// The source of time.
    pub clock: Clock,
    /// Requests on the backend server beside this node.
    pub in_flight: Arc<InFlightTable>,
    pub(super) peer_key: DerivedKey,
    pub(super) retries: Retries,
    pub(super) once: OnceState,
    /// The configuration in force.
    pub configuration: ConfigurationHolder,
    /// The platform's service.
    pub platform: PlatformClient,
    pub(super) configuration_news: watch::Sender<Option<ConfigurationNews>>,
    members: RwLock<Arc<MemberTable>>,
    server: RwLock<Option<Arc<LocalServer>>>,
    peer_pools: Mutex<HashMap<SocketAddr, Arc<ConnectionPool>>>,
    draining: AtomicBool,
}

impl Node {
    /// Makes a node that has no configuration, no members and no backend server yet.
    pub fn new(settings: NodeSettings, addresses: NodeAddresses) -> Self {
        let platform = PlatformClient::new(&PlatformSettings {
            zone: Some(settings.zone.clone()),
            ..PlatformSettings::new(settings.platform)
        });
        Self {
            peer_key: settings.fleet_secret.derive(KeyPurpose::PeerRequest),
            settings,
            addresses,
            clock: Clock::start(),
            in_flight: Arc::default(),
            retries: Retries::new(rand::random()),
            once: OnceState::new(),
            configuration: ConfigurationHolder::new(),
            platform,
            configuration_news: watch::Sender::new(None),
            members: RwLock::default(),
            server: RwLock::default(),
            peer_pools: Mutex::default(),
            draining: AtomicBool::new(false),
        }
    }

    /// Returns the known nodes.
    pub fn members(&self) -> Arc<MemberTable> {
        Arc::clone(&self.members.read())
    }

    /// Replaces the known nodes.
    pub fn set_members(&self, members: Arc<MemberTable>) {
        *self.members.write() = members;
    }

    /// Returns the backend server beside this node while it is announced.
    pub(super) fn server(&self) -> Option<Arc<LocalServer>> {
        self.server.read().clone()
    }

    /// Replaces the backend server beside this node.
    pub(super) fn set_server(&self, server: Option<Arc<LocalServer>>) {
        *self.server.write() = server;
    }

    /// Returns the kept connections to another node.
    pub(super) fn peer_pool(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        let limits = self.pool_limits(PEER_CONNECTIONS_MAX);
        let mut pools = self.peer_pools.lock();
        let pool = pools
            .entry(address)
            .or_insert_with(|| Arc::new(ConnectionPool::new(address, limits)));
        Arc::clone(pool)
    }

    /// Returns the bounds on a pool of at most `connections_max` connections.
    pub(super) fn pool_limits(&self, connections_max: u32) -> PoolLimits {
        PoolLimits {
            connections_max,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
            answer_bytes_max: self.settings.body_bytes_max,
        }
    }

    /// Returns whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Begins a planned stop; returns whether it had not begun before.
    pub fn start_draining(&self) -> bool {
        !self.draining.swap(true, Ordering::Relaxed)
    }
}
