//! The terms that a process holds.
//!
//! A term is the right to run the keys of one slot whose mint times are in a window. The windows
//! of different terms of a slot never overlap, and one process at a time holds a term. A key
//! belongs to one window permanently, so that it does not matter when a request runs: a process
//! that was paused between its check and its call runs only keys that no other process may run.

use std::collections::BTreeMap;

use super::MintTime;
use super::SlotId;
use crate::values::Epoch;

number_type! {
    /// The number of a slot's term. Each new term of the slot has a higher number.
    Term(u64)
}

number_type! {
    /// Identifies one incarnation of a process: a random number chosen at its start.
    ProcessSession(u64)
}

number_type! {
    /// How often a term was transferred from one process to another.
    MoveCount(u32)
}

plain_value! {
    /// A half-open range of mint times: `from` is included, `until` is not.
    pub struct MintWindow {
        /// The first mint time of the window.
        pub from: MintTime,
        /// The exclusive end of the window.
        pub until: MintTime,
    }
}

plain_data! {
    /// A term with its window, as it is held and as it is transferred.
    pub struct HeldTerm {
        /// The slot.
        pub slot: SlotId,
        /// The number of the term.
        pub term: Term,
        /// The mint times of the keys that may run under the term.
        pub window: MintWindow,
        /// How often the term was transferred.
        pub moves: MoveCount,
    }
}

plain_data! {
    /// Message with which a registrar assigns a new term to a process.
    pub struct Assignment {
        /// The epoch of the registrar.
        pub epoch: Epoch,
        /// The process that gets the term.
        pub session: ProcessSession,
        /// The term.
        pub held: HeldTerm,
    }
}

plain_data! {
    /// Request of a holder to extend the windows of its terms.
    pub struct Renewal {
        /// The highest epoch that the holder knows.
        pub epoch: Epoch,
        /// The terms to extend.
        pub claims: Vec<TermClaim>,
    }
}

plain_data! {
    /// One term in a renewal.
    pub struct TermClaim {
        /// The slot.
        pub slot: SlotId,
        /// The number of the term.
        pub term: Term,
        /// The end of its window.
        pub until: MintTime,
    }
}

plain_data! {
    /// The registrar's reply to a renewal.
    pub struct RenewalOutcome {
        /// The epoch of the registrar. If the renewal has another epoch, the lists are empty.
        pub epoch: Epoch,
        /// Terms with a later end.
        pub extended: Vec<TermClaim>,
        /// Slots whose claimed terms were replaced and can no longer be extended.
        pub superseded: Vec<SlotId>,
    }
}

plain_data! {
    /// Message that transfers a term from one process to another.
    pub struct TermMove {
        /// The highest epoch that the sender knew.
        pub epoch: Epoch,
        /// The process that gets the term.
        pub session: ProcessSession,
        /// The term.
        pub held: HeldTerm,
    }
}

plain_value! {
    struct LastSeen {
        term: Term,
        moves: MoveCount,
    }
}

/// The terms of one process.
///
/// The process rejects assignments and renewal outcomes of registrars whose epoch is lower than the
/// highest one that it knows.
#[derive(Debug)]
pub struct HeldTerms {
    session: ProcessSession,
    epoch: Epoch,
    held: BTreeMap<SlotId, HeldTerm>,
    superseded: BTreeMap<SlotId, Term>,
    last_seen: BTreeMap<SlotId, LastSeen>,
}

impl HeldTerms {
    /// Creates the state of a process without terms.
    pub fn new(session: ProcessSession) -> Self {
        Self {
            session,
            epoch: Epoch::default(),
            held: BTreeMap::new(),
            superseded: BTreeMap::new(),
            last_seen: BTreeMap::new(),
        }
    }

    /// Returns the session to which terms for this process must be addressed.
    pub fn session(&self) -> ProcessSession {
        self.session
    }

    /// Returns the mint times of the keys of `slot` that may run here, if its term is held.
    pub fn window(&self, slot: &SlotId) -> Option<MintWindow> {
        self.held.get(slot).map(|held| held.window)
    }

    /// Returns the slots whose terms are held.
    pub fn slots(&self) -> impl Iterator<Item = &SlotId> {
        self.held.keys()
    }

    /// Accepts a new term from a registrar, and returns whether it was accepted.
    ///
    /// Rejects a term of an earlier epoch, a term for another session, and one that is not newer
    /// than the last known term of its slot.
    pub fn assign(&mut self, assignment: Assignment) -> bool {
        let is_current = assignment.epoch >= self.epoch;
        is_current && self.accept(assignment.epoch, assignment.session, assignment.held)
    }

    /// Accepts a term from its previous holder, and returns whether it was accepted.
    ///
    /// The window has the end that the sender knew.
    pub fn adopt(&mut self, moved: TermMove) -> bool {
        self.accept(moved.epoch, moved.session, moved.held)
    }

    fn accept(&mut self, epoch: Epoch, session: ProcessSession, held: HeldTerm) -> bool {
        let seen = LastSeen {
            term: held.term,
            moves: held.moves,
        };
        let is_newer = self
            .last_seen
            .get(&held.slot)
            .is_none_or(|last| seen > *last);
        if !is_newer || session != self.session {
            return false;
        }
        self.epoch = self.epoch.max(epoch);
        self.last_seen.insert(held.slot.clone(), seen);
        self.superseded.remove(&held.slot);
        self.held.insert(held.slot.clone(), held);
        true
    }

    /// Removes a term, for a transfer to the process `to`.
    ///
    /// This process then runs no more keys under it. Returns `None` if the term is not held.
    pub fn transfer(&mut self, slot: &SlotId, to: ProcessSession) -> Option<TermMove> {
        let mut held = self.held.remove(slot)?;
        held.moves = MoveCount(held.moves.0 + 1);
        Some(TermMove {
            epoch: self.epoch,
            session: to,
            held,
        })
    }

    /// Creates the renewal of all terms that can still be extended.
    pub fn renewal(&self) -> Renewal {
        let claims = self
            .held
            .values()
            .filter(|held| self.superseded.get(&held.slot) != Some(&held.term))
            .map(|held| TermClaim {
                slot: held.slot.clone(),
                term: held.term,
                until: held.window.until,
            })
            .collect();
        Renewal {
            epoch: self.epoch,
            claims,
        }
    }

    /// Applies a registrar's reply to a renewal.
    ///
    /// The process adopts a higher epoch and sends it with the next renewal. It ignores a reply of
    /// a lower epoch.
    pub fn on_renewal_outcome(&mut self, outcome: RenewalOutcome) {
        if outcome.epoch < self.epoch {
            return;
        }
        self.epoch = outcome.epoch;
        for claim in outcome.extended {
            self.extend(claim);
        }
        for slot in outcome.superseded {
            if let Some(held) = self.held.get(&slot) {
                self.superseded.insert(slot, held.term);
            }
        }
    }

    fn extend(&mut self, claim: TermClaim) {
        match self.held.get_mut(&claim.slot) {
            Some(held) if held.term == claim.term => {
                held.window.until = held.window.until.max(claim.until);
            }
            _ => {}
        }
    }
}
