//! Which nodes of a zone may hold its rates.

use crate::process::membership::MemberTable;
use crate::values::NodeId;
use crate::values::ZoneId;

/// Nodes of a zone that watch the record, ready to take over.
pub const CANDIDATES_PER_ZONE: usize = 3;

/// Returns the nodes of `zone` that may take over its rates, by rendezvous hashing.
pub fn holder_candidates(zone: &ZoneId, members: &MemberTable) -> Vec<NodeId> {
    let in_zone = members
        .nodes()
        .filter(|record| record.zone == *zone && record.accepts_work());
    let mut ranked: Vec<_> = in_zone
        .map(|record| (rendezvous_rank(zone, &record.id), record.id.clone()))
        .collect();
    ranked.sort();
    ranked.truncate(CANDIDATES_PER_ZONE);
    ranked.into_iter().map(|(_, id)| id).collect()
}

fn rendezvous_rank(zone: &ZoneId, node: &NodeId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(zone.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    hasher.finalize().into()
}
