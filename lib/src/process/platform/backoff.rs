//! Growing, jittered pauses between tries.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Pauses that double with each failure up to a bound, each with a random part.
///
/// The random part keeps processes that failed at the same time from trying again at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial_delay: Duration,
    max_delay: Duration,
    failures: u32,
    random: StdRng,
}

impl Backoff {
    /// Makes pauses from `first` up to `longest`, with the random part made from `seed`.
    pub fn new(initial_delay: Duration, max_delay: Duration, seed: u64) -> Self {
        Self {
            initial_delay,
            max_delay,
            failures: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the pause after one more failure: between half and all of the doubled pause.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = self
            .initial_delay
            .saturating_mul(1 << self.failures.min(30));
        self.failures = self.failures.saturating_add(1);
        let delay = doubled.min(self.max_delay);
        delay.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Starts again from the first pause.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
