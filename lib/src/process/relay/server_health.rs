//! What the node beside a backend server saw of the server's failures.

use std::time::Duration;

use crate::values::MonotonicTime;

/// Recent failures of the backend server beside the node, by what the node itself saw.
///
/// A refusal by this node costs nothing at the server, so a server that fails often is passed over
/// while others can take its work. One request in ten goes on, so that recovery is noticed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    successes: f64,
    failures: f64,
    updated_at: MonotonicTime,
    diverted: u32,
}

impl ServerHealth {
    /// Time after which what was seen counts half.
    const HALF_LIFE: Duration = Duration::from_secs(1);

    /// Part of the recent runs that must have failed: well above what garbled answers of a sound
    /// server and failures of its own code make.
    const FAILURE_RATIO_MIN: f64 = 0.2;

    /// Recent runs, decayed by their age, below which a server does not count as failing.
    const RUNS_MIN: f64 = 6.0;

    /// Of this many requests to a failing server, one goes on.
    const TRIAL_ONE_IN: u32 = 10;

    /// Notes how a run ended.
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

    fn decay(&mut self, now: MonotonicTime) {
        let age = now.since(self.updated_at).as_secs_f64();
        let factor = (-age / Self::HALF_LIFE.as_secs_f64()).exp2();
        self.successes *= factor;
        self.failures *= factor;
        self.updated_at = self.updated_at.max(now);
    }
}
