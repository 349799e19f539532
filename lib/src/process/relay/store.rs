//! Interface of the relay to the store that the nodes of a fleet share.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use snafu::Snafu;

number_type! {
    /// The revision of the store. Each change increases it.
    StoreRevision(u64)
}

number_type! {
    /// Identifies a lease of the store.
    LeaseId(u64)
}

number_type! {
    /// Counts how often the store went back to an earlier copy of its content. Revisions are given
    /// out again then, so a revision identifies a change only together with its era.
    StoreEra(u64)
}

plain_value! {
    /// A point in the history of the store.
    pub struct StorePosition {
        /// The era.
        pub era: StoreEra,
        /// The revision in that era.
        pub revision: StoreRevision,
    }
}

plain_data! {
    /// An item of the store.
    #[derive(Eq)]
    pub struct StoreItem {
        /// The key.
        pub key: String,
        /// The value.
        pub value: Bytes,
        /// The revision of the last change.
        pub revision: StoreRevision,
    }
}

plain_data! {
    /// A change of the store.
    #[derive(Eq)]
    pub enum StoreEvent {
        /// An item was written.
        Written(StoreItem),
        /// An item was removed.
        Removed {
            /// The key.
            key: String,
            /// The revision of the removal.
            revision: StoreRevision,
        },
    }
}

impl StoreEvent {
    /// Returns the revision of the change.
    pub fn revision(&self) -> StoreRevision {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Items or events, with the store's revision at the time of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AsOf<T> {
    /// What was read.
    pub content: T,
    /// The store's revision.
    pub revision: StoreRevision,
    /// The era of the revision.
    pub era: StoreEra,
}

impl<T> AsOf<T> {
    /// Returns the position of the store at the time of the response.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.revision,
        }
    }
}

/// The outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreSwap {
    /// The item was written, at this revision.
    Done(StoreRevision),
    /// The item has another revision than the expected one.
    Conflict,
}

/// The reason why a call of the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The call was not carried out: there was no connection, or the store refused it.
    #[snafu(display("the store did not carry out the call: {reason}"))]
    NotDone {
        /// What went wrong.
        reason: String,
    },
    /// The call may have been carried out, or may be carried out later.
    #[snafu(display("no response from the store: {reason}"))]
    Unknown {
        /// What went wrong.
        reason: String,
    },
    /// The store no longer keeps the history that a watch requested.
    #[snafu(display("the store no longer keeps the requested history"))]
    HistoryLost,
    /// The lease has ended.
    #[snafu(display("the lease has ended"))]
    LeaseEnded,
    /// The response could not be decoded.
    #[snafu(display("cannot decode the response of the store: {reason}"))]
    Unreadable {
        /// What went wrong.
        reason: String,
    },
}

/// The result of a call of the store.
pub type StoreResult<T> = BoxFuture<'static, Result<T, StoreError>>;

/// The store that the nodes of a fleet share.
///
/// Reads are linearizable. Each call ends within a timeout of the client.
pub trait SharedStore: Send + Sync {
    /// Reads one item.
    fn get(&self, key: &str) -> StoreResult<AsOf<Option<StoreItem>>>;

    /// Reads one item as of some time in the last seconds, which costs the store less.
    fn get_recent(&self, key: &str) -> StoreResult<AsOf<Option<StoreItem>>>;

    /// Reads all items whose keys begin with `prefix`. The pages are not a snapshot; the revision
    /// is that of the first page.
    fn list(&self, prefix: &str) -> StoreResult<AsOf<Vec<StoreItem>>>;

    /// Waits at most `wait` for changes after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> StoreResult<AsOf<Vec<StoreEvent>>>;

    /// Writes an item that is removed when its lease ends.
    fn put(&self, key: &str, value: Bytes, lease: LeaseId) -> StoreResult<StoreRevision>;

    /// Writes an item without a lease if its revision is `expected`, or if there is none and
    /// `expected` is `None`.
    fn swap(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Bytes,
    ) -> StoreResult<StoreSwap>;

    /// Grants a lease for `ttl`.
    fn grant_lease(&self, ttl: Duration) -> StoreResult<LeaseId>;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> StoreResult<()>;

    /// Ends a lease and removes its items.
    fn end_lease(&self, lease: LeaseId) -> StoreResult<()>;
}
