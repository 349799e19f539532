//! Failures of the local backend server, as observed by its node.

use std::time::Duration;

use crate::values::MonotonicTime;

/// Recent failures of the local backend server, as observed by the node itself.
///
/// A refusal by this node costs nothing at the server, so requests are diverted from a server that
/// fails often while others can do its work. One request in ten is still sent to it, so that its
/// recovery is noticed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    successes: f64,
    failures: f64,
    updated_at: MonotonicTime,
    diverted: u32,
}

impl ServerHealth {
    /// Half-life of the counts of successes and failures.
    const HALF_LIFE: Duration = Duration::from_secs(1);

    /// Fraction of failed runs among the recent ones from which a server counts as failing: well
    /// above what garbled responses of a healthy server and failures of its own code cause.
    const FAILURE_RATIO_MIN: f64 = 0.2;

    /// Recent runs, decayed by their age, below which a server does not count as failing.
    const RUNS_MIN: f64 = 6.0;

    /// One in this many requests to a failing server is still sent to it.
    const TRIAL_ONE_IN: u32 = 10;

    /// Records how a run ended.
    pub fn record_end(&mut self, succeeded: bool, now: MonotonicTime) {
        self.decay(now);
        match succeeded {
            true => self.successes += 1.0,
            false => self.failures += 1.0,
        }
    }

    /// Decides whether a request should go to another server of the service.
    pub fn should_divert(&mut self, now: MonotonicTime) -> bool {
        self.decay(now);
        let runs = self.successes + self.failures;
        if runs < Self::RUNS_MIN || self.failures < runs * Self::FAILURE_RATIO_MIN {
            return false;
        }
        self.diverted = (self.diverted + 1) % Self::TRIAL_ONE_IN;
        self.diverted != 0
    }

    /// Returns the part of the recent runs that failed, in percent; zero while there are few.
    pub fn failed_percent(&mut self, now: MonotonicTime) -> u32 {
        self.decay(now);
        let runs = self.successes + self.failures;
        match runs < Self::RUNS_MIN {
            true => 0,
            false => (self.failures / runs * 100.0) as u32,
        }
    }

    fn decay(&mut self, now: MonotonicTime) {
        let age = now.since(self.updated_at).as_secs_f64();
        let factor = (-age / Self::HALF_LIFE.as_secs_f64()).exp2();
        self.successes *= factor;
        self.failures *= factor;
        self.updated_at = self.updated_at.max(now);
    }
}
