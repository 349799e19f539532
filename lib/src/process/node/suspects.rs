//! Handles requests that may crash backend servers, on the path to the local backend server.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use parking_lot::Mutex;
use tokio::sync::OwnedRwLockReadGuard;
use tokio::sync::OwnedRwLockWriteGuard;
use tokio::sync::RwLock;
use tokio::time::timeout;

use super::Node;
use super::local_server::LocalServer;
use crate::connection::BufferedRequest;
use crate::process::control;
use crate::process::control::ControlClient;
use crate::process::events::once as events;
use crate::process::membership::NodeRecord;
use crate::process::suspects::Fingerprint;
use crate::process::suspects::RunId;
use crate::process::suspects::Runs;
use crate::process::suspects::SuspectAdmission;
use crate::process::suspects::SuspectEntry;
use crate::process::suspects::SuspectStatus;
use crate::process::suspects::Suspects;
use crate::process::suspects::is_finished;
use crate::process::suspects::is_listening;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::NodeId;
use crate::values::OrganisationId;

/// Delay in milliseconds after which a caller may retry a request that was refused because of a
/// trial.
const TRIAL_RETRY_MS: u64 = 200;
/// Maximum time for which a suspect waits until no other request runs on the backend server.
const EXCLUSIVE_WAIT_MAX: Duration = Duration::from_millis(500);
/// Timeout for a notification of other nodes, which precedes the responses to the failed requests.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);

/// The state of a node for requests that may crash backend servers.
///
/// Lock order: the table, the runs. Neither is held across a call. Each run holds `run_lock`: a
/// trial exclusively, any other run shared.
#[derive(Debug)]
pub(super) struct SuspectState {
    table: Mutex<Suspects>,
    runs: Mutex<Runs>,
    run_lock: Arc<RwLock<()>>,
    reporting: tokio::sync::Mutex<()>,
}

/// A run's lock on the backend server: a trial excludes all other runs until this is dropped.
#[derive(Debug)]
enum RunGuard {
    Shared { _guard: OwnedRwLockReadGuard<()> },
    Exclusive { _guard: OwnedRwLockWriteGuard<()> },
}

/// A request that is admitted to the backend server; dropping it ends the run.
#[derive(Debug)]
pub(super) struct SuspectRun {
    node: Arc<Node>,
    id: RunId,
    fingerprint: Fingerprint,
    is_trial: bool,
    _guard: RunGuard,
}

