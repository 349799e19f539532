//! One registrar per zone assigns the terms of the zone's slots.
//!
//! An epoch in the zone's record in the platform's service fences the registrar. The record also
//! bounds the mint times that the registrar may grant. A new registrar learns the current terms
//! from the holders that report to it. A slot whose holder is unresponsive gets a new term. The
//! record contains the new term before it is assigned, and its window starts after all mint times
//! that were granted before. During an outage of the platform's service, terms are extended and
//! transferred as usual, up to the bound.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Assignment;
use super::HeldTerm;
use super::MintTime;
use super::MintWindow;
use super::MoveCount;
use super::ProcessSession;
use super::Renewal;
use super::RenewalOutcome;
use super::SlotId;
use super::Term;
use super::TermClaim;
use crate::values::Epoch;
use crate::values::MonotonicTime;
use crate::values::NodeId;

plain_data! {
    /// A zone's record in the platform's service, which is changed only by compare-and-swap.
    pub struct RegistrarRecord {
        /// Fences the registrar. Each new registrar increments it.
        pub epoch: Epoch,
        /// The node that is the registrar.
        pub registrar: NodeId,
        /// The registrar grants only mint times before this one.
        pub grant_limit: MintTime,
        /// Earlier registrars granted only mint times before this one.
        pub prior_limit: MintTime,
        /// The latest term of each slot that ever had one.
        pub terms: BTreeMap<SlotId, Term>,
    }
}

impl RegistrarRecord {
    /// How far in the future `grant_limit` is set.
    ///
    /// Keyed requests are served for this long during an outage of the platform's service. A slot
    /// whose holder is lost together with the registrar stays blocked for up to this long.
    pub const GRANT_AHEAD: Duration = Duration::from_secs(3600);

    /// Creates the record with which `registrar` takes over from the writer of `earlier`.
    pub fn take_over(earlier: Option<&Self>, registrar: NodeId, wall: MintTime) -> Self {
        let epoch = earlier.map_or(0, |record| record.epoch.0);
        let prior_limit = earlier.map_or(MintTime::default(), |record| {
            record.grant_limit.max(record.prior_limit)
        });
        let terms = earlier.map(|record| record.terms.clone());
        Self {
            epoch: Epoch(epoch + 1),
            registrar,
            grant_limit: Self::grant_limit_at(wall),
            prior_limit,
            terms: terms.unwrap_or_default(),
        }
    }

    /// Returns the record with a later `grant_limit` and new terms for `slots`.
    pub fn advance(&self, wall: MintTime, slots: &[SlotId]) -> Self {
        let mut next = self.clone();
        next.grant_limit = self.grant_limit.max(Self::grant_limit_at(wall));
        for slot in slots {
            next.terms.entry(slot.clone()).or_default().0 += 1;
        }
        next
    }

    fn grant_limit_at(wall: MintTime) -> MintTime {
        wall.after_ms(Self::GRANT_AHEAD.as_millis() as u64)
    }
}

#[derive(Debug)]
enum SlotState {
    Unassigned {
        from: MintTime,
    },
    Held {
        granted_until: MintTime,
        last_seen_at: MonotonicTime,
    },
}

/// The registrar of one zone, from the confirmation of its record to the end of its epoch.
#[derive(Debug)]
pub struct Registrar {
    record: RegistrarRecord,
    slots: BTreeMap<SlotId, SlotState>,
}

impl Registrar {
    /// How far in the future a window ends after a renewal.
    pub const TERM_AHEAD: Duration = Duration::from_secs(6);

    /// Interval between the renewals of a holder.
    pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

    /// Time for holders to report to a new registrar before it replaces unresponsive ones.
    pub const REPORT_TIME: Duration = Duration::from_secs(4);

    /// A holder that sent no renewal for longer than this is replaced.
    pub const HOLDER_TIMEOUT: Duration = Duration::from_secs(8);

    /// Creates the registrar from a record that the platform's service confirmed to hold.
    pub fn new(record: RegistrarRecord) -> Self {
        Self {
            record,
            slots: BTreeMap::new(),
        }
    }

    /// Returns the last record that the platform's service confirmed.
    pub fn record(&self) -> &RegistrarRecord {
        &self.record
    }

    /// Applies a changed record that the platform's service confirmed.
    pub fn on_confirmed(&mut self, next: RegistrarRecord) {
        let raised = next
            .terms
            .iter()
            .filter(|(slot, term)| self.record.terms.get(slot) != Some(term));
        for (slot, _) in raised {
            let from = self.granted_until(slot);
            self.slots
                .insert(slot.clone(), SlotState::Unassigned { from });
        }
        self.record = next;
    }

