//! The time that a request has left, and the depth of its call chain.
//!
//! A deadline travels between nodes as the remaining time, so that no clock is shared. Time on
//! the wire is not seen by either clock: each hop takes a fixed part for it.

use std::time::Duration;

use super::RefusalReason;
use crate::values::MonotonicTime;

number_type! {
    /// Microseconds that a request has left when it is sent to the next node.
    RemainingUs(u64)
}

/// The point in time, by this node's clock, at which a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    at: MonotonicTime,
}

impl Deadline {
    /// Time that each hop takes off for the way there and back.
    pub const HOP_TIME: Duration = Duration::from_millis(4);

    /// Least time with which a call is worth sending.
    pub const CALL_TIME_MIN: Duration = Duration::from_millis(1);

    /// Starts the clock for a request that came with `remaining` time.
    pub fn starting(now: MonotonicTime, remaining: RemainingUs) -> Self {
        Self {
            at: now.after(Duration::from_micros(remaining.0)),
        }
    }

    /// Starts the clock for a request that may take `limit`.
    pub fn within(now: MonotonicTime, limit: Duration) -> Self {
        Self {
            at: now.after(limit),
        }
    }

    /// Returns when the request is given up.
    pub fn at(&self) -> MonotonicTime {
        self.at
    }

    /// Returns the time left, zero when it has run out.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        self.at.since(now)
    }

    /// Returns whether the time has run out.
    pub fn has_passed(&self, now: MonotonicTime) -> bool {
        now >= self.at
    }

    /// Returns the time that a call to another node gets, less what the hop takes.
    ///
    /// Fails with [`RefusalReason::DeadlineExceeded`] when less than a millisecond would be left.
    pub fn for_next_hop(&self, now: MonotonicTime) -> Result<RemainingUs, RefusalReason> {
        let left = self.remaining(now).saturating_sub(Self::HOP_TIME);
        match left {
            left if left < Self::CALL_TIME_MIN => Err(RefusalReason::DeadlineExceeded),
            left => Ok(RemainingUs(left.as_micros() as u64)),
        }
    }

    /// Returns the earlier of two deadlines.
    pub fn earlier(self, other: Self) -> Self {
        self.min(other)
    }
}

number_type! {
    /// Calls between the root request and this one; the root has depth zero.
    ChainDepth(u8)
}

impl ChainDepth {
    /// The deepest call that is served: a chain of 16 services.
    pub const MAX: Self = Self(15);

    /// Returns the depth of an onward call.
    ///
    /// Fails with [`RefusalReason::TooDeep`] beyond [`ChainDepth::MAX`].
    pub fn onward(self) -> Result<Self, RefusalReason> {
        match self {
            depth if depth < Self::MAX => Ok(Self(depth.0 + 1)),
            _ => Err(RefusalReason::TooDeep),
        }
    }
}
