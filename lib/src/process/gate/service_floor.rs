//! The admission floor of a service, from the loads of its backend servers.

use std::collections::BTreeSet;
use std::collections::HashMap;

use super::AdmissionFloor;
use super::FloorNotice;
use crate::process::load::LoadReport;
use crate::values::Importance;
use crate::values::OrganisationId;

/// The load of one backend server, as far as it matters to the floor of its service.
#[derive(Clone, Copy, Debug)]
pub struct ServerLoad<'a> {
    /// Requests per second that the server can finish, in any unit that the servers of the service
    /// share.
    pub capacity: f64,
    /// Fraction of its slots that is free.
    pub free_fraction: f64,
    /// Its floor with its age, unless it is open.
    pub floor: Option<&'a FloorNotice>,
}

impl ServerLoad<'_> {
    /// Time for which a request holds a slot of a server that has not run any, in microseconds.
    const HELD_DEFAULT_US: u32 = 100_000;
}

impl<'a> From<&'a LoadReport> for ServerLoad<'a> {
    fn from(report: &'a LoadReport) -> Self {
        let held_us = match report.held_us {
            0 => Self::HELD_DEFAULT_US,
            held_us => held_us,
        };
        let per_s = f64::from(report.slots) * 1e6 / f64::from(held_us);
        let takes_per_s = report.takes_per_s.map_or(f64::INFINITY, f64::from);
        let free = report.slots.saturating_sub(report.in_flight);
        Self {
            capacity: per_s.min(takes_per_s),
            free_fraction: f64::from(free) / f64::from(report.slots.max(1)),
            floor: report.floor.as_ref(),
        }
    }
}

/// The admission floor of a service.
///
/// Load is spread evenly over the servers of a service, so the floor of each server is an estimate
/// of one value, from the small part of the requests that it sees. The floor of the service is their
/// mean, weighted by capacity. Free slots at a server without a floor count against it, so that one
/// overloaded server beside idle ones is left to routing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceFloor {
    /// The floor for all but the named organisations.
    pub floor: AdmissionFloor,
    /// Mean time since the servers' floors were computed, in milliseconds.
    pub age_ms: u32,
    named: HashMap<OrganisationId, AdmissionFloor>,
}

impl ServiceFloor {
    /// Returns the floor of the service whose known servers have these loads, or `None` if none is
    /// known.
    pub fn of<'a>(servers: impl Iterator<Item = ServerLoad<'a>> + Clone) -> Option<Self> {
        let capacity: f64 = servers.clone().map(|server| server.capacity).sum();
        if capacity <= 0.0 {
            return None;
        }
        let floors = || servers.clone().filter_map(|server| server.floor);
        let importances = floors().flat_map(|notice| {
            let named = notice.named.iter().map(|named| named.floor.importance);
            named.chain([notice.floor.importance])
        });
        let scale = Scale::new(importances);
        let mut sum = 0.0;
        let (mut sum_age_ms, mut closed) = (0.0, 0.0);
        let mut above: HashMap<&OrganisationId, f64> = HashMap::new();
        for server in servers.clone() {
            let Some(notice) = server.floor else {
                sum -= server.capacity * server.free_fraction.clamp(0.0, 1.0);
                continue;
            };
            let general = scale.position(notice.floor);
            sum += server.capacity * general;
            sum_age_ms += server.capacity * f64::from(notice.age_ms);
            closed += server.capacity;
            for named in &notice.named {
                let excess = scale.position(named.floor.max(notice.floor)) - general;
                *above.entry(&named.organisation).or_default() += server.capacity * excess;
            }
        }
        let named = above.into_iter().map(|(organisation, above)| {
            let floor = scale.floor((sum + above) / capacity);
            (organisation.clone(), floor)
        });
        Some(Self {
            floor: scale.floor(sum / capacity),
            age_ms: (sum_age_ms / f64::max(closed, f64::MIN_POSITIVE)) as u32,
            named: named.collect(),
        })
    }

    /// Returns the floor for an organisation, or for requests without one.
    pub fn floor_for(&self, organisation: Option<&OrganisationId>) -> AdmissionFloor {
        organisation
            .and_then(|organisation| self.named.get(organisation))
            .copied()
            .unwrap_or(self.floor)
    }

    /// Returns the floor as a notice, with the highest of the named floors.
    pub fn notice(&self) -> FloorNotice {
        let named = self.named.iter().map(|(organisation, floor)| {
            let (organisation, floor) = (organisation.clone(), *floor);
            super::OrganisationFloor {
                organisation,
                floor,
            }
        });
        let notice = FloorNotice {
            named: named.collect(),
            ..FloorNotice::new(self.floor, self.age_ms)
        };
        notice.keep_highest_names()
    }
}

/// Places floors on a line on which means can be taken: the rank of the importance among those that
/// occur, and the fraction refused at it.
struct Scale(Vec<Importance>);

impl Scale {
    fn new(importances: impl Iterator<Item = Importance>) -> Self {
        let importances: BTreeSet<_> = importances.collect();
        Self(importances.into_iter().collect())
    }

    fn position(&self, floor: AdmissionFloor) -> f64 {
        let rank = self.0.binary_search(&floor.importance).unwrap_or_default();
        rank as f64 + f64::from(floor.cut) / AdmissionFloor::PARTS
    }

    fn floor(&self, position: f64) -> AdmissionFloor {
        let last = self.0.len().saturating_sub(1);
        let rank = (position.max(0.0) as usize).min(last);
        match self.0.get(rank) {
            Some(importance) if position > 0.0 => {
                AdmissionFloor::keeping(*importance, 1.0 - (position - rank as f64))
            }
            Some(_) | None => AdmissionFloor::OPEN,
        }
    }
}
