//! Which records a node passes on with its next datagrams.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::values::NodeId;

/// Datagrams that carry one record, for each decimal digit of the number of nodes.
const SENDS_PER_DIGIT: u32 = 3;

/// Datagrams that carry a record which its own node announces to all at the same time.
const ANNOUNCED_SENDS: u32 = 2;

/// Returns how many datagrams of one node carry the same record in a fleet of `nodes`.
pub fn send_limit(nodes: usize) -> u32 {
    let digits = nodes.max(1).ilog10() + 1;
    SENDS_PER_DIGIT * digits
}

/// The place of a record in the queue: least sent first, then the latest change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    sent: u32,
    newest_first: std::cmp::Reverse<u64>,
}

/// Records to pass on, each with the number of times that it was sent.
#[derive(Clone, Debug, Default)]
pub struct DeltaQueue {
    places: BTreeMap<Place, NodeId>,
    by_node: HashMap<NodeId, Place>,
    pushed: u64,
}

impl DeltaQueue {
    /// Queues the record of `id` afresh.
    pub fn push(&mut self, id: &NodeId) {
        self.push_after(id, 0);
    }

    /// Queues the record of `id`, which its own node announces to all, for the few that it misses.
    pub fn push_announced(&mut self, id: &NodeId, limit: u32) {
        self.push_after(id, limit.saturating_sub(ANNOUNCED_SENDS));
    }

    /// Takes the record of `id` out of the queue.
    pub fn remove(&mut self, id: &NodeId) {
        if let Some(place) = self.by_node.remove(id) {
            self.places.remove(&place);
        }
    }

    /// Offers the queued records to `add`, until it returns false for lack of room.
    ///
    /// Each record that was added counts as sent once; it leaves the queue at `limit`.
    pub fn take(&mut self, limit: u32, mut add: impl FnMut(&NodeId) -> bool) {
        let mut added = Vec::new();
        for (place, id) in &self.places {
            if !add(id) {
                break;
            }
            added.push((*place, id.clone()));
        }
        for (place, id) in added {
            self.count_sent(place, id, limit);
        }
    }

    /// Returns the number of queued records.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no record is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Queues the record of `id` as if it had been sent `sent` times.
    fn push_after(&mut self, id: &NodeId, sent: u32) {
        self.remove(id);
        self.pushed += 1;
        let newest_first = std::cmp::Reverse(self.pushed);
        self.insert(id.clone(), Place { sent, newest_first });
    }

    fn count_sent(&mut self, place: Place, id: NodeId, limit: u32) {
        self.remove(&id);
        let sent = place.sent + 1;
        if sent < limit {
            self.insert(id, Place { sent, ..place });
        }
    }

    fn insert(&mut self, id: NodeId, place: Place) {
        self.places.insert(place, id.clone());
        self.by_node.insert(id, place);
    }
}
