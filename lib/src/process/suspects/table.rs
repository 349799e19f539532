//! The requests of one node's knowledge that may crash backend servers.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::CrashSite;
use super::Fingerprint;
use super::SuspectEntry;
use super::SuspectStatus;
use crate::process::membership::NodeRecord;
use crate::process::once::digest_of;
use crate::values::NodeId;
use crate::values::WallTime;

/// What to do with a request, as far as crashes are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectAdmission {
    /// Run it like any other.
    Run,
    /// Run it while nothing else runs on the backend server, then report how it ended.
    RunAlone,
    /// Not run: another copy is on trial on this node.
    TrialRunning,
    /// Not run here: only this node may run it.
    OnlyOn(NodeId),
    /// Not run: it was present at crashes of two servers.
    Quarantined,
}

/// The suspected requests that one node knows.
///
/// The table of each node of a service is told of a crash before the callers of the crashed
/// server get their answers, so that a resend never meets a node that doesn't know.
#[derive(Debug)]
pub struct Suspects {
    me: NodeId,
    entries: BTreeMap<Fingerprint, SuspectEntry>,
    on_trial: HashSet<Fingerprint>,
    finished: FinishedSet,
}

impl Suspects {
    /// Entries that a table keeps. The oldest ones give way.
    pub const ENTRIES_MAX: usize = 4096;

    /// Time for which a request stays suspected or quarantined after a crash.
    pub const QUARANTINE: Duration = Duration::from_secs(600);

    /// Makes the table of the node `me`.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            entries: BTreeMap::new(),
            on_trial: HashSet::new(),
            finished: FinishedSet::default(),
        }
    }

    /// Notes that the backend server beside this node crashed.
    ///
    /// Returns the entries to be sent to the other nodes of the service. Requests that finished
    /// lately on this server are no suspects. The node for the trial is chosen by hash among
    /// `others`; without any, the request stays refused until the entry ends.
    pub fn on_crash(
        &mut self,
        in_flight: impl IntoIterator<Item = Fingerprint>,
        others: &[NodeRecord],
        wall: WallTime,
    ) -> Vec<SuspectEntry> {
        let mut news = Vec::new();
        for fingerprint in in_flight {
            let tried = self.on_trial.remove(&fingerprint);
            if tried || !self.finished.contains(&fingerprint) {
                news.push(self.suspect(fingerprint, others, wall));
            }
        }
        news.extend(self.reassign_trials(others));
        self.expire(wall);
        news
    }

    /// Names another node for each trial that was to take place here.
    ///
    /// To be called when no backend server stands beside this node any more. Returns the entries
    /// to be sent to the other nodes of the service.
    pub fn reassign_trials(&mut self, others: &[NodeRecord]) -> Vec<SuspectEntry> {
        let me = self.me.clone();
        self.entries
            .values_mut()
            .filter(|entry| entry.status() == SuspectStatus::Suspected && entry.is_trial_node(&me))
            .filter_map(|entry| {
                entry.assign_trial(next_trial_node(entry.fingerprint, &me, others)?);
                Some(entry.clone())
            })
            .collect()
    }

    fn suspect(
        &mut self,
        fingerprint: Fingerprint,
        others: &[NodeRecord],
        wall: WallTime,
    ) -> SuspectEntry {
        let site = CrashSite {
            node: self.me.clone(),
            at: wall,
        };
        let me = self.me.clone();
        let entry = self.entry(fingerprint);
        entry.crashes.insert(site);
        if entry.trial.is_none() {
            entry.assign_trial(trial_node(fingerprint, &me, others).unwrap_or(me));
        }
        entry.clone()
    }

    fn entry(&mut self, fingerprint: Fingerprint) -> &mut SuspectEntry {
        self.entries
            .entry(fingerprint)
            .or_insert_with(|| SuspectEntry::new(fingerprint))
    }

    /// Decides on a request before it is handed to the backend server beside this node.
    pub fn admit(&mut self, fingerprint: Fingerprint) -> SuspectAdmission {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return SuspectAdmission::Run;
        };
        match (entry.status(), &entry.trial) {
            (SuspectStatus::Cleared, _) => SuspectAdmission::Run,
            (SuspectStatus::Quarantined, _) => SuspectAdmission::Quarantined,
            (SuspectStatus::Suspected, Some(trial)) if trial.node != self.me => {
                SuspectAdmission::OnlyOn(trial.node.clone())
            }
            (SuspectStatus::Suspected, _) if !self.on_trial.insert(fingerprint) => {
                SuspectAdmission::TrialRunning
            }
            (SuspectStatus::Suspected, _) => SuspectAdmission::RunAlone,
        }
    }

    /// Notes that a request was not handed to the backend server after all.
    pub fn on_not_run(&mut self, fingerprint: Fingerprint) {
        self.on_trial.remove(&fingerprint);
    }

    /// Notes that the backend server beside this node answered a request.
    ///
    /// Returns the entry to be sent to the other nodes of the service if this cleared it.
    pub fn on_finished(&mut self, fingerprint: Fingerprint) -> Option<SuspectEntry> {
        self.on_trial.remove(&fingerprint);
        self.finished.insert(fingerprint);
        let entry = self.entries.get_mut(&fingerprint)?;
        entry.clear_after_finish(&self.me).then(|| entry.clone())
    }

    /// Takes in what another node knows.
    ///
    /// Returns the entries that this node can clear at once, because it answered such requests
    /// lately. They are to be sent to the other nodes of the service.
    pub fn merge(&mut self, news: &[SuspectEntry], wall: WallTime) -> Vec<SuspectEntry> {
        let mut clearances = Vec::new();
        for other in news {
            let finished = self.finished.contains(&other.fingerprint);
            let me = self.me.clone();
            let entry = self.entry(other.fingerprint);
            entry.merge(other);
            if finished && entry.clear_after_finish(&me) {
                clearances.push(entry.clone());
            }
        }
        self.expire(wall);
        clearances
    }

    /// Returns all entries, for an exchange with a node that may have missed some.
    pub fn entries(&self) -> impl Iterator<Item = &SuspectEntry> {
        self.entries.values()
    }

    /// Removes entries whose time has passed, and the oldest ones beyond the bound.
    pub fn expire(&mut self, wall: WallTime) {
        let quarantine_ms = Self::QUARANTINE.as_millis() as u64;
        self.entries
            .retain(|_, entry| entry.latest_crash_at().0 + quarantine_ms > wall.0);
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
    }
}

