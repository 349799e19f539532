//! The local backend server, while it is announced.

use parking_lot::Mutex;

use super::Announcement;
use crate::connection::ConnectionPool;
use crate::connection::PoolLimits;
use crate::process::gate::Gate;
use crate::values::Clock;
use crate::values::MonotonicTime;

/// The local backend server, while it is announced.
#[derive(Debug)]
pub(super) struct LocalServer {
    /// The latest announcement.
    pub(super) announcement: Announcement,
    /// Connection pool for the backend server.
    pub(super) pool: ConnectionPool,
    /// Admits requests to the backend server.
    pub(super) gate: Gate,
    renewed_at: Mutex<MonotonicTime>,
}

impl LocalServer {
    /// Creates the connection pool and the gate of an announced backend server.
    pub(super) fn new(announcement: Announcement, limits: PoolLimits, clock: &Clock) -> Self {
        Self {
            pool: ConnectionPool::new(announcement.address, limits),
            gate: Gate::new(announcement.slots, *clock),
            renewed_at: Mutex::new(clock.now()),
            announcement,
        }
    }

    pub(super) fn renew(&self, now: MonotonicTime) {
        *self.renewed_at.lock() = now;
    }

    pub(super) fn renewed_at(&self) -> MonotonicTime {
        *self.renewed_at.lock()
    }
}
