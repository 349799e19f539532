//! What the holder of a zone knows about another zone that may lend tokens.

use std::time::Duration;

use super::EmptyBucket;
use super::TokenRequestId;
use crate::values::MonotonicTime;

/// How long requests wait for a lender's answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);

/// How long a lender that did not answer is not asked again.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(200);

/// An ask to a lender that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingLoanRequest {
    id: TokenRequestId,
    sent: MonotonicTime,
}

/// Another zone that may lend tokens of one organisation.
#[derive(Clone, Debug, Default)]
pub(super) struct Lender {
    pending: Option<PendingLoanRequest>,
    not_before: MonotonicTime,
    next_token: MonotonicTime,
}

impl Lender {
    /// Returns whether the lender can be asked now.
    pub fn can_request(&self, now: MonotonicTime) -> bool {
        match &self.pending {
            _ if now < self.not_before => false,
            Some(pending) => now >= pending.sent.after(REPLY_TIMEOUT + UNRESPONSIVE_BACKOFF),
            None => true,
        }
    }

    /// Returns whether requests wait for the lender's answer.
    pub fn is_pending(&self, now: MonotonicTime) -> bool {
        match &self.pending {
            Some(pending) => now < pending.sent.after(REPLY_TIMEOUT),
            None => false,
        }
    }

    /// Records an ask.
    pub fn record_request(&mut self, id: TokenRequestId, now: MonotonicTime) {
        self.pending = Some(PendingLoanRequest { id, sent: now });
    }

    /// Closes the ask `id`. Returns when it was sent, or none if another ask or none is open.
    pub fn complete_request(&mut self, id: TokenRequestId) -> Option<MonotonicTime> {
        let pending = self.pending.take_if(|pending| pending.id == id)?;
        Some(pending.sent)
    }

    /// Takes in the lender's word that it has no tokens to lend.
    pub fn record_empty(&mut self, empty: &EmptyBucket, now: MonotonicTime) {
        self.not_before = now.after(Duration::from_micros(empty.valid_us));
        self.next_token = now.after(Duration::from_micros(empty.next_token_us));
    }

    /// Keeps the lender from being asked for a while, because it does not lend.
    pub fn back_off(&mut self, now: MonotonicTime) {
        self.not_before = now.after(UNRESPONSIVE_BACKOFF);
        self.next_token = self.not_before;
    }

    /// Returns how long it takes until the lender has a token again, as far as is known.
    pub fn until_next_token(&self, now: MonotonicTime) -> Duration {
        self.next_token.since(now)
    }
}
