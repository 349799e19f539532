//! Observations of one node that this node calls.

use std::time::Duration;

use crate::values::Incarnation;
use crate::values::MonotonicTime;
use crate::values::ServiceId;

plain_value! {
    /// How a call to another node ended, as observed by the caller.
    #[serde(rename_all = "kebab-case")]
    pub enum CallOutcome {
        /// A complete response arrived.
        Answered,
        /// The node refused the call, for example because it is overloaded or stopping.
        Refused,
        /// The connection failed, no valid response arrived, or the backend server itself failed.
        Failed,
        /// The call ended without an observation of the node, for example because the caller
        /// disconnected before the response.
        Cancelled,
    }
}

/// A value that decays with a given half-life.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    value: f64,
    updated_at: MonotonicTime,
}

impl Decaying {
    fn at(&self, now: MonotonicTime, half_life: Duration) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.value * (-age / half_life.as_secs_f64()).exp2()
    }

    fn add(&mut self, amount: f64, now: MonotonicTime, half_life: Duration) {
        self.value = self.at(now, half_life) + amount;
        self.updated_at = now;
    }
}

/// This node's observations of one node that it calls.
#[derive(Clone, Debug)]
pub struct Destination {
    service: ServiceId,
    incarnation: Incarnation,
    first_seen_at: MonotonicTime,
    in_flight: u32,
    latency_us: Option<f64>,
    latency_at: MonotonicTime,
    answered: Decaying,
    refused: Decaying,
    failed: Decaying,
    ejected_until: MonotonicTime,
    ejections: u32,
}

impl Destination {
    /// Weight of one latency sample.
    const SAMPLE_WEIGHT: f64 = 0.1;

    /// Half-life of the counts of answered, refused and failed calls.
    const HALF_LIFE: Duration = Duration::from_secs(1);

    /// Half-life of a latency that is not observed again.
    const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);

    /// Number of recent answered and failed calls, decayed by their age. A node with less than nine
    /// tenths of this number is not ejected.
    const EJECT_MIN_CALLS: f64 = 3.5;

    /// Fraction of the recent calls that must have failed for a node to be ejected.
    const EJECT_FAILED_FRACTION: f64 = 0.5;

    /// Duration of the first ejection; it doubles with each further one.
    const EJECTION: Duration = Duration::from_secs(1);

    /// Maximum number of times that the duration of an ejection doubles.
    const EJECTION_DOUBLINGS_MAX: u32 = 5;

    /// Time over which a new node ramps up to its full share of the calls.
    const SLOW_START: Duration = Duration::from_secs(5);

    /// Fraction of its full share that a node gets when it is new.
    const SLOW_START_MIN: f64 = 0.1;

    /// Cost of a node that refuses every call, in multiples of the service's mean latency.
    const REFUSED_COST: f64 = 8.0;

    /// Creates the entry of a newly discovered node.
    pub fn new(service: ServiceId, incarnation: Incarnation, now: MonotonicTime) -> Self {
        Self {
            service,
            incarnation,
            first_seen_at: now,
            in_flight: 0,
            latency_us: None,
            latency_at: now,
            answered: Decaying::default(),
            refused: Decaying::default(),
            failed: Decaying::default(),
            ejected_until: MonotonicTime::default(),
            ejections: 0,
        }
    }

    /// Returns whether the entry is for this service and this incarnation of the node.
    pub fn matches(&self, service: &ServiceId, incarnation: Incarnation) -> bool {
        self.service == *service && self.incarnation == incarnation
    }

    /// Counts a call that starts.
    pub fn record_start(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a call, and ejects the node if its calls fail too often.
    pub fn record_end(&mut self, outcome: CallOutcome, latency: Duration, now: MonotonicTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            CallOutcome::Answered => {
                self.answered.add(1.0, now, Self::HALF_LIFE);
                self.observe(latency, now);
                self.reset_ejections(now);
            }
            CallOutcome::Refused => self.refused.add(1.0, now, Self::HALF_LIFE),
            CallOutcome::Failed => {
                self.failed.add(1.0, now, Self::HALF_LIFE);
                self.eject_if_failing(now);
            }
            CallOutcome::Cancelled => {}
        }
    }

    fn reset_ejections(&mut self, now: MonotonicTime) {
        if now.since(self.ejected_until) >= Self::EJECTION {
            self.ejections = 0;
        }
    }

    fn observe(&mut self, latency: Duration, now: MonotonicTime) {
        let sample_us = latency.as_micros() as f64;
        let latency_us = self.latency_us.unwrap_or(sample_us);
        self.latency_us = Some(latency_us + Self::SAMPLE_WEIGHT * (sample_us - latency_us));
        self.latency_at = now;
    }

    fn eject_if_failing(&mut self, now: MonotonicTime) {
        let failed = self.failed.at(now, Self::HALF_LIFE);
        let calls = failed + self.answered.at(now, Self::HALF_LIFE);
        let fails =
            calls >= Self::EJECT_MIN_CALLS * 0.9 && failed >= calls * Self::EJECT_FAILED_FRACTION;
        if fails && !self.is_ejected(now) {
            let doublings = self.ejections.min(Self::EJECTION_DOUBLINGS_MAX);
            self.ejected_until = now.after(Self::EJECTION * (1 << doublings));
            self.ejections += 1;
        }
    }

    /// Returns whether the node gets no calls because its recent calls failed.
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        now < self.ejected_until
    }

    /// Returns the time at which the node's last ejection ends.
    pub fn ejected_until(&self) -> MonotonicTime {
        self.ejected_until
    }

    /// Returns the fraction of its full share that the node gets in its slow start, from 0 to 1.
    pub fn start_weight(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.first_seen_at).as_secs_f64() / Self::SLOW_START.as_secs_f64();
        (Self::SLOW_START_MIN + (1.0 - Self::SLOW_START_MIN) * age).min(1.0)
    }

    /// Ends the slow start, for a node that was already running when this one started.
    pub fn skip_slow_start(&mut self) {
        self.first_seen_at = MonotonicTime::default();
    }

    /// Returns the observed latency, which decays while there are no new samples.
    pub fn latency_us(&self, now: MonotonicTime) -> Option<f64> {
        let age = now.since(self.latency_at).as_secs_f64();
        let decay = (-age / Self::LATENCY_HALF_LIFE.as_secs_f64()).exp2();
        self.latency_us.map(|latency_us| latency_us * decay)
    }

    /// Returns the expected cost of one more call in microseconds.
    ///
    /// A node without latency samples counts as fast, so that it is tried. `mean_latency_us` is the
    /// mean latency of the service, by which refusals and failures are weighted.
    pub fn cost_us(&self, slots: u32, mean_latency_us: f64, now: MonotonicTime) -> f64 {
        let latency_us = self.latency_us(now).unwrap_or_default();
        let load = f64::from(self.in_flight) / f64::from(slots.max(1));
        latency_us * (1.0 + load) + self.bad_cost_us(mean_latency_us, now)
    }

    /// Returns the part of the cost of one more call that is due to refusals and failures.
    pub fn bad_cost_us(&self, mean_latency_us: f64, now: MonotonicTime) -> f64 {
        let refused = self.refused.at(now, Self::HALF_LIFE);
        let failed = self.failed.at(now, Self::HALF_LIFE);
        let calls = refused + failed + self.answered.at(now, Self::HALF_LIFE);
        let bad_fraction = (refused + failed) / (calls + 1.0);
        mean_latency_us * Self::REFUSED_COST * bad_fraction
    }

    /// Returns how many calls have started and not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
