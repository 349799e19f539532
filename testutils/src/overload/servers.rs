//! Admission gates and servers: admission, execution and responses.

use std::time::Duration;

use balsamfold::process::gate::AdmissionDecision;
use balsamfold::process::gate::AdmissionRequest;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::process::gate::FloorNotice;
use balsamfold::process::gate::Wakeups;
use balsamfold::process::routing::CallOutcome;
use balsamfold::request::RefusalReason;
use balsamfold::values::Importance;
use balsamfold::values::RatePerSecond;
use rand::Rng;

use super::Control;
use super::clients::HOP_RETRIES;
use super::clients::REQUEST_TIMEOUT;
use super::driver::Driver;
use super::driver::Event;
use super::model::Call;
use super::model::CallKey;
use super::model::CallState;
use super::model::Response;
use super::model::Role;

impl<'a> Driver<'a> {
    pub(super) fn arrive(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key).cloned() else {
            return;
        };
        let admitted = self.control != Control::All
            || self.downstream_admits(call.attempt, call.node, Role::Server);
        match self.control {
            Control::None => self.arrive_at_server(key, call.node),
            Control::Limits | Control::All if admitted => self.arrive_at_gate(key, &call),
            _ => self.finish(key, CallOutcome::Refused, Some(RefusalReason::Overloaded)),
        }
    }

    pub(super) fn arrive_at_server(&mut self, key: CallKey, node: usize) {
        let service = &self.deployment.services[self.nodes[node].service];
        let node = &mut self.nodes[node];
        if node.running < service.slots as usize {
            return self.start(key);
        }
        if node.running + node.backlog.len() < service.connections {
            node.backlog.push_back(key);
            self.calls[key].state = CallState::Waiting(None);
            return;
        }
        self.finish(key, CallOutcome::Refused, Some(RefusalReason::Overloaded));
    }

    pub(super) fn arrive_at_gate(&mut self, key: CallKey, call: &Call) {
        let request = self.admission_request(call);
        let (decision, displaced) = self.nodes[call.node].gate.acquire(&request, self.now);
        if let Some(dropped) = displaced
            && let Some(dropped_key) = self.nodes[call.node].waiting.remove(&dropped.ticket)
        {
            let reason = dropped.refusal.reason;
            self.finish(dropped_key, CallOutcome::Refused, Some(reason));
        }
        match decision {
            AdmissionDecision::Started => self.start(key),
            AdmissionDecision::Refused(refusal) => {
                self.finish(key, CallOutcome::Refused, Some(refusal.reason));
            }
            AdmissionDecision::Waiting { ticket, start_by } => {
                self.nodes[call.node].waiting.insert(ticket, key);
                self.calls[key].state = CallState::Waiting(Some(ticket));
                self.after(start_by.since(self.now), Event::QueueTimeout(key));
            }
        }
    }

    /// Returns the request for a slot of the gate. Without importance and shares it has the same
    /// importance, organisation and rate for all calls.
    pub(super) fn admission_request(&self, call: &Call) -> AdmissionRequest {
        let attempt = &self.attempts[call.attempt];
        let organisation = self.requests[attempt.request].organisation;
        let rate = self.deployment.organisations[organisation].rate_per_s;
        match self.control {
            Control::All => AdmissionRequest {
                importance: Importance(self.route_of(call.attempt).importance),
                organisation: Some(self.organisations[organisation].clone()),
                rate: RatePerSecond(rate),
                root: attempt.root,
                remaining: attempt.deadline.since(self.now),
            },
            Control::None | Control::Limits => AdmissionRequest {
                importance: Importance(u8::MAX),
                organisation: None,
                rate: RatePerSecond(1),
                root: attempt.root,
                remaining: call.sent_at.after(REQUEST_TIMEOUT).since(self.now),
            },
        }
    }

    pub(super) fn start(&mut self, key: CallKey) {
        let call = &mut self.calls[key];
        call.state = CallState::Running { since: self.now };
        let node = &mut self.nodes[call.node];
        node.running += 1;
        let service = &self.deployment.services[node.service];
        let slowed = node.service == self.deployment.slowed && self.in_trigger();
        let factor = if slowed {
            self.deployment.slow_factor
        } else {
            1
        };
        let spread = self.random.random_range(0.5..1.5);
        let work = (service.service_time * factor).mul_f64(spread);
        self.after(work, Event::WorkFinished(key));
    }

    pub(super) fn work_finished(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key).cloned() else {
            return;
        };
        match call.hop + 1 < self.route_of(call.attempt).chain.len() {
            true => self.call(
                call.attempt,
                call.hop + 1,
                call.node,
                Some(key),
                HOP_RETRIES,
                &[],
            ),
            false => self.finish(key, CallOutcome::Answered, None),
        }
    }

    /// Ends a call at its node and sends the response to the caller.
    pub(super) fn finish(
        &mut self,
        key: CallKey,
        outcome: CallOutcome,
        reason: Option<RefusalReason>,
    ) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        self.release(&call, outcome);
        let route = self.route_of(call.attempt);
        let node = &mut self.nodes[call.node];
        let downstream = node.onward_floors.notice(route.path, self.now);
        let floor = match self.control {
            Control::All => node.gate.floor(self.now).merge(downstream),
            Control::None | Control::Limits => FloorNotice::default(),
        };
        let delay = self.one_way_delay(call.caller, call.node);
        let response = Response {
            call,
            outcome,
            reason,
            floor,
        };
        self.after(delay, Event::CallResponse(Box::new(response)));
    }

    /// Releases the slot or the place in the queue that a call holds at its node.
    pub(super) fn release(&mut self, call: &Call, outcome: CallOutcome) {
        self.attempts[call.attempt]
            .open_calls
            .retain(|key| self.calls.contains_key(*key));
        let node = &mut self.nodes[call.node];
        match call.state {
            CallState::Running { since } => {
                node.running -= 1;
                let held = self.now.since(since);
                self.attempts[call.attempt].held += held;
                let outcome = match outcome {
                    CallOutcome::Answered => CompletionOutcome::Answered,
                    CallOutcome::Cancelled => CompletionOutcome::Cancelled,
                    CallOutcome::Refused | CallOutcome::Failed => CompletionOutcome::Failed,
                };
                self.release_slot(call, outcome, held);
            }
            CallState::Waiting(Some(ticket)) => {
                let reason = RefusalReason::DeadlineExceeded;
                node.gate.abandon(ticket, reason, self.now);
                node.waiting.remove(&ticket);
            }
            CallState::Waiting(None) | CallState::InTransit => {}
        }
    }

    pub(super) fn release_slot(&mut self, call: &Call, outcome: CompletionOutcome, held: Duration) {
        let node = &mut self.nodes[call.node];
        if self.control == Control::None {
            while let Some(next) = node.backlog.pop_front() {
                if self.calls.contains_key(next) {
                    return self.start(next);
                }
            }
            return;
        }
        let completion = Completion {
            outcome,
            held,
            onward: call.onward,
        };
        let wakeups = node.gate.release(&completion, self.now);
        self.wake(call.node, wakeups);
    }

    pub(super) fn wake(&mut self, node: usize, wakeups: Wakeups) {
        for ticket in wakeups.started {
            if let Some(key) = self.nodes[node].waiting.remove(&ticket) {
                self.start(key);
            }
        }
        for dropped in wakeups.dropped {
            if let Some(key) = self.nodes[node].waiting.remove(&dropped.ticket) {
                let reason = dropped.refusal.reason;
                self.finish(key, CallOutcome::Refused, Some(reason));
            }
        }
    }

    pub(super) fn queue_timeout(&mut self, key: CallKey) {
        if let Some(CallState::Waiting(_)) = self.calls.get(key).map(|call| call.state) {
            self.finish(
                key,
                CallOutcome::Refused,
                Some(RefusalReason::DeadlineExceeded),
            );
        }
    }
}
