//! The state machine of membership: no I/O, and the time is passed in.

mod own;
mod receive;
mod send;
mod tick;

use std::net::SocketAddr;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::MemberTable;
use super::Members;
use super::NodeAddresses;
use super::NodeCondition;
use super::NodeRecord;
use super::ProbeSequence;
use super::ServerRecord;
use super::announcer::Announcer;
use super::contacts::Contacts;
use super::deltas::DeltaQueue;
use super::probes::PendingProbes;
use super::schedule::ProbeSchedule;
use super::suspicions::Suspicions;
use super::transfers::Transfers;
use crate::process::secret::DerivedKey;
use crate::process::secret::FleetSecret;
use crate::process::secret::KeyPurpose;
use crate::values::ConfigVersion;
use crate::values::Incarnation;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::WallTime;
use crate::values::ZoneId;

/// What a node brings with it when it joins.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// The own id.
    pub id: NodeId,
    /// The zone in which the node runs.
    pub zone: ZoneId,
    /// Where the node listens.
    pub addresses: NodeAddresses,
    /// The backend server, if it announced itself already.
    pub server: Option<ServerRecord>,
    /// Where other nodes may listen for membership datagrams.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all nodes share.
    pub secret: FleetSecret,
    /// Start of the random choices; tests fix it.
    pub random_seed: u64,
}

/// Most seed addresses that a node holds.
const SEEDS_MAX: usize = 64;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: SocketAddr,
    /// The whole datagram.
    pub bytes: Bytes,
}

/// A node that runs a newer configuration than this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigHint {
    /// The version that it runs.
    pub version: ConfigVersion,
    /// The node.
    pub node: NodeId,
}

plain_data! {
    /// Numbers of datagrams and their bytes since the start.
    #[derive(Copy, Default, Eq)]
    pub struct MembershipCounters {
        /// Datagrams sent.
        pub sent: u64,
        /// Bytes of the datagrams sent, without the headers of UDP and IP.
        pub sent_bytes: u64,
        /// Valid datagrams received.
        pub received: u64,
        /// Bytes of the valid datagrams received.
        pub received_bytes: u64,
        /// Datagrams dropped: from strangers, damaged, or of another version.
        pub dropped: u64,
    }
}

/// When the recurring actions are next due.
#[derive(Clone, Copy, Debug, Default)]
struct DueTimes {
    probe: MonotonicTime,
    lost_probe: MonotonicTime,
    sync: MonotonicTime,
    seed: MonotonicTime,
    cleanup: MonotonicTime,
    join_announcement: Option<MonotonicTime>,
    last_announcement: Option<MonotonicTime>,
    last_tick: Option<MonotonicTime>,
}

/// Membership as one node sees it.
#[derive(Debug)]
pub struct MembershipState {
    own: NodeRecord,
    key: DerivedKey,
    seeds: Vec<SocketAddr>,
    members: Members,
    suspicions: Suspicions,
    contacts: Contacts,
    deltas: DeltaQueue,
    probes: PendingProbes,
    schedule: ProbeSchedule,
    announcer: Announcer,
    transfers: Transfers,
    due: DueTimes,
    config: ConfigVersion,
    config_hint: Option<ConfigHint>,
    counters: MembershipCounters,
    revision: u64,
    outbox: Vec<Outgoing>,
    rng: StdRng,
}

impl MembershipState {
    /// Makes the state of a node that starts now.
    pub fn new(options: MembershipOptions, wall: WallTime, now: MonotonicTime) -> Self {
        let mut rng = StdRng::seed_from_u64(options.random_seed);
        let own = NodeRecord {
            id: options.id,
            zone: options.zone,
            addresses: options.addresses,
            incarnation: Incarnation::at_start(wall),
            condition: NodeCondition::Alive,
            server: options.server,
        };
        let mut members = Members::default();
        members.merge(own.clone(), now);
        let probe_address = own.addresses.probe;
        let is_other = |seed: &SocketAddr| *seed != probe_address;
        Self {
            own,
            key: options.secret.derive(KeyPurpose::Membership),
            seeds: options.seeds.into_iter().filter(is_other).collect(),
            members,
            suspicions: Suspicions::default(),
            contacts: Contacts::default(),
            deltas: DeltaQueue::default(),
            probes: PendingProbes::new(ProbeSequence(rng.random())),
            schedule: ProbeSchedule::default(),
            announcer: Announcer::default(),
            transfers: Transfers::default(),
            due: DueTimes::default(),
            config: ConfigVersion::default(),
            config_hint: None,
            counters: MembershipCounters::default(),
            revision: 0,
            outbox: Vec::new(),
            rng,
        }
    }

    /// Returns the own record.
    pub fn own_record(&self) -> &NodeRecord {
        &self.own
    }

    /// Returns what is known about one node.
    pub fn node(&self, id: &NodeId) -> Option<&NodeRecord> {
        self.members.get(id).map(|member| &member.record)
    }

    /// Returns a view of all records held.
    pub fn table(&self) -> MemberTable {
        let records = self.members.iter().map(|member| &member.record);
        MemberTable::new(records.cloned())
    }

    /// Returns a number that changes with every change of the table.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the numbers of datagrams since the start.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Sets the version of the configuration that this node runs.
    pub fn set_config(&mut self, version: ConfigVersion) {
        self.config = self.config.max(version);
        self.config_hint = self
            .config_hint
            .take()
            .filter(|hint| hint.version > self.config);
    }

    /// Returns the newest configuration that another node runs, if newer than this node's.
    pub fn config_hint(&self) -> Option<&ConfigHint> {
        self.config_hint.as_ref()
    }

    /// Adds an address at which another node may listen, as read from the platform's service.
    pub fn add_seed(&mut self, seed: SocketAddr) {
        let is_new = seed != self.own.addresses.probe && !self.seeds.contains(&seed);
        if is_new && self.seeds.len() < SEEDS_MAX {
            self.seeds.push(seed);
        }
    }

    /// Takes the datagrams that have to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }
}
