//! Records to send in anti-entropy syncs, a few datagrams at a time.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::values::NodeId;

/// Maximum number of transfers in progress. Further requests are dropped; their senders retry.
const TRANSFERS_MAX: usize = 16;

/// Maximum number of datagrams with synced records that are sent per tick.
pub const DATAGRAMS_PER_TICK: usize = 8;

/// A transfer of records to one node.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// The address of the node.
    pub to: SocketAddr,
    /// The nodes whose records remain to be sent.
    pub ids: Vec<NodeId>,
}

/// Transfers in progress, in the order in which they continue.
#[derive(Clone, Debug, Default)]
pub struct Transfers {
    queue: VecDeque<Transfer>,
}

impl Transfers {
    /// Queues a transfer. It replaces one in progress to the same address.
    pub fn push(&mut self, transfer: Transfer) {
        self.queue.retain(|queued| queued.to != transfer.to);
        let has_room = self.queue.len() < TRANSFERS_MAX;
        if has_room && !transfer.ids.is_empty() {
            self.queue.push_back(transfer);
        }
    }

    /// Removes and returns the transfer that has waited longest.
    pub fn pop(&mut self) -> Option<Transfer> {
        self.queue.pop_front()
    }
}
