//! Runs nodes, links, the platform and faults in the order of a seeded event queue.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use balsamfold::process::rates::HolderDecision;
use balsamfold::process::rates::HolderRecord;
use balsamfold::process::rates::HolderReport;
use balsamfold::process::rates::LeaseAction;
use balsamfold::process::rates::LoanRequest;
use balsamfold::process::rates::RecordWrite;
use balsamfold::process::rates::SettlementReportTarget;
use balsamfold::process::rates::Spend;
use balsamfold::process::rates::TOKEN_REQUEST_TIMEOUT;
use balsamfold::process::rates::TokenReply;
use balsamfold::process::rates::TokenRequest;
use balsamfold::process::rates::TokenRequestId;
use balsamfold::process::rates::TokenRequestPurpose;
use balsamfold::process::rates::ZoneLayout;
use balsamfold::values::MonotonicTime;
use balsamfold::values::OrganisationId;
use balsamfold::values::RegionId;
use balsamfold::values::TokenCount;
use balsamfold::values::ZoneId;
use balsamfold::version::Organisation;
use balsamfold::version::ZoneRecord;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::message::Message;
use super::message::NodeIndex;
use super::message::PlatformCall;
use super::node::Lending;
use super::node::NewHolder;
use super::node::NodeClock;
use super::node::Poll;
use super::node::SimNode;
use super::node::WaitingRequest;
use super::node::WaitingTokenRequest;

/// Times after which the holder decides again, and for the last time, on a token request that waits for
/// loans.
const LOAN_TIMEOUTS_US: [u64; 2] = [25_100, 80_000];

/// Shares of messages that are lost, duplicated or delayed, in parts of 1,000.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Messages that are lost.
    pub lost_permille: u32,
    /// Messages that arrive twice.
    pub duplicated_permille: u32,
    /// Messages that arrive with an extra delay of up to two seconds.
    pub late_permille: u32,
}

/// What the fleet counts of the messages about tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counting {
    /// Their number.
    Messages,
    /// Their number and their bytes.
    Bytes,
}

/// Settings of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of zones, which have equal shares of the rates.
    pub zone_count: usize,
    /// Number of nodes in each zone.
    pub nodes_per_zone: usize,
    /// Faults of all links.
    pub link: Link,
    /// Largest amount by which a clock runs too fast or too slow, in millionths.
    pub drift_ppm: i64,
    /// The buckets with which a new holder starts.
    pub new_holder: NewHolder,
    /// Whether the holders of zones lend tokens to one another.
    pub lending: Lending,
    /// Whether bytes of messages are counted, which slows the simulation.
    pub counting: Counting,
    /// Organisations of the first configuration.
    pub organisations: Vec<Organisation>,
}

/// A change from outside: a fault, the end of a fault, or a new configuration.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A node pauses until a time of the schedule, in microseconds, and continues with its state.
    Pause(NodeIndex, u64),
    /// A node crashes. Its waiting requests are refused.
    Crash(NodeIndex),
    /// A node starts again with its configuration and without other state.
    Restart(NodeIndex),
    /// The link between two zones is cut.
    Cut(usize, usize),
    /// The link between two zones is restored.
    Heal(usize, usize),
    /// The link between a zone and the platform is cut.
    CutPlatform(usize),
    /// The link between a zone and the platform is restored.
    HealPlatform(usize),
    /// The platform becomes unavailable to all zones.
    PlatformDown,
    /// The platform becomes available again.
    PlatformUp,
    /// A configuration comes into force on a node.
    Configure(NodeIndex, Vec<Organisation>, ZoneLayout),
}

/// An event of the schedule.
#[derive(Clone, Debug)]
enum Event {
    Arrive(NodeIndex, OrganisationId),
    RequestTimeout(NodeIndex, u64),
    TokenRequestTimeout(NodeIndex, OrganisationId, TokenRequestId),
    RetryTokenRequests(NodeIndex),
    Deliver(NodeIndex, NodeIndex, Message),
    Platform(NodeIndex, PlatformCall),
    Tick(NodeIndex),
    Fault(Fault),
}

