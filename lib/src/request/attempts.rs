//! Bounds the attempts of one request over its whole call tree.
//!
//! The first attempt at each call is free; every further one is an extra attempt. A root request
//! starts with a fixed number of extra attempts. A parent lends part of its budget to each child
//! call, and gets back what the child's response reports as unspent. A loan whose response is
//! lost counts as spent. Neither [`AttemptBudget`] nor [`Loan`] can be cloned, so that no attempt
//! counts twice and the extra attempts of the whole tree never exceed the number of its root.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use super::RefusalReason;

number_type! {
    /// A number of extra attempts, which are attempts beyond the first.
    AttemptCount(u32)
}

/// The extra attempts that one request on one node may still make or lend.
#[derive(Debug, PartialEq, Eq)]
pub struct AttemptBudget {
    remaining: AttemptCount,
}

/// Extra attempts that are lent to a child call.
///
/// Dropping a loan counts it as spent.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped loan counts as spent"]
pub struct Loan {
    lent: AttemptCount,
}

impl Loan {
    /// Returns the number of extra attempts to send with the child call.
    pub fn lent(&self) -> AttemptCount {
        self.lent
    }
}

impl AttemptBudget {
    /// Creates the budget of a root request, or of a child call from the number received with it.
    pub fn new(extra: AttemptCount) -> Self {
        Self { remaining: extra }
    }

    /// Returns the remaining extra attempts, which a response reports as unspent.
    pub fn remaining(&self) -> AttemptCount {
        self.remaining
    }

    /// Takes one extra attempt, before it is made.
    ///
    /// Fails with [`RefusalReason::AttemptsExhausted`] if none remains.
    pub fn spend(&mut self) -> Result<(), RefusalReason> {
        match self.remaining.0.checked_sub(1) {
            Some(rest) => {
                self.remaining = AttemptCount(rest);
                Ok(())
            }
            None => Err(RefusalReason::AttemptsExhausted),
        }
    }

    /// Lends half of the remaining extra attempts, rounded up, to a child call.
    ///
    /// Because of the rounding, the last extra attempt reaches the deepest call, where a retry
    /// repeats the least work.
    pub fn lend(&mut self) -> Loan {
        let lent = self.remaining.0.div_ceil(2);
        self.remaining = AttemptCount(self.remaining.0 - lent);
        Loan {
            lent: AttemptCount(lent),
        }
    }

    /// Adds what the response to a child call reports as unspent, at most what was lent.
    pub fn take_back(&mut self, loan: Loan, unspent: AttemptCount) {
        let returned = unspent.0.min(loan.lent.0);
        self.remaining = AttemptCount(self.remaining.0 + returned);
    }
}

number_type! {
    /// A hash that distinguishes the onward calls of one parent.
    CallHash(u64)
}

impl CallHash {
    /// Hashes the method, the path with its query, and the body of a call.
    pub fn of(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        (method, path_and_query, body).hash(&mut hasher);
        Self(hasher.finish())
    }
}

plain_value! {
    /// How an onward call ended, which decides whether a repeat is a retry.
    pub enum CallEnd {
        /// The backend server received a complete response of the other service.
        Answered,
        /// The call was refused or failed. A repeat is a retry.
        Failed,
    }
}

plain_value! {
    enum CallState {
        Running,
        Ended(CallEnd),
    }
}

/// Detects retries that a backend server itself makes among its onward calls.
///
/// A repeat of a call that failed or still runs is an extra attempt and is taken from the parent's
/// budget. A repeat of an answered call is a new call, because reading the same value twice is not
/// a retry. Distinct calls beyond [`OnwardCalls::DISTINCT_MAX`] each cost an extra attempt.
#[derive(Debug, Default)]
pub struct OnwardCalls {
    calls: HashMap<CallHash, CallState>,
}

impl OnwardCalls {
    /// Number of distinct onward calls that are tracked per parent.
    pub const DISTINCT_MAX: usize = 256;

    /// Admits an onward call, and spends an extra attempt if it is a retry.
    ///
    /// Fails with [`RefusalReason::AttemptsExhausted`] if it needs an extra attempt and none
    /// remains.
    pub fn begin(
        &mut self,
        call: CallHash,
        budget: &mut AttemptBudget,
    ) -> Result<(), RefusalReason> {
        if self.is_extra(call) {
            budget.spend()?;
        }
        if self.calls.len() < Self::DISTINCT_MAX || self.calls.contains_key(&call) {
            self.calls.insert(call, CallState::Running);
        }
        Ok(())
    }

    /// Records how an onward call ended.
    pub fn end(&mut self, call: CallHash, end: CallEnd) {
        if let Some(state) = self.calls.get_mut(&call) {
            *state = CallState::Ended(end);
        }
    }

    fn is_extra(&self, call: CallHash) -> bool {
        match self.calls.get(&call) {
            Some(CallState::Ended(CallEnd::Answered)) => false,
            Some(_) => true,
            None => self.calls.len() >= Self::DISTINCT_MAX,
        }
    }
}
