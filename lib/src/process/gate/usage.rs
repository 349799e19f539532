//! How much of its share each organisation used of late.

use std::collections::HashMap;

use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::RatePerSecond;

#[derive(Clone, Copy, Debug)]
struct Used {
    starts_per_rate: f64,
    updated_at: MonotonicTime,
}

/// How many requests each organisation started of late, relative to its rate.
///
/// Requests without an organisation, on routes open to all, count as one organisation.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    organisations: HashMap<Option<OrganisationId>, Used>,
}

impl Usage {
    /// Time after which a start counts half.
    const HALF_LIFE_US: f64 = 1e6;

    /// Usage below which an organisation is forgotten.
    const FORGOTTEN: f64 = 1e-6;

    /// Number of organisations above which forgotten ones are removed.
    const PRUNE_AT: usize = 1024;

    /// Counts the start of a request.
    pub fn record_start(
        &mut self,
        organisation: &Option<OrganisationId>,
        rate: RatePerSecond,
        now: MonotonicTime,
    ) {
        let before = self.of(organisation, now);
        let used = Used {
            starts_per_rate: before + 1.0 / f64::from(rate.0.max(1)),
            updated_at: now,
        };
        self.organisations.insert(organisation.clone(), used);
        if self.organisations.len() > Self::PRUNE_AT {
            self.organisations
                .retain(|_, used| decayed(used, now) > Self::FORGOTTEN);
        }
    }

    /// Returns the starts of an organisation, each decayed by its age, divided by its rate.
    pub fn of(&self, organisation: &Option<OrganisationId>, now: MonotonicTime) -> f64 {
        self.organisations
            .get(organisation)
            .map_or(0.0, |used| decayed(used, now))
    }
}

fn decayed(used: &Used, now: MonotonicTime) -> f64 {
    let age_us = now.since(used.updated_at).as_micros() as f64;
    used.starts_per_rate * (-age_us / Usage::HALF_LIFE_US).exp2()
}
