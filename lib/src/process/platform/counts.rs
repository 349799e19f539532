//! Rate limiter for calls, and counts of calls by kind.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::values::MonotonicTime;

const MICROS_PER_S: u64 = 1_000_000;

plain_value! {
    /// A kind of call.
    #[serde(rename_all = "kebab-case")]
    pub enum CallKind {
        /// Reads.
        Get,
        /// Conditional writes.
        CompareAndSwap,
        /// Watches; each counts as one call, however long it waits.
        Watch,
        /// Grants, renewals and releases of leases.
        Lease,
    }
}

plain_data! {
    /// Number of calls made so far, by kind.
    #[derive(Copy, Default, Eq)]
    pub struct CallCounts {
        /// Reads.
        pub gets: u64,
        /// Conditional writes.
        pub swaps: u64,
        /// Watches.
        pub watches: u64,
        /// Grants, renewals and releases of leases.
        pub leases: u64,
    }
}

impl CallCounts {
    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.gets + self.swaps + self.watches + self.leases
    }
}

/// Counts calls by kind without a lock.
#[derive(Debug, Default)]
pub(super) struct CallCounter {
    gets: AtomicU64,
    swaps: AtomicU64,
    watches: AtomicU64,
    leases: AtomicU64,
}

impl CallCounter {
    pub(super) fn add(&self, kind: CallKind) {
        let count = match kind {
            CallKind::Get => &self.gets,
            CallKind::CompareAndSwap => &self.swaps,
            CallKind::Watch => &self.watches,
            CallKind::Lease => &self.leases,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn counts(&self) -> CallCounts {
        CallCounts {
            gets: self.gets.load(Ordering::Relaxed),
            swaps: self.swaps.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            leases: self.leases.load(Ordering::Relaxed),
        }
    }
}

/// Spaces calls evenly so that a process never makes more than a given number per second.
#[derive(Clone, Debug)]
pub struct CallRateLimiter {
    interval: Duration,
    next_at: MonotonicTime,
}

impl CallRateLimiter {
    /// Allows `calls_per_s` calls per second; 0 counts as 1.
    pub fn new(calls_per_s: u32) -> Self {
        let interval_us = MICROS_PER_S / u64::from(calls_per_s.max(1));
        Self {
            interval: Duration::from_micros(interval_us),
            next_at: MonotonicTime::default(),
        }
    }

    /// Reserves the next call and returns how long to wait before making it.
    pub fn reserve(&mut self, now: MonotonicTime) -> Duration {
        let at = now.max(self.next_at);
        self.next_at = at.after(self.interval);
        at.since(now)
    }
}
