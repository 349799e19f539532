//! Seed addresses that each zone stores in the platform's service, and the node that writes them.
//!
//! New nodes find the fleet through these and through addresses in their settings. One node per
//! zone writes a short list, and only when the list changes, so that the calls to the platform do
//! not grow with the number of nodes.

use std::net::SocketAddr;

use super::MemberTable;
use super::NodeCondition;
use super::NodeRecord;
use crate::values::NodeId;

/// Maximum number of seeds per zone.
pub const SEEDS_PER_ZONE: usize = 3;

plain_data! {
    /// A node from which new nodes can request the records of all nodes.
    #[derive(Eq)]
    pub struct SeedRecord {
        /// The id of the node.
        pub node: NodeId,
        /// The address at which the node receives membership datagrams.
        pub probe: SocketAddr,
    }
}

plain_data! {
    /// The seeds of a zone, as stored in the platform's service.
    #[derive(Eq)]
    pub struct SeedList {
        /// At most [`SEEDS_PER_ZONE`] nodes.
        pub seeds: Vec<SeedRecord>,
    }
}

impl SeedList {
    /// Adds seeds of the `stored` list that this node does not know, up to [`SEEDS_PER_ZONE`].
    ///
    /// Otherwise a node that is cut off from the rest of its zone would remove their seeds from the
    /// list.
    pub fn extended_from(mut self, stored: &Self, table: &MemberTable) -> Self {
        let unknown = |seed: &&SeedRecord| table.node(&seed.node).is_none();
        let room = SEEDS_PER_ZONE.saturating_sub(self.seeds.len());
        let others = stored.seeds.iter().filter(unknown).take(room);
        self.seeds.extend(others.cloned());
        self
    }
}

/// Returns the seed list that this node writes for its zone, or `None` if another node writes it.
///
/// The seeds are the alive nodes of the zone with the lowest hashes of their ids, and the first of
/// them writes the list. All nodes with the same table therefore choose the same writer.
pub fn seed_list(own: &NodeRecord, table: &MemberTable) -> Option<SeedList> {
    let mut zone: Vec<_> = table
        .nodes()
        .filter(|record| record.zone == own.zone)
        .filter(|record| record.condition == NodeCondition::Alive)
        .collect();
    zone.sort_by_cached_key(|record| rank(&record.id));
    let seeds = zone.iter().take(SEEDS_PER_ZONE).map(|record| SeedRecord {
        node: record.id.clone(),
        probe: record.addresses.probe,
    });
    let seeds: Vec<_> = seeds.collect();
    let is_writer = seeds.first().is_some_and(|first| first.node == own.id);
    is_writer.then_some(SeedList { seeds })
}

fn rank(id: &NodeId) -> [u8; blake3::OUT_LEN] {
    *blake3::hash(id.as_str().as_bytes()).as_bytes()
}