/// Counts and times of requests and messages.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Times at which requests were admitted, in microseconds of the schedule.
    pub admitted_us: BTreeMap<OrganisationId, Vec<u64>>,
    /// Times at which requests were refused, in microseconds of the schedule.
    pub refused_us: BTreeMap<OrganisationId, Vec<u64>>,
    /// Number of requests that waited for a token.
    pub waited: u64,
    /// Number of messages about tokens that were sent.
    pub messages: u64,
    /// Number of messages about tokens that were sent, by kind.
    pub messages_by_kind: BTreeMap<&'static str, u64>,
    /// Bytes of these messages as JSON, if they are counted.
    pub json_bytes: u64,
    /// Number of messages about tokens that each node sent or that were sent to it.
    pub messages_by_node: Vec<u64>,
    /// Bytes of the messages about tokens that each node sent or that were sent to it.
    pub json_bytes_by_node: Vec<u64>,
    /// Number of times that a node took over the role of a holder.
    pub takeovers: u64,
}

/// A simulated fleet with its event queue.
pub struct RateFleet {
    settings: FleetSettings,
    zones: BTreeMap<ZoneId, ZoneRecord>,
    zone_ids: Vec<ZoneId>,
    nodes: Vec<SimNode>,
    platform: BTreeMap<ZoneId, HolderRecord>,
    platform_is_up: bool,
    cuts: BTreeSet<(usize, usize)>,
    platform_cuts: BTreeSet<usize>,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_request: u64,
    now_us: u64,
    rng: StdRng,
    /// Counts and times of requests and messages so far.
    pub tally: Tally,
}

