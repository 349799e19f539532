//! A bucket of tokens.

use balsamfold::values::MonotonicTime;

/// Seconds of its rate that an organisation may send at once.
const BURST_S: f64 = 0.5;

/// The rate of an organisation, without the fleet's protocol for it.
pub(super) struct Bucket {
    tokens: f64,
    rate_per_s: f64,
    filled_at: MonotonicTime,
}

impl Bucket {
    /// Makes a full bucket.
    pub(super) fn new(rate_per_s: u32) -> Self {
        let rate_per_s = f64::from(rate_per_s);
        Self {
            tokens: rate_per_s * BURST_S,
            rate_per_s,
            filled_at: MonotonicTime::default(),
        }
    }

    /// Takes a token, if there is one.
    pub(super) fn try_take(&mut self, now: MonotonicTime) -> bool {
        let filled = now.since(self.filled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + filled).min(self.rate_per_s * BURST_S);
        self.filled_at = now;
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(taken));
        taken
    }
}
