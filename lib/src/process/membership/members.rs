//! All records that a node holds, and their digests.

use std::collections::BTreeMap;
use std::time::Duration;

use super::NodeCondition;
use super::NodeRecord;
use super::TableDigest;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Number of buckets in which tables are compared.
pub const BUCKET_COUNT: usize = 128;

/// Most records that a node holds.
pub const MEMBERS_MAX: usize = 4096;

/// How a node went, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The node did not say that it would stop.
    Unannounced,
    /// The node said that it would stop.
    Announced,
}

/// A record with what this node alone knows about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What the fleet knows.
    pub record: NodeRecord,
    /// When the record last changed here.
    pub changed_at: MonotonicTime,
    /// Whether the node said that it would stop.
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

/// What became of a record that was offered to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The node was not known.
    Added,
    /// The record superseded the known one.
    Changed,
    /// The known record stands, or the new one tells nothing of use.
    Ignored,
}

/// All records that a node holds, its own among them.
///
/// Digests leave out dead nodes: nodes forget them at different times and never learn them anew.
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

    /// Returns the number of records, those of dead nodes included.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Forgets nodes that died more than `retention` ago, and returns whether there were any.
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

    /// Returns the nodes in those buckets whose digest differs from `theirs`.
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

/// Returns the bucket in which the record of `id` is compared.
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
