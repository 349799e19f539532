//! Requests that run on the local backend server, as the parents of its onward calls.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;

use super::frame::RequestMetadata;
use crate::request::OnwardTime;
use crate::values::MonotonicTime;

/// Separates the id of a request from the rest of the id of a call that it makes.
const CALL_SEPARATOR: char = '.';

/// Returns whether the id of a request may extend that of another one, which made it.
pub(super) fn is_call(request_id: &str) -> bool {
    request_id.contains(CALL_SEPARATOR)
}

/// A request that runs on the local backend server.
#[derive(Debug)]
pub(super) struct RunningRequest {
    /// What the ingress node decided about it.
    pub(super) metadata: RequestMetadata,
    /// When its caller stops waiting.
    pub(super) deadline: MonotonicTime,
    /// Time that it waited for its onward calls, and whether one failed.
    pub(super) onward: Mutex<OnwardTime>,
    /// Whether the server may have received a byte of it.
    is_sent: AtomicBool,
}

impl RunningRequest {
    /// Creates the record of a request that starts to run.
    pub(super) fn new(metadata: RequestMetadata, deadline: MonotonicTime) -> Arc<Self> {
        Arc::new(Self {
            metadata,
            deadline,
            onward: Mutex::default(),
            is_sent: AtomicBool::new(false),
        })
    }

    /// Records that the request is about to be sent to the server.
    pub(super) fn record_sending(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Returns whether the server may have received a byte of the request.
    pub(super) fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed)
    }

    /// Records that an onward call of the request failed, which explains a failure of the request
    /// itself.
    pub(super) fn record_call_failure(&self) {
        self.onward.lock().record_failure();
    }

    pub(super) fn has_failed_call(&self) -> bool {
        self.onward.lock().has_failed()
    }
}

/// The requests that run on the local backend server, by the callers' ids.
///
/// Servers derive the ids of their calls from the id of the request that they run. A call whose id
/// does not extend that of a running request has no parent.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    running: Mutex<HashMap<String, Arc<RunningRequest>>>,
}

impl RunTable {
    /// Adds a request until the guard is dropped.
    pub(super) fn add(&self, request: Arc<RunningRequest>) -> RunGuard<'_> {
        let id = request.metadata.request_id.clone();
        self.running.lock().insert(id, Arc::clone(&request));
        RunGuard {
            table: self,
            request,
        }
    }

    /// Returns the running request that made the call `request_id`.
    pub(super) fn parent_of(&self, request_id: &str) -> Option<Arc<RunningRequest>> {
        let (parent, _) = request_id.rsplit_once(CALL_SEPARATOR)?;
        self.running.lock().get(parent).cloned()
    }
}

/// Removes a request from the table when it is dropped.
pub(super) struct RunGuard<'a> {
    table: &'a RunTable,
    request: Arc<RunningRequest>,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut running = self.table.running.lock();
        let id = &self.request.metadata.request_id;
        // A repeated request with the same id may have replaced this one.
        if running
            .get(id)
            .is_some_and(|known| Arc::ptr_eq(known, &self.request))
        {
            running.remove(id);
        }
    }
}
