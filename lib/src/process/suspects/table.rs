//! One node's table of requests that may crash backend servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::CrashSite;
use super::CrashedRun;
use super::Fingerprint;
use super::GivenUpRun;
use super::SuspectEntry;
use super::SuspectStatus;
use crate::process::membership::NodeRecord;
use crate::process::once::digest_of;
use crate::values::NodeId;
use crate::values::WallTime;

/// Whether and how a request may run, in view of earlier crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectAdmission {
    /// Run it like any other.
    Run,
    /// Run it on trial, and report its outcome. A node runs no other request beside it on the
    /// backend server, a relay no other suspect.
    RunAlone,
    /// Run it on trial, and report its outcome. Other such trials may run beside it, because an
    /// equal request finished before.
    RunFamiliar,
    /// Not run: a trial of the same request already runs on this node.
    TrialRunning,
    /// Not run here: only the given node may run it.
    OnlyOn(NodeId),
    /// Not run here: the local backend server crashed repeatedly under it, although others finish
    /// it. [`Suspects::other_node`] selects one.
    Elsewhere,
    /// Not run: it crashed a backend server on trial, or was in flight during crashes of two.
    Quarantined,
}

/// The suspected requests that one node knows.
///
/// Every node of a service is notified of a crash before the callers of the crashed backend server
/// get their responses, so that a resend never reaches a node that does not know of the crash.
#[derive(Debug)]
pub struct Suspects {
    local_node: NodeId,
    entries: BTreeMap<Fingerprint, SuspectEntry>,
    on_trial: BTreeSet<Fingerprint>,
    finished: FinishedSet,
    /// The number of crashes of the local backend server since a request finished on it. Requests
    /// without an entry are removed.
    local_crashes: HashMap<Fingerprint, usize>,
}

impl Suspects {
    /// Maximum number of entries. Cleared entries are removed first and quarantined ones last,
    /// within a status the oldest first.
    pub const ENTRIES_MAX: usize = 4096;

    /// Crashes of the local backend server, none followed by a response of it, from which on a
    /// request runs on other nodes only: as many as a quarantine needs.
    pub const LOCAL_CRASHES_MAX: usize = SuspectEntry::QUARANTINE_SERVERS;

    /// How long a request stays suspected or quarantined after a crash.
    pub const QUARANTINE: Duration = Duration::from_secs(600);

    /// Creates the empty table of the node `local_node`.
    pub fn new(local_node: NodeId) -> Self {
        Self {
            local_node,
            entries: BTreeMap::new(),
            on_trial: BTreeSet::new(),
            finished: FinishedSet::default(),
            local_crashes: HashMap::new(),
        }
    }

    /// Records a crash of the local backend server.
    ///
    /// Returns the entries to be sent to the other nodes of the service. The trial node is selected
    /// by hash among `others`; if there is none, it is this node.
    pub fn on_crash(
        &mut self,
        in_flight: impl IntoIterator<Item = Fingerprint>,
        others: &[NodeRecord],
        wall: WallTime,
    ) -> Vec<SuspectEntry> {
        self.on_crash_after(in_flight, &[], others, wall)
    }

    /// Records a crash of the local backend server shortly after requests to it were given up.
    ///
    /// A request that was given up becomes a suspect, but only crashes under its trials add up to a
    /// quarantine. Otherwise like [`Suspects::on_crash`].
    pub fn on_crash_after(
        &mut self,
        in_flight: impl IntoIterator<Item = Fingerprint>,
        given_up: &[GivenUpRun],
        others: &[NodeRecord],
        wall: WallTime,
    ) -> Vec<SuspectEntry> {
        let in_flight: BTreeSet<_> = in_flight.into_iter().collect();
        let given_up_trials: BTreeSet<_> = given_up
            .iter()
            .filter(|run| run.was_trial)
            .map(|run| run.fingerprint)
            .collect();
        let mut candidates = in_flight.clone();
        candidates.extend(given_up.iter().map(|run| run.fingerprint));
        let conclusive_trial = self.conclusive_trial(&in_flight, &candidates, &given_up_trials);
        let mut updates = Vec::new();
        for fingerprint in candidates {
            self.on_trial.remove(&fingerprint);
            let adds_nothing = !in_flight.contains(&fingerprint)
                && !given_up_trials.contains(&fingerprint)
                && self.restriction(fingerprint).is_some();
            if adds_nothing {
                continue;
            }
            let run = match conclusive_trial {
                Some(trial) if trial == fingerprint => CrashedRun::Trial,
                _ => CrashedRun::Ordinary,
            };
            updates.push(self.add_crash(fingerprint, run, others, wall));
        }
        updates.extend(self.reassign_trials(others));
        self.clear_of_explained_crashes();
        self.expire(wall);
        for update in &mut updates {
            if let Some(entry) = self.entries.get(&update.fingerprint) {
                update.clone_from(entry);
            }
        }
        updates
    }

