//! The work of a request by its route.

use std::time::Duration;

use super::ServiceTime;
use super::rate_meter::RateMeter;
use crate::values::MonotonicTime;

/// A route of which the work is known, valid for the [`RouteWork`] that returned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkKind(usize);

#[derive(Clone, Debug)]
struct KindWork {
    route: String,
    held: ServiceTime,
    ended: RateMeter,
}

/// The time for which a request holds a slot, by route.
///
/// One mean over all routes fluctuates: a rare request with fourteen times the work of the others
/// counts as a server that became slower.
#[derive(Clone, Debug, Default)]
pub struct RouteWork {
    kinds: Vec<KindWork>,
}

impl RouteWork {
    /// Number of routes that are told apart. Requests of further ones count with the mean.
    const KINDS_MAX: usize = 64;

    /// Lowest weight of a route in the mean, in requests per second.
    const PER_S_MIN: f64 = 1e-3;

    /// Returns the kind of the requests of a route.
    pub fn kind_of(&mut self, route: &str) -> Option<WorkKind> {
        if let Some(at) = self.kinds.iter().position(|kind| kind.route == route) {
            return Some(WorkKind(at));
        }
        if self.kinds.len() >= Self::KINDS_MAX {
            return None;
        }
        self.kinds.push(KindWork {
            route: route.to_owned(),
            held: ServiceTime::default(),
            ended: RateMeter::default(),
        });
        Some(WorkKind(self.kinds.len() - 1))
    }

    /// Records how long a request held its slot.
    pub fn observe(&mut self, kind: WorkKind, held: Duration, now: MonotonicTime) {
        if let Some(known) = self.kinds.get_mut(kind.0) {
            known.held.observe(held);
            known.ended.count(now);
        }
    }

    /// Returns the mean time for which requests of a kind hold a slot, or for which all do if it is
    /// unknown; zero before the first request has ended.
    pub fn of(&self, kind: Option<WorkKind>, now: MonotonicTime) -> Duration {
        let known = kind.and_then(|kind| self.kinds.get(kind.0));
        match known.map(|known| known.held.mean()) {
            Some(mean) if !mean.is_zero() => mean,
            Some(_) | None => self.mean(now),
        }
    }

    /// Returns the mean over the requests that ended of late.
    pub fn mean(&self, now: MonotonicTime) -> Duration {
        let known = self.kinds.iter().filter(|kind| !kind.held.mean().is_zero());
        let (sum_us, per_s) = known.fold((0.0, 0.0), |(sum_us, sum_per_s), kind| {
            let per_s = kind.ended.per_s(now).max(Self::PER_S_MIN);
            let mean_us = kind.held.mean().as_micros() as f64;
            (sum_us + per_s * mean_us, sum_per_s + per_s)
        });
        match per_s > 0.0 {
            true => Duration::from_micros((sum_us / per_s) as u64),
            false => Duration::ZERO,
        }
    }
}
