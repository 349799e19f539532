//! Queue of changed records that a node disseminates with its next datagrams.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::values::NodeId;

/// Number of datagrams that carry one record, per decimal digit of the number of nodes.
const SENDS_PER_DIGIT: u32 = 3;

/// Number of datagrams that carry a record which its node announces directly to all nodes.
const ANNOUNCED_SENDS: u32 = 2;

/// Returns how many datagrams of one node carry the same record in a fleet of `nodes` nodes.
pub fn send_limit(nodes: usize) -> u32 {
    let digits = nodes.max(1).ilog10() + 1;
    SENDS_PER_DIGIT * digits
}

/// Order of a record in the queue: fewest sends first, then the latest push.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    sent: u32,
    newest_first: std::cmp::Reverse<u64>,
}

/// Records to disseminate, each with the number of times that it was sent.
#[derive(Clone, Debug, Default)]
pub struct DeltaQueue {
    by_priority: BTreeMap<Priority, NodeId>,
    by_node: HashMap<NodeId, Priority>,
    push_count: u64,
}

impl DeltaQueue {
    /// Queues the record of `id` with no sends counted, also if it is queued already.
    pub fn push(&mut self, id: &NodeId) {
        self.push_with_sends(id, 0);
    }

    /// Queues the record of `id`, which its node announces to all nodes, for fewer sends: they only
    /// have to reach the few nodes that the announcement misses.
    pub fn push_announced(&mut self, id: &NodeId, limit: u32) {
        self.push_with_sends(id, limit.saturating_sub(ANNOUNCED_SENDS));
    }

    /// Removes the record of `id` from the queue.
    pub fn remove(&mut self, id: &NodeId) {
        if let Some(priority) = self.by_node.remove(id) {
            self.by_priority.remove(&priority);
        }
    }

    /// Passes the queued records to `add` until it returns false for lack of room.
    ///
    /// Each added record counts as sent once and is removed when it was sent `limit` times.
    pub fn take(&mut self, limit: u32, mut add: impl FnMut(&NodeId) -> bool) {
        let mut added = Vec::new();
        for (priority, id) in &self.by_priority {
            if !add(id) {
                break;
            }
            added.push((*priority, id.clone()));
        }
        for (priority, id) in added {
            self.count_sent(priority, id, limit);
        }
    }

    /// Returns the number of queued records.
    pub fn len(&self) -> usize {
        self.by_priority.len()
    }

    /// Returns whether no record is queued.
    pub fn is_empty(&self) -> bool {
        self.by_priority.is_empty()
    }

    /// Queues the record of `id` as if it had already been sent `sent` times.
    fn push_with_sends(&mut self, id: &NodeId, sent: u32) {
        self.remove(id);
        self.push_count += 1;
        let newest_first = std::cmp::Reverse(self.push_count);
        self.insert(id.clone(), Priority { sent, newest_first });
    }

    fn count_sent(&mut self, priority: Priority, id: NodeId, limit: u32) {
        self.remove(&id);
        let sent = priority.sent + 1;
        if sent < limit {
            self.insert(id, Priority { sent, ..priority });
        }
    }

    fn insert(&mut self, id: NodeId, priority: Priority) {
        self.by_priority.insert(priority, id.clone());
        self.by_node.insert(id, priority);
    }
}