    /// Clears requests of crashes that others explain: those that were in flight at them, and are
    /// quarantined for another crash, under a trial.
    fn clear_of_explained_crashes(&mut self) {
        let mut explained: BTreeMap<_, Vec<Fingerprint>> = BTreeMap::new();
        for entry in self.entries.values() {
            for crash in entry.explained_crashes() {
                let explaining = explained.entry(crash).or_default();
                explaining.push(entry.fingerprint);
            }
        }
        if explained.is_empty() {
            return;
        }
        for entry in self.entries.values_mut() {
            let fingerprint = entry.fingerprint;
            let is_other = |other: &Fingerprint| *other != fingerprint;
            entry.clear_of(|crash| {
                let explaining = explained.get(crash);
                explaining.is_some_and(|explaining| explaining.iter().any(is_other))
            });
        }
    }

    /// Returns the request whose trial the crash of the local backend server has decided.
    ///
    /// A trial that others may run beside decides nothing if there were others, or requests that no
    /// server is known to have finished: any of them may have caused the crash. The next trial of
    /// such a request runs as the only one, and decides, unless the request was given up: the one
    /// after that does then.
    fn conclusive_trial(
        &self,
        in_flight: &BTreeSet<Fingerprint>,
        candidates: &BTreeSet<Fingerprint>,
        given_up_trials: &BTreeSet<Fingerprint>,
    ) -> Option<Fingerprint> {
        let is_trial = |request: &&Fingerprint| {
            let is_running = in_flight.contains(*request) && self.on_trial.contains(*request);
            is_running || given_up_trials.contains(*request)
        };
        let mut trials = candidates.iter().filter(is_trial);
        let (trial, None) = (*trials.next()?, trials.next()) else {
            return None;
        };
        let entry = self.entries.get(&trial)?;
        let is_given_up = !in_flight.contains(&trial);
        let is_open = entry.allows_shared_trial() || (is_given_up && entry.allows_doubt());
        let is_new = |request: &Fingerprint| *request != trial && !self.finished.contains(request);
        let is_conclusive = !is_open || !candidates.iter().any(is_new);
        is_conclusive.then_some(trial)
    }

    /// Reassigns the trials of this node to other nodes.
    ///
    /// To be called when this node no longer has a backend server. Returns the entries to be sent
    /// to the other nodes of the service.
    pub fn reassign_trials(&mut self, others: &[NodeRecord]) -> Vec<SuspectEntry> {
        let local_node = self.local_node.clone();
        self.reassign_trials_of(&local_node, others)
    }

    /// Reassigns the trials of `node` to some of `others`, which may include this node.
    ///
    /// To be called when `node` has left the fleet without reassigning them. Returns the entries to
    /// be sent to the other nodes of the service.
    pub fn reassign_trials_of(
        &mut self,
        node: &NodeId,
        others: &[NodeRecord],
    ) -> Vec<SuspectEntry> {
        self.entries
            .values_mut()
            .filter(|entry| entry.status() == SuspectStatus::Suspected && entry.is_trial_node(node))
            .filter_map(|entry| {
                entry.assign_trial(next_trial_node(entry.fingerprint, node, others)?);
                Some(entry.clone())
            })
            .collect()
    }

