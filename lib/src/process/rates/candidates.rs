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
        .map(|record| {
            let rank = rendezvous_rank(zone.as_str(), record.id.as_str());
            (rank, record.id.clone())
        })
        .collect();
    ranked.sort();
    ranked.truncate(CANDIDATES_PER_ZONE);
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// Returns the rank of `candidate` for `key` in rendezvous hashing.
pub(super) fn rendezvous_rank(key: &str, candidate: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    hasher.finalize().into()
}
