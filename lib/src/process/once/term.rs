//! The right to run keys of a slot, as the node that holds it sees it.
//!
//! A term is the right to run the keys of one slot whose mint times lie in a window. Windows of
//! different terms of a slot never overlap, and a term is held by one process at a time. A key
//! lies in one window for good, so that it makes no difference when a request is run: a process
//! that was paused between its check and its call runs only keys that nobody else may run.

use std::collections::BTreeMap;

use super::MintTime;
use super::SlotId;
use crate::values::Epoch;

number_type! {
    /// Counts the assignments of one slot. A higher term comes after all lower ones.
    Term(u64)
}

number_type! {
    /// Tells the lives of a process apart: a random number chosen at its start.
    ProcessSession(u64)
}

number_type! {
    /// Counts how often a term was passed from one process to another.
    MoveCount(u32)
}

plain_value! {
    /// Mint times from `from` up to but without `until`.
    pub struct MintWindow {
        /// The first mint time of the window.
        pub from: MintTime,
        /// The first mint time after the window.
        pub until: MintTime,
    }
}

plain_data! {
    /// A term with its window, as it is held and as it passes between processes.
    pub struct HeldTerm {
        /// The slot.
        pub slot: SlotId,
        /// The number of the term.
        pub term: Term,
        /// Keys that may be run under the term.
        pub window: MintWindow,
        /// How often the term was passed on.
        pub moves: MoveCount,
    }
}

plain_data! {
    /// A registrar gives a new term to one process.
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
    /// A holder asks for later ends of the windows of its terms.
    pub struct Renewal {
        /// The epoch that the holder obeys.
        pub epoch: Epoch,
        /// The terms that it holds.
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
        /// The present end of its window.
        pub until: MintTime,
    }
}

plain_data! {
    /// A registrar's answer to a renewal.
    pub struct RenewalOutcome {
        /// The epoch of the registrar. Without a matching epoch in the renewal nothing is decided.
        pub epoch: Epoch,
        /// Terms with a later end.
        pub extended: Vec<TermClaim>,
        /// Terms that were replaced and are not extended any more.
        pub superseded: Vec<SlotId>,
    }
}

plain_data! {
    /// A term on its way from one process to another.
    pub struct TermMove {
        /// The epoch that the sender obeyed.
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
/// The process obeys the highest epoch that it heard of: from then on it takes nothing from the
/// registrars before.
#[derive(Debug)]
pub struct HeldTerms {
    session: ProcessSession,
    epoch: Epoch,
    held: BTreeMap<SlotId, HeldTerm>,
    superseded: BTreeMap<SlotId, Term>,
    last_seen: BTreeMap<SlotId, LastSeen>,
}

impl HeldTerms {
    /// Starts a process without terms.
    pub fn new(session: ProcessSession) -> Self {
        Self {
            session,
            epoch: Epoch::default(),
            held: BTreeMap::new(),
            superseded: BTreeMap::new(),
            last_seen: BTreeMap::new(),
        }
    }

    /// Returns the process to which terms have to be addressed.
    pub fn session(&self) -> ProcessSession {
        self.session
    }

    /// Returns the window in which keys of `slot` may be run.
    pub fn window(&self, slot: &SlotId) -> Option<MintWindow> {
        self.held.get(slot).map(|held| held.window)
    }

    /// Returns the slots of which terms are held.
    pub fn slots(&self) -> impl Iterator<Item = &SlotId> {
        self.held.keys()
    }

    /// Takes a new term from a registrar, and returns whether it was taken.
    pub fn assign(&mut self, assignment: Assignment) -> bool {
        let obeyed = assignment.epoch >= self.epoch;
        obeyed && self.take(assignment.epoch, assignment.session, assignment.held)
    }

    /// Takes a term from the process that held it, and returns whether it was taken.
    ///
    /// The window moves with it, up to the end that the sender knew.
    pub fn adopt(&mut self, moved: TermMove) -> bool {
        self.take(moved.epoch, moved.session, moved.held)
    }

    fn take(&mut self, epoch: Epoch, session: ProcessSession, held: HeldTerm) -> bool {
        let seen = LastSeen {
            term: held.term,
            moves: held.moves,
        };
        let newer = self
            .last_seen
            .get(&held.slot)
            .is_none_or(|last| seen > *last);
        if !newer || session != self.session {
            return false;
        }
        self.epoch = self.epoch.max(epoch);
        self.last_seen.insert(held.slot.clone(), seen);
        self.superseded.remove(&held.slot);
        self.held.insert(held.slot.clone(), held);
        true
    }

    /// Gives a term away. This process runs no key under it any more.
    pub fn transfer(&mut self, slot: &SlotId, to: ProcessSession) -> Option<TermMove> {
        let mut held = self.held.remove(slot)?;
        held.moves = MoveCount(held.moves.0 + 1);
        Some(TermMove {
            epoch: self.epoch,
            session: to,
            held,
        })
    }

    /// Makes the renewal of all terms that can still be extended.
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

    /// Applies a registrar's answer to a renewal.
    ///
    /// An answer of a higher epoch makes the process obey that epoch; the next renewal then
    /// carries it.
    pub fn on_renewal_outcome(&mut self, answer: RenewalOutcome) {
        if answer.epoch < self.epoch {
            return;
        }
        self.epoch = answer.epoch;
        for claim in answer.extended {
            self.extend(claim);
        }
        for slot in answer.superseded {
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
