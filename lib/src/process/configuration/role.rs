//! Selection of the nodes that watch the configuration in the platform's service.

use crate::process::membership::MemberTable;
use crate::process::membership::NodeCondition;
use crate::values::NodeId;
use crate::values::ZoneId;

/// Number of nodes per zone that watch the platform's service. The others learn from other nodes.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Returns whether the node `own` in `zone` watches the platform's service.
///
/// All nodes with the same table agree: the watchers are the alive nodes of the zone whose ids have
/// the lowest hashes. Nodes whose tables differ for a while may both watch, which only costs calls.
pub fn watches_platform(own: &NodeId, zone: &ZoneId, table: &MemberTable) -> bool {
    let own_rank = rank_of(own);
    let before = table
        .nodes()
        .filter(|record| record.zone == *zone && record.id != *own)
        .filter(|record| record.condition == NodeCondition::Alive)
        .filter(|record| rank_of(&record.id) < own_rank);
    before.count() < WATCHERS_PER_ZONE
}

fn rank_of(id: &NodeId) -> [u8; blake3::OUT_LEN] {
    *blake3::hash(id.as_str().as_bytes()).as_bytes()
}