/// Chooses the node for a trial by hash among the nodes other than `me`.
fn trial_node(fingerprint: Fingerprint, me: &NodeId, others: &[NodeRecord]) -> Option<NodeId> {
    others
        .iter()
        .filter(|node| node.id != *me && node.takes_work())
        .max_by_key(|node| trial_score(fingerprint, &node.id))
        .map(|node| node.id.clone())
}

/// Chooses the node after `me` in the order of the hashes, and the first one after the last.
///
/// Several nodes may have lost their backend servers: a trial that is passed on visits all nodes
/// before it comes back.
fn next_trial_node(fingerprint: Fingerprint, me: &NodeId, others: &[NodeRecord]) -> Option<NodeId> {
    let mine = trial_score(fingerprint, me);
    others
        .iter()
        .filter(|node| node.id != *me && node.takes_work())
        .max_by_key(|node| {
            let score = trial_score(fingerprint, &node.id);
            (score < mine, score)
        })
        .map(|node| node.id.clone())
}

fn trial_score(fingerprint: Fingerprint, node: &NodeId) -> [u8; 16] {
    digest_of(&[&fingerprint.bits().to_be_bytes(), node.as_str().as_bytes()])
}

/// The fingerprints that the backend server beside this node answered lately.
#[derive(Debug, Default)]
struct FinishedSet {
    members: HashSet<Fingerprint>,
    order: VecDeque<Fingerprint>,
}

impl FinishedSet {
    /// Fingerprints that are remembered.
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
