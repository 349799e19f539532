//! A token bucket for the rate of one organisation.

use balsamfold::values::MonotonicTime;

/// Burst of an organisation, in seconds of its rate.
const BURST_S: f64 = 0.5;

/// A token bucket on one clock, in place of the fleet's protocol for rates.
pub(super) struct Bucket {
    tokens: f64,
    rate_per_s: f64,
    filled_at: MonotonicTime,
}

impl Bucket {
    /// Creates a full bucket.
    pub(super) fn new(rate_per_s: u32) -> Self {
        let rate_per_s = f64::from(rate_per_s);
        Self {
            tokens: rate_per_s * BURST_S,
            rate_per_s,
            filled_at: MonotonicTime::default(),
        }
    }

    /// Takes a token and returns `true`, or returns `false` if the bucket is empty.
    pub(super) fn try_take(&mut self, now: MonotonicTime) -> bool {
        let filled = now.since(self.filled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + filled).min(self.rate_per_s * BURST_S);
        self.filled_at = now;
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(taken));
        taken
    }
}
