//! The time that a request spends waiting for its onward calls.

use std::time::Duration;

use parking_lot::Mutex;

use crate::values::Clock;
use crate::values::MonotonicTime;

/// The time during which a request waited for at least one onward call.
#[derive(Clone, Copy, Debug, Default)]
pub struct OnwardTime {
    open_calls: u32,
    waiting_since: MonotonicTime,
    waited: Duration,
    failed: bool,
}

impl OnwardTime {
    /// Records the start of an onward call.
    pub fn start_call(&mut self, now: MonotonicTime) {
        if self.open_calls == 0 {
            self.waiting_since = now;
        }
        self.open_calls += 1;
    }

    /// Records the end of an onward call.
    pub fn end_call(&mut self, now: MonotonicTime) {
        self.open_calls = self.open_calls.saturating_sub(1);
        if self.open_calls == 0 {
            self.waited += now.since(self.waiting_since);
        }
    }

    /// Records that an onward call was refused or failed.
    pub fn record_failure(&mut self) {
        self.failed = true;
    }

    /// Returns the total time with at least one open onward call.
    ///
    /// A period that has not ended yet is not included.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// Returns whether an onward call was refused or failed.
    pub fn has_failed(&self) -> bool {
        self.failed
    }
}

/// Guard that counts one onward call as open in an [`OnwardTime`] until it is dropped.
pub struct OnwardWait<'a> {
    clock: Clock,
    onward: &'a Mutex<OnwardTime>,
}

impl<'a> OnwardWait<'a> {
    /// Records the start of the call.
    pub fn start(clock: Clock, onward: &'a Mutex<OnwardTime>) -> Self {
        onward.lock().start_call(clock.now());
        Self { clock, onward }
    }
}

impl Drop for OnwardWait<'_> {
    fn drop(&mut self) {
        self.onward.lock().end_call(self.clock.now());
    }
}
