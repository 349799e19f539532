//! Recent demand for tokens, as a decaying average.

use std::time::Duration;

use crate::values::MonotonicTime;
use crate::values::TokenCount;

/// Time constant of the exponential average.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Tokens needed per second, averaged with weights that decay over time.
#[derive(Clone, Debug)]
pub struct Demand {
    per_s: f64,
    updated: MonotonicTime,
}

impl Demand {
    /// Creates an average of zero.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            per_s: 0.0,
            updated: now,
        }
    }

    /// Counts `tokens` that were needed at `now`.
    pub fn record(&mut self, tokens: TokenCount, now: MonotonicTime) {
        self.per_s = self.per_s(now) + tokens.0 as f64 / AVERAGING_TIME.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Returns the average number of tokens needed per second.
    pub fn per_s(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.per_s * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }

    /// Returns the tokens expected to be needed within `span`, rounded down.
    pub fn expected(&self, span: Duration, now: MonotonicTime) -> TokenCount {
        TokenCount((self.per_s(now) * span.as_secs_f64()) as u64)
    }
}
