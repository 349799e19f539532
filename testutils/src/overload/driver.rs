//! The event loop of the experiment.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use balsamfold::process::gate::Admission;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::EnterRequest;
use balsamfold::process::gate::Entry;
use balsamfold::process::gate::FloorNotice;
use balsamfold::process::gate::Outcome;
use balsamfold::process::gate::Wakeups;
use balsamfold::process::membership::MemberTable;
use balsamfold::process::routing::CallOutcome;
use balsamfold::process::routing::ChooseContext;
use balsamfold::request::RefusalReason;
use balsamfold::values::Importance;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::OrganisationId;
use balsamfold::values::RatePerSecond;
use balsamfold::values::RequestId;
use balsamfold::values::ServiceId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use super::Control;
use super::Deployment;
use super::Report;
use super::model::Answer;
use super::model::Attempt;
use super::model::Call;
use super::model::CallKey;
use super::model::CallState;
use super::model::Node;
use super::model::Role;
use super::model::RootRequest;
use super::model::nodes_of;

/// Time after which clients give up a send, and callers a call without a deadline.
const PATIENCE: Duration = Duration::from_secs(1);

/// Further sends of a client whose request was not served.
const CLIENT_RESENDS: u32 = 3;

/// Retries of each call when attempts are not bounded over the tree.
const HOP_RETRIES: u32 = 2;

/// Attempts beyond the first of a whole call tree when they are bounded.
const EXTRA_ATTEMPTS: u32 = 1;

/// One-way time between nodes of different zones.
const ZONE_TRIP: Duration = Duration::from_micros(1500);

/// One-way time between nodes of one zone.
const LOCAL_TRIP: Duration = Duration::from_micros(100);

/// Seconds of its rate that an organisation may send at once.
const BURST_S: f64 = 0.5;

enum Event {
    FirstSend { organisation: usize },
    Send { request: usize },
    Enter { attempt: usize },
    Arrive(CallKey),
    Worked(CallKey),
    Answered(Box<Answer>),
    GiveUp(CallKey),
    CallTimeout(CallKey),
    SendTimeout { attempt: usize },
    Reply { attempt: usize, served: bool },
}

struct Bucket {
    tokens: f64,
    rate_per_s: f64,
    filled_at: MonotonicTime,
}

impl Bucket {
    fn new(rate_per_s: u32) -> Self {
        let rate_per_s = f64::from(rate_per_s);
        Self {
            tokens: rate_per_s * BURST_S,
            rate_per_s,
            filled_at: MonotonicTime::default(),
        }
    }

    fn take(&mut self, now: MonotonicTime) -> bool {
        let filled = now.since(self.filled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + filled).min(self.rate_per_s * BURST_S);
        self.filled_at = now;
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(taken));
        taken
    }
}

/// Runs the experiment; equal seeds give equal reports.
pub fn run(deployment: &Deployment, control: Control, seed: u64) -> Report {
    let mut driver = Driver::new(deployment, control, seed);
    driver.run();
    Report::of(deployment, &driver.requests, &driver.attempts)
}

struct Driver<'a> {
    deployment: &'a Deployment,
    control: Control,
    random: SmallRng,
    now: MonotonicTime,
    events: BinaryHeap<Reverse<(MonotonicTime, u64)>>,
    pending: BTreeMap<u64, Event>,
    next_event: u64,
    nodes: Vec<Node>,
    members: MemberTable,
    by_id: BTreeMap<NodeId, usize>,
    services: Vec<ServiceId>,
    organisations: Vec<OrganisationId>,
    calls: SlotMap<CallKey, Call>,
    requests: Vec<RootRequest>,
    attempts: Vec<Attempt>,
    within_rate: Vec<Bucket>,
    allowed: Vec<Bucket>,
}

impl<'a> Driver<'a> {
    fn new(deployment: &'a Deployment, control: Control, seed: u64) -> Self {
        let nodes = nodes_of(deployment, seed);
        let buckets = || {
            let rates = deployment.organisations.iter().map(|o| o.rate_per_s);
            rates.map(Bucket::new).collect()
        };
        Self {
            deployment,
            control,
            random: SmallRng::seed_from_u64(seed),
            now: MonotonicTime::default(),
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next_event: 0,
            members: MemberTable::new(nodes.iter().map(|node| node.record.clone())),
            by_id: nodes
                .iter()
                .enumerate()
                .map(|(index, node)| (node.record.id.clone(), index))
                .collect(),
            nodes,
            services: deployment
                .services
                .iter()
                .map(|service| service.name.parse().expect("valid name"))
                .collect(),
            organisations: deployment
                .organisations
                .iter()
                .map(|organisation| organisation.name.parse().expect("valid name"))
                .collect(),
            calls: SlotMap::with_key(),
            requests: Vec::new(),
            attempts: Vec::new(),
            within_rate: buckets(),
            allowed: buckets(),
        }
    }

