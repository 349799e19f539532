//! What nodes tell one another about a node.

use std::net::SocketAddr;

use crate::values::ConnectionCount;
use crate::values::Incarnation;
use crate::values::NodeId;
use crate::values::ServiceId;
use crate::values::SlotCount;
use crate::values::ZoneId;

plain_value! {
    /// Whether a node takes new work, as far as is known.
    #[serde(rename_all = "kebab-case")]
    pub enum NodeCondition {
        /// The node answers.
        Alive,
        /// The node did not answer and has not refuted this yet.
        Suspect,
        /// The node is stopping and takes no new work.
        Leaving,
        /// The node did not refute the suspicion in time.
        Dead,
    }
}

plain_data! {
    /// Where a node listens for other nodes.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct NodeAddresses {
        /// Requests from other nodes, by HTTP.
        pub peer: SocketAddr,
        /// Control calls, by JSON-RPC.
        pub control: SocketAddr,
        /// Membership probes, by UDP.
        pub probe: SocketAddr,
    }
}

plain_data! {
    /// What the backend server beside a node announced.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ServerRecord {
        /// The service that the backend server belongs to.
        pub service: ServiceId,
        /// Requests that it runs at the same time.
        pub slots: SlotCount,
        /// Connections that it accepts at the same time.
        pub connections: ConnectionCount,
    }
}

plain_data! {
    /// What the fleet knows about one node.
    #[derive(Eq)]
    pub struct NodeRecord {
        /// The node.
        pub id: NodeId,
        /// The zone in which the node runs.
        pub zone: ZoneId,
        /// Where the node listens.
        pub addresses: NodeAddresses,
        /// Tells the lives of the node apart.
        pub incarnation: Incarnation,
        /// Whether the node takes new work.
        pub condition: NodeCondition,
        /// The announced backend server; none while it starts, leaves or is down.
        pub server: Option<ServerRecord>,
    }
}

impl NodeRecord {
    /// Returns whether this record takes the place of `known`.
    ///
    /// A higher incarnation goes first, then a worse condition. Only the node itself changes the
    /// rest and raises its incarnation with it; comparing the rest makes the order total, so that
    /// all nodes keep the same record whatever the order of arrival.
    pub fn supersedes(&self, known: &Self) -> bool {
        self.precedence() > known.precedence()
    }

    /// Returns whichever of two records of one node supersedes the other.
    pub fn merge(self, other: Self) -> Self {
        if other.supersedes(&self) { other } else { self }
    }

    fn precedence(&self) -> impl Ord + '_ {
        let identity = (&self.id, &self.zone, &self.addresses, &self.server);
        (self.incarnation, self.condition, identity)
    }

    /// Returns whether the node takes new work for `service`.
    pub fn serves(&self, service: &ServiceId) -> bool {
        match &self.server {
            Some(server) if server.service == *service => self.accepts_work(),
            _ => false,
        }
    }

    /// Returns whether the node takes new work.
    ///
    /// A suspected node still does: unreachable is not dead.
    pub fn accepts_work(&self) -> bool {
        match self.condition {
            NodeCondition::Alive | NodeCondition::Suspect => true,
            NodeCondition::Leaving | NodeCondition::Dead => false,
        }
    }
}
