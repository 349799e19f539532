//! The backend server beside this node, while it is announced.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::Announcement;
use crate::connection::ConnectionPool;
use crate::connection::PoolLimits;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::MonotonicTime;

/// When a caller may come back after a refusal for want of a slot.
const OVERLOADED_RETRY_MS: u64 = 1_000;

/// The backend server beside this node, while it is announced.
#[derive(Debug)]
pub(super) struct LocalServer {
    /// What the backend server announced.
    pub(super) announcement: Announcement,
    /// Connections to the backend server.
    pub(super) pool: ConnectionPool,
    slots: Arc<Semaphore>,
    renewed_at: Mutex<MonotonicTime>,
}

impl LocalServer {
    /// Takes a backend server into use.
    pub(super) fn new(announcement: Announcement, limits: PoolLimits, now: MonotonicTime) -> Self {
        Self {
            pool: ConnectionPool::new(announcement.address, limits),
            slots: Arc::new(Semaphore::new(announcement.slots.0 as usize)),
            renewed_at: Mutex::new(now),
            announcement,
        }
    }

    /// Takes a slot for one request.
    pub(super) fn enter(&self) -> Result<OwnedSemaphorePermit, Refusal> {
        Arc::clone(&self.slots).try_acquire_owned().map_err(|_| {
            Refusal::not_run(RefusalReason::Overloaded).retry_after_ms(OVERLOADED_RETRY_MS)
        })
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