    fn run(&mut self) {
        for organisation in 0..self.organisations.len() {
            self.schedule_first_send(organisation);
        }
        while let Some(Reverse((at, id))) = self.events.pop() {
            self.now = at;
            if let Some(event) = self.pending.remove(&id) {
                self.handle(event);
            }
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .push(Reverse((self.now.after(delay), self.next_event)));
        self.pending.insert(self.next_event, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::FirstSend { organisation } => self.first_send(organisation),
            Event::Send { request } => self.send(request),
            Event::Enter { attempt } => self.enter(attempt),
            Event::Arrive(call) => self.arrive(call),
            Event::Worked(call) => self.worked(call),
            Event::Answered(answer) => self.answered(*answer),
            Event::GiveUp(call) => self.give_up(call),
            Event::CallTimeout(call) => self.call_timeout(call),
            Event::SendTimeout { attempt } => self.send_timeout(attempt),
            Event::Reply { attempt, served } => self.reply(attempt, served),
        }
    }

    fn in_trigger(&self) -> bool {
        let elapsed = self.now.since(MonotonicTime::default());
        (self.deployment.trigger_start..self.deployment.trigger_end).contains(&elapsed)
    }

    fn schedule_first_send(&mut self, organisation: usize) {
        let rate = f64::from(self.deployment.organisations[organisation].rate_per_s);
        let factor = match organisation {
            0 if self.in_trigger() => self.deployment.excess_factor,
            _ => self.deployment.load,
        };
        let gap_s = -(1.0 - self.random.random::<f64>()).ln() / (rate * factor);
        let gap = Duration::from_secs_f64(gap_s);
        if self.now.after(gap).since(MonotonicTime::default()) < self.deployment.end {
            self.after(gap, Event::FirstSend { organisation });
        }
    }

    fn first_send(&mut self, organisation: usize) {
        let mut draw = self.random.random::<f64>();
        let routes = &self.deployment.routes;
        let route = routes.iter().position(|route| {
            draw -= route.share;
            draw < 0.0
        });
        self.requests.push(RootRequest {
            route: route.unwrap_or(0),
            organisation,
            first_sent_at: self.now,
            within_rate: self.within_rate[organisation].take(self.now),
            sends: 0,
            served_at: None,
            refused_for_rate: false,
            refused_otherwise: false,
        });
        self.send(self.requests.len() - 1);
        self.schedule_first_send(organisation);
    }

    fn send(&mut self, request: usize) {
        self.requests[request].sends += 1;
        self.attempts.push(Attempt {
            request,
            root: RequestId(self.random.random()),
            deadline: self.now.after(PATIENCE),
            extra_attempts: EXTRA_ATTEMPTS,
            ended: false,
            served: false,
            held: Duration::ZERO,
            live: Vec::new(),
        });
        let attempt = self.attempts.len() - 1;
        self.after(self.deployment.client_trip, Event::Enter { attempt });
        self.after(PATIENCE, Event::SendTimeout { attempt });
    }

    fn enter(&mut self, attempt: usize) {
        let entry = self.random.random_range(0..self.nodes.len());
        match self.refusal_at_entry(attempt, entry) {
            Some(reason) => self.end_send(attempt, Some(reason)),
            None => self.call(attempt, 0, entry, None, HOP_RETRIES, &[]),
        }
    }

    fn refusal_at_entry(&mut self, attempt: usize, entry: usize) -> Option<RefusalReason> {
        if self.control != Control::All {
            return None;
        }
        let organisation = self.requests[self.attempts[attempt].request].organisation;
        match self.below_admits(attempt, entry, Role::Entry) {
            false => Some(RefusalReason::Overloaded),
            true if !self.allowed[organisation].take(self.now) => Some(RefusalReason::RateExceeded),
            true => None,
        }
    }

    fn below_admits(&mut self, attempt: usize, node: usize, role: Role) -> bool {
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

    fn route_of(&self, attempt: usize) -> &'a super::Route {
        &self.deployment.routes[self.requests[self.attempts[attempt].request].route]
    }

    fn call(
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
            return self.unanswered(attempt, parent, RefusalReason::NoServer);
        };
        let key = self.calls.insert(Call {
            attempt,
            hop,
            node,
            caller,
            parent,
            sent_at: self.now,
            state: CallState::Travelling,
            onward: Duration::ZERO,
            timed_out: false,
            retries_left,
        });
        self.attempts[attempt].live.push(key);
        self.after(self.trip(caller, node), Event::Arrive(key));
        if self.control != Control::All {
            self.after(PATIENCE, Event::CallTimeout(key));
        }
    }

