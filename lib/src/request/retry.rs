//! Decides whether and when to retry a failed attempt.

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
/// Each first attempt adds a fraction of a token, each retry costs one token. [`AttemptBudget`]
/// bounds the retries of one request; this bounds the sum over all requests, so that the retries of
/// many requests do not add up at a slow service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryRatio {
    earned_milli_tokens: u64,
    held_milli_tokens: u64,
    burst_milli_tokens: u64,
}

impl RetryRatio {
    const MILLI_TOKENS_PER_RETRY: u64 = 1000;

    /// Retries per thousand first attempts.
    pub const DEFAULT_PER_THOUSAND: u64 = 100;

    /// Capacity of the bucket: retries that a destination may get at once after a quiet period.
    pub const DEFAULT_BURST_RETRIES: u64 = 10;

    /// Creates a full bucket.
    pub fn new(retries_per_thousand: u64, burst_retries: u64) -> Self {
        let burst_milli_tokens = burst_retries * Self::MILLI_TOKENS_PER_RETRY;
        Self {
            earned_milli_tokens: retries_per_thousand,
            held_milli_tokens: burst_milli_tokens,
            burst_milli_tokens,
        }
    }

    /// Records a first attempt, which adds to the bucket.
    pub fn on_first_attempt(&mut self) {
        let held = self.held_milli_tokens + self.earned_milli_tokens;
        self.held_milli_tokens = held.min(self.burst_milli_tokens);
    }

    /// Records a retry that is made whether or not the bucket has a token.
    ///
    /// The bucket stops at zero.
    pub fn record_retry(&mut self) {
        self.held_milli_tokens = self
            .held_milli_tokens
            .saturating_sub(Self::MILLI_TOKENS_PER_RETRY);
    }

    /// Takes the token for one retry, and returns whether there was one.
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
    /// Upper bound of the first delay.
    pub first: Duration,
    /// Upper bound of every delay.
    pub max: Duration,
}

impl Backoff {
    const DOUBLINGS_MAX: u32 = 16;

    /// Returns a random delay before the next retry, after `earlier_retries` earlier ones.
    pub fn delay(&self, earlier_retries: u32, rng: &mut impl Rng) -> Duration {
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

/// A failed attempt that is a candidate for a retry.
pub struct FailedAttempt {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Retries of this call so far.
    pub earlier_retries: u32,
    /// The deadline of the request.
    pub deadline: Deadline,
}

impl FailedAttempt {
    /// Returns the delay before a retry, and takes the retry from `budget` and `ratio`.
    ///
    /// Takes nothing if the retry is refused. The reasons are [`RefusalReason::OutcomeUnknown`],
    /// [`RefusalReason::DeadlineExceeded`], [`RefusalReason::AttemptsExhausted`] and
    /// [`RefusalReason::Overloaded`].
    pub fn retry(
        &self,
        budget: &mut AttemptBudget,
        ratio: &mut RetryRatio,
        backoff: &Backoff,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> Result<Duration, RefusalReason> {
        let delay = backoff.delay(self.earlier_retries, rng);
        match (self.repeatability, self.verdict) {
            (Repeatability::AtMostOnce, Verdict::MayHaveRun | Verdict::Ran) => {
                Err(RefusalReason::OutcomeUnknown)
            }
            _ if self.deadline.remaining(now) <= delay => Err(RefusalReason::DeadlineExceeded),
            _ if budget.remaining().0 == 0 => Err(RefusalReason::AttemptsExhausted),
            _ if !ratio.try_retry() => Err(RefusalReason::Overloaded),
            _ => budget.spend().map(|()| delay),
        }
    }
}
