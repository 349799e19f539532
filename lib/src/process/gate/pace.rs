//! The requests that a server takes in a time, in tokens.

use std::time::Duration;

use crate::values::MonotonicTime;
use crate::values::ServerRate;

/// A token bucket with the rate that a backend server named.
///
/// Each request that starts takes a token.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    per_s: f64,
    tokens: f64,
    updated_at: MonotonicTime,
}

impl Pace {
    /// Time in which a full bucket is earned. Requests that arrive together may start together, and
    /// no four seconds have the requests of more than five.
    const BURST: Duration = Duration::from_secs(1);

    /// Fraction of the burst that is reserved for important requests.
    const RESERVED_FRACTION: f64 = 0.5;

    /// Lowest rate, in requests per second. A server that takes nothing gets a request every two
    /// seconds, without which it could not say that it takes more.
    const PER_S_MIN: f64 = 0.5;

    /// Creates an empty bucket.
    pub fn new(rate: ServerRate, now: MonotonicTime) -> Self {
        Self {
            per_s: rate.per_s().max(Self::PER_S_MIN),
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Returns the rate in requests per second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Changes the rate. What was earned is kept, up to the new burst.
    pub fn set_rate(&mut self, rate: ServerRate, now: MonotonicTime) {
        self.refill(now);
        self.per_s = rate.per_s().max(Self::PER_S_MIN);
        self.refill(now);
    }

    /// Takes a token, and returns whether there was one.
    ///
    /// A part of the burst is reserved for important requests: the others would take each token as
    /// it is earned. `kept_fraction` is the fraction of the requests of this importance for which
    /// the capacity suffices, from 0 to 1.
    pub fn try_take(&mut self, kept_fraction: f64, now: MonotonicTime) -> bool {
        self.refill(now);
        let reserved = (self.burst() - 1.0) * Self::RESERVED_FRACTION * (1.0 - kept_fraction);
        let has_token = self.tokens >= 1.0 + reserved;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    fn burst(&self) -> f64 {
        (self.per_s * Self::BURST.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: MonotonicTime) {
        let earned = self.per_s * now.since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.burst());
        self.updated_at = self.updated_at.max(now);
    }
}
