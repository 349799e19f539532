//! Entries about requests that were in flight when a backend server crashed.

use std::collections::BTreeSet;

use super::Fingerprint;
use crate::values::NodeId;
use crate::values::WallTime;

plain_value! {
    /// How a request ran that was in flight when a backend server crashed.
    #[derive(Default)]
    pub enum CrashedRun {
        /// Like any other.
        #[default]
        Ordinary,
        /// On trial, as the only suspect on the server.
        Trial,
    }
}

plain_data! {
    /// One crash of a backend server during which a request was in flight.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CrashSite {
        /// When the node detected the crash. The first field, so that sites are in order of time.
        pub at: WallTime,
        /// The node of the backend server.
        pub node: NodeId,
        /// How the request ran.
        #[serde(default)]
        pub run: CrashedRun,
    }
}

/// Identifies a crash by its node and time: all requests in flight at it have the same.
pub(super) type CrashId = (WallTime, NodeId);

impl CrashSite {
    fn id(&self) -> CrashId {
        (self.at, self.node.clone())
    }
}

plain_data! {
    /// The assignment of a suspected request to the only node that may run it.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Trial {
        /// How often the trial was reassigned; the highest number is in force.
        pub moves: u32,
        /// The node.
        pub node: NodeId,
    }
}

plain_value! {
    /// How a suspected request is treated.
    pub enum SuspectStatus {
        /// It finished since. It is treated like any other request.
        Cleared,
        /// It was in flight during a crash. It runs on only one node, on trial.
        Suspected,
        /// It crashed a backend server on trial, or was in flight during crashes of two servers, and
        /// no equal request had finished before. It is refused.
        Quarantined,
    }
}

plain_data! {
    /// The crashes of one fingerprint. Nodes may merge their entries in any order.
    #[derive(Eq)]
    pub struct SuspectEntry {
        /// The fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Crashes during which it was in flight.
        pub crashes: BTreeSet<CrashSite>,
        /// Crashes of which it is cleared, because it finished on a backend server since.
        pub cleared: BTreeSet<CrashSite>,
        /// The only node that may run it while it is suspected.
        pub trial: Option<Trial>,
        /// Whether an equal request finished on any server before. Popular requests are in flight at
        /// most crashes, so that such crashes do not add up to a quarantine.
        #[serde(default)]
        pub is_familiar: bool,
    }
}

impl SuspectEntry {
    /// Maximum number of crashes in an entry; the latest ones are kept.
    pub const CRASHES_MAX: usize = 8;

    /// Number of distinct backend servers from which on crashes beside ordinary runs make a
    /// quarantine.
    pub const QUARANTINE_SERVERS: usize = 2;

    /// Crashes, none of them cleared, up to which one after a trial that was given up is in doubt.
    pub const DOUBTFUL_CRASHES_MAX: usize = 2;

    /// Creates an entry without crashes.
    pub fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
            trial: None,
            is_familiar: false,
        }
    }

    /// Merges another node's entry for the same fingerprint.
    ///
    /// Merging is commutative, associative and idempotent.
    pub fn merge(&mut self, other: &Self) {
        self.crashes.extend(other.crashes.iter().cloned());
        self.cleared.extend(other.cleared.iter().cloned());
        self.trial = self.trial.take().max(other.trial.clone());
        self.is_familiar |= other.is_familiar;
        truncate(&mut self.crashes);
        truncate(&mut self.cleared);
    }

    /// Returns how the request is treated.
    pub fn status(&self) -> SuspectStatus {
        let servers: BTreeSet<_> = self.uncleared().map(|site| &site.node).collect();
        let failed_trial = self.uncleared().any(|site| site.run == CrashedRun::Trial);
        match servers.len() {
            0 => SuspectStatus::Cleared,
            _ if failed_trial => SuspectStatus::Quarantined,
            count if count >= Self::QUARANTINE_SERVERS && !self.is_familiar => {
                SuspectStatus::Quarantined
            }
            _ => SuspectStatus::Suspected,
        }
    }

    /// Returns whether a trial may run beside other such trials: an equal request had finished
    /// before the only crash that is not cleared.
    pub fn allows_shared_trial(&self) -> bool {
        self.is_familiar && self.uncleared().count() == 1
    }

    /// Returns whether a crash after its trial was given up may have had another cause: an equal
    /// request had finished before, and few crashes are not cleared.
    pub fn allows_doubt(&self) -> bool {
        self.is_familiar && self.uncleared().count() <= Self::DOUBTFUL_CRASHES_MAX
    }

    /// Assigns the trial of the request to `node`, in place of any earlier trial node.
    pub fn assign_trial(&mut self, node: NodeId) {
        let moves = self
            .trial
            .as_ref()
            .map_or(0, |trial| trial.moves.saturating_add(1));
        self.trial = Some(Trial { moves, node });
    }

    /// Returns whether the trial of the request is assigned to `node`.
    pub fn is_trial_node(&self, node: &NodeId) -> bool {
        self.trial.as_ref().is_some_and(|trial| trial.node == *node)
    }

    /// Returns whether the times of the crashes may be those of a clock in the fleet at `now`. An
    /// entry with a later time would not expire.
    pub fn is_plausible(&self, now: WallTime) -> bool {
        let mut sites = self.crashes.iter().chain(&self.cleared);
        sites.all(|site| site.at.is_plausible(now))
    }

    /// Returns when the latest crash was detected.
    pub fn latest_crash_at(&self) -> WallTime {
        let times = self.crashes.iter().map(|site| site.at);
        times.max().unwrap_or_default()
    }

    /// Records that the request finished, which clears it of the crashes that are known.
    ///
    /// Returns whether there was a crash that was not cleared before.
    pub fn clear_after_finish(&mut self) -> bool {
        let uncleared: Vec<_> = self.uncleared().cloned().collect();
        let clears = !uncleared.is_empty();
        self.cleared.extend(uncleared);
        clears
    }

    /// Returns the crashes that were caused by this request, as it is quarantined for another one,
    /// under a trial.
    pub(super) fn explained_crashes(&self) -> Vec<CrashId> {
        if self.status() != SuspectStatus::Quarantined {
            return Vec::new();
        }
        let trials = self
            .uncleared()
            .filter(|site| site.run == CrashedRun::Trial);
        let trials: Vec<_> = trials.map(CrashSite::id).collect();
        let is_explained = |crash: &CrashId| trials.iter().any(|trial| trial != crash);
        let crashes = self.crashes.iter().map(CrashSite::id);
        crashes.filter(is_explained).collect()
    }

    /// Clears the request of the crashes that `is_explained` selects.
    pub(super) fn clear_of(&mut self, is_explained: impl Fn(&CrashId) -> bool) {
        let explained = self.uncleared().filter(|site| is_explained(&site.id()));
        let explained: Vec<_> = explained.cloned().collect();
        self.cleared.extend(explained);
        truncate(&mut self.cleared);
    }

    fn uncleared(&self) -> impl Iterator<Item = &CrashSite> {
        self.crashes.difference(&self.cleared)
    }
}

fn truncate(sites: &mut BTreeSet<CrashSite>) {
    while sites.len() > SuspectEntry::CRASHES_MAX {
        sites.pop_first();
    }
}