    /// Returns the first mint time that was not granted to any holder of the slot.
    fn granted_until(&self, slot: &SlotId) -> MintTime {
        match self.slots.get(slot) {
            Some(SlotState::Held { granted_until, .. }) => *granted_until,
            Some(SlotState::Unassigned { from }) => *from,
            None if self.record.terms.contains_key(slot) => self.record.prior_limit,
            None => MintTime::default(),
        }
    }

    /// Extends the claimed terms that are current, and reports the superseded ones.
    ///
    /// For a holder with another epoch, the outcome contains only the epoch. The claims of a holder
    /// count once it has adopted this epoch, because earlier registrars can then no longer extend
    /// them.
    pub fn renew(
        &mut self,
        renewal: &Renewal,
        wall: MintTime,
        now: MonotonicTime,
    ) -> RenewalOutcome {
        let mut outcome = RenewalOutcome {
            epoch: self.record.epoch,
            extended: Vec::new(),
            superseded: Vec::new(),
        };
        if renewal.epoch != self.record.epoch {
            return outcome;
        }
        for claim in &renewal.claims {
            match self.extend(claim, wall, now) {
                Some(extended) => outcome.extended.push(extended),
                None => outcome.superseded.push(claim.slot.clone()),
            }
        }
        outcome
    }

    fn extend(
        &mut self,
        claim: &TermClaim,
        wall: MintTime,
        now: MonotonicTime,
    ) -> Option<TermClaim> {
        let is_current = self.record.terms.get(&claim.slot) == Some(&claim.term);
        let earlier = match self.slots.get(&claim.slot) {
            Some(SlotState::Held { granted_until, .. }) if is_current => *granted_until,
            None if is_current => claim.until,
            _ => return None,
        };
        let granted_until = earlier.max(claim.until).max(self.window_end_at(wall));
        let last_seen_at = now;
        self.slots.insert(
            claim.slot.clone(),
            SlotState::Held {
                granted_until,
                last_seen_at,
            },
        );
        Some(TermClaim {
            until: granted_until,
            ..claim.clone()
        })
    }

    /// Returns the end of a window that is granted now.
    fn window_end_at(&self, wall: MintTime) -> MintTime {
        wall.after_ms(Self::TERM_AHEAD.as_millis() as u64)
            .min(self.record.grant_limit)
    }

    /// Returns the slots in `wanted` that need a new term, because no holder is known to respond.
    ///
    /// Until [`Registrar::REPORT_TIME`] after the takeover, slots without a report that already had
    /// a term are left out, so that their holders can report.
    pub fn slots_needing_term<'a>(
        &self,
        wanted: impl IntoIterator<Item = &'a SlotId>,
        taken_over_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Vec<SlotId> {
        let report_time_is_over = now.since(taken_over_at) >= Self::REPORT_TIME;
        wanted
            .into_iter()
            .filter(|slot| match self.slots.get(slot) {
                Some(SlotState::Held { last_seen_at, .. }) => {
                    now.since(*last_seen_at) > Self::HOLDER_TIMEOUT
                }
                Some(SlotState::Unassigned { .. }) => false,
                None => report_time_is_over || !self.record.terms.contains_key(slot),
            })
            .cloned()
            .collect()
    }

    /// Returns the slots whose current term is not assigned.
    pub fn unassigned_slots(&self) -> Vec<SlotId> {
        self.slots
            .iter()
            .filter(|(_, state)| matches!(state, SlotState::Unassigned { .. }))
            .map(|(slot, _)| slot.clone())
            .collect()
    }

    /// Assigns the current term of an unassigned slot to a process.
    ///
    /// Returns `None` for a slot that is not among [`Registrar::unassigned_slots`]. The term counts
    /// as held from then on: if the assignment message is lost, no renewal arrives and the holder
    /// is replaced under a new term.
    pub fn assign(
        &mut self,
        slot: &SlotId,
        session: ProcessSession,
        wall: MintTime,
        now: MonotonicTime,
    ) -> Option<Assignment> {
        let term = *self.record.terms.get(slot)?;
        let Some(SlotState::Unassigned { from }) = self.slots.get(slot) else {
            return None;
        };
        let from = *from;
        let until = from.max(self.window_end_at(wall));
        let held = SlotState::Held {
            granted_until: until,
            last_seen_at: now,
        };
        self.slots.insert(slot.clone(), held);
        Some(Assignment {
            epoch: self.record.epoch,
            session,
            held: HeldTerm {
                slot: slot.clone(),
                term,
                window: MintWindow { from, until },
                moves: MoveCount::default(),
            },
        })
    }
}
