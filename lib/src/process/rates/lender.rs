//! What the holder of a zone knows about another zone that may lend tokens.

use std::time::Duration;

use super::EmptyBucket;
use super::TokenRequestId;
use crate::values::MonotonicTime;

/// How long requests wait for a lender's answer.
const PATIENCE: Duration = Duration::from_millis(25);

/// How long a lender that did not answer is not asked again.
const PAUSE_AFTER_SILENCE: Duration = Duration::from_millis(200);

/// An ask to a lender that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenLoanAsk {
    id: TokenRequestId,
    sent: MonotonicTime,
}

/// Another zone that may lend tokens of one organisation.
#[derive(Clone, Debug, Default)]
pub(super) struct Lender {
    open: Option<OpenLoanAsk>,
    not_before: MonotonicTime,
    next_token: MonotonicTime,
}

impl Lender {
    /// Returns whether the lender can be asked now.
    pub fn can_be_asked(&self, now: MonotonicTime) -> bool {
        match &self.open {
            _ if now < self.not_before => false,
            Some(open) => now >= open.sent.after(PATIENCE + PAUSE_AFTER_SILENCE),
            None => true,
        }
    }

    /// Returns whether requests wait for the lender's answer.
    pub fn is_awaited(&self, now: MonotonicTime) -> bool {
        match &self.open {
            Some(open) => now < open.sent.after(PATIENCE),
            None => false,
        }
    }

    /// Records an ask.
    pub fn asked(&mut self, id: TokenRequestId, now: MonotonicTime) {
        self.open = Some(OpenLoanAsk { id, sent: now });
    }

    /// Closes the ask `id`. Returns when it was sent, or none if another ask or none is open.
    pub fn answered(&mut self, id: TokenRequestId) -> Option<MonotonicTime> {
        let open = self.open.take_if(|open| open.id == id)?;
        Some(open.sent)
    }

    /// Takes in the lender's word that it has no tokens to lend.
    pub fn is_dry(&mut self, dry: &EmptyBucket, now: MonotonicTime) {
        self.not_before = now.after(Duration::from_micros(dry.holds_us));
        self.next_token = now.after(Duration::from_micros(dry.next_token_us));
    }

    /// Keeps the lender from being asked for a while, because it does not lend.
    pub fn does_not_lend(&mut self, now: MonotonicTime) {
        self.not_before = now.after(PAUSE_AFTER_SILENCE);
        self.next_token = self.not_before;
    }

    /// Returns how long it takes until the lender has a token again, as far as is known.
    pub fn until_next_token(&self, now: MonotonicTime) -> Duration {
        self.next_token.since(now)
    }
}
