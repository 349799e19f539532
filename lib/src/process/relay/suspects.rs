//! Handles requests that may crash backend servers, on the path to the local backend server.
//!
//! A suspect runs on trial beside other requests, but one at a time. A crash under load has many
//! suspects, and emptying the server for each would cost callers more than a second crash. Suspects
//! that had finished on the crashed server before run beside each other, because most of them are
//! popular requests that only happened to be there.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use http::StatusCode;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use super::frame::ExchangeId;
use super::frame::Head;
use super::frame::encode_frame;
use super::link::LinkFailure;
use super::link::PeerReply;
use super::node::RelayNode;
use crate::connection::BufferedRequest;
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
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::ServiceId;

/// Delay in milliseconds after which a caller may retry a request that was refused because of a
/// trial.
const TRIAL_RETRY_MS: u64 = 200;
/// Number of trials that may run beside each other.
const TRIALS_MAX: u32 = 64;
/// Maximum time for which a suspect waits for the trial before it.
const TRIAL_WAIT_MAX: Duration = Duration::from_millis(500);
/// Longest delay of the responses to failed requests until the other nodes are notified.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which the notification of a node is retried: an instance that stands still for a moment
/// gets it afterwards.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between attempts to notify a node.
const DELIVERY_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after which a starting node asks again, and doubles it each time: the others notify it of
/// crashes only when they know its new address.
const LEARN_AGAIN_DELAY: Duration = Duration::from_millis(100);
/// Number of times that a starting node asks again, until 1.5 s after it started.
const LEARN_AGAIN_TIMES: u32 = 4;
/// Number of nodes that a starting node asks for suspects. One of them may have missed some.
const LEARN_NODES: usize = 3;

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

/// Asks other nodes for the suspects that they know, of which an earlier process of this node may
/// have known. Until then, no request runs on the local backend server.
pub(super) async fn learn_suspects(node: Arc<RelayNode>) {
    node.wait_until_fleet_is_listed().await;
    ask_others(&node).await;
    node.suspects.is_learned.send_replace(true);
    for time in 0..LEARN_AGAIN_TIMES {
        sleep(LEARN_AGAIN_DELAY * 2_u32.pow(time)).await;
        ask_others(&node).await;
    }
}

/// Asks the node at which a request failed whether its server crashed, unless a notification came
/// already. The node may not know the address of this one, if that was started lately.
pub(super) async fn learn_of_failure(
    node: &RelayNode,
    service: &ServiceId,
    organisation: Option<&OrganisationId>,
    request: &BufferedRequest,
    failed_at: &NodeRecord,
) {
    let fingerprint = Fingerprint::of_request(service, organisation, request);
    let is_known = node
        .suspects
        .table
        .lock()
        .restriction(fingerprint)
        .is_some();
    if is_known || failed_at.id == node.settings.raw.node {
        return;
    }
    // The reply to an entry without crashes has those that its receiver knows.
    let question = |exchange| {
        let entries = vec![SuspectEntry::new(fingerprint)];
        suspects_frame(&Head::SuspectUpdates { exchange, entries })
    };
    let asking = ask_for_suspects(node, failed_at, question);
    // Links log why a node cannot be reached.
    if let Ok(Some(known)) = timeout(NOTIFY_TIMEOUT, asking).await {
        node.merge_suspects(&known);
    }
}

async fn ask_others(node: &Arc<RelayNode>) {
    let members = node.members();
    let others: Vec<_> = members
        .nodes()
        .filter(|record| record.id != node.settings.raw.node && record.accepts_work())
        .collect();
    let asked = others.choose_multiple(&mut rand::rng(), LEARN_NODES);
    let replies = asked.map(|other| {
        let request = |exchange| suspects_frame(&Head::SuspectsRequest { exchange });
        timeout(NOTIFY_TIMEOUT, ask_for_suspects(node, other, request))
    });
    for reply in join_all(replies).await {
        // Links log why a node cannot be reached.
        if let Ok(Some(entries)) = reply {
            node.merge_suspects(&entries);
        }
    }
}

/// Returns the only node that may run a request, as far as this node knows, or a refusal if none
/// may. Any node may run a request that is not suspected.
///
/// The node of the backend server decides itself, but may have missed a notification.
pub(super) async fn trial_node_of(
    node: &Arc<RelayNode>,
    service: &ServiceId,
    organisation: Option<&OrganisationId>,
    request: &BufferedRequest,
) -> Result<Option<NodeId>, Refusal> {
    if node.suspects.table.lock().is_empty() {
        return Ok(None);
    }
    let fingerprint = Fingerprint::of_request(service, organisation, request);
    let Some(trial) = known_trial_node(node, fingerprint)? else {
        return Ok(None);
    };
    let members = node.members();
    let serving = members.serving(service);
    match serving.iter().find(|record| record.id == trial) {
        Some(record) if node.links.is_unresponsive(record) => {
            replace_unresponsive_trial_node(node, serving, &trial).await;
            known_trial_node(node, fingerprint)
        }
        Some(_) => Ok(Some(trial)),
        // The node that gets the request assigns the trial to another one.
        None => Ok(None),
    }
}

