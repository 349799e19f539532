//! Records that nodes exchange about each node.

use std::net::SocketAddr;

use crate::values::ConnectionCount;
use crate::values::Incarnation;
use crate::values::NodeId;
use crate::values::ServiceId;
use crate::values::SlotCount;
use crate::values::ZoneId;

plain_value! {
    /// The condition of a node, as last observed or announced.
    #[serde(rename_all = "kebab-case")]
    pub enum NodeCondition {
        /// The node responds to probes.
        Alive,
        /// The node did not respond to probes and has not yet refuted the suspicion.
        Suspect,
        /// The node is stopping and accepts no new work.
        Leaving,
        /// The node did not refute the suspicion in time, or a new node took its address.
        Dead,
    }
}

plain_data! {
    /// The addresses at which a node listens for other nodes.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct NodeAddresses {
        /// Address for requests from other nodes over HTTP.
        pub peer: SocketAddr,
        /// Address for control calls over JSON-RPC.
        pub control: SocketAddr,
        /// Address for membership datagrams over UDP.
        pub probe: SocketAddr,
    }
}

plain_data! {
    /// The backend server of a node, as it announced itself.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ServerRecord {
        /// The service that the backend server belongs to.
        pub service: ServiceId,
        /// Number of requests that it runs at the same time.
        pub slots: SlotCount,
        /// Number of connections that it accepts at the same time.
        pub connections: ConnectionCount,
    }
}

plain_data! {
    /// The membership record of one node.
    #[derive(Eq)]
    pub struct NodeRecord {
        /// The id of the node.
        pub id: NodeId,
        /// The zone in which the node runs.
        pub zone: ZoneId,
        /// The addresses at which the node listens.
        pub addresses: NodeAddresses,
        /// Distinguishes runs of the node's process, and versions of its record within one run.
        pub incarnation: Incarnation,
        /// Whether the node responds and accepts new work.
        pub condition: NodeCondition,
        /// The announced backend server; `None` while it starts, leaves or is down.
        pub server: Option<ServerRecord>,
    }
}

impl NodeRecord {
    /// Returns whether this record replaces `known`.
    ///
    /// A higher incarnation takes precedence, then a worse condition. Only the node itself changes
    /// the other fields, and raises its incarnation with each change. Comparing them as well makes
    /// the order total, so that all nodes keep the same record regardless of the order of arrival.
    pub fn supersedes(&self, known: &Self) -> bool {
        self.precedence() > known.precedence()
    }

    /// Returns the one of two records of the same node that supersedes the other.
    pub fn merge(self, other: Self) -> Self {
        if other.supersedes(&self) { other } else { self }
    }

    fn precedence(&self) -> impl Ord + '_ {
        let identity = (&self.id, &self.zone, &self.addresses, &self.server);
        (self.incarnation, self.condition, identity)
    }

    /// Returns whether the node accepts new work for `service`.
    pub fn serves(&self, service: &ServiceId) -> bool {
        match &self.server {
            Some(server) if server.service == *service => self.accepts_work(),
            _ => false,
        }
    }

    /// Returns whether the node accepts new work.
    ///
    /// A suspected node still does: it may be unreachable from some nodes without being dead.
    pub fn accepts_work(&self) -> bool {
        match self.condition {
            NodeCondition::Alive | NodeCondition::Suspect => true,
            NodeCondition::Leaving | NodeCondition::Dead => false,
        }
    }
}
