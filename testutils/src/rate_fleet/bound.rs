//! Checks admitted requests against the exact bound of every window.

use std::collections::VecDeque;

use balsamfold::process::rates::MAX_BATCH_LIFETIME;

/// Billionths of a token in a token.
///
/// Levels are in thousandths of these, which is the product of a rate per second, a speed in
/// millionths and a time in microseconds.
const NANOS_PER_TOKEN: u128 = 1_000_000_000;

/// Time for which a burst still counts after it was lowered, because batches that were granted
/// before may still be spent.
const BURST_HOLD_US: u64 = MAX_BATCH_LIFETIME.as_micros() as u64;

/// The largest rate and burst that any node has in force, from a time on.
#[derive(Clone, Copy, Debug)]
struct InForce {
    from_us: u64,
    rate_per_s: u64,
    burst_tokens: u64,
}

/// Checks that at most burst + rate × window is admitted in every window.
///
/// This holds for all windows exactly if a token bucket that starts full always has a token for an
/// admitted request. Rates are scaled by the speed of the fastest clock.
#[derive(Clone, Debug)]
pub struct Bound {
    in_force: VecDeque<InForce>,
    speed_ppm: u64,
    level: u128,
    updated_us: u64,
    /// Tokens that were missing for admitted requests, in total; 0 while the bound holds.
    pub overshoot_tokens: f64,
}

impl Bound {
    /// Creates the bound with a full burst. Clocks run at most `drift_ppm` millionths too fast.
    pub fn new(rate_per_s: u64, burst_tokens: u64, drift_ppm: u64) -> Self {
        let first = InForce {
            from_us: 0,
            rate_per_s,
            burst_tokens,
        };
        Self {
            in_force: [first].into(),
            speed_ppm: 1_000_000 + drift_ppm,
            level: u128::from(burst_tokens) * NANOS_PER_TOKEN * 1_000,
            updated_us: 0,
            overshoot_tokens: 0.0,
        }
    }

    /// Sets the largest rate and burst that any node has in force from `at_us` on.
    pub fn change(&mut self, rate_per_s: u64, burst_tokens: u64, at_us: u64) {
        self.advance(at_us);
        self.in_force.push_back(InForce {
            from_us: at_us,
            rate_per_s,
            burst_tokens,
        });
    }

    /// Counts one request admitted at `at_us`. Times must not decrease.
    pub fn admit(&mut self, at_us: u64) {
        self.advance(at_us);
        let token = NANOS_PER_TOKEN * 1_000;
        match self.level.checked_sub(token) {
            Some(level) => self.level = level,
            None => {
                let missing = (token - self.level) as f64 / token as f64;
                self.overshoot_tokens += missing;
                self.level = 0;
            }
        }
    }

    fn advance(&mut self, at_us: u64) {
        let rate = self.in_force.back().map_or(0, |entry| entry.rate_per_s);
        let elapsed_us = u128::from(at_us - self.updated_us);
        let minted = u128::from(rate) * u128::from(self.speed_ppm) * elapsed_us;
        while self
            .in_force
            .get(1)
            .is_some_and(|next| next.from_us + BURST_HOLD_US <= at_us)
        {
            self.in_force.pop_front();
        }
        let burst = self.in_force.iter().map(|entry| entry.burst_tokens).max();
        let capacity = u128::from(burst.unwrap_or(0)) * NANOS_PER_TOKEN * 1_000;
        self.level = (self.level + minted).min(capacity);
        self.updated_us = at_us;
    }
}
