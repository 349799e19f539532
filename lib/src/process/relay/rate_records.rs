//! Calls for a zone's holder record that go through another node, while the store turns this one away.
//!
//! Only the way to the store differs. A holder counts its lease from when it sent the write, and a call
//! without a reply may have run, as with the store itself.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::seq::SliceRandom;

use super::node::RelayNode;
use crate::process::membership::NodeRecord;
use crate::process::rates::RecordCallError;
use crate::process::rates::RecordSwap;
use crate::values::MonotonicTime;

/// Time for which other nodes are asked first after the store turned this one away.
const TURNED_AWAY_FOR: Duration = Duration::from_secs(5);
/// Time without a reply after which a call through another node counts as one that may have run: many
/// times what the store takes, and short beside the lease.
pub(super) const THROUGH_NODE_TIMEOUT: Duration = Duration::from_millis(300);
/// Most nodes that are asked for one call.
const NODES_ASKED_MAX: usize = 3;

plain_data! {
    /// A call for the holder record of a zone.
    #[derive(Eq)]
    pub enum RateRecordCall {
        /// Reads the newest record.
        Read,
        /// Replaces the record of revision `expected`, or writes the first one.
        Swap {
            /// The revision, or none if there must be no record.
            expected: Option<u64>,
            /// The record as JSON.
            record: Vec<u8>,
        },
    }
}

plain_data! {
    /// What became of a call for a holder record.
    #[derive(Eq)]
    pub enum RateRecordOutcome {
        /// The revision and the JSON of the newest record, if there is one.
        Read(Option<(u64, Vec<u8>)>),
        /// The record was replaced; its revision.
        Swapped(u64),
        /// Another record is in place.
        Conflict,
        /// The call was not carried out, and will not be.
        NotRun,
        /// The call may have been carried out.
        MayHaveRun,
    }
}

impl RateRecordOutcome {
    /// Returns the result of a write.
    pub(super) fn into_swap(self) -> Result<RecordSwap, RecordCallError> {
        match self {
            Self::Swapped(revision) => Ok(RecordSwap::Done(revision)),
            Self::Conflict => Ok(RecordSwap::Conflict),
            Self::NotRun => Err(RecordCallError::NotRun),
            Self::Read(_) | Self::MayHaveRun => Err(RecordCallError::MayHaveRun),
        }
    }
}

/// Whether the store has turned this node away of late.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreWay {
    failed_at: Arc<Mutex<Option<MonotonicTime>>>,
}

impl StoreWay {
    /// Records whether a call of this node reached the store.
    pub(super) fn record(&self, has_reached: bool, now: MonotonicTime) {
        *self.failed_at.lock() = (!has_reached).then_some(now);
    }

    /// Returns whether other nodes are asked before the store is.
    pub(super) fn is_closed(&self, now: MonotonicTime) -> bool {
        let failed_at = *self.failed_at.lock();
        failed_at.is_some_and(|failed_at| now.since(failed_at) < TURNED_AWAY_FOR)
    }
}

/// Returns the nodes through which a holder may call the store, or none if this node is no holder or the
/// settings do not permit it.
pub(super) fn nodes_to_ask(node: &RelayNode) -> Vec<NodeRecord> {
    let raw = &node.settings.raw;
    let is_on = raw.rates.is_some_and(|rates| rates.records_through_nodes);
    if !is_on || !node.holds_rates() {
        return Vec::new();
    }
    let members = node.members();
    let is_near = |record: &&NodeRecord| {
        record.zone == raw.zone
            && record.id != raw.node
            && record.accepts_work()
            && !node.links.is_unresponsive(record)
    };
    let mut near: Vec<_> = members.nodes().filter(is_near).cloned().collect();
    near.shuffle(&mut rand::rng());
    near.truncate(NODES_ASKED_MAX);
    near
}
