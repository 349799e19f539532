//! Records with the router how an attempt at another node ended.

use http::StatusCode;

use super::backend::RunOutcome;
use super::node::RelayNode;
use crate::process::routing::CallOutcome;
use crate::request::RefusalReason;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Returns what the outcome of an attempt says about its node.
pub(super) fn call_outcome(outcome: &RunOutcome) -> CallOutcome {
    let is_own_failure = !outcome.load.call_failed;
    match &outcome.result {
        Ok(response) if response.status == StatusCode::INTERNAL_SERVER_ERROR && is_own_failure => {
            CallOutcome::Failed
        }
        Ok(_) => CallOutcome::Answered,
        Err(refusal) if refusal.only_on.is_some() => CallOutcome::Cancelled,
        Err(refusal) => match refusal.reason {
            RefusalReason::Quarantined
            | RefusalReason::Abandoned
            | RefusalReason::BusierThanOthers => CallOutcome::Cancelled,
            RefusalReason::Overloaded
            | RefusalReason::Draining
            | RefusalReason::ServerFailing
            | RefusalReason::ServerThrottled
            | RefusalReason::ServerCold
            | RefusalReason::ZoneEvacuated => CallOutcome::Refused,
            RefusalReason::DeadlineExceeded => CallOutcome::Cancelled,
            _ => CallOutcome::Failed,
        },
    }
}

/// Records an attempt with the router. If it is dropped before the outcome, the attempt counts as
/// cancelled.
pub(super) struct ObservedCall<'a> {
    node: &'a RelayNode,
    destination: NodeId,
    started_at: MonotonicTime,
    is_finished: bool,
}

impl<'a> ObservedCall<'a> {
    /// Starts an attempt at `destination`.
    pub(super) fn start(
        node: &'a RelayNode,
        destination: &NodeId,
        started_at: MonotonicTime,
    ) -> Self {
        node.router.lock().record_start(destination);
        Self {
            node,
            destination: destination.clone(),
            started_at,
            is_finished: false,
        }
    }

    /// Records how the attempt ended.
    pub(super) fn finish(&mut self, outcome: CallOutcome) {
        self.is_finished = true;
        let now = self.node.clock.now();
        let latency = now.since(self.started_at);
        let mut router = self.node.router.lock();
        router.record_end(&self.destination, outcome, latency, now);
    }
}

impl Drop for ObservedCall<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(CallOutcome::Cancelled);
        }
    }
}
