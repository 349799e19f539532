//! The demand at a gate by importance, from which it derives its admission floor.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::AdmissionFloor;
use super::FloorNotice;
use crate::values::Importance;
use crate::values::MonotonicTime;
use crate::values::RequestId;

/// What the gate saw in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLoad {
    /// Requests that the server can finish in a second.
    pub capacity_per_s: f64,
    /// Whether requests wait for a slot at the end of the window.
    pub waiting: bool,
}

/// Measures the demand by importance and derives the admission floor.
///
/// Only requests above the highest recent floor are counted. Nothing on the way has refused those,
/// whether or not it follows the floor, and the hash spreads requests evenly, so that their number
/// over the fraction kept gives the whole demand.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    floor: AdmissionFloor,
    recent: VecDeque<AdmissionFloor>,
    window_started_at: MonotonicTime,
    counted: BTreeMap<Importance, u32>,
    demand_per_s: BTreeMap<Importance, f64>,
    shed: u32,
    pressed_until: MonotonicTime,
}

impl DemandMeter {
    /// Time between two computations of the floor.
    pub const WINDOW: Duration = Duration::from_millis(100);

    /// Number of windows after which all callers have heard of a floor.
    const RECENT_WINDOWS: usize = 5;

    /// Weight of one window in the demand.
    const WINDOW_WEIGHT: f64 = 0.3;

    /// Fraction kept below which the count says too little about the demand.
    const KEPT_MIN: f64 = 0.05;

    /// Factor by which a demand that is no longer seen falls in one window.
    const UNSEEN_DECAY: f64 = 0.95;

    /// Time for which shedding keeps the floor in use.
    const PRESSURE_MEMORY: Duration = Duration::from_millis(500);

    /// Part of the capacity that the floor lets through.
    const TARGET_LOAD: f64 = 1.0;

    /// Demand below which an importance is forgotten, in requests a second.
    const FORGOTTEN_PER_S: f64 = 0.01;

    /// Makes a meter that has seen no demand.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            floor: AdmissionFloor::OPEN,
            recent: VecDeque::new(),
            window_started_at: now,
            counted: BTreeMap::new(),
            demand_per_s: BTreeMap::new(),
            shed: 0,
            pressed_until: MonotonicTime::default(),
        }
    }

    /// Returns the present floor.
    pub fn floor(&self) -> AdmissionFloor {
        self.floor
    }

    /// Returns the present floor with its age.
    pub fn notice(&self, now: MonotonicTime) -> FloorNotice {
        FloorNotice {
            floor: self.floor,
            age_ms: now.since(self.window_started_at).as_millis() as u32,
        }
    }

    /// Counts a request that reached the gate.
    pub fn arrived(&mut self, importance: Importance, root: RequestId) {
        if self.highest_recent().admits(importance, root) {
            *self.counted.entry(importance).or_default() += 1;
        }
    }

    /// Counts a request above the floor that the gate could not serve.
    pub fn shed(&mut self) {
        self.shed += 1;
    }

    /// Returns whether a window has passed.
    pub fn window_is_over(&self, now: MonotonicTime) -> bool {
        now.since(self.window_started_at) >= Self::WINDOW
    }

    /// Ends a window and computes the floor anew.
    pub fn close_window(&mut self, load: WindowLoad, now: MonotonicTime) {
        let elapsed_s = now.since(self.window_started_at).as_secs_f64();
        self.window_started_at = now;
        self.learn_demand(elapsed_s);
        if std::mem::take(&mut self.shed) > 0 {
            self.pressed_until = now.after(Self::PRESSURE_MEMORY);
        }
        let pressed = load.waiting || now < self.pressed_until;
        self.floor = match pressed {
            true => self.floor_for(load.capacity_per_s * Self::TARGET_LOAD),
            false => AdmissionFloor::OPEN,
        };
        self.recent.push_back(self.floor);
        if self.recent.len() > Self::RECENT_WINDOWS {
            self.recent.pop_front();
        }
    }

    fn highest_recent(&self) -> AdmissionFloor {
        self.recent.iter().copied().max().unwrap_or_default()
    }

    fn learn_demand(&mut self, elapsed_s: f64) {
        let reference = self.highest_recent();
        let counted = std::mem::take(&mut self.counted);
        for importance in counted.keys() {
            self.demand_per_s.entry(*importance).or_default();
        }
        for (importance, demand_per_s) in &mut self.demand_per_s {
            let kept = reference.kept_fraction(*importance);
            if kept < Self::KEPT_MIN {
                *demand_per_s *= Self::UNSEEN_DECAY;
                continue;
            }
            let count = counted.get(importance).copied().unwrap_or_default();
            let seen_per_s = f64::from(count) / kept / elapsed_s;
            *demand_per_s += Self::WINDOW_WEIGHT * (seen_per_s - *demand_per_s);
        }
        self.demand_per_s
            .retain(|_, demand_per_s| *demand_per_s > Self::FORGOTTEN_PER_S);
    }

    /// Returns the lowest floor above which the demand fits into `room_per_s`.
    fn floor_for(&self, room_per_s: f64) -> AdmissionFloor {
        let mut left_per_s = room_per_s;
        for (importance, demand_per_s) in self.demand_per_s.iter().rev() {
            if *demand_per_s > left_per_s {
                return AdmissionFloor::keeping(*importance, left_per_s / demand_per_s);
            }
            left_per_s -= demand_per_s;
        }
        AdmissionFloor::OPEN
    }
}
