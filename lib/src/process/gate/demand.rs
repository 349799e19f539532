//! The demand at a gate, and the admission floor derived from it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::AdmissionFloor;
use super::AdmissionRequest;
use super::FloorNotice;
use super::OrganisationDemand;
use super::OrganisationFloor;
use super::fair_level;
use crate::values::Importance;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;

/// The load of a gate in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLoad {
    /// Requests per second that the server can finish.
    pub capacity_per_s: f64,
    /// Whether requests wait for a slot at the end of the window.
    pub waiting: bool,
}

/// The demand of one organisation at one importance.
#[derive(Clone, Copy, Debug)]
struct Demand {
    counted: f64,
    per_s: f64,
    rate_per_s: f64,
}

/// The demand at one importance.
#[derive(Clone, Debug, Default)]
struct ImportanceLevel {
    per_s: f64,
    organisations: BTreeMap<Option<OrganisationId>, Demand>,
}

/// Measures the demand by importance and organisation and derives the admission floor.
///
/// Counts only requests above the highest recent floor. No upstream node has refused any of those,
/// whether or not it applies the floor, and the hash spreads requests evenly. Their number divided
/// by the fraction kept is therefore the whole demand.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    notice: FloorNotice,
    recent: VecDeque<FloorNotice>,
    window_started_at: MonotonicTime,
    levels: BTreeMap<Importance, ImportanceLevel>,
    shed: u32,
    overloaded_until: MonotonicTime,
    /// Whether demand is counted in time of slots.
    is_of_work: bool,
    /// The floor of the service, which upstream nodes apply.
    upstream: FloorNotice,
}

impl DemandMeter {
    /// Interval between two computations of the floor.
    pub const WINDOW: Duration = Duration::from_millis(100);

    /// Number of windows after which all callers have received a floor.
    const RECENT_WINDOWS: usize = 5;

    /// Weight of one window in the moving average of the demand at an importance.
    const LEVEL_WEIGHT: f64 = 0.3;

    /// Weight of one window in the moving average of an organisation's demand, which fluctuates
    /// more.
    const ORGANISATION_WEIGHT: f64 = 0.1;

    /// Fraction kept below which too few requests are counted to estimate the demand.
    const KEPT_MIN: f64 = 0.05;

    /// Factor applied per window to a demand that can no longer be observed.
    const UNSEEN_DECAY: f64 = 0.95;

    /// Time for which the gate counts as overloaded after it shed a request.
    const OVERLOAD_HOLD: Duration = Duration::from_millis(500);

    /// Ratio of the demand that the floor admits to the capacity.
    const TARGET_LOAD: f64 = 1.1;

    /// The same for a meter of work, where requests that wait lower the capacity.
    const TARGET_WORK: f64 = 1.1;

    /// Units of demand in a second of slot time.
    pub const UNITS_PER_S: f64 = 100.0;

    /// As [`Self::RECENT_WINDOWS`], for a meter of work: calls arrive as long after their request
    /// was admitted as the services before them take.
    const RECENT_WINDOWS_OF_WORK: usize = 10;

    /// An organisation that gets less than this fraction of its demand is named.
    const NAMED_BELOW: f64 = 0.9;

    /// Demand below which an organisation is removed, in requests per second.
    const DEMAND_MIN_PER_S: f64 = 0.01;

    /// Creates a meter without any demand.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            notice: FloorNotice::default(),
            recent: VecDeque::new(),
            window_started_at: now,
            levels: BTreeMap::new(),
            shed: 0,
            overloaded_until: MonotonicTime::default(),
            is_of_work: false,
            upstream: FloorNotice::default(),
        }
    }

    /// Creates a meter of the time for which requests hold slots, in [`Self::UNITS_PER_S`].
    ///
    /// Its floor stays, at the height that the demand requires, until the demand fits into the
    /// capacity: a few windows without a queue do not let everything in at once.
    pub fn of_work(now: MonotonicTime) -> Self {
        Self {
            is_of_work: true,
            ..Self::new(now)
        }
    }

    /// Sets the floor that upstream nodes apply beside that of this gate.
    pub fn set_upstream(&mut self, floor: FloorNotice) {
        self.upstream = floor;
    }

    /// Returns the current floor, with its age.
    pub fn notice(&self, now: MonotonicTime) -> FloorNotice {
        FloorNotice {
            age_ms: now.since(self.window_started_at).as_millis() as u32,
            ..self.notice.clone()
        }
    }

    /// Returns whether a request passes the current floor.
    pub fn admits(&self, request: &AdmissionRequest) -> bool {
        let organisation = request.organisation.as_ref();
        self.notice
            .admits(request.importance, organisation, request.root)
    }

    /// Returns the fraction of the requests of this importance and organisation that pass the
    /// current floor.
    pub fn kept_fraction(&self, request: &AdmissionRequest) -> f64 {
        let floor = self.notice.floor_for(request.organisation.as_ref());
        floor.kept_fraction(request.importance)
    }

    /// Counts a request that reached the gate, if it is above the highest recent floor.
    pub fn record_arrival(&mut self, request: &AdmissionRequest) {
        self.record_demand(request, 1.0);
    }

    /// Counts a request as an amount of demand, as [`DemandMeter::record_arrival`].
    pub fn record_demand(&mut self, request: &AdmissionRequest, amount: f64) {
        let reference = highest_recent_floor(&self.recent, request.organisation.as_ref());
        if !reference.admits(request.importance, request.root) {
            return;
        }
        let level = self.levels.entry(request.importance).or_default();
        let demand = level
            .organisations
            .entry(request.organisation.clone())
            .or_insert(Demand {
                counted: 0.0,
                per_s: 0.0,
                rate_per_s: 1.0,
            });
        demand.counted += amount;
        demand.rate_per_s = f64::from(request.rate.0.max(1));
    }

    /// Counts a request above the floor that the gate could not serve.
    pub fn record_shed(&mut self) {
        self.shed += 1;
    }

    /// Returns whether the current window has lasted at least [`Self::WINDOW`].
    pub fn window_is_over(&self, now: MonotonicTime) -> bool {
        now.since(self.window_started_at) >= Self::WINDOW
    }

    /// Ends the window and recomputes the floor.
    pub fn close_window(&mut self, load: WindowLoad, now: MonotonicTime) {
        let elapsed_s = now.since(self.window_started_at).as_secs_f64();
        self.window_started_at = now;
        for (importance, level) in &mut self.levels {
            level.update(*importance, &self.recent, elapsed_s);
        }
        self.levels
            .retain(|_, level| !level.organisations.is_empty());
        if std::mem::take(&mut self.shed) > 0 {
            self.overloaded_until = now.after(Self::OVERLOAD_HOLD);
        }
        let stays = self.is_of_work && !self.notice.is_open();
        let overloaded = load.waiting || now < self.overloaded_until || stays;
        let (target, recent_max) = match self.is_of_work {
            true => (Self::TARGET_WORK, Self::RECENT_WINDOWS_OF_WORK),
            false => (Self::TARGET_LOAD, Self::RECENT_WINDOWS),
        };
        self.notice = match overloaded {
            true => self.notice_for(load.capacity_per_s * target),
            false => FloorNotice::default(),
        };
        let applied = self.notice.clone().merge(self.upstream.clone());
        self.recent.push_back(applied);
        if self.recent.len() > recent_max {
            self.recent.pop_front();
        }
    }

    /// Returns the lowest floor above which the demand fits into `capacity_per_s`.
    fn notice_for(&self, capacity_per_s: f64) -> FloorNotice {
        let mut left_per_s = capacity_per_s;
        for (importance, level) in self.levels.iter().rev() {
            if level.per_s > left_per_s {
                return level.cut(*importance, left_per_s.max(0.0));
            }
            left_per_s -= level.per_s;
        }
        FloorNotice::default()
    }
}

