//! The nodes known from their leased entries in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use super::store::StoreRevision;
use crate::process::membership::MemberTable;
use crate::process::membership::NodeRecord;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// A store entry, and since when it is missing.
#[derive(Clone, Debug)]
struct FleetEntry {
    record: NodeRecord,
    revision: StoreRevision,
    missing_since: Option<MonotonicTime>,
}

/// The nodes known from their leased entries in the store.
///
/// A lapsed lease is weak evidence of a failure: an outage of the store also ends the leases of
/// running nodes. A missing entry is kept for [`Fleet::MISSING_GRACE`], in which a running node
/// writes it again. A node that stops as planned marks its entry as leaving, and such an entry has
/// no grace period.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: BTreeMap<NodeId, FleetEntry>,
}

impl Fleet {
    /// Time in which a running node writes its lapsed entry again.
    pub const MISSING_GRACE: Duration = Duration::from_millis(2_500);

    /// Applies a written entry. An entry older than the known one is ignored. Returns whether the
    /// node's record changed.
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

    /// Records that an entry was removed at `revision`.
    pub fn apply_removal(&mut self, node: &NodeId, revision: StoreRevision, now: MonotonicTime) {
        if let Some(known) = self.entries.get_mut(node)
            && known.revision <= revision
        {
            known.missing_since.get_or_insert(now);
        }
    }

    /// Records that the store went back to an earlier copy: revisions known so far are older than
    /// those that follow.
    pub fn begin_era(&mut self) {
        for entry in self.entries.values_mut() {
            entry.revision = StoreRevision(0);
        }
    }

    /// Evicts entries that stayed missing. Returns whether there were any.
    pub fn evict_missing(&mut self, now: MonotonicTime) -> bool {
        let count_before = self.entries.len();
        self.entries.retain(|_, entry| {
            let missing = entry.missing_since.map(|since| now.since(since));
            let grace = match entry.record.accepts_work() {
                true => Self::MISSING_GRACE,
                false => Duration::ZERO,
            };
            missing.is_none_or(|missing| missing < grace)
        });
        self.entries.len() != count_before
    }

    /// Returns a table of the nodes for choosing among them.
    pub fn table(&self) -> MemberTable {
        // A leaving node's server works until its record names none.
        let records = self.entries.values().map(|entry| entry.record.clone());
        MemberTable::with_serving(records, |record| record.server.is_some())
    }
}
