//! Settings of the order of return.

use std::time::Duration;

plain_data! {
    /// How places are given to refused callers.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct ReturnSettings {
        /// Longest time after which a caller with a place is told to come back, in milliseconds.
        pub horizon_ms: u64,
        /// Most callers that the node expects back at a time. Others get a time and no place.
        pub callers_max: usize,
    }
}

impl ReturnSettings {
    /// Least and greatest horizon, in milliseconds.
    const HORIZON_MS: std::ops::RangeInclusive<u64> = 10..=30_000;
    /// Least and greatest number of callers.
    const CALLERS_MAX: std::ops::RangeInclusive<usize> = 16..=1_048_576;

    /// Returns the longest time until a place.
    pub fn horizon(&self) -> Duration {
        Duration::from_millis(self.horizon_ms)
    }

    /// Returns what is wrong with the values.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if !Self::HORIZON_MS.contains(&self.horizon_ms) {
            faults.push("returns.horizon_ms: must be from 10 to 30000".to_owned());
        }
        if !Self::CALLERS_MAX.contains(&self.callers_max) {
            faults.push("returns.callers_max: must be from 16 to 1048576".to_owned());
        }
        faults
    }
}
