//! The requests that run on the backend server beside this node.

use std::sync::Arc;

use parking_lot::Mutex;
use slotmap::SlotMap;

use super::AttemptBudget;
use super::Deadline;
use super::Handle;
use super::OnwardCalls;
use super::OnwardTime;
use super::RequestContext;
use super::handle::InFlightKey;

/// A request that runs on the backend server beside this node.
#[derive(Debug)]
pub struct InFlight {
    /// What the previous node told about the request.
    pub context: RequestContext,
    /// Path of the route by which the request came to this node.
    pub route: String,
    /// When the request runs out of time.
    pub deadline: Deadline,
    /// Attempts beyond the first that onward calls may still make.
    pub extra_attempts: Mutex<AttemptBudget>,
    /// The time in which the request waited for its onward calls.
    pub onward: Mutex<OnwardTime>,
    /// The onward calls so far. Taken before the lock on the attempts.
    pub onward_calls: Mutex<OnwardCalls>,
}

#[derive(Debug)]
struct Entry {
    handle: Handle,
    request: Arc<InFlight>,
}

/// All requests that run on the backend server beside this node.
///
/// The table's lock is a leaf: no other lock is taken while it is held.
#[derive(Debug, Default)]
pub struct InFlightTable {
    entries: Mutex<SlotMap<InFlightKey, Entry>>,
}

impl InFlightTable {
    /// Adds a request; it stays until the guard is dropped.
    pub fn add(self: &Arc<Self>, request: Arc<InFlight>) -> InFlightGuard {
        let mut entries = self.entries.lock();
        let key = entries.insert_with_key(|key| Entry {
            handle: Handle::random(key),
            request: Arc::clone(&request),
        });
        InFlightGuard {
            table: Arc::clone(self),
            handle: entries[key].handle,
            request,
        }
    }

    /// Finds the request that `handle` refers to while it is in flight.
    pub fn resolve(&self, handle: &Handle) -> Option<Arc<InFlight>> {
        let entries = self.entries.lock();
        let entry = entries.get(handle.key)?;
        entry
            .handle
            .matches(handle)
            .then(|| Arc::clone(&entry.request))
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    /// Returns whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.entries.lock().is_empty()
    }
}

/// Keeps a request in the table until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    table: Arc<InFlightTable>,
    handle: Handle,
    request: Arc<InFlight>,
}

impl InFlightGuard {
    /// Returns the handle by which the backend server refers to the request.
    pub fn handle(&self) -> Handle {
        self.handle
    }

    /// Returns the request.
    pub fn request(&self) -> &InFlight {
        &self.request
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.table.entries.lock().remove(self.handle.key);
    }
}
