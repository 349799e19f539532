//! Answers to table comparisons, sent a few datagrams at a time.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::values::NodeId;

/// Most answers under way. Further requests are dropped; their senders ask again.
const TRANSFERS_MAX: usize = 16;

/// Most datagrams of records that are sent at one tick.
pub const DATAGRAMS_PER_TICK: usize = 8;

/// Records to send to one node.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// The address of the node.
    pub to: SocketAddr,
    /// The nodes whose records are still to send.
    pub ids: Vec<NodeId>,
}

/// Answers under way, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    queue: VecDeque<Transfer>,
}

impl Transfers {
    /// Queues an answer, in place of one under way to the same address.
    pub fn push(&mut self, transfer: Transfer) {
        self.queue.retain(|queued| queued.to != transfer.to);
        let has_room = self.queue.len() < TRANSFERS_MAX;
        if has_room && !transfer.ids.is_empty() {
            self.queue.push_back(transfer);
        }
    }

    /// Takes the answer that waits longest.
    pub fn pop(&mut self) -> Option<Transfer> {
        self.queue.pop_front()
    }
}