impl RateFleet {
    /// Creates a fleet with all nodes running.
    pub fn new(settings: FleetSettings) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let zone_ids: Vec<ZoneId> = (0..settings.zone_count)
            .map(|zone| format!("z{zone}").parse().expect("valid name"))
            .collect();
        let region: RegionId = "r".parse().expect("valid name");
        let record = |id: &ZoneId| ZoneRecord {
            id: id.clone(),
            region: region.clone(),
            rate_weight: 1,
        };
        let zones = zone_ids.iter().map(|id| (id.clone(), record(id)));
        let mut fleet = Self {
            zones: zones.collect(),
            nodes: Vec::new(),
            platform: BTreeMap::new(),
            platform_is_up: true,
            cuts: BTreeSet::new(),
            platform_cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            next_request: 0,
            now_us: 0,
            tally: Tally::default(),
            zone_ids,
            settings,
            rng: StdRng::seed_from_u64(0),
        };
        for index in 0..fleet.settings.zone_count * fleet.settings.nodes_per_zone {
            let drift = fleet.settings.drift_ppm;
            let clock = NodeClock {
                offset_us: rng.random_range(4_000_000_000..1_000_000_000_000),
                drift_ppm: rng.random_range(-drift..=drift),
            };
            let id = format!("n{index}").parse().expect("valid name");
            let mut node = SimNode::new(id, fleet.zones_from(index), clock);
            node.organisations = fleet.settings.organisations.clone();
            node.set_layout(fleet.equal_layout(), clock.read(0));
            fleet.nodes.push(node);
            let first_tick_us = rng.random_range(0..50_000);
            fleet.schedule(first_tick_us, Event::Tick(index));
        }
        fleet.tally.messages_by_node = vec![0; fleet.nodes.len()];
        fleet.tally.json_bytes_by_node = vec![0; fleet.nodes.len()];
        fleet.rng = rng;
        fleet
    }

    /// Returns the layout in which all zones have equal shares.
    pub fn equal_layout(&self) -> ZoneLayout {
        ZoneLayout {
            weights: self.zone_ids.iter().map(|zone| (zone.clone(), 1)).collect(),
        }
    }

    /// Returns the number of nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the node that holds the role of `zone` according to the platform's record. Its lease
    /// may have ended.
    pub fn holder_of(&self, zone: usize) -> Option<NodeIndex> {
        let record = self.platform.get(&self.zone_ids[zone])?;
        self.nodes.iter().position(|node| node.id == record.holder)
    }

    /// Schedules the arrival of a request at `node`.
    pub fn plan_arrival(&mut self, at_us: u64, node: NodeIndex, organisation: &OrganisationId) {
        self.schedule(at_us, Event::Arrive(node, organisation.clone()));
    }

    /// Schedules a fault.
    pub fn plan_fault(&mut self, at_us: u64, fault: Fault) {
        self.schedule(at_us, Event::Fault(fault));
    }

    /// Runs all events up to and including `until_us`.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= until_us)
        {
            let ((at_us, _), event) = entry.remove_entry();
            self.now_us = at_us;
            self.run(event);
        }
        self.now_us = until_us;
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((at_us, self.next_event), event);
    }

    fn run(&mut self, event: Event) {
        let node = match &event {
            Event::Fault(fault) => return self.apply_fault(fault.clone()),
            Event::Platform(node, call) => return self.call_platform(*node, call.clone()),
            Event::Arrive(node, _)
            | Event::RequestTimeout(node, _)
            | Event::TokenRequestTimeout(node, _, _)
            | Event::RetryTokenRequests(node)
            | Event::Deliver(node, _, _)
            | Event::Tick(node) => *node,
        };
        match &self.nodes[node] {
            paused if paused.paused_until_us > self.now_us => {
                let resumes_us = paused.paused_until_us;
                self.schedule(resumes_us, event);
            }
            running if running.is_up => self.run_on(node, event),
            _ => self.drop_on_stopped(node, event),
        }
    }

    fn drop_on_stopped(&mut self, node: NodeIndex, event: Event) {
        match event {
            Event::Tick(_) => self.schedule(self.now_us + 20_000, Event::Tick(node)),
            Event::Arrive(_, organisation) => self.count_refused(&organisation),
            _ => {}
        }
    }

    fn run_on(&mut self, node: NodeIndex, event: Event) {
        match event {
            Event::Arrive(_, organisation) => self.arrive(node, organisation),
            Event::RequestTimeout(_, id) => self.time_out_request(node, id),
            Event::TokenRequestTimeout(_, organisation, id) => {
                let now = self.clock(node);
                self.nodes[node].local.fail_request(&organisation, id, now);
                self.serve_waiting(node, &organisation);
            }
            Event::RetryTokenRequests(_) => self.retry_token_requests(node),
            Event::Deliver(_, from, message) => self.deliver(node, from, message),
            Event::Tick(_) => self.tick(node),
            Event::Platform(..) | Event::Fault(_) => {}
        }
    }

    fn clock(&self, node: NodeIndex) -> MonotonicTime {
        self.nodes[node].clock.read(self.now_us)
    }

    fn zone_index(&self, node: NodeIndex) -> usize {
        node / self.settings.nodes_per_zone
    }

    fn zones_from(&self, node: NodeIndex) -> Vec<ZoneId> {
        let own = node / self.settings.nodes_per_zone;
        let count = self.zone_ids.len();
        (0..count)
            .map(|step| self.zone_ids[(own + step) % count].clone())
            .collect()
    }

    // Requests

    fn arrive(&mut self, node: NodeIndex, organisation: OrganisationId) {
        let now = self.clock(node);
        match self.nodes[node].local.try_admit(&organisation, now) {
            Spend::Admitted => self.count_admitted(&organisation),
            Spend::Refused { .. } | Spend::Unreachable => self.count_refused(&organisation),
            Spend::NeedsTokens => {
                self.next_request += 1;
                let id = self.next_request;
                self.tally.waited += 1;
                let request = WaitingRequest {
                    id,
                    organisation: organisation.clone(),
                };
                self.nodes[node].waiting.push_back(request);
                self.schedule(self.now_us + 250_000, Event::RequestTimeout(node, id));
            }
        }
        self.request_tokens_if_needed(node, &organisation);
        let reports = self.nodes[node].local.due_reports(&organisation, now);
        self.send_reports(node, reports);
    }

    fn send_reports(&mut self, node: NodeIndex, reports: Vec<SettlementReportTarget>) {
        for target in reports {
            if let Some(holder) = self.choose_holder(&target.zone) {
                self.send(node, holder, Message::Report(target.report));
            }
        }
    }

    fn send_holder_reports(&mut self, node: NodeIndex, reports: Vec<HolderReport>) {
        for target in reports {
            if let Some(holder) = self.choose_holder(&target.lender) {
                self.send(node, holder, Message::Report(target.report));
            }
        }
    }

    fn request_tokens_if_needed(&mut self, node: NodeIndex, organisation: &OrganisationId) {
        let now = self.clock(node);
        let waiting = TokenCount(self.nodes[node].waiting_count(organisation));
        let local = &mut self.nodes[node].local;
        let Some(target) = local.begin_request(organisation, waiting, now) else {
            return;
        };
        let timeout_us = self.now_us + TOKEN_REQUEST_TIMEOUT.as_micros() as u64;
        let id = target.request.id;
        self.schedule(
            timeout_us,
            Event::TokenRequestTimeout(node, organisation.clone(), id),
        );
        if let Some(holder) = self.choose_holder(&target.zone) {
            self.send(node, holder, Message::TokenRequest(target.request));
        }
    }

    /// Admits or refuses the waiting requests of an organisation after a reply or a timeout, and
    /// requests tokens for those that still wait.
    fn serve_waiting(&mut self, node: NodeIndex, organisation: &OrganisationId) {
        let now = self.clock(node);
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        for request in waiting {
            if request.organisation != *organisation {
                self.nodes[node].waiting.push_back(request);
                continue;
            }
            match self.nodes[node].local.spend(organisation, now) {
                Spend::Admitted => self.count_admitted(organisation),
                Spend::NeedsTokens => self.nodes[node].waiting.push_back(request),
                Spend::Refused { .. } | Spend::Unreachable => self.count_refused(organisation),
            }
        }
        self.request_tokens_if_needed(node, organisation);
        let reports = self.nodes[node].local.due_reports(organisation, now);
        self.send_reports(node, reports);
    }

    fn time_out_request(&mut self, node: NodeIndex, id: u64) {
        let waiting = &mut self.nodes[node].waiting;
        let position = waiting.iter().position(|request| request.id == id);
        if let Some(request) = position.and_then(|position| waiting.remove(position)) {
            self.count_refused(&request.organisation);
        }
    }

    fn count_admitted(&mut self, organisation: &OrganisationId) {
        let times = self.tally.admitted_us.entry(organisation.clone());
        times.or_default().push(self.now_us);
    }

    fn count_refused(&mut self, organisation: &OrganisationId) {
        let times = self.tally.refused_us.entry(organisation.clone());
        times.or_default().push(self.now_us);
    }

    // Messages

    /// Returns a node of the zone that has held the role, in most cases the one of the platform's
    /// record. It may no longer be the holder.
    fn choose_holder(&mut self, zone: &ZoneId) -> Option<NodeIndex> {
        let is_candidate = |node: &SimNode| node.zone == *zone && node.holder.is_some();
        let holders: Vec<_> = (0..self.nodes.len())
            .filter(|index| is_candidate(&self.nodes[*index]))
            .collect();
        let record = self.platform.get(zone);
        let named = holders
            .iter()
            .position(|index| record.is_some_and(|record| self.nodes[*index].id == record.holder));
        match (named, holders.len()) {
            (_, 0) => None,
            (Some(named), _) if self.rng.random_ratio(7, 8) => Some(holders[named]),
            (_, count) => Some(holders[self.rng.random_range(0..count)]),
        }
    }

    fn send(&mut self, from: NodeIndex, to: NodeIndex, message: Message) {
        if message.is_about_tokens() {
            let bytes = match self.settings.counting {
                Counting::Messages => 0,
                Counting::Bytes => message.json_bytes(),
            };
            self.tally.messages += 1;
            *self
                .tally
                .messages_by_kind
                .entry(message.kind())
                .or_default() += 1;
            self.tally.json_bytes += bytes;
            for end in [from, to] {
                self.tally.messages_by_node[end] += 1;
                self.tally.json_bytes_by_node[end] += bytes;
            }
        }
        let (from_zone, to_zone) = (self.zone_index(from), self.zone_index(to));
        let pair = (from_zone.min(to_zone), from_zone.max(to_zone));
        let link = self.settings.link;
        if self.cuts.contains(&pair) || self.rng.random_range(0..1_000) < link.lost_permille {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1_000) < link.duplicated_permille);
        for _ in 0..copies {
            let mut delay_us = match from_zone == to_zone {
                true => self.rng.random_range(150..400),
                false => self.rng.random_range(1_400..1_800),
            };
            if self.rng.random_range(0..1_000) < link.late_permille {
                delay_us += self.rng.random_range(0..2_000_000);
            }
            let event = Event::Deliver(to, from, message.clone());
            self.schedule(self.now_us + delay_us, event);
        }
    }

    fn deliver(&mut self, node: NodeIndex, from: NodeIndex, message: Message) {
        let now = self.clock(node);
        match message {
            Message::TokenRequest(request) | Message::LoanRequest(request) => {
                self.handle_token_request(node, from, request, now)
            }
            Message::TokenReply(organisation, id, reply) => {
                let local = &mut self.nodes[node].local;
                local.handle_reply(&organisation, id, &reply, now);
                self.serve_waiting(node, &organisation);
            }
            Message::LoanReply(organisation, lender, id, reply) => {
                if let Some(holder) = &mut self.nodes[node].holder {
                    holder.handle_loan_reply(&organisation, &lender, id, &reply, now);
                }
                self.retry_token_requests(node);
            }
            Message::Report(report) => {
                if let Some(holder) = &mut self.nodes[node].holder {
                    holder.apply_settlements(&report.organisation, &report.settlements, now);
                    let reports = holder.due_reports(&report.organisation);
                    self.send_holder_reports(node, reports);
                }
            }
            Message::PeerStatusRequest(requested_at) => {
                let status = self.nodes[node].lease.peer_status(now);
                self.send(node, from, Message::PeerStatus(requested_at, status));
            }
            Message::PeerStatus(requested_at, status) => {
                self.handle_peer_status(node, from, requested_at, status)
            }
            Message::Record(record) => self.nodes[node].lease.record_read(record, now),
            Message::Written(true) => {
                let before = self.nodes[node].lease.held_epoch(now);
                self.nodes[node].lease.write_succeeded(now);
                let after = self.nodes[node].lease.held_epoch(now);
                self.tally.takeovers += u64::from(after > before);
                self.become_holder(node);
                let zones = self.nodes[node].lease.zones_to_read(&self.nodes[node].zone);
                if let Some(zones) = zones {
                    self.send_to_platform(node, PlatformCall::ReadOthers(zones));
                }
            }
            Message::Written(false) => self.nodes[node].lease.write_conflicted(now),
            Message::OtherRecords(records) => {
                let lending = self.settings.lending;
                self.nodes[node].lease.zones_read(&records);
                self.nodes[node].apply_shares(&self.zones, lending, now);
            }
            Message::PlatformUnreachable => self.nodes[node].lease.platform_unreachable(),
        }
    }

    // Role of the holder

    fn become_holder(&mut self, node: NodeIndex) -> bool {
        let now = self.clock(node);
        let (new_holder, lending) = (self.settings.new_holder, self.settings.lending);
        let node = &mut self.nodes[node];
        node.acting_holder(new_holder, &self.zones, lending, now)
            .is_some()
    }

    fn handle_token_request(
        &mut self,
        node: NodeIndex,
        from: NodeIndex,
        request: TokenRequest,
        now: MonotonicTime,
    ) {
        if request.epoch > Default::default() && self.nodes[node].holder.is_some() {
            self.nodes[node].lease.epoch_seen(request.epoch);
        }
        if !self.become_holder(node) {
            return self.reply(node, from, &request, TokenReply::NotHolder(None));
        }
        let holder = self.nodes[node].holder.as_mut();
        let decision = holder
            .expect("node holds the role")
            .handle_request(&request, now);
        let waits_until_us = self.now_us + LOAN_TIMEOUTS_US[1];
        if decision.reply.is_none() {
            for timeout_us in LOAN_TIMEOUTS_US {
                let retry_us = self.now_us + timeout_us;
                self.schedule(retry_us, Event::RetryTokenRequests(node));
            }
        }
        let waiting = WaitingTokenRequest {
            from,
            request,
            waits_until_us,
        };
        self.apply_decision(node, waiting, decision);
    }

    fn apply_decision(
        &mut self,
        node: NodeIndex,
        waiting: WaitingTokenRequest,
        decision: HolderDecision,
    ) {
        for loan in decision.loan_requests {
            self.send_loan_request(node, loan);
        }
        match decision.reply {
            Some(reply) => self.reply(node, waiting.from, &waiting.request, reply),
            None => self.nodes[node].waiting_token_requests.push(waiting),
        }
    }

    fn send_loan_request(&mut self, node: NodeIndex, loan: LoanRequest) {
        if let Some(lender) = self.choose_holder(&loan.lender) {
            self.send(node, lender, Message::LoanRequest(loan.request));
        }
    }

    fn reply(&mut self, node: NodeIndex, to: NodeIndex, request: &TokenRequest, reply: TokenReply) {
        let organisation = request.organisation.clone();
        let is_loan = request.purpose != TokenRequestPurpose::Spend;
        let message = match is_loan {
            true => Message::LoanReply(
                organisation,
                self.nodes[node].zone.clone(),
                request.id,
                reply,
            ),
            false => Message::TokenReply(organisation, request.id, reply),
        };
        self.send(node, to, message);
    }

    fn retry_token_requests(&mut self, node: NodeIndex) {
        let now = self.clock(node);
        let waiting = std::mem::take(&mut self.nodes[node].waiting_token_requests);
        for waiting in waiting {
            let request = &waiting.request;
            if !self.become_holder(node) {
                self.reply(node, waiting.from, request, TokenReply::NotHolder(None));
                continue;
            }
            let holder = self.nodes[node].holder.as_mut();
            let holder = holder.expect("node holds the role");
            let decision = match self.now_us < waiting.waits_until_us {
                true => holder.retry(request, now),
                false => holder.final_retry(request, now),
            };
            self.apply_decision(node, waiting, decision);
        }
    }

    // Time, platform and faults

    fn tick(&mut self, node: NodeIndex) {
        let now = self.clock(node);
        self.schedule(self.now_us + 20_000, Event::Tick(node));
        let reports = self.nodes[node].local.tick(now);
        self.send_reports(node, reports);
        if let Some(holder) = &mut self.nodes[node].holder {
            let reports = holder.tick(now);
            let requests = holder.share_requests(now);
            self.send_holder_reports(node, reports);
            for request in requests {
                self.send_loan_request(node, request);
            }
        }
        self.request_promises(node, now);
        let is_candidate = self.is_candidate(node);
        match self.nodes[node].lease.next_action(is_candidate, now) {
            LeaseAction::Wait => {}
            LeaseAction::Read => self.send_to_platform(node, PlatformCall::Read),
            LeaseAction::Write(write) => self.send_to_platform(node, PlatformCall::Write(write)),
        }
    }

    /// Returns whether the node is a candidate for the role. The first nodes of a zone are
    /// candidates here; the rank by hash has a test of its own.
    fn is_candidate(&self, node: NodeIndex) -> bool {
        node % self.settings.nodes_per_zone < balsamfold::process::rates::CANDIDATES_PER_ZONE
    }

    fn request_promises(&mut self, node: NodeIndex, now: MonotonicTime) {
        if !self.nodes[node].lease.needs_promises(now) {
            return;
        }
        let zone = self.zone_index(node);
        let peers: Vec<_> = (0..self.nodes.len())
            .filter(|peer| self.zone_index(*peer) == zone && *peer != node)
            .filter(|peer| self.nodes[*peer].is_up)
            .collect();
        self.nodes[node].poll = Some(Poll {
            requested_at: now,
            expected: peers.len(),
            replies: BTreeMap::new(),
        });
        for peer in peers {
            self.send(node, peer, Message::PeerStatusRequest(now));
        }
    }

    fn handle_peer_status(
        &mut self,
        node: NodeIndex,
        from: NodeIndex,
        requested_at: MonotonicTime,
        status: balsamfold::process::rates::PeerStatus,
    ) {
        let state = &mut self.nodes[node];
        let Some(poll) = state
            .poll
            .as_mut()
            .filter(|poll| poll.requested_at == requested_at)
        else {
            return;
        };
        poll.replies.insert(from, status);
        if poll.replies.len() == poll.expected {
            let replies: Vec<_> = poll.replies.values().cloned().map(Some).collect();
            state.lease.apply_promises(&replies, requested_at);
            state.poll = None;
        }
    }

    fn send_to_platform(&mut self, node: NodeIndex, call: PlatformCall) {
        let late = self.rng.random_range(0..1_000) < self.settings.link.late_permille;
        let max_us = if late { 2_000_000 } else { 3_000 };
        let delay_us = self.rng.random_range(500..max_us);
        self.schedule(self.now_us + delay_us, Event::Platform(node, call));
    }

    fn call_platform(&mut self, node: NodeIndex, call: PlatformCall) {
        let is_cut = self.platform_cuts.contains(&self.zone_index(node));
        let zone = self.nodes[node].zone.clone();
        let message = match call {
            _ if is_cut || !self.platform_is_up => Message::PlatformUnreachable,
            PlatformCall::Read => Message::Record(self.platform.get(&zone).cloned()),
            PlatformCall::Write(write) => Message::Written(self.swap(&zone, *write)),
            PlatformCall::ReadOthers(zones) => {
                let records = zones.iter().map(|zone| self.platform.get(zone).cloned());
                Message::OtherRecords(records.collect())
            }
        };
        let is_reply_lost = self.rng.random_range(0..1_000) < self.settings.link.lost_permille;
        let message = if is_reply_lost {
            Message::PlatformUnreachable
        } else {
            message
        };
        let delay_us = self.rng.random_range(500..3_000);
        self.schedule(self.now_us + delay_us, Event::Deliver(node, node, message));
    }

    fn swap(&mut self, zone: &ZoneId, write: RecordWrite) -> bool {
        let matches = self.platform.get(zone) == write.expected.as_ref();
        if matches {
            self.platform.insert(zone.clone(), write.record);
        }
        matches
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(node, until_us) => self.nodes[node].paused_until_us = until_us,
            Fault::Crash(node) => {
                self.nodes[node].is_up = false;
                for request in std::mem::take(&mut self.nodes[node].waiting) {
                    self.count_refused(&request.organisation);
                }
            }
            Fault::Restart(node) => {
                let zones = self.zones_from(node);
                let now = self.clock(node);
                self.nodes[node].restart(zones, now);
            }
            Fault::Cut(one, other) => {
                self.cuts.insert((one.min(other), one.max(other)));
            }
            Fault::Heal(one, other) => {
                self.cuts.remove(&(one.min(other), one.max(other)));
            }
            Fault::CutPlatform(zone) => {
                self.platform_cuts.insert(zone);
            }
            Fault::HealPlatform(zone) => {
                self.platform_cuts.remove(&zone);
            }
            Fault::PlatformDown => self.platform_is_up = false,
            Fault::PlatformUp => self.platform_is_up = true,
            Fault::Configure(node, organisations, layout) => {
                self.configure(node, organisations, layout);
            }
        }
    }

    fn configure(&mut self, node: NodeIndex, organisations: Vec<Organisation>, layout: ZoneLayout) {
        let now = self.clock(node);
        let lending = self.settings.lending;
        self.nodes[node].organisations = organisations;
        self.nodes[node].set_layout(layout, now);
        self.nodes[node].apply_shares(&self.zones, lending, now);
    }
}