    fn choose(&mut self, caller: usize, service: usize, excluded: &[NodeId]) -> Option<usize> {
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
            now: self.now,
        };
        let router = &mut self.nodes[caller].router;
        let record = router.choose(service, &context)?;
        router.started(&record.id);
        self.by_id.get(&record.id).copied()
    }

    fn trip(&self, from: usize, to: usize) -> Duration {
        match self.nodes[from].record.zone == self.nodes[to].record.zone {
            true => LOCAL_TRIP,
            false => ZONE_TRIP,
        }
    }

    fn arrive(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key).cloned() else {
            return;
        };
        let admitted = self.control != Control::All
            || self.below_admits(call.attempt, call.node, Role::Server);
        match self.control {
            Control::None => self.arrive_at_server(key, call.node),
            Control::Limits | Control::All if admitted => self.arrive_at_gate(key, &call),
            _ => self.finish(key, CallOutcome::Refused, Some(RefusalReason::Overloaded)),
        }
    }

    fn arrive_at_server(&mut self, key: CallKey, node: usize) {
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

    fn arrive_at_gate(&mut self, key: CallKey, call: &Call) {
        let request = self.enter_request(call);
        let (entry, displaced) = self.nodes[call.node].gate.enter(&request, self.now);
        if let Some(given_up) = displaced
            && let Some(lost) = self.nodes[call.node].waiting.remove(&given_up.ticket)
        {
            let reason = given_up.refusal.reason;
            self.finish(lost, CallOutcome::Refused, Some(reason));
        }
        match entry {
            Entry::Started => self.start(key),
            Entry::Refused(refusal) => {
                self.finish(key, CallOutcome::Refused, Some(refusal.reason));
            }
            Entry::Waiting { ticket, start_by } => {
                self.nodes[call.node].waiting.insert(ticket, key);
                self.calls[key].state = CallState::Waiting(Some(ticket));
                self.after(start_by.since(self.now), Event::GiveUp(key));
            }
        }
    }

    /// Without importance and shares, all requests look alike to the gate.
    fn enter_request(&self, call: &Call) -> EnterRequest {
        let attempt = &self.attempts[call.attempt];
        let organisation = self.requests[attempt.request].organisation;
        let rate = self.deployment.organisations[organisation].rate_per_s;
        match self.control {
            Control::All => EnterRequest {
                importance: Importance(self.route_of(call.attempt).importance),
                organisation: Some(self.organisations[organisation].clone()),
                rate: RatePerSecond(rate),
                root: attempt.root,
                remaining: attempt.deadline.since(self.now),
            },
            Control::None | Control::Limits => EnterRequest {
                importance: Importance(u8::MAX),
                organisation: None,
                rate: RatePerSecond(1),
                root: attempt.root,
                remaining: call.sent_at.after(PATIENCE).since(self.now),
            },
        }
    }

    fn start(&mut self, key: CallKey) {
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
        self.after(work, Event::Worked(key));
    }

    fn worked(&mut self, key: CallKey) {
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

    /// Ends a call at its node and sends the answer back.
    fn finish(&mut self, key: CallKey, outcome: CallOutcome, reason: Option<RefusalReason>) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        self.release(&call, outcome);
        let route = self.route_of(call.attempt);
        let node = &mut self.nodes[call.node];
        let below = node.onward_floors.notice(route.path, self.now);
        let floor = match self.control {
            Control::All => node.gate.floor(self.now).highest(below),
            Control::None | Control::Limits => FloorNotice::default(),
        };
        let trip = self.trip(call.caller, call.node);
        let answer = Answer {
            call,
            outcome,
            reason,
            floor,
        };
        self.after(trip, Event::Answered(Box::new(answer)));
    }

    /// Gives back what a call holds at its node.
    fn release(&mut self, call: &Call, outcome: CallOutcome) {
        self.attempts[call.attempt]
            .live
            .retain(|key| self.calls.contains_key(*key));
        let node = &mut self.nodes[call.node];
        match call.state {
            CallState::Running { since } => {
                node.running -= 1;
                let held = self.now.since(since);
                self.attempts[call.attempt].held += held;
                let outcome = match outcome {
                    CallOutcome::Answered => Outcome::Answered,
                    CallOutcome::Cancelled => Outcome::Cancelled,
                    CallOutcome::Refused | CallOutcome::Failed => Outcome::Failed,
                };
                self.next_at(call, outcome, held);
            }
            CallState::Waiting(Some(ticket)) => {
                let reason = RefusalReason::DeadlineExceeded;
                node.gate.abandon(ticket, reason, self.now);
                node.waiting.remove(&ticket);
            }
            CallState::Waiting(None) | CallState::Travelling => {}
        }
    }

    fn next_at(&mut self, call: &Call, outcome: Outcome, held: Duration) {
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
        let wakeups = node.gate.leave(&completion, self.now);
        self.wake(call.node, wakeups);
    }

    fn wake(&mut self, node: usize, wakeups: Wakeups) {
        for ticket in wakeups.started {
            if let Some(key) = self.nodes[node].waiting.remove(&ticket) {
                self.start(key);
            }
        }
        for given_up in wakeups.given_up {
            if let Some(key) = self.nodes[node].waiting.remove(&given_up.ticket) {
                let reason = given_up.refusal.reason;
                self.finish(key, CallOutcome::Refused, Some(reason));
            }
        }
    }

    fn give_up(&mut self, key: CallKey) {
        if let Some(CallState::Waiting(_)) = self.calls.get(key).map(|call| call.state) {
            self.finish(
                key,
                CallOutcome::Refused,
                Some(RefusalReason::DeadlineExceeded),
            );
        }
    }

    fn answered(&mut self, answer: Answer) {
        let call = answer.call;
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
            .finished(&id, answer.outcome, latency, self.now);
        let role = match call.parent {
            Some(_) => Role::Server,
            None => Role::Entry,
        };
        caller
            .floors(role)
            .learn(route.path, service, &id, answer.floor, self.now);
        let parent_lives = call
            .parent
            .is_none_or(|parent| self.calls.contains_key(parent));
        if self.attempts[call.attempt].ended && self.control == Control::All || !parent_lives {
            return;
        }
        if let Some(parent) = call.parent {
            self.calls[parent].onward += latency;
        }
        match answer.outcome {
            CallOutcome::Answered => self.pass_on(&call),
            _ => self.retry_or_fail(&call, id, answer.reason),
        }
    }

    fn pass_on(&mut self, call: &Call) {
        match call.parent {
            Some(parent) => self.finish(parent, CallOutcome::Answered, None),
            None => self.end_send(call.attempt, None),
        }
    }

    fn retry_or_fail(&mut self, call: &Call, failed: NodeId, reason: Option<RefusalReason>) {
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
        self.unanswered(call.attempt, parent, reason);
    }

    fn unanswered(&mut self, attempt: usize, parent: Option<CallKey>, reason: RefusalReason) {
        match parent {
            Some(parent) => self.finish(parent, CallOutcome::Failed, Some(reason)),
            None => self.end_send(attempt, Some(reason)),
        }
    }

    /// A caller without a deadline gives up a call, whose work goes on.
    fn call_timeout(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(key).cloned() else {
            return;
        };
        self.calls[key].timed_out = true;
        let id = self.nodes[call.node].record.id.clone();
        let router = &mut self.nodes[call.caller].router;
        router.finished(&id, CallOutcome::Failed, PATIENCE, self.now);
        if call
            .parent
            .is_some_and(|parent| self.calls.contains_key(parent))
        {
            self.retry_or_fail(&call, id, None);
        }
    }

    fn send_timeout(&mut self, attempt: usize) {
        if self.attempts[attempt].ended {
            return;
        }
        if self.control == Control::All {
            let live = std::mem::take(&mut self.attempts[attempt].live);
            live.into_iter().for_each(|key| self.cancel(key));
        }
        self.attempts[attempt].ended = true;
        self.resend(attempt);
    }

    fn cancel(&mut self, key: CallKey) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        self.release(&call, CallOutcome::Cancelled);
        let id = self.nodes[call.node].record.id.clone();
        let latency = self.now.since(call.sent_at);
        let router = &mut self.nodes[call.caller].router;
        router.finished(&id, CallOutcome::Cancelled, latency, self.now);
    }

    fn end_send(&mut self, attempt: usize, reason: Option<RefusalReason>) {
        let request = self.attempts[attempt].request;
        match reason {
            Some(RefusalReason::RateExceeded) => self.requests[request].refused_for_rate = true,
            Some(_) => self.requests[request].refused_otherwise = true,
            None => {}
        }
        let served = reason.is_none();
        let trip = self.deployment.client_trip;
        self.after(trip, Event::Reply { attempt, served });
    }

    fn reply(&mut self, attempt: usize, served: bool) {
        if self.attempts[attempt].ended {
            return;
        }
        self.attempts[attempt].ended = true;
        self.attempts[attempt].served = served;
        match served {
            true => {
                let request = self.attempts[attempt].request;
                self.requests[request].served_at = Some(self.now);
            }
            false => self.resend(attempt),
        }
    }

    /// Clients resend soon, whatever they were told.
    fn resend(&mut self, attempt: usize) {
        let request = self.attempts[attempt].request;
        if self.requests[request].sends <= CLIENT_RESENDS {
            let pause = Duration::from_millis(self.random.random_range(10..50));
            self.after(pause, Event::Send { request });
        }
    }
}
