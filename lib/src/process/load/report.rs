//! The load of one backend server as its node knows it.

use std::time::Duration;

use super::NodeKey;
use crate::process::gate::FloorNotice;

plain_data! {
    /// The load of one backend server with its age, as nodes pass it on.
    pub struct LoadReport {
        /// The node of the server.
        pub node: NodeKey,
        /// Time since the node computed the report, in milliseconds.
        pub age_ms: u32,
        /// How many requests the server may run at the same time.
        pub slots: u32,
        /// How many requests hold a slot.
        pub in_flight: u32,
        /// How many requests wait for a slot.
        pub waiting: u32,
        /// Mean time for which a request holds a slot, in microseconds; zero before the first one.
        pub held_us: u32,
        /// Part of the recent runs that failed, in percent.
        pub failed_percent: u32,
        /// Requests per second that the server takes at present, if it named a rate.
        pub takes_per_s: Option<u32>,
        /// The admission floor of the node's gate, unless it is open.
        pub floor: Option<FloorNotice>,
    }
}

impl LoadReport {
    /// Returns the numbers of the report, `age` after it was computed.
    pub fn load(&self, age: Duration) -> NodeLoad {
        NodeLoad {
            age,
            slots: self.slots,
            busy: self.in_flight.saturating_add(self.waiting),
            held_us: self.held_us,
            failed_percent: self.failed_percent,
            takes_per_s: self.takes_per_s,
        }
    }
}

/// The load of one backend server as another node knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeLoad {
    /// Time since the server's node computed it.
    pub age: Duration,
    /// How many requests the server may run at the same time.
    pub slots: u32,
    /// How many requests ran or waited at the server's node, and how many this node has sent there
    /// since.
    pub busy: u32,
    /// Mean time for which a request holds a slot, in microseconds; zero if unknown.
    pub held_us: u32,
    /// Part of the recent runs that failed, in percent.
    pub failed_percent: u32,
    /// Requests per second that the server takes at present, if it named a rate.
    pub takes_per_s: Option<u32>,
}

impl NodeLoad {
    /// Returns how many requests run or wait for each slot.
    pub fn occupancy(&self) -> f64 {
        f64::from(self.busy) / f64::from(self.slots.max(1))
    }

    /// Returns the requests per second that all slots finish, if the time for which one is held is known.
    pub fn capacity(&self) -> Option<f64> {
        let is_known = self.held_us > 0;
        is_known.then(|| f64::from(self.slots) * 1e6 / f64::from(self.held_us))
    }
}
