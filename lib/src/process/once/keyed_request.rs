//! Requests with an idempotency key, and what their home does with them.

use std::time::Duration;

use super::ContentDigest;
use super::KeyDigest;
use super::MintTime;
use super::RecordId;
use super::SlotId;
use super::StoredResponse;
use crate::request::AttemptCount;
use crate::values::OrganisationId;

/// A request with an idempotency key, as its home looks at it.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// The key.
    pub key: KeyDigest,
    /// The organisation that used the key.
    pub organisation: OrganisationId,
    /// The slot of the key.
    pub slot: SlotId,
    /// When the key was made; none if the key does not say.
    pub mint: Option<MintTime>,
    /// What the request asks for.
    pub content: ContentDigest,
    /// Attempts beyond the first that the request and its resends may make.
    pub extra_attempts: AttemptCount,
}

impl KeyedRequest {
    /// Margin for the clocks of two homes, for keys that do not say when they were made.
    pub const UNDATED_MARGIN: Duration = Duration::from_secs(10);
}

/// What to do with a request that has an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedDecision {
    /// Run it, and report how it ended to [`OnceRecords::finish`](super::OnceRecords::finish).
    Run {
        /// The record to report to.
        record: RecordId,
        /// Extra attempts that it may still make.
        attempts: AttemptCount,
    },
    /// Wait for the attempt that runs on this node.
    Join(RecordId),
    /// Give the answer of the earlier attempt.
    Answered(StoredResponse),
    /// It ran, and its answer is not kept.
    ResponseNotKept,
    /// An earlier attempt may have run.
    MayHaveRun,
    /// The key was used for another request.
    Conflict,
    /// Not run: this node holds no term of the slot.
    NotHome,
    /// Not run: the key lies beyond the window of the term.
    BeyondWindow {
        /// When the window may reach the key.
        retry_after_ms: u64,
    },
    /// Not run: the bound on records is reached.
    Full,
    /// Not run: the request and its resends used all their attempts.
    AttemptsExhausted,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer came.
    Answered(StoredResponse),
    /// The handler may have seen the request.
    MayHaveRun,
    /// No handler saw the request.
    NotRun {
        /// Extra attempts that are left.
        unspent: AttemptCount,
    },
}
