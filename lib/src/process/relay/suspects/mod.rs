//! Handles requests that may crash backend servers, on the path to the local backend server.
//!
//! A suspect runs on trial beside other requests, but one at a time. A crash under load has many
//! suspects, and emptying the server for each would cost callers more than a second crash. Suspects
//! that had finished on the crashed server before run beside each other, because most of them are
//! popular requests that only happened to be there.

mod admission;
mod ingress;
mod notification;
mod run;

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::timeout;

use self::admission::TRIAL_WAIT_MAX;
use self::admission::TRIALS_MAX;
pub(super) use self::admission::admit;
use self::admission::busy_with_trial;
pub(super) use self::ingress::trial_node_of;
pub(super) use self::notification::learn_of_failure;
pub(super) use self::notification::learn_suspects;
pub(super) use self::run::reassign_trials;
pub(super) use self::run::report_crash_after_give_up;
use super::node::RelayNode;
use crate::process::membership::NodeRecord;
use crate::process::suspects::Runs;
use crate::process::suspects::SuspectEntry;
use crate::process::suspects::SuspectStatus;
use crate::process::suspects::Suspects;
use crate::request::Refusal;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// The state of a node for requests that may crash backend servers.
///
/// Neither the table nor the runs is held across an await, or while the other one is acquired.
#[derive(Debug)]
pub(super) struct SuspectState {
    table: Mutex<Suspects>,
    runs: Mutex<Runs>,
    /// A trial takes one permit if others may run beside it, and all of them if not.
    trials: Arc<Semaphore>,
    /// Wakes requests that wait for the trial of an equal one.
    trial_ended: Notify,
    /// Wakes trials that were given up, which a crash decides.
    crash_reported: Notify,
    /// Whether a starting node has asked other nodes for the suspects that they know.
    is_learned: watch::Sender<bool>,
    /// Wakes the task that stores quarantines.
    pub(super) quarantine_formed: Notify,
    /// When the last probe began that found the backend server listening. Held while a crash is
    /// detected and reported, so that each crash is reported once, before any response to its
    /// requests.
    found_listening: tokio::sync::Mutex<Option<MonotonicTime>>,
}

impl SuspectState {
    /// Creates the state without suspects.
    pub(super) fn new(own_id: NodeId) -> Self {
        Self {
            table: Mutex::new(Suspects::new(own_id)),
            runs: Mutex::default(),
            trials: Arc::new(Semaphore::new(TRIALS_MAX as usize)),
            trial_ended: Notify::new(),
            crash_reported: Notify::new(),
            is_learned: watch::Sender::new(false),
            quarantine_formed: Notify::new(),
            found_listening: tokio::sync::Mutex::default(),
        }
    }

    /// Returns all entries.
    pub(super) fn entries(&self) -> Vec<SuspectEntry> {
        self.table.lock().entries().cloned().collect()
    }

    /// Returns the entries of quarantined requests.
    pub(super) fn quarantined(&self) -> Vec<SuspectEntry> {
        let table = self.table.lock();
        let entries = table.entries();
        let quarantined = entries.filter(|entry| entry.status() == SuspectStatus::Quarantined);
        quarantined.cloned().collect()
    }

    async fn wait_until_learned(&self) -> Result<(), Refusal> {
        if *self.is_learned.borrow() {
            return Ok(());
        }
        let mut is_learned = self.is_learned.subscribe();
        let learned = timeout(TRIAL_WAIT_MAX, is_learned.wait_for(|learned| *learned)).await;
        match learned {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(busy_with_trial()),
        }
    }
}

impl RelayNode {
    /// Merges suspects known to another node; returns the entries of which this node knows more.
    pub fn merge_suspects(&self, updates: &[SuspectEntry]) -> Vec<SuspectEntry> {
        let wall = self.clock.wall();
        let unknown_to_sender = self.suspects.table.lock().merge(updates, wall);
        self.suspects.quarantine_formed.notify_one();
        unknown_to_sender
    }

    /// Merges what a notified node replied. Returns the entries of which this node knows more now:
    /// several nodes may reply the same.
    fn learn_more(&self, known: &[SuspectEntry]) -> Option<Vec<SuspectEntry>> {
        let before = self.suspects.table.lock().current(known);
        self.merge_suspects(known);
        let mut current = self.suspects.table.lock().current(known);
        current.retain(|entry| !before.contains(entry));
        (!current.is_empty()).then_some(current)
    }

    /// Returns the nodes with a backend server of this node's service, outside of evacuated zones.
    fn serving_nodes(&self) -> Vec<NodeRecord> {
        let members = self.members();
        let serving = members.serving(&self.settings.raw.service).iter();
        let evacuations = self.evacuations.lock();
        let open = serving.filter(|record| !evacuations.contains(&record.zone));
        open.cloned().collect()
    }

    fn is_serving(&self, node: &NodeId) -> bool {
        let members = self.members();
        let serving = members.serving(&self.settings.raw.service);
        serving.iter().any(|record| record.id == *node)
    }
}