fn known_trial_node(node: &RelayNode, fingerprint: Fingerprint) -> Result<Option<NodeId>, Refusal> {
    let restriction = node.suspects.table.lock().restriction(fingerprint);
    match restriction {
        Some(SuspectAdmission::OnlyOn(trial)) => Ok(Some(trial)),
        Some(SuspectAdmission::Quarantined) => Err(refusal_of(SuspectAdmission::Quarantined)),
        Some(_) | None => Ok(None),
    }
}

/// Reassigns the trials of a node that is listed but sends nothing. Returns once the others know.
async fn replace_unresponsive_trial_node(
    node: &Arc<RelayNode>,
    serving: &[NodeRecord],
    trial: &NodeId,
) {
    let responsive = serving.iter();
    let responsive = responsive.filter(|record| !node.links.is_unresponsive(record));
    let responsive: Vec<NodeRecord> = responsive.cloned().collect();
    let moved = node
        .suspects
        .table
        .lock()
        .reassign_trials_of(trial, &responsive);
    notify(node, moved).await;
}

/// A request that may go to the backend server in view of earlier crashes.
pub(super) struct SuspectPermit {
    node: Arc<RelayNode>,
    fingerprint: Fingerprint,
    is_trial: bool,
    trial_lock: Option<OwnedSemaphorePermit>,
}

/// A request on its way to the backend server; dropping it ends the run.
pub(super) struct SuspectRun {
    permit: SuspectPermit,
    id: RunId,
}

/// Admits a request, or refuses it because it is suspected of crashes.
///
/// Waits while an equal request or another suspect is on trial, for half of `remaining` at most, so
/// that another node can still run a request that is refused.
pub(super) async fn admit(
    node: &Arc<RelayNode>,
    organisation: Option<&OrganisationId>,
    request: &BufferedRequest,
    remaining: Duration,
) -> Result<SuspectPermit, Refusal> {
    node.suspects.wait_until_learned().await?;
    let service = &node.settings.raw.service;
    let fingerprint = Fingerprint::of_request(service, organisation, request);
    let wait_until = Instant::now() + TRIAL_WAIT_MAX.min(remaining / 2);
    let admission = admit_after_trial(node, fingerprint, wait_until).await;
    let permits = match admission {
        SuspectAdmission::Run => 0,
        SuspectAdmission::RunFamiliar => 1,
        SuspectAdmission::RunAlone => TRIALS_MAX,
        refused => return Err(refusal_of(refused)),
    };
    let mut permit = SuspectPermit {
        node: Arc::clone(node),
        fingerprint,
        is_trial: permits > 0,
        trial_lock: None,
    };
    if permit.is_trial {
        permit.trial_lock = Some(acquire_trial(node, permits, wait_until).await?);
    }
    Ok(permit)
}

/// Waits while an equal request is on trial; its response may clear this one.
async fn admit_after_trial(
    node: &Arc<RelayNode>,
    fingerprint: Fingerprint,
    wait_until: Instant,
) -> SuspectAdmission {
    loop {
        let mut ended = pin!(node.suspects.trial_ended.notified());
        // A trial that ends after the table was read must not be missed.
        ended.as_mut().enable();
        let admission = admit_now(node, fingerprint);
        if admission != SuspectAdmission::TrialRunning {
            return admission;
        }
        if timeout_at(wait_until, ended).await.is_err() {
            return admission;
        }
    }
}

/// Decides on a request; replaces its trial node if that has left the fleet.
fn admit_now(node: &Arc<RelayNode>, fingerprint: Fingerprint) -> SuspectAdmission {
    let admission = node.suspects.table.lock().admit(fingerprint);
    match admission {
        SuspectAdmission::OnlyOn(trial_node) if !node.is_serving(&trial_node) => {
            replace_trial_node(node, &trial_node);
            node.suspects.table.lock().admit(fingerprint)
        }
        SuspectAdmission::Elsewhere => {
            let serving = node.serving_nodes();
            let other = node.suspects.table.lock().other_node(fingerprint, &serving);
            other.map_or(SuspectAdmission::Run, SuspectAdmission::OnlyOn)
        }
        admission => admission,
    }
}

