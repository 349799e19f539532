//! What is known of a request that was present when a backend server crashed.

use std::collections::BTreeSet;

use crate::process::once::ContentDigest;
use crate::process::once::KeyDigest;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::WallTime;

plain_value! {
    /// Tells requests apart by their organisation and what they ask for.
    pub struct Fingerprint(KeyDigest);
}

impl Fingerprint {
    /// Makes the fingerprint of a request; routes open to all have no organisation.
    pub fn of(organisation: Option<&OrganisationId>, content: ContentDigest) -> Self {
        Self(KeyDigest::of_content(organisation, content))
    }

    /// Returns the first bytes as a number, for choosing by hash.
    pub(super) fn bits(&self) -> u64 {
        self.0.bits()
    }
}

plain_data! {
    /// One crash of a backend server at which a request was present.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CrashSite {
        /// The node beside the backend server.
        pub node: NodeId,
        /// When the node noticed the crash.
        pub at: WallTime,
    }
}

plain_data! {
    /// The only node that may run a suspected request.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Trial {
        /// How often one such node passed this on to the next.
        pub moves: u32,
        /// The node.
        pub node: NodeId,
    }
}

plain_value! {
    /// How a suspected request is treated.
    pub enum SuspectStatus {
        /// It finished elsewhere since; it is treated like any other.
        Cleared,
        /// It was present at a crash. It runs on one node only, alone.
        Suspected,
        /// It was present at crashes of two servers. It is refused.
        Quarantined,
    }
}

plain_data! {
    /// What is known of one fingerprint. Nodes merge their entries in any order.
    #[derive(Eq)]
    pub struct SuspectEntry {
        /// The request.
        pub fingerprint: Fingerprint,
        /// Crashes at which it was present.
        pub crashes: BTreeSet<CrashSite>,
        /// Those crashes of which it is cleared, because it finished on another server since.
        pub cleared: BTreeSet<CrashSite>,
        /// Where it may run while it is suspected.
        pub trial: Option<Trial>,
    }
}

impl SuspectEntry {
    /// Crashes that an entry keeps; the earliest by node and time stay.
    pub const CRASHES_MAX: usize = 4;

    /// Distinct servers after which a request is quarantined.
    pub const SERVERS_MAX: usize = 2;

    /// Makes an entry without crashes.
    pub fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
            trial: None,
        }
    }

    /// Adds what another node knows of the same fingerprint.
    ///
    /// Merging is commutative, associative and idempotent.
    pub fn merge(&mut self, other: &Self) {
        self.crashes.extend(other.crashes.iter().cloned());
        self.cleared.extend(other.cleared.iter().cloned());
        self.trial = self.trial.take().max(other.trial.clone());
        truncate(&mut self.crashes);
        truncate(&mut self.cleared);
    }

    /// Returns how the request is treated.
    pub fn status(&self) -> SuspectStatus {
        let servers: BTreeSet<_> = self.uncleared().map(|site| &site.node).collect();
        match servers.len() {
            0 => SuspectStatus::Cleared,
            count if count < Self::SERVERS_MAX => SuspectStatus::Suspected,
            _ => SuspectStatus::Quarantined,
        }
    }

    /// Names the next node that may run the request.
    pub fn assign_trial(&mut self, node: NodeId) {
        let moves = self.trial.as_ref().map_or(0, |trial| trial.moves + 1);
        self.trial = Some(Trial { moves, node });
    }

    /// Returns whether `node` is the only one that may run the request.
    pub fn is_trial_node(&self, node: &NodeId) -> bool {
        self.trial.as_ref().is_some_and(|trial| trial.node == *node)
    }

    /// Returns when the latest crash was noticed.
    pub fn latest_crash_at(&self) -> WallTime {
        let times = self.crashes.iter().map(|site| site.at);
        times.max().unwrap_or_default()
    }

    /// Notes that the request finished on `node`, and returns whether that clears it of a crash.
    pub fn clear_after_finish(&mut self, node: &NodeId) -> bool {
        let elsewhere: Vec<_> = self
            .uncleared()
            .filter(|site| site.node != *node)
            .cloned()
            .collect();
        let clears = !elsewhere.is_empty();
        self.cleared.extend(elsewhere);
        clears
    }

    fn uncleared(&self) -> impl Iterator<Item = &CrashSite> {
        self.crashes.difference(&self.cleared)
    }
}

fn truncate(sites: &mut BTreeSet<CrashSite>) {
    while sites.len() > SuspectEntry::CRASHES_MAX {
        sites.pop_last();
    }
}
