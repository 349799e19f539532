//! Time of the last datagram from each zone.

use std::collections::BTreeMap;

use super::timing::CONTACT_MAX_AGE;
use crate::values::MonotonicTime;
use crate::values::ZoneId;

/// Time of the last datagram from each zone.
///
/// It distinguishes a network partition from the failure of a node: while no node of a zone can be
/// reached, its nodes may well be running.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    by_zone: BTreeMap<ZoneId, MonotonicTime>,
}

impl Contacts {
    /// Records a datagram from a node of `zone`.
    pub fn record_datagram(&mut self, zone: &ZoneId, now: MonotonicTime) {
        match self.by_zone.get_mut(zone) {
            Some(last) => *last = now,
            None => {
                self.by_zone.insert(zone.clone(), now);
            }
        }
    }

    /// Removes all contacts. Used after a pause of this process.
    pub fn clear(&mut self) {
        self.by_zone.clear();
    }

    /// Returns whether a datagram arrived from `zone` within [`CONTACT_MAX_AGE`].
    pub fn is_reachable(&self, zone: &ZoneId, now: MonotonicTime) -> bool {
        self.by_zone
            .get(zone)
            .is_some_and(|last| now.since(*last) <= CONTACT_MAX_AGE)
    }

    /// Returns whether a datagram arrived from any zone within [`CONTACT_MAX_AGE`].
    pub fn is_connected(&self, now: MonotonicTime) -> bool {
        self.by_zone.keys().any(|zone| self.is_reachable(zone, now))
    }
}
