//! Requests that run on the local backend server, as the parents of its onward calls.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use super::abandoned_runs::AbandonedRuns;
use super::frame::RequestMetadata;
use crate::process::gate::CallTree;
use crate::process::gate::SpentTime;
use crate::request::OnwardTime;
use crate::values::Clock;
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
    /// When it reached this node.
    pub(super) arrived_at: MonotonicTime,
    /// When its caller stops waiting.
    pub(super) deadline: MonotonicTime,
    /// Time that it waited for its onward calls, and whether one failed.
    pub(super) onward: Mutex<OnwardTime>,
    /// The calls that it needed so far, with those that they needed.
    calls: Mutex<CallTree>,
    /// Whether the server may have received a byte of it.
    is_sent: AtomicBool,
    /// Whether the server no longer works on it, as far as this node knows.
    is_finished: AtomicBool,
    /// Cancelled when nobody waits for its response any more.
    abandoned: CancellationToken,
}

impl RunningRequest {
    /// Creates the record of a request that starts to run.
    pub(super) fn new(
        metadata: RequestMetadata,
        arrived_at: MonotonicTime,
        deadline: MonotonicTime,
    ) -> Arc<Self> {
        Arc::new(Self {
            metadata,
            arrived_at,
            deadline,
            onward: Mutex::default(),
            calls: Mutex::default(),
            is_sent: AtomicBool::new(false),
            is_finished: AtomicBool::new(false),
            abandoned: CancellationToken::new(),
        })
    }

    /// Records that the server has responded, or has not run the request.
    pub(super) fn finish(&self) {
        self.is_finished.store(true, Ordering::Relaxed);
    }

    /// Returns whether nobody waits for its response any more.
    pub(super) fn is_abandoned(&self) -> bool {
        self.abandoned.is_cancelled()
    }

    /// Returns once nobody waits for its response any more.
    pub(super) async fn until_abandoned(&self) {
        self.abandoned.cancelled().await;
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

    /// Records a call that succeeded, with those that it needed.
    pub(super) fn record_calls(&self, tree: &CallTree) {
        self.calls.lock().merge(tree);
    }

    /// Returns the calls that it needed so far.
    pub(super) fn calls(&self) -> CallTree {
        self.calls.lock().clone()
    }

    /// Returns the time that its call tree has run until `now`, which is not zero.
    pub(super) fn spent(&self, now: MonotonicTime) -> SpentTime {
        let own_ms = now.since(self.arrived_at).as_millis() as u32;
        SpentTime(self.metadata.spent.0.saturating_add(own_ms).max(1))
    }

    pub(super) fn has_failed_call(&self) -> bool {
        self.onward.lock().has_failed()
    }
}

/// What is known about the request that made a call.
#[derive(Clone, Debug)]
pub(super) enum Parent {
    /// It runs on the local backend server.
    Running(Arc<RunningRequest>),
    /// Nobody waits for its response any more.
    Abandoned,
    /// None is known: the request is no call, or another process of this node served the one that made it.
    Unknown,
}

/// The requests that run on the local backend server, by the callers' ids.
///
/// Servers derive the ids of their calls from the id of the request that they run. A call whose id
/// does not extend that of a running request has no parent.
#[derive(Debug)]
pub(super) struct RunTable {
    clock: Clock,
    running: Mutex<HashMap<String, Arc<RunningRequest>>>,
    abandoned: Mutex<AbandonedRuns>,
}

impl RunTable {
    /// Creates an empty table.
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            running: Mutex::default(),
            abandoned: Mutex::default(),
        }
    }

    /// Adds a request until the guard is dropped.
    pub(super) fn add(&self, request: Arc<RunningRequest>) -> RunGuard<'_> {
        let id = request.metadata.request_id.clone();
        self.running.lock().insert(id, Arc::clone(&request));
        RunGuard {
            table: self,
            request,
        }
    }

    /// Returns the request that made the call `request_id`.
    pub(super) fn parent_of(&self, request_id: &str) -> Parent {
        let Some((parent, _)) = request_id.rsplit_once(CALL_SEPARATOR) else {
            return Parent::Unknown;
        };
        // A request that was abandoned may run again.
        if let Some(running) = self.running.lock().get(parent) {
            return Parent::Running(Arc::clone(running));
        }
        match self.abandoned.lock().contains(parent, self.clock.now()) {
            true => Parent::Abandoned,
            false => Parent::Unknown,
        }
    }
}

/// Removes a request from the table when it is dropped.
pub(super) struct RunGuard<'a> {
    table: &'a RunTable,
    request: Arc<RunningRequest>,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let id = &self.request.metadata.request_id;
        if !self.request.is_finished.load(Ordering::Relaxed) {
            let now = self.table.clock.now();
            self.table.abandoned.lock().add(id, now);
            self.request.abandoned.cancel();
        }
        let mut running = self.table.running.lock();
        // A repeated request with the same id may have replaced this one.
        if running
            .get(id)
            .is_some_and(|known| Arc::ptr_eq(known, &self.request))
        {
            running.remove(id);
        }
    }
}
