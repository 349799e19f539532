//! Retry budgets and retry delays of one node.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::request::AttemptBudget;
use crate::request::Backoff;
use crate::request::FailedAttempt;
use crate::request::RefusalReason;
use crate::request::RetryRatio;
use crate::values::MonotonicTime;
use crate::values::ServiceId;

/// Retry budgets and retry delays of one node.
///
/// Lock order: the ratios, the random number generator, the attempt budget of the request.
#[derive(Debug)]
pub(super) struct Retries {
    ratios: Mutex<HashMap<ServiceId, RetryRatio>>,
    random: Mutex<StdRng>,
    backoff: Backoff,
}

impl Retries {
    /// Creates retry state with full ratios; `seed` determines the jitter.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            ratios: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            backoff: Backoff::default(),
        }
    }

    /// Records a first attempt at `service`.
    pub(super) fn on_first_attempt(&self, service: &ServiceId) {
        let mut ratios = self.ratios.lock();
        match ratios.get_mut(service) {
            Some(ratio) => ratio.on_first_attempt(),
            None => {
                ratios.insert(service.clone(), RetryRatio::default());
            }
        }
    }

    /// Decides whether a failed attempt at `service` is retried, and returns the delay before that.
    pub(super) fn retry(
        &self,
        service: &ServiceId,
        failed: &FailedAttempt,
        attempts: &Mutex<AttemptBudget>,
        now: MonotonicTime,
    ) -> Result<Duration, RefusalReason> {
        let mut ratios = self.ratios.lock();
        let ratio = ratios.entry(service.clone()).or_default();
        let mut random = self.random.lock();
        let mut attempts = attempts.lock();
        failed.retry(&mut attempts, ratio, &self.backoff, now, &mut *random)
    }
}