impl ImportanceLevel {
    fn update(&mut self, importance: Importance, recent: &VecDeque<FloorNotice>, elapsed_s: f64) {
        let mut seen_per_s = 0.0;
        for (organisation, demand) in &mut self.organisations {
            let reference = highest_recent_floor(recent, organisation.as_ref());
            let kept = reference.kept_fraction(importance);
            let count = std::mem::take(&mut demand.counted);
            match kept < DemandMeter::KEPT_MIN {
                true => {
                    demand.per_s *= DemandMeter::UNSEEN_DECAY;
                    seen_per_s += demand.per_s;
                }
                false => {
                    let now_per_s = count / kept / elapsed_s;
                    demand.per_s += DemandMeter::ORGANISATION_WEIGHT * (now_per_s - demand.per_s);
                    seen_per_s += now_per_s;
                }
            }
        }
        self.per_s += DemandMeter::LEVEL_WEIGHT * (seen_per_s - self.per_s);
        self.organisations
            .retain(|_, demand| demand.per_s > DemandMeter::DEMAND_MIN_PER_S);
    }

    /// Returns the floor that keeps `capacity_per_s` of the demand, divided fairly.
    fn cut(&self, importance: Importance, capacity_per_s: f64) -> FloorNotice {
        let mut demands = self.demands();
        let level = fair_level(&mut demands, capacity_per_s);
        let kept = |demand: &OrganisationDemand| demand.granted_per_s(level) / demand.demand_per_s;
        demands.sort_by(|a, b| kept(a).total_cmp(&kept(b)));
        let mut notice = FloorNotice::default();
        let mut demand_per_s = 0.0;
        let mut granted_per_s = 0.0;
        for demand in &demands {
            let is_over = kept(demand) < DemandMeter::NAMED_BELOW;
            match &demand.organisation {
                Some(organisation) if is_over && notice.named.len() < FloorNotice::NAMED_MAX => {
                    notice.named.push(OrganisationFloor {
                        organisation: organisation.clone(),
                        floor: AdmissionFloor::keeping(importance, kept(demand)),
                    });
                }
                _ => {
                    demand_per_s += demand.demand_per_s;
                    granted_per_s += demand.granted_per_s(level);
                }
            }
        }
        let kept_of_others = match demand_per_s > 0.0 {
            true => granted_per_s / demand_per_s,
            false => 1.0,
        };
        notice.floor = AdmissionFloor::keeping(importance, kept_of_others);
        notice.keep_highest_names()
    }

    /// Returns the demands of the organisations, scaled to the current total demand.
    fn demands(&self) -> Vec<OrganisationDemand> {
        let sum_per_s: f64 = self.organisations.values().map(|demand| demand.per_s).sum();
        let scale = self.per_s / sum_per_s.max(f64::EPSILON);
        self.organisations
            .iter()
            .map(|(organisation, demand)| OrganisationDemand {
                organisation: organisation.clone(),
                demand_per_s: demand.per_s * scale,
                rate_per_s: demand.rate_per_s,
            })
            .collect()
    }
}

fn highest_recent_floor(
    recent: &VecDeque<FloorNotice>,
    organisation: Option<&OrganisationId>,
) -> AdmissionFloor {
    recent
        .iter()
        .map(|notice| notice.floor_for(organisation))
        .max()
        .unwrap_or_default()
}
