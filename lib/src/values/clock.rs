//! Points in time. Decisions receive them as arguments, so that tests control the clock.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

number_type! {
    /// Microseconds since the start of the process. It never decreases.
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

impl WallTime {
    /// Longest time by which the clock of another instance may be ahead.
    const AHEAD_MAX: Duration = Duration::from_secs(366 * 24 * 3_600);

    /// Returns whether a clock that some instance of the fleet has may have shown this time by `now`.
    pub fn is_plausible(self, now: Self) -> bool {
        let ahead_ms = Self::AHEAD_MAX.as_millis() as u64;
        self.0 <= now.0.saturating_add(ahead_ms)
    }
}

/// The time source of a process.
///
/// It includes the time for which the instance was suspended, so that everything that expires (a
/// confirmation, a lease, a batch of tokens) also expires during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_us: u64,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            started_us: boot_time_us(),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(boot_time_us() - self.started_us)
    }

    /// Returns the wall clock time.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime(since_epoch.unwrap_or_default().as_millis() as u64)
    }
}

/// Returns the time since the instance started, in microseconds.
fn boot_time_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
