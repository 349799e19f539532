//! The callers that a node expects back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::ReturnKey;
use super::ReturnSchedule;
use crate::values::MonotonicTime;

/// What a node knows of a caller when its request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The node expects no such caller.
    New,
    /// The caller was refused before, and comes earlier than it was told to.
    Early,
    /// The caller comes back when it was told to.
    Returned {
        /// Whether it has a place.
        has_place: bool,
        /// Time since it was told to come back.
        late: Duration,
    },
}

impl Arrival {
    /// Returns whether the caller has a place.
    pub fn has_place(self) -> bool {
        matches!(
            self,
            Self::Returned {
                has_place: true,
                ..
            }
        )
    }
}

/// The callers that were told a time, with or without a place.
///
/// Callers with the same key are alike: any of them takes the place whose time has come.
#[derive(Clone, Debug)]
pub struct ReturnTable {
    callers_max: usize,
    /// Whether a caller has a place, by its key and time; the number tells apart those that are equal in
    /// both.
    by_key: BTreeMap<(ReturnKey, MonotonicTime, u64), bool>,
    by_time: BTreeSet<(MonotonicTime, u64, ReturnKey)>,
    told: u64,
}

impl ReturnTable {
    /// How much earlier than told a caller may come, as times are sent in whole milliseconds.
    const EARLY_MAX: Duration = Duration::from_millis(2);

    /// Creates a table of at most `callers_max` callers.
    pub fn new(callers_max: usize) -> Self {
        Self {
            callers_max,
            by_key: BTreeMap::new(),
            by_time: BTreeSet::new(),
            told: 0,
        }
    }

    /// Returns the number of callers that are expected.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no caller is expected.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns whether another caller can be expected.
    pub fn has_room(&self) -> bool {
        self.len() < self.callers_max
    }

    /// Expects a caller at `due`, if there is room.
    pub fn expect(&mut self, key: ReturnKey, due: MonotonicTime, has_place: bool) {
        if self.has_room() {
            self.told += 1;
            self.by_key.insert((key, due, self.told), has_place);
            self.by_time.insert((due, self.told, key));
        }
    }

    /// Recognises an arriving caller, which takes its place.
    ///
    /// One that comes too early keeps its place, and gains nothing by coming often.
    pub fn arrive(&mut self, key: ReturnKey, now: MonotonicTime) -> Arrival {
        let (first, last) = (MonotonicTime(0), MonotonicTime(u64::MAX));
        let mut expected = self.by_key.range((key, first, 0)..=(key, last, u64::MAX));
        let is_open = |due: MonotonicTime| due.after(ReturnSchedule::HOLD) > now;
        let next = expected.find(|((_, due, _), _)| is_open(*due));
        let Some((&(_, due, number), &has_place)) = next else {
            return Arrival::New;
        };
        if due > now.after(Self::EARLY_MAX) {
            return Arrival::Early;
        }
        self.by_key.remove(&(key, due, number));
        self.by_time.remove(&(due, number, key));
        Arrival::Returned {
            has_place,
            late: now.since(due),
        }
    }

    /// Forgets the callers that did not come in time. Returns the number of those that had a place.
    pub fn forget_missed(&mut self, now: MonotonicTime) -> u64 {
        let mut missed = 0;
        while let Some(&(due, number, key)) = self.by_time.first()
            && due.after(ReturnSchedule::HOLD) <= now
        {
            self.by_time.remove(&(due, number, key));
            missed += u64::from(self.by_key.remove(&(key, due, number)) == Some(true));
        }
        missed
    }
}
