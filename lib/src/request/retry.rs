//! Whether and when a failed attempt is made again.

use std::time::Duration;

use rand::Rng;

use super::AttemptBudget;
use super::Deadline;
use super::RefusalReason;
use super::Verdict;
use crate::values::MonotonicTime;
use crate::version::Repeatability;

/// A token bucket that bounds the retries to one destination by its first attempts.
///
/// Each first attempt earns a fraction of a token, each retry costs a whole one. The budget of
/// one request bounds that request; this bounds the sum over all requests, so that a slow service
/// is not pressed by retries from everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryRatio {
    earned_milli_tokens: u64,
    held_milli_tokens: u64,
    burst_milli_tokens: u64,
}

impl RetryRatio {
    const MILLI_TOKENS_PER_RETRY: u64 = 1000;

    /// Retries allowed for each thousand first attempts.
    pub const DEFAULT_PER_THOUSAND: u64 = 100;

    /// Retries that a quiet destination may get at once.
    pub const DEFAULT_BURST_RETRIES: u64 = 10;

    /// Makes a full bucket.
    pub fn new(retries_per_thousand: u64, burst_retries: u64) -> Self {
        let burst_milli_tokens = burst_retries * Self::MILLI_TOKENS_PER_RETRY;
        Self {
            earned_milli_tokens: retries_per_thousand,
            held_milli_tokens: burst_milli_tokens,
            burst_milli_tokens,
        }
    }

    /// Notes a first attempt.
    pub fn on_first_attempt(&mut self) {
        let held = self.held_milli_tokens + self.earned_milli_tokens;
        self.held_milli_tokens = held.min(self.burst_milli_tokens);
    }

    /// Counts a retry that is made in any case, as far as the bucket holds one.
    pub fn record_retry(&mut self) {
        self.held_milli_tokens = self
            .held_milli_tokens
            .saturating_sub(Self::MILLI_TOKENS_PER_RETRY);
    }

    /// Takes a retry, and returns whether it may be made.
    pub fn try_retry(&mut self) -> bool {
        match self
            .held_milli_tokens
            .checked_sub(Self::MILLI_TOKENS_PER_RETRY)
        {
            Some(rest) => {
                self.held_milli_tokens = rest;
                true
            }
            None => false,
        }
    }
}

impl Default for RetryRatio {
    fn default() -> Self {
        Self::new(Self::DEFAULT_PER_THOUSAND, Self::DEFAULT_BURST_RETRIES)
    }
}

/// Exponential backoff with full jitter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first wait.
    pub first: Duration,
    /// Upper bound of every wait.
    pub max: Duration,
}

impl Backoff {
    const DOUBLINGS_MAX: u32 = 16;

    /// Chooses the wait before the retry that follows `earlier_retries` others.
    pub fn wait(&self, earlier_retries: u32, rng: &mut impl Rng) -> Duration {
        let factor = 1 << earlier_retries.min(Self::DOUBLINGS_MAX);
        let bound = self.first.saturating_mul(factor).min(self.max);
        bound.mul_f64(rng.random::<f64>())
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(5),
            max: Duration::from_millis(200),
        }
    }
}

/// A failed attempt that may be made again.
pub struct FailedAttempt {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Retries made before at this call.
    pub earlier_retries: u32,
    /// When the request runs out of time.
    pub deadline: Deadline,
}

impl FailedAttempt {
    /// Decides on a retry: takes it from the budget and the ratio, and returns the wait before it.
    ///
    /// Nothing is taken unless the retry may be made. The reasons for none are
    /// [`RefusalReason::OutcomeUnknown`], [`RefusalReason::DeadlineExceeded`],
    /// [`RefusalReason::AttemptsExhausted`] and [`RefusalReason::Overloaded`].
    pub fn retry(
        &self,
        budget: &mut AttemptBudget,
        ratio: &mut RetryRatio,
        backoff: &Backoff,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Result<Duration, RefusalReason> {
        let wait = backoff.wait(self.earlier_retries, rng);
        match (self.repeatability, self.verdict) {
            (Repeatability::AtMostOnce, Verdict::MayHaveRun | Verdict::Ran) => {
                Err(RefusalReason::OutcomeUnknown)
            }
            _ if self.deadline.remaining(now) <= wait => Err(RefusalReason::DeadlineExceeded),
            _ if budget.remaining().0 == 0 => Err(RefusalReason::AttemptsExhausted),
            _ if !ratio.try_retry() => Err(RefusalReason::Overloaded),
            _ => budget.spend().map(|()| wait),
        }
    }
}
