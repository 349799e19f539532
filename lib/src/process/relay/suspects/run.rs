//! The run of an admitted request, and the crash of the backend server under it.

use std::net::SocketAddr;
use std::sync::Arc;

use http::StatusCode;

use super::admission::SuspectPermit;
use super::notification::notify;
use super::notification::spawn_notification;
use crate::process::events::once as events;
use crate::process::relay::node::RelayNode;
use crate::process::suspects::RunId;
use crate::process::suspects::SuspectStatus;
use crate::process::suspects::is_finished;
use crate::process::suspects::is_listening;
use crate::values::MonotonicTime;

/// A request on its way to the backend server; dropping it ends the run.
pub(in crate::process::relay) struct SuspectRun {
    pub(super) permit: SuspectPermit,
    pub(super) id: RunId,
}

impl SuspectRun {
    /// Records that the backend server responded. Notifies other nodes if that clears a suspect, or
    /// if another node has to try it because this server failed it.
    pub(in crate::process::relay) fn finish(self, status: StatusCode) {
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
    pub(in crate::process::relay) async fn fail(self, server_address: SocketAddr) {
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
pub(in crate::process::relay) async fn reassign_trials(node: &Arc<RelayNode>) {
    let others = node.serving_nodes();
    let moved = node.suspects.table.lock().reassign_trials(&others);
    notify(node, moved).await;
}
