//! Admits requests to the local backend server in view of earlier crashes.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::notification::notify;
use super::notification::spawn_notification;
use super::run::SuspectRun;
use crate::connection::BufferedRequest;
use crate::process::relay::node::RelayNode;
use crate::process::suspects::Fingerprint;
use crate::process::suspects::SuspectAdmission;
use crate::process::suspects::Suspects;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::NodeId;
use crate::values::OrganisationId;

/// Delay in milliseconds after which a caller may retry a request that was refused because of a
/// trial.
const TRIAL_RETRY_MS: u64 = 200;
/// Number of trials that may run beside each other.
pub(super) const TRIALS_MAX: u32 = 64;
/// Maximum time for which a suspect waits for the trial before it.
pub(super) const TRIAL_WAIT_MAX: Duration = Duration::from_millis(500);

/// A request that may go to the backend server in view of earlier crashes.
pub(in crate::process::relay) struct SuspectPermit {
    pub(super) node: Arc<RelayNode>,
    pub(super) fingerprint: Fingerprint,
    pub(super) is_trial: bool,
    trial_lock: Option<OwnedSemaphorePermit>,
}

/// Admits a request, or refuses it because it is suspected of crashes.
///
/// Waits while an equal request or another suspect is on trial, for half of `remaining` at most, so
/// that another node can still run a request that is refused.
pub(in crate::process::relay) async fn admit(
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

pub(super) fn refusal_of(admission: SuspectAdmission) -> Refusal {
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

pub(super) fn busy_with_trial() -> Refusal {
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

/// A trial that was given up. Others wait until it is dropped.
pub(super) struct GivenUpTrial {
    pub(super) node: Arc<RelayNode>,
    _trial_lock: Option<OwnedSemaphorePermit>,
}

impl SuspectPermit {
    /// Ends the trial of a request that was given up: an equal one may be tried again, if others may run
    /// beside it.
    pub(super) fn give_up(mut self) -> GivenUpTrial {
        GivenUpTrial {
            node: Arc::clone(&self.node),
            _trial_lock: self.trial_lock.take(),
        }
    }

    /// Assigns a trial that the gate refused to another node, if the backend server takes no requests
    /// at present. Returns once the others were notified.
    ///
    /// The trial stays while an equal request may still run here, which would crash this server, too.
    pub(in crate::process::relay) async fn refuse(self, reason: RefusalReason) {
        let is_closed = matches!(
            reason,
            RefusalReason::ServerThrottled
                | RefusalReason::ServerCold
                | RefusalReason::ZoneEvacuated
        );
        if !self.is_trial || !is_closed {
            return;
        }
        let node = Arc::clone(&self.node);
        let now = node.clock.now();
        if node.suspects.runs.lock().may_run(self.fingerprint, now) {
            return;
        }
        let serving = node.serving_nodes();
        let moved = {
            let mut table = node.suspects.table.lock();
            table.on_failed_trial(self.fingerprint, &serving)
        };
        drop(self);
        notify(&node, moved.into_iter().collect()).await;
    }

    /// Starts the run, unless the request became a suspect while it waited for a slot.
    pub(in crate::process::relay) fn start(self) -> Result<SuspectRun, Refusal> {
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
        Ok(SuspectRun {
            node: Arc::clone(&self.node),
            fingerprint: self.fingerprint,
            is_trial: self.is_trial,
            permit: Some(self),
            id,
        })
    }
}

impl Drop for SuspectPermit {
    fn drop(&mut self) {
        if self.is_trial {
            let suspects = &self.node.suspects;
            suspects.table.lock().on_not_cleared(self.fingerprint);
            suspects.trial_ended.notify_waiters();
        }
    }
}
