//! When a refused caller may try again.

use super::floor::mix;
use super::rate_meter::RateMeter;
use crate::values::MonotonicTime;
use crate::values::RequestId;

/// Derives from the drain rate when refused callers may try again.
///
/// The time covers the queue ahead, and is spread over as long as the server needs to serve all
/// that it refused in the last second, so that callers do not return together.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAfter {
    refused: RateMeter,
}

impl RetryAfter {
    /// Shortest time over which returning callers are spread.
    const SPREAD_MIN_MS: f64 = 200.0;

    /// Longest time that a caller is told to wait.
    const MAX_MS: f64 = 30_000.0;

    /// Counts a refusal and returns after how many milliseconds its caller may try again.
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