async fn acquire_trial(
    node: &RelayNode,
    permits: u32,
    wait_until: Instant,
) -> Result<OwnedSemaphorePermit, Refusal> {
    let acquiring = Arc::clone(&node.suspects.trials).acquire_many_owned(permits);
    match timeout_at(wait_until, acquiring).await {
        Ok(Ok(permit)) => Ok(permit),
        Ok(Err(_)) | Err(_) => Err(busy_with_trial()),
    }
}

fn refusal_of(admission: SuspectAdmission) -> Refusal {
    match admission {
        SuspectAdmission::OnlyOn(node) => busy_with_trial().only_on(node),
        SuspectAdmission::Quarantined => {
            let quarantine_ms = Suspects::QUARANTINE.as_millis() as u64;
            Refusal::not_run(RefusalReason::Quarantined).retry_after_ms(quarantine_ms)
        }
        SuspectAdmission::Run
        | SuspectAdmission::Elsewhere
        | SuspectAdmission::RunAlone
        | SuspectAdmission::RunFamiliar
        | SuspectAdmission::TrialRunning => busy_with_trial(),
    }
}

fn busy_with_trial() -> Refusal {
    Refusal::not_run(RefusalReason::Overloaded).retry_after_ms(TRIAL_RETRY_MS)
}

/// Reassigns the trials of a node that has left the fleet, and notifies the other nodes.
fn replace_trial_node(node: &Arc<RelayNode>, left: &NodeId) {
    let serving = node.serving_nodes();
    let moved = node
        .suspects
        .table
        .lock()
        .reassign_trials_of(left, &serving);
    spawn_notification(node, moved);
}

impl SuspectPermit {
    /// Starts the run, unless the request became a suspect while it waited for a slot.
    pub(super) fn start(self) -> Result<SuspectRun, Refusal> {
        if !self.is_trial {
            let mut table = self.node.suspects.table.lock();
            match table.admit(self.fingerprint) {
                SuspectAdmission::Run | SuspectAdmission::Elsewhere => {}
                SuspectAdmission::RunAlone | SuspectAdmission::RunFamiliar => {
                    table.on_not_cleared(self.fingerprint);
                    return Err(busy_with_trial());
                }
                refused => return Err(refusal_of(refused)),
            }
        }
        let id = self.node.suspects.runs.lock().add(self.fingerprint);
        Ok(SuspectRun { permit: self, id })
    }
}

impl Drop for SuspectPermit {
    fn drop(&mut self) {
        if self.is_trial {
            self.node
                .suspects
                .table
                .lock()
                .on_not_cleared(self.fingerprint);
        }
    }
}

impl SuspectRun {
    /// Records that the backend server responded. Notifies other nodes if that clears a suspect, or
    /// if another node has to try it because this server failed it.
    pub(super) fn finish(self, status: StatusCode) {
        let node = &self.permit.node;
        let fingerprint = self.permit.fingerprint;
        let is_current = node.suspects.runs.lock().contains(self.id);
        let changed = match is_finished(status) {
            _ if !is_current => None,
            true => node.suspects.table.lock().on_finished(fingerprint),
            false if self.permit.is_trial => {
                let serving = node.serving_nodes();
                let mut table = node.suspects.table.lock();
                table.on_failed_trial(fingerprint, &serving)
            }
            false => None,
        };
        if let Some(entry) = &changed
            && entry.status() == SuspectStatus::Cleared
        {
            events::SUSPECT_CLEARED.log(format_args!(
                "content={} status={} crashes={}",
                entry.fingerprint,
                status.as_u16(),
                entry.cleared.len()
            ));
        }
        spawn_notification(node, changed.into_iter().collect());
    }

    /// Records that the connection failed after a part of the request was sent.
    ///
    /// If the backend server crashed, this returns only after the other nodes were notified, so
    /// that a resent request does not reach a node that does not know the suspects. They are also
    /// notified if the future is dropped, because the deadline of the request may end first.
    pub(super) async fn fail(self, server_address: SocketAddr) {
        let failed_at = self.permit.node.clock.now();
        let reporting = tokio::spawn(self.check_crash(server_address, failed_at));
        // The task only fails if the process is stopping.
        let _ = reporting.await;
    }

    async fn check_crash(self, server_address: SocketAddr, failed_at: MonotonicTime) {
        let node = &self.permit.node;
        let mut found_listening = node.suspects.found_listening.lock().await;
        let is_reported = !node.suspects.runs.lock().contains(self.id);
        if is_reported || found_listening.is_some_and(|probed_at| probed_at >= failed_at) {
            return;
        }
        let probed_at = node.clock.now();
        if is_listening(server_address).await {
            *found_listening = Some(probed_at);
            return;
        }
        report_crash(node, server_address).await;
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.permit.node.suspects.runs.lock().remove(self.id);
    }
}

