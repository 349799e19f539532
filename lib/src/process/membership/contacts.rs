//! When this node last heard from each zone.

use std::collections::BTreeMap;

use super::timing::CONTACT_MAX_AGE;
use crate::values::MonotonicTime;
use crate::values::ZoneId;

/// When this node last heard from each zone.
///
/// It tells a cut from a death: a node of a zone from which nobody is heard may well be up.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    by_zone: BTreeMap<ZoneId, MonotonicTime>,
}

impl Contacts {
    /// Notes a datagram from a node of `zone`.
    pub fn record_datagram(&mut self, zone: &ZoneId, now: MonotonicTime) {
        match self.by_zone.get_mut(zone) {
            Some(last) => *last = now,
            None => {
                self.by_zone.insert(zone.clone(), now);
            }
        }
    }

    /// Forgets all contacts, as after a pause.
    pub fn clear(&mut self) {
        self.by_zone.clear();
    }

    /// Returns whether `zone` was heard from lately.
    pub fn is_reachable(&self, zone: &ZoneId, now: MonotonicTime) -> bool {
        self.by_zone
            .get(zone)
            .is_some_and(|last| now.since(*last) <= CONTACT_MAX_AGE)
    }

    /// Returns whether any zone was heard from lately.
    pub fn is_connected(&self, now: MonotonicTime) -> bool {
        self.by_zone.keys().any(|zone| self.is_reachable(zone, now))
    }
}
