//! Suspected nodes, with the time that remains for each to refute the suspicion.

use std::collections::BTreeMap;

use super::timing::SUSPICION_TIMEOUT;
use super::timing::UNREACHABLE_RETENTION;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Start times of the suspicion of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Suspicion {
    started_at: MonotonicTime,
    /// Start of [`SUSPICION_TIMEOUT`]. It advances while the node cannot refute the suspicion,
    /// as when its zone is unreachable.
    timeout_start: MonotonicTime,
}

impl Suspicion {
    fn new(now: MonotonicTime) -> Self {
        Self {
            started_at: now,
            timeout_start: now,
        }
    }

    fn has_expired(&self, now: MonotonicTime) -> bool {
        let is_refutable = now.since(self.timeout_start) < SUSPICION_TIMEOUT;
        let is_retained = now.since(self.started_at) < UNREACHABLE_RETENTION;
        !is_refutable || !is_retained
    }
}

/// Nodes that do not respond to probes.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    by_node: BTreeMap<NodeId, Suspicion>,
}

impl Suspicions {
    /// Starts the suspicion timeout of a node, unless it is running.
    pub fn start(&mut self, id: &NodeId, now: MonotonicTime) {
        if !self.by_node.contains_key(id) {
            self.restart(id, now);
        }
    }

    /// Starts or restarts the suspicion timeout of a node.
    pub fn restart(&mut self, id: &NodeId, now: MonotonicTime) {
        self.by_node.insert(id.clone(), Suspicion::new(now));
    }

    /// Returns the suspected nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.by_node.keys()
    }

    /// Ends the suspicion of one node.
    pub fn remove(&mut self, id: &NodeId) {
        self.by_node.remove(id);
    }

    /// Restarts the suspicion timeout of all nodes. Used after a pause of this process.
    pub fn restart_all(&mut self, now: MonotonicTime) {
        for suspicion in self.by_node.values_mut() {
            *suspicion = Suspicion::new(now);
        }
    }

    /// Removes and returns the nodes that did not refute the suspicion in time.
    ///
    /// [`SUSPICION_TIMEOUT`] does not run while `can_refute` is false for the node. After
    /// [`UNREACHABLE_RETENTION`] the suspicion expires nevertheless.
    pub fn take_expired(
        &mut self,
        now: MonotonicTime,
        can_refute: impl Fn(&NodeId) -> bool,
    ) -> Vec<NodeId> {
        for (id, suspicion) in &mut self.by_node {
            if !can_refute(id) {
                suspicion.timeout_start = now;
            }
        }
        self.by_node
            .extract_if(.., |_, suspicion| suspicion.has_expired(now))
            .map(|(id, _)| id)
            .collect()
    }
}