impl SuspectState {
    /// Creates the state without suspects.
    pub(super) fn new(own_id: NodeId) -> Self {
        Self {
            table: Mutex::new(Suspects::new(own_id)),
            runs: Mutex::default(),
            run_lock: Arc::default(),
            reporting: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the number of entries in the table.
    pub(super) fn count(&self) -> usize {
        self.table.lock().entries().count()
    }
}

/// Admits a request to the backend server, or refuses it because it is suspected of crashes.
pub(super) async fn admit(
    node: &Arc<Node>,
    organisation: Option<&OrganisationId>,
    request: &BufferedRequest,
) -> Result<SuspectRun, Refusal> {
    let service = &node.settings.service;
    let fingerprint = Fingerprint::of_request(service, organisation, request);
    let admission = node.suspects.table.lock().admit(fingerprint);
    let admission = match admission {
        SuspectAdmission::Elsewhere => other_node_for(node, fingerprint),
        admission => admission,
    };
    let is_trial = matches!(
        admission,
        SuspectAdmission::RunAlone | SuspectAdmission::RunFamiliar
    );
    let guard = match admission {
        SuspectAdmission::Run => lock_shared(node)?,
        SuspectAdmission::RunFamiliar => lock_shared(node).inspect_err(|_| {
            node.suspects.table.lock().on_not_cleared(fingerprint);
        })?,
        SuspectAdmission::RunAlone => lock_exclusive(node, fingerprint).await?,
        SuspectAdmission::TrialRunning | SuspectAdmission::Elsewhere => {
            return Err(busy_with_trial());
        }
        SuspectAdmission::OnlyOn(other) => return Err(busy_with_trial().only_on(other)),
        SuspectAdmission::Quarantined => {
            return Err(Refusal::not_run(RefusalReason::Quarantined));
        }
    };
    let id = node.suspects.runs.lock().add(fingerprint);
    Ok(SuspectRun {
        node: Arc::clone(node),
        id,
        fingerprint,
        is_trial,
        _guard: guard,
    })
}

fn other_node_for(node: &Node, fingerprint: Fingerprint) -> SuspectAdmission {
    let others = other_nodes(node);
    let other = node.suspects.table.lock().other_node(fingerprint, &others);
    other.map_or(SuspectAdmission::Run, SuspectAdmission::OnlyOn)
}

fn busy_with_trial() -> Refusal {
    Refusal::not_run(RefusalReason::Overloaded).retry_after_ms(TRIAL_RETRY_MS)
}

fn lock_shared(node: &Node) -> Result<RunGuard, Refusal> {
    let guard = Arc::clone(&node.suspects.run_lock).try_read_owned();
    match guard {
        Ok(guard) => Ok(RunGuard::Shared { _guard: guard }),
        Err(_) => Err(busy_with_trial()),
    }
}

async fn lock_exclusive(node: &Node, fingerprint: Fingerprint) -> Result<RunGuard, Refusal> {
    let waiting = Arc::clone(&node.suspects.run_lock).write_owned();
    match timeout(EXCLUSIVE_WAIT_MAX, waiting).await {
        Ok(guard) => Ok(RunGuard::Exclusive { _guard: guard }),
        Err(_) => {
            node.suspects.table.lock().on_not_cleared(fingerprint);
            Err(busy_with_trial())
        }
    }
}

impl SuspectRun {
    /// Records that the backend server responded. Notifies other nodes if that clears a suspect, or
    /// if another node has to try it because this server failed it.
    pub(super) fn finish(self, status: StatusCode) {
        if !self.is_registered() {
            return;
        }
        let others = other_nodes(&self.node);
        let mut table = self.node.suspects.table.lock();
        let changed = match is_finished(status) {
            true => table.on_finished(self.fingerprint),
            false if self.is_trial => table.on_failed_trial(self.fingerprint, &others),
            false => None,
        };
        drop(table);
        if let Some(entry) = changed {
            let node = Arc::clone(&self.node);
            tokio::spawn(async move { notify(&node, vec![entry]).await });
        }
    }

    /// Records that the exchange failed after a part of the request was sent.
    ///
    /// If the backend server crashed, this returns only after the other nodes of the service were
    /// notified, so that a resent request does not reach a node that does not know the suspects.
    pub(super) async fn fail(self, server: &LocalServer) {
        let _reporting = self.node.suspects.reporting.lock().await;
        let is_reported = !self.is_registered();
        if is_reported || is_listening(server.announcement.address).await {
            return;
        }
        let in_flight = self.node.suspects.runs.lock().take();
        let others = other_nodes(&self.node);
        let wall = self.node.clock.wall();
        let updates = self
            .node
            .suspects
            .table
            .lock()
            .on_crash(in_flight, &others, wall);
        events::SERVER_CRASHED.log(format_args!("{} suspects", updates.len()));
        log_quarantined(&updates);
        notify(&self.node, updates).await;
    }

    fn is_registered(&self) -> bool {
        self.node.suspects.runs.lock().contains(self.id)
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        if self.is_trial {
            let mut table = self.node.suspects.table.lock();
            table.on_not_cleared(self.fingerprint);
        }
        self.node.suspects.runs.lock().remove(self.id);
    }
}

/// Assigns the trials of this node to other nodes, and notifies them.
///
/// To be called when this node has no backend server.
pub(super) async fn reassign_trials(node: &Arc<Node>) {
    let others = other_nodes(node);
    let moved = node.suspects.table.lock().reassign_trials(&others);
    notify(node, moved).await;
}

/// Returns the other nodes of the service.
fn other_nodes(node: &Node) -> Vec<NodeRecord> {
    let members = node.members();
    members
        .serving(&node.settings.service)
        .iter()
        .filter(|record| record.id != node.settings.node)
        .cloned()
        .collect()
}

/// Notifies the other nodes of the service, and again of what any of them knows beyond that.
async fn notify(node: &Arc<Node>, updates: Vec<SuspectEntry>) {
    if updates.is_empty() {
        return;
    }
    let others = other_nodes(node);
    let cleared = notify_all(node, &others, &updates).await;
    if !cleared.is_empty() {
        node.merge_suspects(&cleared);
        notify_all(node, &others, &cleared).await;
    }
}

async fn notify_all(
    node: &Node,
    others: &[NodeRecord],
    updates: &[SuspectEntry],
) -> Vec<SuspectEntry> {
    let calls = others.iter().map(|other| async {
        let secret = &node.settings.fleet_secret;
        let control = control::connect(other.addresses.control, secret, NOTIFY_TIMEOUT).ok()?;
        control.suspect_news(updates.to_vec()).await.ok()
    });
    let replies = join_all(calls).await;
    replies.into_iter().flatten().flatten().collect()
}

fn log_quarantined(entries: &[SuspectEntry]) {
    let quarantined = entries
        .iter()
        .filter(|entry| entry.status() == SuspectStatus::Quarantined)
        .count();
    if quarantined > 0 {
        events::SUSPECT_QUARANTINED.log(format_args!("{quarantined} requests"));
    }
}

impl Node {
    /// Merges suspects known to another node; returns the entries of which this node knows more.
    pub fn merge_suspects(&self, updates: &[SuspectEntry]) -> Vec<SuspectEntry> {
        let wall = self.clock.wall();
        self.suspects.table.lock().merge(updates, wall)
    }
}
