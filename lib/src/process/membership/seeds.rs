//! Which nodes keep a seed record in the platform's service.
//!
//! New nodes find the fleet through seed records and through addresses in their settings. Two nodes
//! of each zone keep one, so the calls to the platform do not grow with the number of nodes.

use std::time::Duration;

use super::MemberTable;
use super::NodeCondition;
use super::NodeRecord;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Seed records that each zone keeps.
pub const SEEDS_PER_ZONE: usize = 2;

/// Age at which a seed writes its record again.
pub const SEED_REFRESH_INTERVAL: Duration = Duration::from_secs(60);

number_type! {
    /// The place of a seed record within its zone, from 0 to [`SEEDS_PER_ZONE`] - 1.
    SeedSlot(u8)
}

plain_data! {
    /// What the platform's service holds for one seed.
    #[derive(Eq)]
    pub struct SeedRecord {
        /// The node that wrote the record.
        pub node: NodeId,
        /// Where the node answers membership datagrams.
        pub probe: std::net::SocketAddr,
    }
}

/// The last write of a seed record by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedWrite {
    /// The slot that was written.
    pub slot: SeedSlot,
    /// When it was written.
    pub time: MonotonicTime,
}

/// Returns the seed slot of this node in its zone, if it is one of the zone's seeds.
///
/// All nodes with the same table agree: the seeds are the live nodes of the zone with the lowest
/// hashes of their ids.
pub fn seed_slot(own: &NodeRecord, table: &MemberTable) -> Option<SeedSlot> {
    let rank_of = |id: &NodeId| *blake3::hash(id.as_str().as_bytes()).as_bytes();
    let own_rank = rank_of(&own.id);
    let rivals = table
        .nodes()
        .filter(|record| record.zone == own.zone && record.id != own.id)
        .filter(|record| record.condition == NodeCondition::Alive)
        .filter(|record| rank_of(&record.id) < own_rank)
        .count();
    match own.condition {
        NodeCondition::Alive if rivals < SEEDS_PER_ZONE => Some(SeedSlot(rivals as u8)),
        _ => None,
    }
}

/// Returns the slot that this node should write now, if any.
pub fn seed_write_due(
    own: &NodeRecord,
    table: &MemberTable,
    last: Option<SeedWrite>,
    now: MonotonicTime,
) -> Option<SeedSlot> {
    let slot = seed_slot(own, table)?;
    match last {
        Some(write) if write.slot == slot && now.since(write.time) < SEED_REFRESH_INTERVAL => None,
        _ => Some(slot),
    }
}
