//! The requests that start at a server before its first response.

use std::time::Duration;

use crate::values::MonotonicTime;

/// Bounds the requests that start at a server before its first response, which may name a limit.
///
/// The server may go on running a request that its caller gave up, so that only time makes room for
/// another one.
#[derive(Clone, Copy, Debug)]
pub struct Opening {
    tokens: f64,
    updated_at: MonotonicTime,
    /// Longest time for which a request ran that ended without a response.
    given_up_after: Duration,
}

impl Opening {
    /// Requests that start at once, and that run at the same time.
    pub const REQUESTS: u32 = 4;

    /// Time after which one more request starts, so that no four seconds have more than five. The
    /// limit may be zero.
    const INTERVAL: Duration = Duration::from_secs(2);

    /// Part of a token that is reserved for requests with more time than those that were given up:
    /// others would use up each token without a response.
    const RESERVED: f64 = 0.5;

    /// Creates the bounds of a server without a response so far.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            tokens: f64::from(Self::REQUESTS),
            updated_at: now,
            given_up_after: Duration::ZERO,
        }
    }

    /// Returns whether a request may start that has `remaining` time left.
    pub fn has_room(&mut self, remaining: Duration, now: MonotonicTime) -> bool {
        self.refill(now);
        let reserved = match remaining > self.given_up_after {
            true => 0.0,
            false => Self::RESERVED,
        };
        self.tokens >= 1.0 + reserved
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: MonotonicTime) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Records that a request that started did not reach the server.
    pub fn record_not_sent(&mut self) {
        self.tokens = (self.tokens + 1.0).min(f64::from(Self::REQUESTS));
    }

    /// Records that a request ended without a response after it had run for `held`.
    pub fn record_given_up(&mut self, held: Duration) {
        self.given_up_after = self.given_up_after.max(held);
    }

    fn refill(&mut self, now: MonotonicTime) {
        let earned = now.since(self.updated_at).as_secs_f64() / Self::INTERVAL.as_secs_f64();
        self.tokens = (self.tokens + earned).min(f64::from(Self::REQUESTS));
        self.updated_at = self.updated_at.max(now);
    }
}
