//! Calls between nodes: choice of the node, floors, retries, timeouts and cancellation.

use std::collections::BTreeMap;
use std::time::Duration;

use balsamfold::process::gate::Admission;
use balsamfold::process::routing::CallOutcome;
use balsamfold::process::routing::ChooseContext;
use balsamfold::process::routing::Router;
use balsamfold::request::RefusalReason;
use balsamfold::values::Importance;
use balsamfold::values::NodeId;
use rand::Rng;

use super::Control;
use super::clients::REQUEST_TIMEOUT;
use super::driver::Driver;
use super::driver::Event;
use super::model::Call;
use super::model::CallKey;
use super::model::CallState;
use super::model::Response;
use super::model::Role;

/// One-way network delay between nodes of different zones.
pub(super) const CROSS_ZONE_DELAY: Duration = Duration::from_micros(1500);

/// One-way network delay between nodes of one zone.
pub(super) const SAME_ZONE_DELAY: Duration = Duration::from_micros(100);

impl<'a> Driver<'a> {
    pub(super) fn call(
        &mut self,
        attempt: usize,
        hop: usize,
        caller: usize,
        parent: Option<CallKey>,
        retries_left: u32,
        excluded: &[NodeId],
    ) {
        let service = self.route_of(attempt).chain[hop];
        let Some(node) = self.choose(caller, service, excluded) else {
            return self.propagate_failure(attempt, parent, RefusalReason::NoServer);
        };
        let key = self.calls.insert(Call {
            attempt,
            hop,
            node,
            caller,
            parent,
            sent_at: self.now,
            state: CallState::InTransit,
            onward: Duration::ZERO,
            timed_out: false,
            retries_left,
        });
        self.attempts[attempt].open_calls.push(key);
        self.after(self.one_way_delay(caller, node), Event::Arrive(key));
        if self.control != Control::All {
            self.after(REQUEST_TIMEOUT, Event::CallTimeout(key));
        }
    }

    pub(super) fn choose(
        &mut self,
        caller: usize,
        service: usize,
        excluded: &[NodeId],
    ) -> Option<usize> {
        let service = &self.services[service];
        if self.control == Control::None {
            let serving = self.members.serving(service);
            let index = self.random.random_range(0..serving.len());
            return self.by_id.get(&serving[index].id).copied();
        }
        let zones = BTreeMap::new();
        let context = ChooseContext {
            members: &self.members,
            zones: &zones,
            excluded,
            cross_zone_cost: Router::CROSS_ZONE_COST,
            loads: &[],
            now: self.now,
        };
        let router = &mut self.nodes[caller].router;
        let record = router.choose(service, &context)?;
        router.record_start(&record.id);
        self.by_id.get(&record.id).copied()
    }

    pub(super) fn one_way_delay(&self, from: usize, to: usize) -> Duration {
        match self.nodes[from].record.zone == self.nodes[to].record.zone {
            true => SAME_ZONE_DELAY,
            false => CROSS_ZONE_DELAY,
        }
    }

    pub(super) fn downstream_admits(&mut self, attempt: usize, node: usize, role: Role) -> bool {
        let root = self.attempts[attempt].root;
        let route = self.route_of(attempt);
        let organisation = self.requests[self.attempts[attempt].request].organisation;
        let organisation = Some(&self.organisations[organisation]);
        let importance = Importance(route.importance);
        let floors = self.nodes[node].floors(role);
        !matches!(
            floors.check(route.path, importance, organisation, root, self.now),
            Admission::Refuse { .. }
        )
    }

    pub(super) fn call_response(&mut self, response: Response) {
        let call = response.call;
        let id = self.nodes[call.node].record.id.clone();
        let latency = self.now.since(call.sent_at);
        let route = self.route_of(call.attempt);
        let service = &self.services[route.chain[call.hop]];
        if call.timed_out {
            return;
        }
        let caller = &mut self.nodes[call.caller];
        caller
            .router
            .record_end(&id, response.outcome, latency, self.now);
        let role = match call.parent {
            Some(_) => Role::Server,
            None => Role::Ingress,
        };
        caller
            .floors(role)
            .learn(route.path, service, &id, response.floor, self.now);
        let parent_exists = call
            .parent
            .is_none_or(|parent| self.calls.contains_key(parent));
        if self.attempts[call.attempt].ended && self.control == Control::All || !parent_exists {
            return;
        }
        if let Some(parent) = call.parent {
            self.calls[parent].onward += latency;
        }
        match response.outcome {
            CallOutcome::Answered => self.propagate_success(&call),
            _ => self.retry_or_fail(&call, id, response.reason),
        }
    }

    pub(super) fn propagate_success(&mut self, call: &Call) {
        match call.parent {
            Some(parent) => self.finish(parent, CallOutcome::Answered, None),
            None => self.end_send(call.attempt, None),
        }
    }

    pub(super) fn retry_or_fail(
        &mut self,
        call: &Call,
        failed: NodeId,
        reason: Option<RefusalReason>,
    ) {
        let attempt = &mut self.attempts[call.attempt];
        let Call {
            hop,
            caller,
            parent,
            ..
        } = *call;
        if self.control == Control::All && attempt.extra_attempts > 0 {
            attempt.extra_attempts -= 1;
            return self.call(call.attempt, hop, caller, parent, 0, &[failed]);
        }
        if self.control != Control::All && call.retries_left > 0 && parent.is_some() {
            return self.call(
                call.attempt,
                hop,
                caller,
                parent,
                call.retries_left - 1,
                &[],
            );
        }
        let reason = reason.unwrap_or(RefusalReason::DeadlineExceeded);
        self.propagate_failure(call.attempt, parent, reason);
    }

    pub(super) fn propagate_failure(
        &mut self,
        attempt: usize,
        parent: Option<CallKey>,
        reason: RefusalReason,
    ) {
        match parent {
            Some(parent) => self.finish(parent, CallOutcome::Failed, Some(reason)),
            None => self.end_send(attempt, Some(reason)),
        }
    }

    /// Ends a call for its caller after the timeout. The server continues to work on it, because
    /// calls without a deadline are not cancelled.
    pub(super) fn call_timeout(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key).cloned() else {
            return;
        };
        self.calls[key].timed_out = true;
        let id = self.nodes[call.node].record.id.clone();
        let router = &mut self.nodes[call.caller].router;
        router.record_end(&id, CallOutcome::Failed, REQUEST_TIMEOUT, self.now);
        if call
            .parent
            .is_some_and(|parent| self.calls.contains_key(parent))
        {
            self.retry_or_fail(&call, id, None);
        }
    }

    pub(super) fn cancel(&mut self, key: CallKey) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        self.release(&call, CallOutcome::Cancelled);
        let id = self.nodes[call.node].record.id.clone();
        let latency = self.now.since(call.sent_at);
        let router = &mut self.nodes[call.caller].router;
        router.record_end(&id, CallOutcome::Cancelled, latency, self.now);
    }
}
