//! The run of an admitted request, and the crash of the backend server under it.

use std::net::SocketAddr;
use std::sync::Arc;

use http::StatusCode;
use tokio::runtime::Handle;
use tokio::time::timeout;

use super::admission::GivenUpTrial;
use super::admission::SuspectPermit;
use super::notification::notify;
use super::notification::spawn_notification;
use crate::process::events::once as events;
use crate::process::relay::node::RelayNode;
use crate::process::suspects::Fingerprint;
use crate::process::suspects::RunId;
use crate::process::suspects::Runs;
use crate::process::suspects::SuspectStatus;
use crate::process::suspects::is_finished;
use crate::process::suspects::is_listening;
use crate::process::suspects::is_refused;
use crate::process::suspects::wait_until_refused;
use crate::values::MonotonicTime;

/// A request on its way to the backend server.
///
/// Dropping it gives the request up, as its caller leaving does: the backend server may go on running
/// it, and it remains among the suspects of a crash for some time.
pub(in crate::process::relay) struct SuspectRun {
    pub(super) permit: Option<SuspectPermit>,
    pub(super) node: Arc<RelayNode>,
    pub(super) fingerprint: Fingerprint,
    pub(super) is_trial: bool,
    pub(super) id: RunId,
}

impl SuspectRun {
    /// Records that the backend server did not run the request.
    pub(in crate::process::relay) fn end(self) {
        self.node.suspects.runs.lock().remove(self.id);
    }

    /// Records that the backend server responded. Notifies other nodes if that clears a suspect, or
    /// if another node has to try it because this server failed it.
    pub(in crate::process::relay) fn finish(self, status: StatusCode) {
        let node = Arc::clone(&self.node);
        let fingerprint = self.fingerprint;
        let is_current = node.suspects.runs.lock().contains(self.id);
        let changed = match is_finished(status) {
            _ if !is_current => None,
            true => node.suspects.table.lock().on_finished(fingerprint),
            false if self.is_trial => {
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
        spawn_notification(&node, changed.into_iter().collect());
        self.end();
    }

    /// Records that the connection failed after a part of the request was sent.
    ///
    /// If the backend server crashed, this returns only after the other nodes were notified, so
    /// that a resent request does not reach a node that does not know the suspects. They are also
    /// notified if the future is dropped, because the deadline of the request may end first.
    pub(in crate::process::relay) async fn fail(self, server_address: SocketAddr) {
        let failed_at = self.node.clock.now();
        let reporting = tokio::spawn(self.check_crash(server_address, failed_at));
        // The task only fails if the process is stopping.
        let _ = reporting.await;
    }

    async fn check_crash(self, server_address: SocketAddr, failed_at: MonotonicTime) {
        let node = &self.node;
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
        let now = self.node.clock.now();
        let mut runs = self.node.suspects.runs.lock();
        let is_given_up = runs.contains(self.id);
        let is_first = runs.give_up(self.id, self.is_trial, now);
        drop(runs);
        // The runtime is gone while the process stops.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        if is_first {
            runtime.spawn(watch_given_up(Arc::clone(&self.node)));
        }
        if let (true, Some(permit)) = (is_given_up, self.permit.take().filter(|_| self.is_trial)) {
            runtime.spawn(hold_trial(permit.give_up()));
        }
    }
}

/// Keeps other suspects from their trials while the server may still run a trial that was given up.
async fn hold_trial(trial: GivenUpTrial) {
    // A crash decides the trial.
    let _ = timeout(
        Runs::GIVEN_UP,
        trial.node.suspects.crash_reported.notified(),
    )
    .await;
}

/// Reports a crash of the backend server under requests that were given up. Without other requests in
/// flight, no connection of theirs shows it.
async fn watch_given_up(node: Arc<RelayNode>) {
    loop {
        let now = node.clock.now();
        let Some(until) = node.suspects.runs.lock().given_up_until(now) else {
            return;
        };
        let refused = wait_until_refused(node.settings.raw.server_address);
        if timeout(until.since(now), refused).await.is_ok() {
            report_crash_after_give_up(&node).await;
        }
    }
}

/// Reports a crash if the backend server refuses connections, unless no request was given up lately
/// that may have caused it. Returns once the other nodes were notified.
///
/// A server that left as planned has not crashed.
pub(in crate::process::relay) async fn report_crash_after_give_up(node: &Arc<RelayNode>) {
    let is_suspicious = || {
        let now = node.clock.now();
        node.suspects.runs.lock().given_up_until(now).is_some()
    };
    if !is_suspicious() {
        return;
    }
    // After another report of the same crash, no request is left.
    let _reporting = node.suspects.found_listening.lock().await;
    let server_address = node.settings.raw.server_address;
    if !is_suspicious() || !is_refused(server_address).await {
        return;
    }
    match node.backend() {
        Some(backend) if !backend.is_leaving() => report_crash(node, server_address).await,
        Some(_) | None => {
            let now = node.clock.now();
            node.suspects.runs.lock().take_given_up(now);
        }
    }
}

async fn report_crash(node: &Arc<RelayNode>, server_address: SocketAddr) {
    let (in_flight, given_up) = {
        let mut runs = node.suspects.runs.lock();
        (runs.take(), runs.take_given_up(node.clock.now()))
    };
    let others = node.serving_nodes();
    let wall = node.clock.wall();
    let updates = node
        .suspects
        .table
        .lock()
        .on_crash_after(in_flight, &given_up, &others, wall);
    node.suspects.crash_reported.notify_waiters();
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
pub(in crate::process::relay) async fn reassign_trials(node: &Arc<RelayNode>) {
    let others = node.serving_nodes();
    let moved = node.suspects.table.lock().reassign_trials(&others);
    notify(node, moved).await;
}
