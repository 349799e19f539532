//! The event loop of the experiment.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use balsamfold::process::membership::MemberTable;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::OrganisationId;
use balsamfold::values::ServiceId;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use super::Control;
use super::Deployment;
use super::Report;
use super::bucket::Bucket;
use super::model::Attempt;
use super::model::Call;
use super::model::CallKey;
use super::model::Node;
use super::model::Response;
use super::model::RootRequest;
use super::model::nodes_of;

/// An event of the simulation.
pub(super) enum Event {
    FirstSend { organisation: usize },
    Send { request: usize },
    Enter { attempt: usize },
    Arrive(CallKey),
    WorkFinished(CallKey),
    CallResponse(Box<Response>),
    QueueTimeout(CallKey),
    CallTimeout(CallKey),
    SendTimeout { attempt: usize },
    ClientResponse { attempt: usize, served: bool },
}

/// Runs the experiment. Equal arguments give equal reports.
pub fn run(deployment: &Deployment, control: Control, seed: u64) -> Report {
    let mut driver = Driver::new(deployment, control, seed);
    driver.run();
    Report::new(deployment, &driver.requests, &driver.attempts)
}

pub(super) struct Driver<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) control: Control,
    pub(super) random: SmallRng,
    pub(super) now: MonotonicTime,
    pub(super) events: BinaryHeap<Reverse<(MonotonicTime, u64)>>,
    pub(super) pending: BTreeMap<u64, Event>,
    pub(super) next_event: u64,
    pub(super) nodes: Vec<Node>,
    pub(super) members: MemberTable,
    pub(super) by_id: BTreeMap<NodeId, usize>,
    pub(super) services: Vec<ServiceId>,
    pub(super) organisations: Vec<OrganisationId>,
    pub(super) calls: SlotMap<CallKey, Call>,
    pub(super) requests: Vec<RootRequest>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) first_send_buckets: Vec<Bucket>,
    pub(super) send_buckets: Vec<Bucket>,
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
            first_send_buckets: buckets(),
            send_buckets: buckets(),
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

    pub(super) fn after(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .push(Reverse((self.now.after(delay), self.next_event)));
        self.pending.insert(self.next_event, event);
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::FirstSend { organisation } => self.first_send(organisation),
            Event::Send { request } => self.send(request),
            Event::Enter { attempt } => self.enter(attempt),
            Event::Arrive(call) => self.arrive(call),
            Event::WorkFinished(call) => self.work_finished(call),
            Event::CallResponse(response) => self.call_response(*response),
            Event::QueueTimeout(call) => self.queue_timeout(call),
            Event::CallTimeout(call) => self.call_timeout(call),
            Event::SendTimeout { attempt } => self.send_timeout(attempt),
            Event::ClientResponse { attempt, served } => self.client_response(attempt, served),
        }
    }

    pub(super) fn in_trigger(&self) -> bool {
        let elapsed = self.now.since(MonotonicTime::default());
        (self.deployment.trigger_start..self.deployment.trigger_end).contains(&elapsed)
    }

    pub(super) fn route_of(&self, attempt: usize) -> &'a super::Route {
        &self.deployment.routes[self.requests[self.attempts[attempt].request].route]
    }
}
