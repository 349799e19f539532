//! The deadline of a request and the depth of its call chain.
//!
//! Nodes send each other the remaining time instead of a point in time, so that they need no common
//! clock. Neither clock measures the network time, so each hop subtracts a fixed time for it.

use std::time::Duration;

use super::RefusalReason;
use crate::values::MonotonicTime;

number_type! {
    /// Microseconds until the deadline when a request is sent to the next node.
    RemainingUs(u64)
}

/// The point in time, on this node's clock, at which a request is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    at: MonotonicTime,
}

impl Deadline {
    /// Time that each hop subtracts for the network round trip.
    pub const HOP_TIME: Duration = Duration::from_millis(4);

    /// Minimum remaining time with which a call is worth sending.
    pub const CALL_TIME_MIN: Duration = Duration::from_millis(1);

    /// Creates the deadline of a request that was received with `remaining` time.
    pub fn starting(now: MonotonicTime, remaining: RemainingUs) -> Self {
        Self {
            at: now.after(Duration::from_micros(remaining.0)),
        }
    }

    /// Creates the deadline of a request that may take `limit`.
    pub fn within(now: MonotonicTime, limit: Duration) -> Self {
        Self {
            at: now.after(limit),
        }
    }

    /// Returns the point in time at which the request is abandoned.
    pub fn at(&self) -> MonotonicTime {
        self.at
    }

    /// Returns the time until the deadline, or zero after it.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        self.at.since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn has_passed(&self, now: MonotonicTime) -> bool {
        now >= self.at
    }

    /// Returns the remaining time for a call to another node, without [`Deadline::HOP_TIME`].
    ///
    /// Fails with [`RefusalReason::DeadlineExceeded`] if less than [`Deadline::CALL_TIME_MIN`]
    /// would remain.
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
    /// Number of calls between the root request and this one; the root has depth zero.
    ChainDepth(u8)
}

impl ChainDepth {
    /// The depth of the last call in a chain of 16 services, the longest that is served.
    pub const MAX: Self = Self(15);

    /// Returns the depth of an onward call.
    ///
    /// Fails with [`RefusalReason::TooDeep`] if that exceeds [`ChainDepth::MAX`].
    pub fn onward(self) -> Result<Self, RefusalReason> {
        match self {
            depth if depth < Self::MAX => Ok(Self(depth.0 + 1)),
            _ => Err(RefusalReason::TooDeep),
        }
    }
}
