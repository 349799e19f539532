//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Delays between retries that double with each failure up to a bound, with jitter.
///
/// The jitter prevents processes that failed at the same time from retrying at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial_delay: Duration,
    max_delay: Duration,
    failures: u32,
    random: StdRng,
}

impl Backoff {
    /// Creates a backoff from `initial_delay` up to `max_delay`; `seed` determines the jitter.
    pub fn new(initial_delay: Duration, max_delay: Duration, seed: u64) -> Self {
        Self {
            initial_delay,
            max_delay,
            failures: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the delay after one more failure: a random part of the doubled delay, at least half.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = self
            .initial_delay
            .saturating_mul(1 << self.failures.min(30));
        self.failures = self.failures.saturating_add(1);
        let delay = doubled.min(self.max_delay);
        delay.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Restarts from the initial delay.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
