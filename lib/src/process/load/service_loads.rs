//! The loads of the servers of one service, compared with each other.

use super::NodeLoad;

/// What the known loads of a service's servers say about each other.
///
/// The measure is how busy a server is for its slots: unlike a latency or a rate, it does not depend on
/// which requests the server happens to run.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoads {
    /// Mean of [`NodeLoad::occupancy`].
    occupancy: f64,
    /// Mean time for which a request holds a slot, in microseconds.
    held_us: f64,
    /// Mean of [`NodeLoad::capacity`] for each slot.
    capacity_per_slot: f64,
    /// Mean rate at which a server finishes requests, in requests per second.
    finished_per_s: f64,
    slots: f64,
}

impl ServiceLoads {
    /// Time that a request is assumed to take while no server has finished one, in microseconds.
    const HELD_DEFAULT_US: f64 = 1_000.0;

    /// Factor above the mean, and number of requests beyond that, from which a server is busier than
    /// others.
    const BUSIER_FACTOR: f64 = 1.25;
    const BUSIER_REQUESTS: u32 = 2;

    /// Cost of a server of which all runs fail, in multiples of the mean time.
    const FAILED_COST: f64 = 8.0;

    /// Compares loads. Servers that named a rate count only for what they finish.
    pub fn new<'a>(loads: impl IntoIterator<Item = &'a NodeLoad>) -> Self {
        let (mut count, mut held_count) = (0.0, 0.0);
        let mut sums = Self {
            occupancy: 0.0,
            held_us: 0.0,
            capacity_per_slot: 0.0,
            finished_per_s: 0.0,
            slots: 0.0,
        };
        for load in loads {
            if load.takes_per_s.is_some() {
                continue;
            }
            count += 1.0;
            sums.occupancy += load.occupancy();
            sums.slots += f64::from(load.slots);
            if let Some(capacity) = load.capacity() {
                held_count += 1.0;
                sums.held_us += f64::from(load.held_us);
                sums.capacity_per_slot += capacity / f64::from(load.slots.max(1));
                sums.finished_per_s += f64::from(load.busy) * 1e6 / f64::from(load.held_us);
            }
        }
        let mean = |sum: f64, count: f64, default: f64| match count > 0.0 {
            true => sum / count,
            false => default,
        };
        Self {
            occupancy: mean(sums.occupancy, count, 0.0),
            held_us: mean(sums.held_us, held_count, Self::HELD_DEFAULT_US),
            capacity_per_slot: mean(sums.capacity_per_slot, held_count, 1.0),
            finished_per_s: mean(sums.finished_per_s, held_count, f64::MAX),
            slots: mean(sums.slots, count, 1.0),
        }
    }

    /// Returns the mean time for which a request holds a slot, in microseconds.
    pub fn held_us(&self) -> f64 {
        self.held_us
    }

    /// Returns the odds with which a server is drawn, in proportion to what it can do. One of which
    /// nothing is known counts as one like the others.
    pub fn weight(&self, load: Option<&NodeLoad>, announced_slots: u32) -> f64 {
        let usual = |slots: u32| self.capacity_per_slot * f64::from(slots.max(1));
        match load {
            None => usual(announced_slots),
            Some(NodeLoad {
                takes_per_s: Some(takes_per_s),
                slots,
                ..
            }) => usual(*slots) * (f64::from(*takes_per_s) / self.finished_per_s).clamp(0.01, 1.0),
            Some(load) => load.capacity().unwrap_or(usual(load.slots)),
        }
    }

    /// Returns the expected time of one more request in microseconds; `own_in_flight` requests of this
    /// node run there.
    ///
    /// The older a report, the less it says: many nodes know it, and each sends by it. Its server is
    /// then taken as one like the others.
    pub fn cost_us(&self, load: Option<&NodeLoad>, own_in_flight: u32) -> f64 {
        let usual = (self.occupancy * self.slots + 1.0) / self.slots;
        let Some(load) = load else {
            return self.held_us * (1.0 + f64::from(own_in_flight) / (usual * self.slots));
        };
        let slots = f64::from(load.slots.max(1));
        let known = load.occupancy() + 1.0 / slots;
        let half_life_us = f64::from(load.held_us).clamp(20_000.0, 1e6);
        let freshness = (-(load.age.as_micros() as f64) / half_life_us).exp2();
        let expected = usual + (known - usual) * freshness;
        let least = (f64::from(own_in_flight) + 1.0) / slots;
        let failed = f64::from(load.failed_percent) / 100.0;
        self.held_us * (expected.max(least) / usual + Self::FAILED_COST * failed)
    }

    /// Returns whether the server of this node has so much more to do than the others that a request
    /// is better turned away.
    pub fn is_busier(&self, own: &NodeLoad) -> bool {
        let usual = self.usual_requests(own);
        f64::from(own.busy) > usual * Self::BUSIER_FACTOR + f64::from(Self::BUSIER_REQUESTS)
    }

    /// Returns whether the server of this node has too little to do to be busier than any others.
    pub fn is_surely_not_busier(own: &NodeLoad) -> bool {
        own.busy <= Self::BUSIER_REQUESTS
    }

    /// Returns the load of the busiest of `loads` over their mean; `None` if all are idle.
    pub fn spread<'a>(&self, loads: impl IntoIterator<Item = &'a NodeLoad>) -> Option<f64> {
        let busiest = loads
            .into_iter()
            .map(NodeLoad::occupancy)
            .fold(0.0, f64::max);
        (self.occupancy > 0.0).then(|| busiest / self.occupancy)
    }

    /// Returns how many requests would run or wait at a server that is as busy as the mean.
    pub fn usual_requests(&self, own: &NodeLoad) -> f64 {
        self.occupancy * f64::from(own.slots)
    }
}
