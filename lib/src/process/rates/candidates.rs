//! Choice of the nodes of a zone that may become its holder.

use crate::process::membership::MemberTable;
use crate::values::NodeId;
use crate::values::ZoneId;

/// Number of nodes of a zone that watch the holder's record and may take the role over.
pub const CANDIDATES_PER_ZONE: usize = 3;

/// Returns the nodes of `zone` that may become its holder, by rendezvous hashing.
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
