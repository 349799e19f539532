//! The zones that the operators evacuated.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::values::MonotonicTime;
use crate::values::ZoneId;

/// An evacuated zone.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    since: MonotonicTime,
    /// Since when the store lacks it after a return to an earlier copy.
    missing_since: Option<MonotonicTime>,
}

/// An evacuation that began or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The zone was evacuated.
    Began(ZoneId),
    /// The evacuation was taken back, after a time.
    Ended(ZoneId, Duration),
}

/// The zones that the operators evacuated.
///
/// A store that went back to an earlier copy may lack an evacuation that it had acknowledged. It is
/// kept for [`Evacuations::MISSING_GRACE`], in which the operators write it again.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<ZoneId, Evacuation>,
}

impl Evacuations {
    /// Time for which an evacuation is kept that the store lacks since it went back.
    pub const MISSING_GRACE: Duration = Duration::from_secs(10);

    /// Applies the item of an evacuated zone. Returns the change, if there is one.
    pub fn apply_write(&mut self, zone: ZoneId, now: MonotonicTime) -> Option<EvacuationChange> {
        match self.zones.get_mut(&zone) {
            Some(known) => {
                known.missing_since = None;
                None
            }
            None => {
                let evacuation = Evacuation {
                    since: now,
                    missing_since: None,
                };
                self.zones.insert(zone.clone(), evacuation);
                Some(EvacuationChange::Began(zone))
            }
        }
    }

    /// Applies that the item of a zone is gone: by a removal, or because the store went back.
    pub fn apply_removal(
        &mut self,
        zone: &ZoneId,
        has_gone_back: bool,
        now: MonotonicTime,
    ) -> Option<EvacuationChange> {
        match (has_gone_back, self.zones.get_mut(zone)) {
            (true, Some(known)) => {
                known.missing_since.get_or_insert(now);
                None
            }
            (false, Some(known)) => {
                let age = now.since(known.since);
                self.zones.remove(zone);
                Some(EvacuationChange::Ended(zone.clone(), age))
            }
            (_, None) => None,
        }
    }

    /// Ends the evacuations that stayed missing, and returns them.
    pub fn end_missing(&mut self, now: MonotonicTime) -> Vec<EvacuationChange> {
        let ended = self.zones.extract_if(.., |_, evacuation| {
            let missing = evacuation.missing_since.map(|since| now.since(since));
            missing.is_some_and(|missing| missing >= Self::MISSING_GRACE)
        });
        let ended =
            ended.map(|(zone, known)| EvacuationChange::Ended(zone, now.since(known.since)));
        ended.collect()
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.zones.contains_key(zone)
    }
}
