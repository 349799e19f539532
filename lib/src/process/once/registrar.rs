//! Who holds the terms of a zone's slots: decided by one registrar per zone.
//!
//! The registrar is fenced by an epoch in the zone's record in the platform's service. The record
//! also bounds the mint times that the registrar may grant. A new registrar takes terms over from
//! the holders that report to it. A slot whose holder is silent gets a new term, which the record
//! shows before it is assigned, and whose window starts after all that was granted before.
//! During an outage of the platform terms are extended and passed on as before, up to the bound.

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
    /// A zone's record in the platform's service, changed by compare-and-swap only.
    pub struct RegistrarRecord {
        /// Fences the registrar. Each new registrar raises it.
        pub epoch: Epoch,
        /// The registrar.
        pub registrar: NodeId,
        /// The registrar grants no mint time from here on.
        pub grant_limit: MintTime,
        /// No earlier registrar granted a mint time from here on.
        pub prior_limit: MintTime,
        /// The latest term of each slot that ever had one.
        pub terms: BTreeMap<SlotId, Term>,
    }
}

impl RegistrarRecord {
    /// How far ahead of the present the bound on grants is put.
    ///
    /// Keyed requests go on for this long when the platform is out. A slot whose holder is lost
    /// together with the registrar stays blocked for up to this long.
    pub const GRANT_AHEAD: Duration = Duration::from_secs(3600);

    /// Makes the record with which `registrar` takes over from whoever wrote `earlier`.
    pub fn take_over(earlier: Option<&Self>, registrar: NodeId, wall: MintTime) -> Self {
        let epoch = earlier.map_or(0, |record| record.epoch.0);
        let prior_limit = earlier.map_or(MintTime::default(), |record| {
            record.grant_limit.max(record.prior_limit)
        });
        let terms = earlier.map(|record| record.terms.clone());
        Self {
            epoch: Epoch(epoch + 1),
            registrar,
            grant_limit: Self::limit_at(wall),
            prior_limit,
            terms: terms.unwrap_or_default(),
        }
    }

    /// Returns the record with a later bound and new terms for `slots`.
    pub fn advance(&self, wall: MintTime, slots: &[SlotId]) -> Self {
        let mut next = self.clone();
        next.grant_limit = self.grant_limit.max(Self::limit_at(wall));
        for slot in slots {
            next.terms.entry(slot.clone()).or_default().0 += 1;
        }
        next
    }

    fn limit_at(wall: MintTime) -> MintTime {
        wall.after_ms(Self::GRANT_AHEAD.as_millis() as u64)
    }
}

#[derive(Debug)]
enum SlotState {
    Unassigned {
        from: MintTime,
    },
    Held {
        granted: MintTime,
        heard_at: MonotonicTime,
    },
}

/// The registrar of one zone, from its confirmed record to the end of its epoch.
#[derive(Debug)]
pub struct Registrar {
    record: RegistrarRecord,
    slots: BTreeMap<SlotId, SlotState>,
}

impl Registrar {
    /// How far ahead of the present a window ends after a renewal.
    pub const TERM_AHEAD: Duration = Duration::from_secs(6);

    /// Time between two renewals of a holder.
    pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

    /// Time for holders to report to a new registrar before silent ones are replaced.
    pub const REPORT_TIME: Duration = Duration::from_secs(4);

    /// A holder that was not heard for this long is replaced.
    pub const HOLDER_TIMEOUT: Duration = Duration::from_secs(8);

    /// Begins with a record that the platform confirmed to hold.
    pub fn new(record: RegistrarRecord) -> Self {
        Self {
            record,
            slots: BTreeMap::new(),
        }
    }

    /// Returns the last record that the platform confirmed.
    pub fn record(&self) -> &RegistrarRecord {
        &self.record
    }

