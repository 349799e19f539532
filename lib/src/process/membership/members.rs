//! All records that a node holds, with their digests.

use std::collections::BTreeMap;
use std::time::Duration;

use super::NodeCondition;
use super::NodeRecord;
use super::TableDigest;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Number of buckets by which two nodes compare their tables.
pub const BUCKET_COUNT: usize = 128;

/// Maximum number of records that a node holds.
pub const MEMBERS_MAX: usize = 4096;

/// Whether a node announced that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The node did not announce that it would stop.
    Unannounced,
    /// The node announced that it would stop.
    Announced,
}

/// A record with data that only this node has about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The record as exchanged between nodes.
    pub record: NodeRecord,
    /// When the record last changed at this node.
    pub changed_at: MonotonicTime,
    /// Whether the node announced that it would stop.
    pub departure: Departure,
    digest: TableDigest,
}

impl Member {
    fn new(record: NodeRecord, changed_at: MonotonicTime) -> Self {
        let departure = match record.condition {
            NodeCondition::Leaving => Departure::Announced,
            _ => Departure::Unannounced,
        };
        let digest = record_digest(&record);
        Self {
            record,
            changed_at,
            departure,
            digest,
        }
    }

    fn replace(&mut self, record: NodeRecord, changed_at: MonotonicTime) {
        let departure_before = self.departure;
        *self = Self::new(record, changed_at);
        if self.record.condition == NodeCondition::Dead {
            self.departure = departure_before;
        }
    }
}

/// The effect of merging a record into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The node was not known.
    Added,
    /// The record superseded the known one.
    Changed,
    /// The table did not change: the record does not supersede the known one, or the node is
    /// unknown, and either dead or one more than [`MEMBERS_MAX`].
    Ignored,
}

/// All records that a node holds, including its own.
///
/// Digests exclude dead nodes: nodes remove those records at different times and never accept them
/// again.
#[derive(Clone, Debug)]
pub struct Members {
    by_id: BTreeMap<NodeId, Member>,
    buckets: Vec<TableDigest>,
    total: TableDigest,
}

impl Default for Members {
    fn default() -> Self {
        Self {
            by_id: BTreeMap::new(),
            buckets: vec![TableDigest::default(); BUCKET_COUNT],
            total: TableDigest::default(),
        }
    }
}

impl Members {
    /// Merges `record` into the table.
    pub fn merge(&mut self, record: NodeRecord, now: MonotonicTime) -> MergeOutcome {
        let is_full = self.by_id.len() >= MEMBERS_MAX;
        match self.by_id.get_mut(&record.id) {
            Some(known) if !record.supersedes(&known.record) => MergeOutcome::Ignored,
            Some(known) => {
                let digest_before = known.digest;
                let id = record.id.clone();
                known.replace(record, now);
                let digest_after = known.digest;
                self.update_digests(&id, digest_before, digest_after);
                MergeOutcome::Changed
            }
            None if record.condition == NodeCondition::Dead => MergeOutcome::Ignored,
            None if is_full => MergeOutcome::Ignored,
            None => {
                let id = record.id.clone();
                let member = Member::new(record, now);
                self.update_digests(&id, TableDigest::default(), member.digest);
                self.by_id.insert(id, member);
                MergeOutcome::Added
            }
        }
    }

    /// Returns one member.
    pub fn get(&self, id: &NodeId) -> Option<&Member> {
        self.by_id.get(id)
    }

    /// Returns all members in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_id.values()
    }

    /// Returns the number of records, including those of dead nodes.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Removes the records that have been dead for at least `retention`, and returns whether there
    /// were any.
    pub fn remove_expired_tombstones(&mut self, now: MonotonicTime, retention: Duration) -> bool {
        let count_before = self.by_id.len();
        self.by_id.retain(|_, member| {
            member.record.condition != NodeCondition::Dead
                || now.since(member.changed_at) < retention
        });
        self.by_id.len() < count_before
    }

    /// Returns the digest of the whole table.
    pub fn digest(&self) -> TableDigest {
        self.total
    }

    /// Returns the digest of each bucket.
    pub fn buckets(&self) -> &[TableDigest] {
        &self.buckets
    }

    /// Returns the nodes in the buckets whose digest differs from that in `theirs`.
    pub fn differing(&self, theirs: &[TableDigest]) -> Vec<NodeId> {
        let differs = |id: &NodeId| {
            let bucket = bucket_of(id);
            theirs.get(bucket) != self.buckets.get(bucket)
        };
        self.by_id
            .keys()
            .filter(|id| differs(id))
            .cloned()
            .collect()
    }

    fn update_digests(&mut self, id: &NodeId, before: TableDigest, after: TableDigest) {
        let shift = after.0.wrapping_sub(before.0);
        let bucket = &mut self.buckets[bucket_of(id)];
        bucket.0 = bucket.0.wrapping_add(shift);
        self.total.0 = self.total.0.wrapping_add(shift);
    }
}

/// Returns the index of the bucket for the record of `id`.
fn bucket_of(id: &NodeId) -> usize {
    first_word(id.as_str().as_bytes()) as usize % BUCKET_COUNT
}

/// Returns the digest of one record; zero for a dead node.
fn record_digest(record: &NodeRecord) -> TableDigest {
    match postcard::to_stdvec(record) {
        Ok(bytes) if record.condition != NodeCondition::Dead => TableDigest(first_word(&bytes)),
        _ => TableDigest::default(),
    }
}

fn first_word(bytes: &[u8]) -> u32 {
    let hash = blake3::hash(bytes);
    let word = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    u32::from_le_bytes(word)
}
