//! The state of a node on request, for operators.

use std::sync::Arc;

use super::Announcement;
use super::Node;
use crate::process::gate::FloorNotice;
use crate::process::membership::MembershipCounters;
use crate::process::membership::NodeAddresses;
use crate::process::membership::NodeRecord;
use crate::process::once::SlotId;
use crate::process::platform::CallCounts;
use crate::process::rates::HolderRecord;
use crate::values::ConfigVersion;
use crate::values::NodeId;
use crate::values::ZoneId;

plain_data! {
    /// The state of a node. It contains no key, no secret and no request body.
    pub struct NodeDump {
        /// Id of the node.
        pub node: NodeId,
        /// The zone in which the node runs.
        pub zone: ZoneId,
        /// Addresses of the listeners for other nodes.
        pub addresses: NodeAddresses,
        /// Time since the process started.
        pub uptime_ms: u64,
        /// Whether a planned stop has begun.
        pub draining: bool,
        /// Version of the configuration in force.
        pub config_version: Option<ConfigVersion>,
        /// Whether the node is one of the watchers of the platform's service in its zone.
        pub watches_platform: bool,
        /// Calls to the platform's service since the start.
        pub platform_calls: CallCounts,
        /// The local backend server, if one is announced.
        pub server: Option<ServerDump>,
        /// Number of requests that run on the backend server.
        pub in_flight_requests: usize,
        /// At-most-once records and terms.
        pub once: OnceDump,
        /// Number of requests that were in flight when a backend server crashed.
        pub suspects: usize,
        /// Whether the node holds the rates of its zone.
        pub holds_rates: bool,
        /// The holder of the zone's rates, from its record in the platform's service as this node
        /// last knew it.
        pub rate_holder: Option<HolderRecord>,
        /// Number of requests of callers that this node refused as ingress, because a downstream
        /// service would have refused them.
        pub refused_at_entry: u64,
        /// All known nodes.
        pub members: Vec<NodeRecord>,
        /// Counts of membership datagrams since the start.
        pub membership: MembershipCounters,
    }
}

plain_data! {
    /// At-most-once records and terms of a node.
    pub struct OnceDump {
        /// Number of records.
        pub records: usize,
        /// Slots whose terms the node holds.
        pub held_slots: Vec<SlotId>,
        /// The registrar of the zone, if the node knows it.
        pub registrar: Option<NodeId>,
    }
}

plain_data! {
    /// The state of the local backend server and its admission gate.
    pub struct ServerDump {
        /// The announcement of the backend server.
        pub announcement: Announcement,
        /// Number of open connections to it.
        pub open_connections: usize,
        /// Number of requests that may run on it concurrently, as limited by the gate.
        pub limit_slots: u32,
        /// Number of requests that hold a slot.
        pub held_slots: u32,
        /// Number of requests that wait for a slot.
        pub waiting_requests: usize,
        /// The admission floor that the node reports.
        pub floor: FloorNotice,
    }
}

impl Node {
    /// Returns a snapshot of the node's state.
    pub fn dump(self: &Arc<Self>) -> NodeDump {
        let configuration = self.configuration().ok();
        NodeDump {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            addresses: self.addresses.clone(),
            uptime_ms: self.clock.now().0 / 1_000,
            draining: self.is_draining(),
            config_version: configuration.map(|configuration| configuration.version),
            watches_platform: self.watches_platform(),
            platform_calls: self.platform.counts(),
            server: self.server().map(|server| ServerDump {
                announcement: server.announcement.clone(),
                open_connections: server.pool.open_connections(),
                limit_slots: server.gate.slots(),
                held_slots: server.gate.in_flight(),
                waiting_requests: server.gate.waiting(),
                floor: server.gate.floor(),
            }),
            in_flight_requests: self.in_flight.len(),
            suspects: self.suspects.count(),
            once: OnceDump {
                records: self.once.record_count(),
                held_slots: self.once.held_slots(),
                registrar: self.known_registrar(),
            },
            holds_rates: self.holds_rates(),
            rate_holder: self.rates().service.known_holder(),
            refused_at_entry: self.load.refused_at_ingress(),
            members: self.members().nodes().cloned().collect(),
            membership: self.membership.counters(),
        }
    }
}
