//! The requests that a server takes in a second while it is cold.

use std::collections::VecDeque;
use std::time::Duration;

use crate::values::MonotonicTime;

/// What is known of a server's cold start at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdNotice {
    /// Most requests that the server takes in any second while it is cold; `None` if any number.
    pub requests_max: Option<u32>,
    /// Time for which it stays cold; zero if it is warm.
    pub left: Duration,
}

/// Bounds the requests that start at a cold server in any second.
///
/// The starts of the last second are known at any time, because a server may turn cold just after
/// it got many requests.
#[derive(Clone, Debug)]
pub struct ColdStart {
    requests_max: u32,
    cold_until: MonotonicTime,
    /// Before this time, reports that the server is warm may be from before it turned cold.
    trusted_from: MonotonicTime,
    /// The latest starts, the oldest first.
    starts: VecDeque<MonotonicTime>,
    /// Before this time, other requests may have started that this process does not know of.
    unknown_until: MonotonicTime,
}

impl ColdStart {
    /// Time in which the requests are counted: a second, and the time by which two requests may
    /// arrive closer together than they started.
    pub const WINDOW: Duration = Duration::from_millis(1_150);

    /// Time after the announced end for which the bound still holds, because the server measures
    /// the end by its own clock.
    const END_MARGIN: Duration = Duration::from_millis(100);

    /// Time for which a server counts as cold that may have turned cold since its last report: two
    /// of the usual times between reports.
    const PRESUMED: Duration = Duration::from_secs(3);

    /// Time in which a report may still arrive that was sent before that.
    const REPORT_DELAY_MAX: Duration = Duration::from_millis(200);

    /// Fraction of the room that is reserved for important requests.
    const RESERVED_FRACTION: f64 = 0.5;

    /// Creates the bound of a server that counts as warm. Until `unknown_until`, requests of an
    /// earlier process may count, too.
    pub fn new(unknown_until: MonotonicTime) -> Self {
        Self {
            requests_max: u32::MAX,
            cold_until: MonotonicTime::default(),
            trusted_from: MonotonicTime::default(),
            starts: VecDeque::new(),
            unknown_until,
        }
    }

    /// Applies a report of the server.
    pub fn apply(&mut self, notice: ColdNotice, now: MonotonicTime) {
        self.cold_until = match notice.requests_max {
            None => MonotonicTime::default(),
            Some(_) if !notice.left.is_zero() => now.after(notice.left).after(Self::END_MARGIN),
            Some(_) if now < self.trusted_from => self.cold_until,
            Some(_) => MonotonicTime::default(),
        };
        self.requests_max = notice.requests_max.unwrap_or(u32::MAX);
    }

    /// Bounds the requests until the next report, because the server may have turned cold since the
    /// last one.
    pub fn presume(&mut self, requests_max: u32, now: MonotonicTime) {
        self.requests_max = requests_max;
        self.trusted_from = now.after(Self::REPORT_DELAY_MAX);
        self.cold_until = self.cold_until.max(now.after(Self::PRESUMED));
    }

    /// Returns whether the bound holds.
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        now < self.cold_until
    }

    /// Returns the requests per second that may start, if the bound holds.
    pub fn per_s(&self, now: MonotonicTime) -> Option<f64> {
        let per_s = f64::from(self.requests_max) / Self::WINDOW.as_secs_f64();
        self.is_cold(now).then_some(per_s)
    }

    /// Returns whether a request may start.
    ///
    /// A part of the room is reserved for important requests. `kept_fraction` is the fraction of the
    /// requests of this importance for which the capacity suffices, from 0 to 1.
    pub fn has_room(&mut self, kept_fraction: f64, now: MonotonicTime) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        if now < self.unknown_until {
            return false;
        }
        self.forget_old(now);
        let room = f64::from(self.requests_max) - self.starts.len() as f64;
        let reserved = f64::from(self.requests_max.saturating_sub(1))
            * Self::RESERVED_FRACTION
            * (1.0 - kept_fraction);
        room >= 1.0 + reserved
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: MonotonicTime) {
        self.forget_old(now);
        self.starts.push_back(now);
    }

    fn forget_old(&mut self, now: MonotonicTime) {
        while self
            .starts
            .front()
            .is_some_and(|start| now.since(*start) >= Self::WINDOW)
        {
            self.starts.pop_front();
        }
    }
}
