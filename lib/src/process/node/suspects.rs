//! Requests that may crash backend servers, on the path to the backend server beside this node.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
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
use crate::process::once::ContentDigest;
use crate::process::suspects::Fingerprint;
use crate::process::suspects::SuspectAdmission;
use crate::process::suspects::SuspectEntry;
use crate::process::suspects::SuspectStatus;
use crate::process::suspects::Suspects;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::NodeId;
use crate::values::OrganisationId;

/// When a caller may come back for a request that is on trial or may run elsewhere only.
const TRIAL_RETRY_MS: u64 = 200;
/// Longest time that a suspect waits until nothing else runs on the backend server.
const EXCLUSIVE_WAIT_MAX: Duration = Duration::from_millis(500);
/// Longest time for other nodes to take news before the failed requests are answered.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for a connection that shows whether the backend server still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long such a connection must stay open. The sockets of a process that ends are closed one
/// after the other; half of `PROBE_TIMEOUT` covers that on a busy machine.
const PROBE_SETTLE: Duration = Duration::from_millis(100);

number_type! {
    /// Tells the runs on the backend server beside a node apart.
    RunId(u64)
}

/// What a node knows of requests that may crash backend servers.
///
/// Lock order: the table, the runs. Neither is held over a call. `alone` is held by each run:
/// shared by all but those on trial.
#[derive(Debug)]
pub(super) struct SuspectState {
    table: Mutex<Suspects>,
    runs: Mutex<Runs>,
    run_lock: Arc<RwLock<()>>,
    reporting: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct Runs {
    last: RunId,
    fingerprints: HashMap<RunId, Fingerprint>,
}

/// Keeps other requests away from one on trial, until it is dropped.
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
    _guard: RunGuard,
}

impl SuspectState {
    /// Starts without suspects.
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

/// Admits a request to the backend server as far as crashes are concerned.
pub(super) async fn admit(
    node: &Arc<Node>,
    organisation: Option<&OrganisationId>,
    request: &BufferedRequest,
) -> Result<SuspectRun, Refusal> {
    let uri = request.uri.to_string();
    let content = ContentDigest::of(request.method.as_str(), &uri, &request.body);
    let fingerprint = Fingerprint::of(organisation, content);
    let admission = node.suspects.table.lock().admit(fingerprint);
    let guard = match admission {
        SuspectAdmission::Run => lock_shared(node)?,
        SuspectAdmission::RunAlone => lock_exclusive(node, fingerprint).await?,
        SuspectAdmission::TrialRunning => return Err(busy_with_trial()),
        SuspectAdmission::OnlyOn(other) => return Err(busy_with_trial().only_on(other)),
        SuspectAdmission::Quarantined => {
            return Err(Refusal::not_run(RefusalReason::Quarantined));
        }
    };
    let mut runs = node.suspects.runs.lock();
    let id = RunId(runs.last.0 + 1);
    runs.last = id;
    runs.fingerprints.insert(id, fingerprint);
    Ok(SuspectRun {
        node: Arc::clone(node),
        id,
        fingerprint,
        _guard: guard,
    })
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
            node.suspects.table.lock().on_not_run(fingerprint);
            Err(busy_with_trial())
        }
    }
}

impl SuspectRun {
    /// Notes that the backend server answered.
    pub(super) fn finish(self) {
        let cleared = self
            .node
            .suspects
            .table
            .lock()
            .on_finished(self.fingerprint);
        if let Some(entry) = cleared {
            let node = Arc::clone(&self.node);
            tokio::spawn(async move { notify(&node, vec![entry]).await });
        }
    }

    /// Notes that the exchange failed after a part of the request was sent.
    ///
    /// If the backend server crashed, this returns only after the other nodes of the service were
    /// told, so that no resend meets a node that does not know.
    pub(super) async fn fail(self, server: &LocalServer) {
        let _reporting = self.node.suspects.reporting.lock().await;
        let is_reported = !self.is_registered();
        if is_reported || is_listening(server).await {
            return;
        }
        let in_flight = std::mem::take(&mut self.node.suspects.runs.lock().fingerprints);
        let others = other_nodes(&self.node);
        let wall = self.node.clock.wall();
        let updates =
            self.node
                .suspects
                .table
                .lock()
                .on_crash(in_flight.into_values(), &others, wall);
        events::SERVER_CRASHED.log(format_args!("{} suspects", updates.len()));
        log_quarantined(&updates);
        notify(&self.node, updates).await;
    }

    fn is_registered(&self) -> bool {
        self.node
            .suspects
            .runs
            .lock()
            .fingerprints
            .contains_key(&self.id)
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.node.suspects.table.lock().on_not_run(self.fingerprint);
        self.node.suspects.runs.lock().fingerprints.remove(&self.id);
    }
}

/// Returns whether the backend server still accepts connections, and keeps them.
async fn is_listening(server: &LocalServer) -> bool {
    let probe = TcpStream::connect(server.announcement.address);
    let Ok(Ok(mut probe)) = timeout(PROBE_TIMEOUT, probe).await else {
        return false;
    };
    // Nothing was asked, so that any end of the read is that of the connection.
    timeout(PROBE_SETTLE, probe.read_u8()).await.is_err()
}

/// Names other nodes for the trials that were to take place here, and tells them.
///
/// To be called when no backend server stands beside this node.
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

/// Tells the other nodes of the service, and passes on what they can clear.
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
    /// Takes in what another node knows of suspects; returns those that this node can clear.
    pub fn merge_suspects(&self, updates: &[SuspectEntry]) -> Vec<SuspectEntry> {
        let wall = self.clock.wall();
        self.suspects.table.lock().merge(updates, wall)
    }
}
