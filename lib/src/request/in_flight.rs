//! Table of the requests that run on the local backend server.

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

/// A request that runs on the local backend server.
#[derive(Debug)]
pub struct InFlight {
    /// The context that the previous node sent with the request.
    pub context: RequestContext,
    /// Path of the route by which the request reached this node.
    pub route: String,
    /// The deadline of the request.
    pub deadline: Deadline,
    /// Extra attempts that onward calls may still make.
    pub extra_attempts: Mutex<AttemptBudget>,
    /// The time that the request spent waiting for its onward calls.
    pub onward: Mutex<OnwardTime>,
    /// The onward calls so far. Lock this before `extra_attempts`.
    pub onward_calls: Mutex<OnwardCalls>,
}

#[derive(Debug)]
struct Entry {
    handle: Handle,
    request: Arc<InFlight>,
}

/// All requests that run on the local backend server.
///
/// The table's lock is a leaf: no other lock is taken while it is held.
#[derive(Debug, Default)]
pub struct InFlightTable {
    entries: Mutex<SlotMap<InFlightKey, Entry>>,
}

impl InFlightTable {
    /// Adds a request, which is removed when the guard is dropped.
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

    /// Returns the request that `handle` refers to, if it is in flight.
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

/// Guard that removes its request from the table when it is dropped.
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
