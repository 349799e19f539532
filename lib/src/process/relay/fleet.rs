//! The nodes that are known from their leased entries in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use super::store::StoreRevision;
use crate::process::membership::MemberTable;
use crate::process::membership::NodeRecord;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// An entry, and since when it is missing in the store.
#[derive(Clone, Debug)]
struct FleetEntry {
    record: NodeRecord,
    revision: StoreRevision,
    missing_since: Option<MonotonicTime>,
}

/// The nodes that are known from their leased entries in the store.
///
/// A lapsed lease is weak evidence: an outage of the store ends leases of nodes that live. An
/// entry that goes missing is kept for [`Fleet::MISSING_GRACE`], in which a living node writes it again. A
/// node that leaves as planned says so in its entry, which then lapses.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: BTreeMap<NodeId, FleetEntry>,
    node_counts: Vec<(MonotonicTime, usize)>,
}

impl Fleet {
    /// Time in which a living node writes its lapsed entry again.
    pub const MISSING_GRACE: Duration = Duration::from_millis(2_500);

    /// Time for which the largest number of nodes counts, longer than a lease and a revocation
    /// bound together, so that nodes cut off from the store have stopped to use their shares.
    pub const COUNT_WINDOW: Duration = Duration::from_secs(15);

    /// Takes a written entry. An entry that is older than the known one changes nothing.
    pub fn apply_write(&mut self, record: NodeRecord, revision: StoreRevision) -> bool {
        match self.entries.get_mut(&record.id) {
            Some(known) if known.revision > revision => false,
            Some(known) => {
                known.missing_since = None;
                known.revision = revision;
                let changed = known.record != record;
                known.record = record;
                changed
            }
            None => {
                let entry = FleetEntry {
                    record,
                    revision,
                    missing_since: None,
                };
                self.entries.insert(entry.record.id.clone(), entry);
                true
            }
        }
    }

    /// Notes that an entry was removed at `revision`.
    pub fn apply_removal(&mut self, node: &NodeId, revision: StoreRevision, now: MonotonicTime) {
        if let Some(known) = self.entries.get_mut(node)
            && known.revision <= revision
        {
            known.missing_since.get_or_insert(now);
        }
    }

    /// Notes which entries a full list of the store holds; the others are missing.
    pub fn apply_listing(
        &mut self,
        listed: &[NodeId],
        revision: StoreRevision,
        now: MonotonicTime,
    ) {
        for (node, entry) in &mut self.entries {
            if entry.revision <= revision && !listed.contains(node) {
                entry.missing_since.get_or_insert(now);
            }
        }
    }

    /// Forgets entries that stayed missing. Returns whether there were any.
    pub fn evict_missing(&mut self, now: MonotonicTime) -> bool {
        let count_before = self.entries.len();
        self.entries.retain(|_, entry| {
            let missing = entry.missing_since.map(|since| now.since(since));
            let grace = match entry.record.takes_work() {
                true => Self::MISSING_GRACE,
                false => Duration::ZERO,
            };
            missing.is_none_or(|missing| missing < grace)
        });
        self.entries.len() != count_before
    }

    /// Returns the largest number of nodes of late, at least one.
    pub fn recent_max_count(&mut self, now: MonotonicTime) -> usize {
        self.node_counts
            .retain(|(at, _)| now.since(*at) < Self::COUNT_WINDOW);
        let count = self.entries.len();
        if self
            .node_counts
            .last()
            .is_none_or(|(_, last)| *last != count)
        {
            self.node_counts.push((now, count));
        } else if let Some(last) = self.node_counts.last_mut() {
            last.0 = now;
        }
        self.node_counts
            .iter()
            .map(|(_, count)| *count)
            .max()
            .unwrap_or_default()
            .max(1)
    }

    /// Makes a view of the nodes for choosing among them.
    pub fn table(&self) -> MemberTable {
        MemberTable::new(self.entries.values().map(|entry| entry.record.clone()))
    }
}
