//! Bounded attempts for one request over its whole call tree.
//!
//! The first attempt at each call is free; every further one is an extra attempt. A root request
//! starts with a fixed number of extra attempts. A parent lends part of what it holds to each
//! child call, and gets back what the child's answer reports unspent. A loan whose answer is lost
//! counts as spent. Neither [`AttemptBudget`] nor [`Loan`] can be cloned, so that nothing is
//! counted twice, and the extra attempts of the whole tree never exceed the number of its root.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use super::RefusalReason;

number_type! {
    /// Attempts beyond the first.
    AttemptCount(u32)
}

/// The extra attempts that one request on one node may still make or lend.
#[derive(Debug, PartialEq, Eq)]
pub struct AttemptBudget {
    remaining: AttemptCount,
}

/// Extra attempts that are away with a child call.
///
/// Dropping a loan counts it as spent.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped loan counts as spent"]
pub struct Loan {
    lent: AttemptCount,
}

impl Loan {
    /// Returns the number of extra attempts that travels with the child call.
    pub fn lent(&self) -> AttemptCount {
        self.lent
    }
}

impl AttemptBudget {
    /// Makes the budget of a root request, or of a child call from the number that came with it.
    pub fn new(extra: AttemptCount) -> Self {
        Self { remaining: extra }
    }

    /// Returns what is left, which an answer reports as unspent.
    pub fn remaining(&self) -> AttemptCount {
        self.remaining
    }

    /// Takes one extra attempt, which is about to be made.
    pub fn spend(&mut self) -> Result<(), RefusalReason> {
        match self.remaining.0.checked_sub(1) {
            Some(rest) => {
                self.remaining = AttemptCount(rest);
                Ok(())
            }
            None => Err(RefusalReason::AttemptsExhausted),
        }
    }

    /// Lends half of what is left, rounded up, to a child call.
    ///
    /// Rounding up lets the last extra attempt reach the deepest call, where a retry repeats the
    /// least work.
    pub fn lend(&mut self) -> Loan {
        let lent = self.remaining.0.div_ceil(2);
        self.remaining = AttemptCount(self.remaining.0 - lent);
        Loan {
            lent: AttemptCount(lent),
        }
    }

    /// Takes back what the answer to a child call reports unspent, at most what was lent.
    pub fn take_back(&mut self, loan: Loan, unspent: AttemptCount) {
        let returned = unspent.0.min(loan.lent.0);
        self.remaining = AttemptCount(self.remaining.0 + returned);
    }
}

number_type! {
    /// A hash that tells the onward calls of one parent apart.
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
    /// How an onward call ended, as far as repeats of it are concerned.
    pub enum CallEnd {
        /// The backend server got a whole answer from the other service.
        Answered,
        /// The call was refused or failed, so that a repeat is a retry.
        Failed,
    }
}

plain_value! {
    enum CallState {
        Running,
        Ended(CallEnd),
    }
}

/// Recognises retries that a backend server makes on its own among its onward calls.
///
/// A call like one that failed or still runs is an extra attempt and is taken from the parent's
/// budget. A call like one that was answered is a new call: reading the same value twice is no
/// retry. Calls beyond [`OnwardCalls::DISTINCT_MAX`] distinct ones each cost an extra attempt.
#[derive(Debug, Default)]
pub struct OnwardCalls {
    calls: HashMap<CallHash, CallState>,
}

impl OnwardCalls {
    /// Distinct onward calls of one parent that are told apart.
    pub const DISTINCT_MAX: usize = 256;

    /// Admits an onward call, and spends an extra attempt if it repeats another.
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

    /// Notes how an onward call ended.
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
