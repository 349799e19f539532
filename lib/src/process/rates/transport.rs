//! Messages between nodes and calls to the shared store, as needed for rates.

use std::sync::Arc;

use futures::future::BoxFuture;

use super::HolderRecord;
use super::PeerStatus;
use super::SettlementReport;
use super::TokenReply;
use super::TokenRequest;
use crate::process::membership::MemberTable;
use crate::process::membership::NodeRecord;
use crate::values::ZoneId;

/// A zone's holder record, with the store's revision of it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredHolderRecord {
    /// The record.
    pub record: HolderRecord,
    /// The revision of its last change.
    pub revision: u64,
}

/// How current a record must be that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordAge {
    /// The newest one.
    Newest,
    /// It may be seconds old, and so costs the store less.
    Recent,
}

/// The outcome of a compare-and-swap on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSwap {
    /// The record was written, and has this revision.
    Done(u64),
    /// The stored record has another revision than the expected one.
    Conflict,
}

/// A failed call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordCallError {
    /// The call has no effect.
    NotRun,
    /// The call may have taken effect, or may do so later.
    MayHaveRun,
}

/// Messages between nodes and calls to the shared store, as needed for rates.
pub trait RateTransport: Send + Sync {
    /// Returns the nodes that are known now.
    fn members(&self) -> Arc<MemberTable>;

    /// Returns whether a planned stop has begun on this node.
    fn is_leaving(&self) -> bool;

    /// Sends a token request. Returns none if there was no reply.
    fn request_tokens(
        &self,
        holder: &NodeRecord,
        request: TokenRequest,
    ) -> BoxFuture<'static, Option<TokenReply>>;

    /// Sends a report, which may be lost.
    fn report_tokens(
        &self,
        holder: &NodeRecord,
        report: SettlementReport,
    ) -> BoxFuture<'static, ()>;

    /// Requests the status of a node, which may include a promise. Returns none if there was no
    /// reply.
    fn request_status(&self, node: &NodeRecord) -> BoxFuture<'static, Option<PeerStatus>>;

    /// Notifies a node that the holder of its zone has released its role. The notice may be lost.
    fn notify_release(&self, node: &NodeRecord) -> BoxFuture<'static, ()>;

    /// Reads the record of a zone.
    fn read_record(
        &self,
        zone: &ZoneId,
        age: RecordAge,
    ) -> BoxFuture<'static, Result<Option<StoredHolderRecord>, RecordCallError>>;

    /// Writes the record of a zone if the stored one has the revision `expected`, or if there is
    /// none and `expected` is `None`.
    fn swap_record(
        &self,
        zone: &ZoneId,
        expected: Option<u64>,
        record: &HolderRecord,
    ) -> BoxFuture<'static, Result<RecordSwap, RecordCallError>>;
}
