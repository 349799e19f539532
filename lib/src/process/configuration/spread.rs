//! Notices of a configuration from node to node.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::process::membership::MemberTable;
use crate::process::membership::NodeCondition;
use crate::values::ConfigVersion;
use crate::values::NodeId;

/// Number of nodes that each node notifies when it puts a newer configuration in force.
pub const NOTICE_FANOUT: usize = 8;

plain_data! {
    /// Notice that a node has a configuration in force.
    #[derive(Copy, Eq)]
    pub struct ConfigurationNotice {
        /// The version in force.
        pub version: ConfigVersion,
        /// The control address of the node, from which the configuration can be fetched.
        pub control: SocketAddr,
    }
}

/// Chooses up to `count` other nodes at random and returns their control addresses.
pub fn choose_nodes(
    own: &NodeId,
    table: &MemberTable,
    count: usize,
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    let others = table.nodes().filter(|record| record.id != *own);
    let reachable = others.filter(|record| record.condition != NodeCondition::Dead);
    let addresses = reachable.map(|record| record.addresses.control);
    addresses.choose_multiple(random, count)
}
