//! The backend server beside this node, while it is announced.

use parking_lot::Mutex;

use super::Announcement;
use crate::connection::ConnectionPool;
use crate::connection::PoolLimits;
use crate::process::gate::Gate;
use crate::values::Clock;
use crate::values::MonotonicTime;

/// The backend server beside this node, while it is announced.
#[derive(Debug)]
pub(super) struct LocalServer {
    /// What the backend server announced.
    pub(super) announcement: Announcement,
    /// Connections to the backend server.
    pub(super) pool: ConnectionPool,
    /// Admits requests to the backend server.
    pub(super) gate: Gate,
    renewed_at: Mutex<MonotonicTime>,
}

impl LocalServer {
    /// Takes a backend server into use.
    pub(super) fn new(announcement: Announcement, limits: PoolLimits, clock: &Clock) -> Self {
        Self {
            pool: ConnectionPool::new(announcement.address, limits),
            gate: Gate::new(announcement.slots, *clock),
            renewed_at: Mutex::new(clock.now()),
            announcement,
        }
    }

    /// Notes that the backend server renewed its announcement.
    pub(super) fn renew(&self, now: MonotonicTime) {
        *self.renewed_at.lock() = now;
    }

    /// Returns when the announcement was last renewed.
    pub(super) fn renewed_at(&self) -> MonotonicTime {
        *self.renewed_at.lock()
    }
}
