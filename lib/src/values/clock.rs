//! Points in time, passed into every decision so that tests choose the clock.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

number_type! {
    /// Microseconds since the start of the process. It never goes back.
    MonotonicTime(u64)
}

impl MonotonicTime {
    /// Returns the time that passed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point in time that is `duration` later.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

number_type! {
    /// Milliseconds since the Unix epoch by the instance's own clock, which may step.
    WallTime(u64)
}

/// The source of time of a process.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Arc<Instant>,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            started: Arc::new(Instant::now()),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed().as_micros() as u64)
    }

    /// Returns the wall clock time.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime(since_epoch.unwrap_or_default().as_millis() as u64)
    }
}
