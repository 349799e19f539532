//! Nodes that do not answer, and how long they still have to refute.

use std::collections::BTreeMap;

use super::timing::SUSPICION_TIMEOUT;
use super::timing::UNREACHABLE_RETENTION;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Since when a node does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Suspicion {
    began: MonotonicTime,
    /// Start of the time to refute. It moves on while the node's zone is silent.
    timed_from: MonotonicTime,
}

impl Suspicion {
    fn new(now: MonotonicTime) -> Self {
        Self {
            began: now,
            timed_from: now,
        }
    }

    fn has_ended(&self, now: MonotonicTime) -> bool {
        let refutable = now.since(self.timed_from) < SUSPICION_TIMEOUT;
        let retained = now.since(self.began) < UNREACHABLE_RETENTION;
        !refutable || !retained
    }
}

/// Nodes that do not answer.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    by_node: BTreeMap<NodeId, Suspicion>,
}

impl Suspicions {
    /// Starts the time to refute, unless it runs already.
    pub fn start(&mut self, id: &NodeId, now: MonotonicTime) {
        if !self.by_node.contains_key(id) {
            self.restart(id, now);
        }
    }

    /// Starts the time to refute afresh.
    pub fn restart(&mut self, id: &NodeId, now: MonotonicTime) {
        self.by_node.insert(id.clone(), Suspicion::new(now));
    }

    /// Returns the nodes that do not answer.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.by_node.keys()
    }

    /// Ends the suspicion of one node.
    pub fn remove(&mut self, id: &NodeId) {
        self.by_node.remove(id);
    }

    /// Starts the time to refute afresh for all nodes, as after a pause.
    pub fn restart_all(&mut self, now: MonotonicTime) {
        for suspicion in self.by_node.values_mut() {
            *suspicion = Suspicion::new(now);
        }
    }

    /// Removes and returns the nodes that did not refute in time.
    ///
    /// The time does not run while `can_refute` is false for the node.
    pub fn take_ended(
        &mut self,
        now: MonotonicTime,
        can_refute: impl Fn(&NodeId) -> bool,
    ) -> Vec<NodeId> {
        for (id, suspicion) in &mut self.by_node {
            if !can_refute(id) {
                suspicion.timed_from = now;
            }
        }
        self.by_node
            .extract_if(.., |_, suspicion| suspicion.has_ended(now))
            .map(|(id, _)| id)
            .collect()
    }
}
