//! Recent usage of each organisation, relative to its share.

use std::collections::HashMap;

use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::RatePerSecond;

#[derive(Clone, Copy, Debug)]
struct OrganisationUsage {
    starts_per_rate: f64,
    updated_at: MonotonicTime,
}

/// The number of requests that each organisation started recently, relative to its rate.
///
/// Requests without an organisation, on open routes, count as one organisation.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    organisations: HashMap<Option<OrganisationId>, OrganisationUsage>,
}

impl Usage {
    /// Half-life of a start, in microseconds.
    const HALF_LIFE_US: f64 = 1e6;

    /// Usage at or below which an organisation may be removed.
    const USAGE_MIN: f64 = 1e-6;

    /// Number of organisations above which those with negligible usage are removed.
    const PRUNE_AT: usize = 1024;

    /// Counts the start of a request.
    pub fn record_start(
        &mut self,
        organisation: &Option<OrganisationId>,
        rate: RatePerSecond,
        now: MonotonicTime,
    ) {
        let before = self.of(organisation, now);
        let used = OrganisationUsage {
            starts_per_rate: before + 1.0 / f64::from(rate.0.max(1)),
            updated_at: now,
        };
        self.organisations.insert(organisation.clone(), used);
        if self.organisations.len() > Self::PRUNE_AT {
            self.organisations
                .retain(|_, used| decayed(used, now) > Self::USAGE_MIN);
        }
    }

    /// Returns the starts of an organisation, each decayed by its age, divided by its rate.
    pub fn of(&self, organisation: &Option<OrganisationId>, now: MonotonicTime) -> f64 {
        self.organisations
            .get(organisation)
            .map_or(0.0, |used| decayed(used, now))
    }
}

fn decayed(used: &OrganisationUsage, now: MonotonicTime) -> f64 {
    let age_us = now.since(used.updated_at).as_micros() as f64;
    used.starts_per_rate * (-age_us / Usage::HALF_LIFE_US).exp2()
}