    fn add_crash(
        &mut self,
        fingerprint: Fingerprint,
        run: CrashedRun,
        others: &[NodeRecord],
        wall: WallTime,
    ) -> SuspectEntry {
        let site = CrashSite {
            node: self.local_node.clone(),
            at: wall,
            run,
        };
        *self.local_crashes.entry(fingerprint).or_default() += 1;
        let local_node = self.local_node.clone();
        let has_finished = self.finished.contains(&fingerprint);
        let entry = self.entry(fingerprint);
        entry.is_familiar |= has_finished;
        entry.crashes.insert(site);
        if entry.trial.is_none() {
            entry.assign_trial(trial_node(fingerprint, &local_node, others).unwrap_or(local_node));
        }
        entry.clone()
    }

    fn entry(&mut self, fingerprint: Fingerprint) -> &mut SuspectEntry {
        self.entries
            .entry(fingerprint)
            .or_insert_with(|| SuspectEntry::new(fingerprint))
    }

    /// Decides on a request before it is sent to the local backend server.
    pub fn admit(&mut self, fingerprint: Fingerprint) -> SuspectAdmission {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return SuspectAdmission::Run;
        };
        match (entry.status(), &entry.trial) {
            (SuspectStatus::Cleared, _) if self.crashes_local_server(fingerprint) => {
                SuspectAdmission::Elsewhere
            }
            (SuspectStatus::Cleared, _) => SuspectAdmission::Run,
            (SuspectStatus::Quarantined, _) => SuspectAdmission::Quarantined,
            (SuspectStatus::Suspected, Some(trial)) if trial.node != self.local_node => {
                SuspectAdmission::OnlyOn(trial.node.clone())
            }
            (SuspectStatus::Suspected, _) if !self.on_trial.insert(fingerprint) => {
                SuspectAdmission::TrialRunning
            }
            (SuspectStatus::Suspected, _) if entry.allows_shared_trial() => {
                SuspectAdmission::RunFamiliar
            }
            (SuspectStatus::Suspected, _) => SuspectAdmission::RunAlone,
        }
    }

    fn crashes_local_server(&self, fingerprint: Fingerprint) -> bool {
        let crashes = self.local_crashes.get(&fingerprint);
        crashes.is_some_and(|count| *count >= Self::LOCAL_CRASHES_MAX)
    }

    /// Selects one of `others` to run a request that is admitted only elsewhere.
    pub fn other_node(&self, fingerprint: Fingerprint, others: &[NodeRecord]) -> Option<NodeId> {
        trial_node(fingerprint, &self.local_node, others)
    }

    /// Returns what is known of a request that another node would run: that only one node may run
    /// it, or that it is quarantined.
    pub fn restriction(&self, fingerprint: Fingerprint) -> Option<SuspectAdmission> {
        let entry = self.entries.get(&fingerprint)?;
        match (entry.status(), &entry.trial) {
            (SuspectStatus::Quarantined, _) => Some(SuspectAdmission::Quarantined),
            (SuspectStatus::Suspected, Some(trial)) => {
                Some(SuspectAdmission::OnlyOn(trial.node.clone()))
            }
            (SuspectStatus::Suspected, None) | (SuspectStatus::Cleared, _) => None,
        }
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that an admitted request was not sent to the backend server, or that its run ended
    /// without a response that clears it.
    pub fn on_not_cleared(&mut self, fingerprint: Fingerprint) {
        self.on_trial.remove(&fingerprint);
    }

    /// Records that the local backend server finished a request, which clears it of all crashes
    /// that this node knows of.
    ///
    /// An error of the server does not: it may fail requests without running them. If this cleared
    /// the request, returns the entry to be sent to the other nodes of the service.
    pub fn on_finished(&mut self, fingerprint: Fingerprint) -> Option<SuspectEntry> {
        self.on_trial.remove(&fingerprint);
        self.finished.insert(fingerprint);
        self.local_crashes.remove(&fingerprint);
        let entry = self.entries.get_mut(&fingerprint)?;
        entry.clear_after_finish().then(|| entry.clone())
    }

    /// Reassigns the trial of a request that the local backend server failed or does not take to some
    /// of `others`.
    ///
    /// Returns the entry to be sent to the other nodes of the service.
    pub fn on_failed_trial(
        &mut self,
        fingerprint: Fingerprint,
        others: &[NodeRecord],
    ) -> Option<SuspectEntry> {
        let entry = self.entries.get_mut(&fingerprint)?;
        let next = next_trial_node(fingerprint, &self.local_node, others)?;
        (entry.status() == SuspectStatus::Suspected).then(|| {
            entry.assign_trial(next);
            entry.clone()
        })
    }

    /// Merges the entries of another node.
    ///
    /// Returns the entries of which this node knows more than the other one. They must be sent to
    /// the other nodes of the service.
    pub fn merge(&mut self, updates: &[SuspectEntry], wall: WallTime) -> Vec<SuspectEntry> {
        let mut unknown_to_sender = Vec::new();
        for other in updates {
            let has_finished = self.finished.contains(&other.fingerprint);
            let entry = self.entry(other.fingerprint);
            entry.merge(other);
            entry.is_familiar |= has_finished;
            if entry != other {
                unknown_to_sender.push(entry.clone());
            }
        }
        self.clear_of_explained_crashes();
        self.expire(wall);
        unknown_to_sender
    }

    /// Returns the current entries of the fingerprints of `entries`.
    pub fn current(&self, entries: &[SuspectEntry]) -> Vec<SuspectEntry> {
        let fingerprints: BTreeSet<_> = entries.iter().map(|entry| entry.fingerprint).collect();
        let known = fingerprints.iter().filter_map(|key| self.entries.get(key));
        known.cloned().collect()
    }

    /// Returns all entries, for an exchange with a node that may have missed some.
    pub fn entries(&self) -> impl Iterator<Item = &SuspectEntry> {
        self.entries.values()
    }

    /// Removes expired entries, then further ones until at most [`Suspects::ENTRIES_MAX`] remain.
    pub fn expire(&mut self, wall: WallTime) {
        let quarantine_ms = Self::QUARANTINE.as_millis() as u64;
        self.entries
            .retain(|_, entry| entry.latest_crash_at().0.saturating_add(quarantine_ms) > wall.0);
        while self.entries.len() > Self::ENTRIES_MAX {
            let oldest = self
                .entries
                .values()
                .min_by_key(|entry| (entry.status(), entry.latest_crash_at()))
                .map(|entry| entry.fingerprint);
            if let Some(fingerprint) = oldest {
                self.entries.remove(&fingerprint);
            }
        }
        self.local_crashes
            .retain(|fingerprint, _| self.entries.contains_key(fingerprint));
    }
}

