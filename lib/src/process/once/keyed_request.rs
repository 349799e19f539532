//! Requests with an idempotency key, and the decisions of their home node.

use std::time::Duration;

use super::ContentDigest;
use super::KeyDigest;
use super::MintTime;
use super::RecordId;
use super::SlotId;
use super::StoredResponse;
use crate::request::AttemptCount;
use crate::values::OrganisationId;

/// A request with an idempotency key, as its home node processes it.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// The key.
    pub key: KeyDigest,
    /// The organisation that used the key.
    pub organisation: OrganisationId,
    /// The slot of the key.
    pub slot: SlotId,
    /// When the key was minted; `None` if the key contains no time.
    pub mint: Option<MintTime>,
    /// The digest of the request's content.
    pub content: ContentDigest,
    /// Extra attempts that the request and its resends may make.
    pub extra_attempts: AttemptCount,
}

impl KeyedRequest {
    /// Margin for the clock difference of two home nodes, for keys without a mint time.
    pub const UNDATED_MARGIN: Duration = Duration::from_secs(10);
}

/// What to do with a request that has an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedDecision {
    /// Run it, and report its outcome to [`OnceRecords::finish`](super::OnceRecords::finish).
    Run {
        /// The record of the run.
        record: RecordId,
        /// Extra attempts that the run may make.
        attempts: AttemptCount,
    },
    /// Wait for the attempt that already runs on this node.
    Join(RecordId),
    /// Return the stored response of the earlier attempt.
    Answered(StoredResponse),
    /// Not run again: an earlier attempt ran, and its response is not stored.
    ResponseNotKept,
    /// Not run again: an earlier attempt may have run.
    MayHaveRun,
    /// Not run: the key was used for another request.
    Conflict,
    /// Not run: this node holds no term of the slot.
    NotHome,
    /// Not run: the key lies after the window of the term.
    BeyondWindow {
        /// Time until the window may include the key.
        retry_after_ms: u64,
    },
    /// Not run: a bound on the number of records is reached.
    Full,
    /// Not run: the request and its resends have used all their attempts.
    AttemptsExhausted,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response was received.
    Answered(StoredResponse),
    /// A handler may have received the request.
    MayHaveRun,
    /// The request reached no handler.
    NotRun {
        /// Extra attempts that remain.
        unspent: AttemptCount,
    },
}
