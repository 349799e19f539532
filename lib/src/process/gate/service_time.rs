//! The time for which a request holds a slot.

use std::time::Duration;

/// Moving average of the time for which a request holds a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTime {
    mean_us: Option<f64>,
}

impl ServiceTime {
    /// Weight of one sample in the moving average.
    const SAMPLE_WEIGHT: f64 = 0.05;

    /// Records one sample.
    pub fn observe(&mut self, held: Duration) {
        let sample_us = held.as_micros() as f64;
        let mean_us = self.mean_us.unwrap_or(sample_us);
        self.mean_us = Some(mean_us + Self::SAMPLE_WEIGHT * (sample_us - mean_us));
    }

    /// Returns the mean, or zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us.unwrap_or(0.0) as u64)
    }

    /// Returns how many requests per second `slots` slots finish; `None` before the first sample.
    pub fn drain_per_s(&self, slots: u32) -> Option<f64> {
        self.mean_us
            .map(|mean_us| f64::from(slots) * 1e6 / mean_us.max(1.0))
    }
}