/// Selects the trial node by rendezvous hashing among the nodes other than `local_node`.
fn trial_node(
    fingerprint: Fingerprint,
    local_node: &NodeId,
    others: &[NodeRecord],
) -> Option<NodeId> {
    others
        .iter()
        .filter(|node| node.id != *local_node && node.accepts_work())
        .max_by_key(|node| trial_score(fingerprint, &node.id))
        .map(|node| node.id.clone())
}

/// Selects the node that follows `from` in descending order of the hashes, cyclically.
///
/// Several nodes may have lost their backend servers. A trial that is reassigned repeatedly visits
/// all nodes before a node gets it again.
fn next_trial_node(
    fingerprint: Fingerprint,
    from: &NodeId,
    others: &[NodeRecord],
) -> Option<NodeId> {
    let from_score = trial_score(fingerprint, from);
    others
        .iter()
        .filter(|node| node.id != *from && node.accepts_work())
        .max_by_key(|node| {
            let score = trial_score(fingerprint, &node.id);
            (score < from_score, score)
        })
        .map(|node| node.id.clone())
}

fn trial_score(fingerprint: Fingerprint, node: &NodeId) -> [u8; 16] {
    digest_of(&[&fingerprint.bits().to_be_bytes(), node.as_str().as_bytes()])
}

/// The fingerprints of the requests that the local backend server finished recently.
#[derive(Debug, Default)]
struct FinishedSet {
    members: HashSet<Fingerprint>,
    order: VecDeque<Fingerprint>,
}

impl FinishedSet {
    /// Maximum number of fingerprints. The oldest are removed first.
    const MEMBERS_MAX: usize = 4096;

    fn insert(&mut self, fingerprint: Fingerprint) {
        if !self.members.insert(fingerprint) {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > Self::MEMBERS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.members.remove(&oldest);
        }
    }

    fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.members.contains(fingerprint)
    }
}
