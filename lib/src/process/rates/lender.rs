//! Loan requests to one other zone, and when the next one may be sent.

use std::time::Duration;

use super::EmptyBucket;
use super::TokenRequestId;
use crate::values::MonotonicTime;

/// How long token requests wait for the reply of a lender that replied to its last request. With the
/// way to the requester it stays below the timeout of a token request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(75);

/// How long token requests wait for the reply of a lender that did not reply to its last request.
const SILENT_REPLY_TIMEOUT: Duration = Duration::from_millis(25);

/// How long no loan request goes to a lender that did not reply or did not lend.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(200);

/// A loan request without a reply.
#[derive(Clone, Copy, Debug)]
struct PendingLoanRequest {
    id: TokenRequestId,
    sent: MonotonicTime,
    timeout: Duration,
}

/// Another zone that may lend tokens of one organisation.
#[derive(Clone, Debug, Default)]
pub(super) struct Lender {
    pending: Option<PendingLoanRequest>,
    not_before: MonotonicTime,
    next_token: MonotonicTime,
}

impl Lender {
    /// Returns whether a loan request may be sent now.
    pub fn can_request(&self, now: MonotonicTime) -> bool {
        match &self.pending {
            _ if now < self.not_before => false,
            Some(pending) => now >= pending.sent.after(pending.timeout + UNRESPONSIVE_BACKOFF),
            None => true,
        }
    }

    /// Returns whether token requests wait for the lender's reply.
    pub fn is_pending(&self, now: MonotonicTime) -> bool {
        match &self.pending {
            Some(pending) => now < pending.sent.after(pending.timeout),
            None => false,
        }
    }

    /// Records that the loan request `id` was sent.
    pub fn record_request(&mut self, id: TokenRequestId, now: MonotonicTime) {
        let timeout = match self.pending {
            Some(_) => SILENT_REPLY_TIMEOUT,
            None => REPLY_TIMEOUT,
        };
        self.pending = Some(PendingLoanRequest {
            id,
            sent: now,
            timeout,
        });
    }

    /// Completes the request `id`. Returns when it was sent, or none if it is not the pending one.
    pub fn complete_request(&mut self, id: TokenRequestId) -> Option<MonotonicTime> {
        let pending = self.pending.take_if(|pending| pending.id == id)?;
        Some(pending.sent)
    }

    /// Records that the lender has no tokens to lend.
    pub fn record_empty(&mut self, empty: &EmptyBucket, now: MonotonicTime) {
        self.not_before = now.after(Duration::from_micros(empty.valid_us));
        self.next_token = now.after(Duration::from_micros(empty.next_token_us));
    }

    /// Stops requests to the lender for `UNRESPONSIVE_BACKOFF`, because it does not lend.
    pub fn back_off(&mut self, now: MonotonicTime) {
        self.not_before = now.after(UNRESPONSIVE_BACKOFF);
        self.next_token = self.not_before;
    }

    /// Returns the expected time until the lender has a token again.
    pub fn until_next_token(&self, now: MonotonicTime) -> Duration {
        self.next_token.since(now)
    }
}
