//! The whole state of a node on request, for operators.

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
    /// What a node knows and does. It holds no key, no secret and no body of a request.
    pub struct NodeDump {
        /// The node.
        pub node: NodeId,
        /// The zone in which the node runs.
        pub zone: ZoneId,
        /// Where other nodes reach it.
        pub addresses: NodeAddresses,
        /// Time since the process started.
        pub uptime_ms: u64,
        /// Whether a planned stop has begun.
        pub draining: bool,
        /// The configuration in force.
        pub config_version: Option<ConfigVersion>,
        /// Whether the node is one of those of its zone that watch the platform's service.
        pub watches_platform: bool,
        /// Calls to the platform's service since the start.
        pub platform_calls: CallCounts,
        /// The backend server beside the node.
        pub server: Option<ServerDump>,
        /// Requests that run on the backend server.
        pub in_flight_requests: usize,
        /// At-most-once records and terms.
        pub once: OnceDump,
        /// Requests that were present when a backend server crashed.
        pub suspects: usize,
        /// Whether the node holds the rates of its zone.
        pub holds_rates: bool,
        /// The holder of the zone's rates, as the platform's record last named it to this node.
        pub rate_holder: Option<HolderRecord>,
        /// Requests of callers that were refused because a service below would have refused them.
        pub refused_at_entry: u64,
        /// All known nodes.
        pub members: Vec<NodeRecord>,
        /// Membership datagrams since the start.
        pub membership: MembershipCounters,
    }
}

plain_data! {
    /// At-most-once records and terms of a node.
    pub struct OnceDump {
        /// Records of keys.
        pub records: usize,
        /// Slots of which the node holds terms.
        pub held_slots: Vec<SlotId>,
        /// The registrar of the zone, as far as the node knows.
        pub registrar: Option<NodeId>,
    }
}

plain_data! {
    /// The backend server beside a node.
    pub struct ServerDump {
        /// What the backend server announced.
        pub announcement: Announcement,
        /// Open connections to it.
        pub open_connections: usize,
        /// Requests that may run on it at the same time, as decided by the node.
        pub limit_slots: u32,
        /// Requests that hold a slot.
        pub held_slots: u32,
        /// Requests that wait for a slot.
        pub waiting_requests: usize,
        /// The admission floor that the node reports.
        pub floor: FloorNotice,
    }
}

impl Node {
    /// Returns what the node knows and does.
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
