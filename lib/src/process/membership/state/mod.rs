//! The membership state machine. It performs no I/O, and the caller passes in the time.

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

/// Options with which a node joins the fleet.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// The id of the node.
    pub id: NodeId,
    /// The zone in which the node runs.
    pub zone: ZoneId,
    /// The addresses at which the node listens.
    pub addresses: NodeAddresses,
    /// The backend server, if it has already announced itself.
    pub server: Option<ServerRecord>,
    /// Addresses at which other nodes may listen for membership datagrams.
    pub seeds: Vec<SocketAddr>,
    /// The secret shared by all nodes of the fleet.
    pub secret: FleetSecret,
    /// Seed of the random number generator; tests set a fixed one.
    pub random_seed: u64,
}

/// Number of seed addresses from which on [`MembershipState::add_seed`] ignores further ones.
const SEEDS_MAX: usize = 64;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The address of the receiver.
    pub to: SocketAddr,
    /// The encoded datagram, including the authentication code.
    pub bytes: Bytes,
}

/// A node at which a newer configuration is in force than at this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigHint {
    /// The version in force at that node.
    pub version: ConfigVersion,
    /// The id of that node.
    pub node: NodeId,
}

plain_data! {
    /// Counters of datagrams and their bytes since the start.
    #[derive(Copy, Default, Eq)]
    pub struct MembershipCounters {
        /// Datagrams sent.
        pub sent: u64,
        /// Bytes of the datagrams sent, without UDP and IP headers.
        pub sent_bytes: u64,
        /// Valid datagrams received.
        pub received: u64,
        /// Bytes of the valid datagrams received.
        pub received_bytes: u64,
        /// Datagrams dropped: from unauthenticated peers, damaged, or of another wire version.
        pub dropped: u64,
    }
}

/// Times at which recurring actions are next due, and times of some last actions.
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

/// The membership state of one node.
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
    /// Creates the state of a node that starts at `wall` and `now`.
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

    /// Returns this node's record.
    pub fn own_record(&self) -> &NodeRecord {
        &self.own
    }

    /// Returns the record of one node.
    pub fn node(&self, id: &NodeId) -> Option<&NodeRecord> {
        self.members.get(id).map(|member| &member.record)
    }

    /// Returns a view of all records that this node holds.
    pub fn table(&self) -> MemberTable {
        let records = self.members.iter().map(|member| &member.record);
        MemberTable::new(records.cloned())
    }

    /// Returns the revision of the table, which increases with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the datagram counters since the start.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Sets the version of the configuration in force at this node. A lower version has no effect.
    pub fn set_config(&mut self, version: ConfigVersion) {
        self.config = self.config.max(version);
        self.config_hint = self
            .config_hint
            .take()
            .filter(|hint| hint.version > self.config);
    }

    /// Returns the newest configuration observed at another node, if newer than this node's.
    pub fn config_hint(&self) -> Option<&ConfigHint> {
        self.config_hint.as_ref()
    }

    /// Adds an address, read from the platform's service, at which another node may listen.
    pub fn add_seed(&mut self, seed: SocketAddr) {
        let is_new = seed != self.own.addresses.probe && !self.seeds.contains(&seed);
        if is_new && self.seeds.len() < SEEDS_MAX {
            self.seeds.push(seed);
        }
    }

    /// Removes and returns the datagrams to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }
}