    /// Applies a change to the record that the platform confirmed.
    pub fn on_confirmed(&mut self, next: RegistrarRecord) {
        let raised = next
            .terms
            .iter()
            .filter(|(slot, term)| self.record.terms.get(slot) != Some(term));
        for (slot, _) in raised {
            let from = self.granted(slot);
            self.slots
                .insert(slot.clone(), SlotState::Unassigned { from });
        }
        self.record = next;
    }

    /// Returns the first mint time that no holder of the slot was granted.
    fn granted(&self, slot: &SlotId) -> MintTime {
        match self.slots.get(slot) {
            Some(SlotState::Held { granted, .. }) => *granted,
            Some(SlotState::Unassigned { from }) => *from,
            None if self.record.terms.contains_key(slot) => self.record.prior_limit,
            None => MintTime::default(),
        }
    }

    /// Answers a renewal.
    ///
    /// A holder that obeys another epoch only learns this one. Its claims count once it obeys
    /// this epoch, because then no registrar before can extend them.
    pub fn renew(
        &mut self,
        renewal: &Renewal,
        wall: MintTime,
        now: MonotonicTime,
    ) -> RenewalOutcome {
        let mut answer = RenewalOutcome {
            epoch: self.record.epoch,
            extended: Vec::new(),
            superseded: Vec::new(),
        };
        if renewal.epoch != self.record.epoch {
            return answer;
        }
        for claim in &renewal.claims {
            match self.extend(claim, wall, now) {
                Some(extended) => answer.extended.push(extended),
                None => answer.superseded.push(claim.slot.clone()),
            }
        }
        answer
    }

    fn extend(
        &mut self,
        claim: &TermClaim,
        wall: MintTime,
        now: MonotonicTime,
    ) -> Option<TermClaim> {
        let current = self.record.terms.get(&claim.slot) == Some(&claim.term);
        let earlier = match self.slots.get(&claim.slot) {
            Some(SlotState::Held { granted, .. }) if current => *granted,
            None if current => claim.until,
            _ => return None,
        };
        let granted = earlier.max(claim.until).max(self.end_at(wall));
        let heard_at = now;
        self.slots
            .insert(claim.slot.clone(), SlotState::Held { granted, heard_at });
        Some(TermClaim {
            until: granted,
            ..claim.clone()
        })
    }

    /// Returns the end of windows granted now.
    fn end_at(&self, wall: MintTime) -> MintTime {
        wall.after_ms(Self::TERM_AHEAD.as_millis() as u64)
            .min(self.record.grant_limit)
    }

    /// Returns those of `wanted` slots that need a new term: nobody was heard to hold them.
    ///
    /// Before [`Registrar::REPORT_TIME`] has passed since the takeover, slots that had a term are
    /// left to their holders.
    pub fn slots_needing_term<'a>(
        &self,
        wanted: impl IntoIterator<Item = &'a SlotId>,
        taken_over_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Vec<SlotId> {
        let reported = now.since(taken_over_at) >= Self::REPORT_TIME;
        wanted
            .into_iter()
            .filter(|slot| match self.slots.get(slot) {
                Some(SlotState::Held { heard_at, .. }) => {
                    now.since(*heard_at) > Self::HOLDER_TIMEOUT
                }
                Some(SlotState::Unassigned { .. }) => false,
                None => reported || !self.record.terms.contains_key(slot),
            })
            .cloned()
            .collect()
    }

    /// Returns the slots that have a term and no holder.
    pub fn unassigned_slots(&self) -> Vec<SlotId> {
        self.slots
            .iter()
            .filter(|(_, state)| matches!(state, SlotState::Unassigned { .. }))
            .map(|(slot, _)| slot.clone())
            .collect()
    }

    /// Assigns the present term of a vacant slot to a process.
    ///
    /// The term counts as held from then on: if the message is lost, the holder stays silent and
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
        let until = from.max(self.end_at(wall));
        let held = SlotState::Held {
            granted: until,
            heard_at: now,
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
