//! The time after which a refused caller may retry.

use super::floor::mix;
use super::rate_meter::RateMeter;
use crate::values::MonotonicTime;
use crate::values::RequestId;

/// Derives the time after which refused callers may retry from the drain rate.
///
/// The time covers the current queue and a spread, which is the time that the server needs to serve
/// all requests refused in the last second. The spread keeps callers from retrying simultaneously.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAfter {
    refused: RateMeter,
}

impl RetryAfter {
    /// Minimum time over which retries are spread.
    const SPREAD_MIN_MS: f64 = 200.0;

    /// Maximum time that a caller must wait.
    const MAX_MS: f64 = 30_000.0;

    /// Counts a refusal and returns the time after which its caller may retry, in milliseconds.
    pub fn record_refusal(
        &mut self,
        root: RequestId,
        waiting: usize,
        drain_per_s: f64,
        now: MonotonicTime,
    ) -> u64 {
        self.refused.count(now);
        let drain_per_ms = (drain_per_s / 1e3).max(1e-6);
        let queue_ms = waiting as f64 / drain_per_ms;
        let spread_ms = (self.refused.per_s(now) / drain_per_ms).max(Self::SPREAD_MIN_MS);
        let position = f64::from(mix(root) as u32) / f64::from(u32::MAX);
        (queue_ms + position * spread_ms).clamp(1.0, Self::MAX_MS) as u64
    }
}