async fn report_crash(node: &Arc<RelayNode>, server_address: SocketAddr) {
    let in_flight = node.suspects.runs.lock().take();
    let others = node.serving_nodes();
    let wall = node.clock.wall();
    let updates = node
        .suspects
        .table
        .lock()
        .on_crash(in_flight, &others, wall);
    events::SERVER_CRASHED.log(format_args!(
        "server_address={server_address} suspects={}",
        updates.len()
    ));
    for entry in &updates {
        if entry.status() == SuspectStatus::Quarantined {
            events::SUSPECT_QUARANTINED.log(format_args!(
                "content={} crashes={}",
                entry.fingerprint,
                entry.crashes.len()
            ));
            node.suspects.quarantine_formed.notify_one();
        }
    }
    notify(node, updates).await;
}

/// Assigns the trials of this node to other nodes, and notifies them.
///
/// To be called when this node has no backend server that accepts work.
pub(super) async fn reassign_trials(node: &Arc<RelayNode>) {
    let others = node.serving_nodes();
    let moved = node.suspects.table.lock().reassign_trials(&others);
    notify(node, moved).await;
}

fn spawn_notification(node: &Arc<RelayNode>, updates: Vec<SuspectEntry>) {
    if !updates.is_empty() {
        let node = Arc::clone(node);
        tokio::spawn(async move { notify(&node, updates).await });
    }
}

/// Notifies the other nodes, and again of what any of them knows beyond that. Waits a limited time
/// for nodes that do not respond; they are notified later.
///
/// All nodes are notified, because one whose backend server is down at the moment may get it back.
async fn notify(node: &Arc<RelayNode>, updates: Vec<SuspectEntry>) {
    let delivery = tokio::spawn(deliver(Arc::clone(node), updates));
    // The task goes on after the timeout.
    let _ = timeout(NOTIFY_TIMEOUT, delivery).await;
}

async fn deliver(node: Arc<RelayNode>, updates: Vec<SuspectEntry>) {
    let mut replies = FuturesUnordered::new();
    let mut unsent = vec![updates];
    loop {
        let members = node.members();
        for entries in unsent.drain(..).map(Arc::<[_]>::from) {
            let others = members.nodes().map(|record| record.id.clone());
            let others = others.filter(|other| *other != node.settings.raw.node);
            let calls = others.map(|other| deliver_to(&node, other, Arc::clone(&entries)));
            replies.extend(calls);
        }
        match replies.next().await {
            Some(known) => unsent.extend(node.learn_more(&known)),
            None => return,
        }
    }
}

/// Notifies one node. Returns the entries of which it knows more.
async fn deliver_to(
    node: &RelayNode,
    other: NodeId,
    updates: Arc<[SuspectEntry]>,
) -> Vec<SuspectEntry> {
    let started_at = node.clock.now();
    while !updates.is_empty() && node.clock.now().since(started_at) < DELIVERY_TIMEOUT {
        let notification = |exchange| {
            let entries = updates.to_vec();
            suspects_frame(&Head::SuspectUpdates { exchange, entries })
        };
        // Its address changes when it is replaced or restarted.
        let members = node.members();
        let Some(record) = members.node(&other) else {
            break;
        };
        if let Some(known) = ask_for_suspects(node, record, notification).await {
            return known;
        }
        sleep(DELIVERY_RETRY_DELAY).await;
    }
    // Links log why a node cannot be reached. It learns of a quarantine from the store.
    Vec::new()
}

async fn ask_for_suspects(
    node: &RelayNode,
    other: &NodeRecord,
    frame: impl FnOnce(ExchangeId) -> Result<bytes::Bytes, LinkFailure>,
) -> Option<Vec<SuspectEntry>> {
    let link = node.links.get(other).await.ok()?;
    match link.exchange(frame).await.ok()?.reply {
        PeerReply::KnownSuspects(entries) => Some(entries),
        _ => None,
    }
}

fn suspects_frame(head: &Head<'_>) -> Result<bytes::Bytes, LinkFailure> {
    encode_frame(head, &[]).map_err(|_| LinkFailure::NotSent)
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

    /// Returns the nodes with a backend server of this node's service.
    fn serving_nodes(&self) -> Vec<NodeRecord> {
        self.members().serving(&self.settings.raw.service).to_vec()
    }

    fn is_serving(&self, node: &NodeId) -> bool {
        let members = self.members();
        let serving = members.serving(&self.settings.raw.service);
        serving.iter().any(|record| record.id == *node)
    }
}
