//! The recent rate of a kind of event.

use std::time::Duration;

use crate::values::MonotonicTime;

/// The rate of a kind of event; the weight of each event decays exponentially with its age, with
/// the time constant [`Self::TIME_CONSTANT`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateMeter {
    per_s: f64,
    updated_at: MonotonicTime,
}

impl RateMeter {
    const TIME_CONSTANT: Duration = Duration::from_secs(1);

    pub(super) fn count(&mut self, now: MonotonicTime) {
        self.per_s = self.per_s(now) + 1.0 / Self::TIME_CONSTANT.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the rate in events per second.
    pub(super) fn per_s(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.per_s * (-age / Self::TIME_CONSTANT.as_secs_f64()).exp()
    }
}
