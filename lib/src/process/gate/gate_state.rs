//! The decision logic of a gate, without locks and timers.

use std::time::Duration;

use super::AdaptiveLimit;
use super::AdmissionDecision;
use super::AdmissionRequest;
use super::ColdNotice;
use super::ColdStart;
use super::Completion;
use super::CompletionOutcome;
use super::DemandMeter;
use super::DroppedRequest;
use super::FloorNotice;
use super::Opening;
use super::Pace;
use super::QueueEntry;
use super::RetryAfter;
use super::RouteWork;
use super::ServiceTime;
use super::Ticket;
use super::TreePart;
use super::Usage;
use super::WaitingQueue;
use super::Wakeups;
use super::WindowLoad;
use super::WorkKind;
use crate::process::load::LoadReport;
use crate::process::load::NodeKey;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::Importance;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::RatePerSecond;
use crate::values::RequestId;
use crate::values::ServerRate;
use crate::values::SlotCount;

/// The decision logic of a gate, without locks and timers.
#[derive(Clone, Debug)]
pub struct GateState {
    limit: AdaptiveLimit,
    in_flight: u32,
    queue: WaitingQueue,
    usage: Usage,
    service_time: ServiceTime,
    demand: DemandMeter,
    retry_after: RetryAfter,
    /// The rate that the server named, if it takes fewer requests than its slots allow.
    pace: Option<Pace>,
    /// Bounds on the requests that start, until the first response of the server.
    opening: Option<Opening>,
    /// The work by route, if whole call trees are admitted.
    work: Option<RouteWork>,
    /// The bound on the requests that start in a second while the server is cold.
    cold_start: ColdStart,
}

impl GateState {
    /// Waiting requests allowed per slot; all announced slots count while the server is cold.
    const QUEUE_PER_SLOT: usize = 2;

    /// Lower limit of the queue bound.
    const QUEUE_MIN: usize = 4;

    /// Fraction of taken slots from which a floor is computed although no request waits.
    const NEARLY_FULL: f64 = 0.9;

    /// Time in which the work that waits shall be done when the floor is computed.
    const BACKLOG_S: f64 = 0.5;

    /// Drain rate assumed before the first request has finished, in requests per second.
    const DEFAULT_DRAIN_PER_S: f64 = 100.0;

    /// Creates the gate state of a server with a given limit.
    pub fn new(limit: AdaptiveLimit, now: MonotonicTime) -> Self {
        Self {
            limit,
            in_flight: 0,
            queue: WaitingQueue::default(),
            usage: Usage::default(),
            service_time: ServiceTime::default(),
            demand: DemandMeter::new(now),
            retry_after: RetryAfter::default(),
            pace: None,
            opening: None,
            work: None,
            cold_start: ColdStart::new(MonotonicTime::default()),
        }
    }

    /// Makes the gate finish the call trees that have begun: requests on which time was spent start
    /// first at equal importance and are refused last, and the floor is computed in time of slots.
    pub fn with_whole_trees(self, now: MonotonicTime) -> Self {
        Self {
            work: Some(RouteWork::default()),
            demand: DemandMeter::of_work(now),
            ..self
        }
    }

    /// Applies the floor of the server's service, which nodes apply to requests that begin.
    pub fn set_service_floor(&mut self, floor: FloorNotice) {
        self.demand.set_upstream(floor);
    }

    /// Creates the gate state of a server from which this process has had no response yet.
    ///
    /// The server may have named a limit to an earlier process, so few requests start until
    /// [`GateState::record_response`].
    pub fn unproven(limit: AdaptiveLimit, now: MonotonicTime) -> Self {
        Self {
            opening: Some(Opening::new(now)),
            ..Self::new(limit, now)
        }
    }

    /// Counts requests of an earlier process that may have started before `time`.
    pub fn with_unknown_starts_until(self, time: MonotonicTime) -> Self {
        Self {
            cold_start: ColdStart::new(time),
            ..self
        }
    }

    /// Returns how many requests may run at the same time.
    pub fn slots(&self) -> u32 {
        match self.opening {
            None => self.limit.slots(),
            Some(_) => self.limit.slots().min(Opening::REQUESTS),
        }
    }

    /// Returns how many requests hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the current admission floor; recomputes it if a window has passed.
    pub fn floor(&mut self, now: MonotonicTime) -> FloorNotice {
        self.close_window(now);
        self.demand.notice(now)
    }

    /// Returns the mean time for which a request holds a slot.
    pub fn service_time(&self) -> Duration {
        self.service_time.mean()
    }

    /// Returns the load of the server of `node`.
    pub fn load_report(&mut self, node: NodeKey, now: MonotonicTime) -> LoadReport {
        let floor = self.floor(now);
        LoadReport {
            node,
            age_ms: 0,
            slots: self.slots(),
            in_flight: self.in_flight,
            waiting: self.queue.len() as u32,
            held_us: self.expected_work(None, now).as_micros() as u32,
            failed_percent: 0,
            takes_per_s: self.pace.map(|pace| pace.per_s().round() as u32),
            floor: (!floor.is_open()).then_some(floor),
        }
    }

    /// Applies a new announcement of a server that is still running.
    pub fn set_announced_slots(&mut self, slots: SlotCount) {
        self.limit.set_announced_slots(slots);
    }

    /// Applies the rate that the server named, or its end.
    ///
    /// Returns the waiting requests, which go to other servers: a server with a rate gets no queue,
    /// because a queue would start all at once.
    pub fn set_rate(
        &mut self,
        rate: Option<ServerRate>,
        now: MonotonicTime,
    ) -> Vec<DroppedRequest> {
        match (rate, &mut self.pace) {
            (Some(rate), Some(pace)) => pace.set_rate(rate, now),
            (Some(rate), None) => self.pace = Some(Pace::new(rate, now)),
            (None, _) => self.pace = None,
        }
        match self.pace {
            Some(_) => self.drop_waiting(RefusalReason::ServerThrottled, now),
            None => Vec::new(),
        }
    }

    /// Applies what the server reported about its cold start. Returns whether it turned cold or warm,
    /// and the waiting requests of a cold server, which go to other servers.
    pub fn apply_cold_notice(
        &mut self,
        notice: ColdNotice,
        now: MonotonicTime,
    ) -> (bool, Vec<DroppedRequest>) {
        let was_cold = self.cold_start.is_cold(now);
        self.cold_start.apply(notice, now);
        let is_cold = self.cold_start.is_cold(now);
        (was_cold != is_cold, self.drop_waiting_if_cold(now))
    }

    /// Bounds the requests to a server that may have turned cold since its last report. Returns the
    /// waiting requests.
    pub fn presume_cold(&mut self, requests_max: u32, now: MonotonicTime) -> Vec<DroppedRequest> {
        self.cold_start.presume(requests_max, now);
        self.drop_waiting_if_cold(now)
    }

    /// Returns whether the server is cold, or may be.
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        self.cold_start.is_cold(now)
    }

    fn drop_waiting_if_cold(&mut self, now: MonotonicTime) -> Vec<DroppedRequest> {
        match self.cold_start.is_cold(now) {
            true => self.drop_waiting(RefusalReason::ServerCold, now),
            false => Vec::new(),
        }
    }

    /// Records the head of a response of the server, and starts waiting requests.
    ///
    /// To be called after [`GateState::set_rate`] with the rate that the response names.
    pub fn record_response(&mut self, now: MonotonicTime) -> Wakeups {
        match self.opening.take() {
            Some(_) => self.fill_slots(now),
            None => Wakeups::default(),
        }
    }

    /// Starts waiting requests for which time has made room, as it does before the first response.
    ///
    /// To be called before [`GateState::acquire`].
    pub fn start_due(&mut self, now: MonotonicTime) -> Wakeups {
        match self.opening {
            Some(_) => self.fill_slots(now),
            None => Wakeups::default(),
        }
    }

    /// Returns the kind of work of the requests of a route, to be passed to
    /// [`GateState::release_kind`].
    pub fn kind_of(&mut self, route: &str) -> Option<WorkKind> {
        self.work.as_mut()?.kind_of(route)
    }

    /// Decides on a request for a slot, and returns the waiting request that it displaces, if any.
    pub fn acquire(
        &mut self,
        request: &AdmissionRequest,
        now: MonotonicTime,
    ) -> (AdmissionDecision, Option<DroppedRequest>) {
        self.acquire_part(request, TreePart::default(), now)
    }

    /// Decides on a request that is a part of a call tree, as [`GateState::acquire`].
    pub fn acquire_part(
        &mut self,
        request: &AdmissionRequest,
        part: TreePart<'_>,
        now: MonotonicTime,
    ) -> (AdmissionDecision, Option<DroppedRequest>) {
        let kind = self.kind_of(part.route);
        let service_time = self.expected_work(kind, now);
        let (rank, demand) = match self.work {
            Some(_) => (
                part.spent.rank(),
                service_time.as_secs_f64() * DemandMeter::UNITS_PER_S,
            ),
            None => (0, 1.0),
        };
        self.demand.record_demand(request, demand);
        self.close_window(now);
        if self.is_too_late(request, service_time) {
            return (
                self.refuse(request, RefusalReason::DeadlineExceeded, now),
                None,
            );
        }
        if self.pace.is_some() || self.cold_start.is_cold(now) {
            return (self.acquire_paced(request, now), None);
        }
        // Before the first response, those that wait may have too little time for the room there is.
        let may_start = self.opening.is_some() || self.queue.is_empty();
        if may_start && self.has_room(request.remaining, now) {
            self.start(&request.organisation, request.rate, now);
            return (AdmissionDecision::Started, None);
        }
        if self.awaits_no_response() {
            self.demand.record_shed();
            return (
                self.refuse(request, RefusalReason::ServerThrottled, now),
                None,
            );
        }
        if rank == 0 && !self.demand.admits(request) {
            return (self.refuse(request, RefusalReason::Overloaded, now), None);
        }
        if self.expected_wait(request.importance, rank, now) + service_time > request.remaining {
            self.demand.record_shed();
            return (self.refuse(request, RefusalReason::Overloaded, now), None);
        }
        self.enqueue(request, rank, service_time, now)
    }

    /// Decides on a request to a server with a rate or a cold one: it starts at once, or goes to
    /// another server.
    fn acquire_paced(
        &mut self,
        request: &AdmissionRequest,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let kept_fraction = self.demand.kept_fraction(request);
        let reason = match self.cold_start.is_cold(now) {
            true => RefusalReason::ServerCold,
            false => RefusalReason::ServerThrottled,
        };
        let has_room =
            self.has_room(request.remaining, now) && self.cold_start.has_room(kept_fraction, now);
        let mut take_token = || {
            let pace = self.pace.as_mut();
            pace.is_none_or(|pace| pace.try_take(kept_fraction, now))
        };
        match has_room && take_token() {
            true => {
                self.start(&request.organisation, request.rate, now);
                AdmissionDecision::Started
            }
            false => {
                self.demand.record_shed();
                self.refuse(request, reason, now)
            }
        }
    }

    /// Adds a request to the queue. If the queue exceeds its bound, drops the request ranked last.
    fn enqueue(
        &mut self,
        request: &AdmissionRequest,
        rank: u8,
        work: Duration,
        now: MonotonicTime,
    ) -> (AdmissionDecision, Option<DroppedRequest>) {
        let start_by = now.after(request.remaining.saturating_sub(work));
        let ticket = self.queue.push(QueueEntry {
            importance: request.importance,
            rank,
            work,
            organisation: request.organisation.clone(),
            rate: request.rate,
            root: request.root,
            start_by,
        });
        let decision = AdmissionDecision::Waiting { ticket, start_by };
        if self.queue.len() <= self.queue_bound() {
            return (decision, None);
        }
        self.demand.record_shed();
        match self.queue.last(&self.usage, now) {
            Some(last) if last == ticket => {
                self.queue.remove(ticket);
                (self.refuse(request, RefusalReason::Overloaded, now), None)
            }
            Some(last) => (
                decision,
                self.drop_request(last, RefusalReason::Overloaded, now),
            ),
            None => (decision, None),
        }
    }

    /// Releases the slot of a request that ended, and starts waiting requests.
    pub fn release(&mut self, completion: &Completion, now: MonotonicTime) -> Wakeups {
        self.release_kind(completion, None, now)
    }

    /// Releases the slot of a request of a known kind of work, as [`GateState::release`].
    pub fn release_kind(
        &mut self,
        completion: &Completion,
        kind: Option<WorkKind>,
        now: MonotonicTime,
    ) -> Wakeups {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(opening) = &mut self.opening {
            match completion.outcome {
                CompletionOutcome::NotSent => opening.record_not_sent(),
                _ => opening.record_given_up(completion.held),
            }
        }
        self.limit.record_end(completion, now);
        self.observe_service_time(completion, kind, now);
        self.close_window(now);
        let mut wakeups = self.fill_slots(now);
        if self.awaits_no_response() {
            let dropped = self.drop_waiting(RefusalReason::ServerThrottled, now);
            wakeups.dropped.extend(dropped);
        }
        wakeups
    }

    /// Removes a waiting request because its caller disconnected or its time ran out.
    ///
    /// Returns the refusal for the caller, or `None` if the request no longer waits.
    pub fn abandon(
        &mut self,
        ticket: Ticket,
        reason: RefusalReason,
        now: MonotonicTime,
    ) -> Option<DroppedRequest> {
        let dropped = self.drop_request(ticket, reason, now)?;
        self.demand.record_shed();
        Some(dropped)
    }

    /// Drops all waiting requests because the server stops or is lost.
    pub fn drop_waiting(
        &mut self,
        reason: RefusalReason,
        now: MonotonicTime,
    ) -> Vec<DroppedRequest> {
        let tickets = self.queue.tickets();
        tickets
            .into_iter()
            .filter_map(|ticket| self.drop_request(ticket, reason, now))
            .collect()
    }

    /// Counts a refusal and returns the time after which the caller may retry, in milliseconds.
    pub fn retry_after_ms(&mut self, root: RequestId, now: MonotonicTime) -> u64 {
        let drain_per_s = self.drain_per_s(now);
        self.retry_after
            .record_refusal(root, self.queue.len(), drain_per_s, now)
    }

    /// Records a sample; a cancelled request counts only above the mean, as it is a lower bound.
    fn observe_service_time(
        &mut self,
        completion: &Completion,
        kind: Option<WorkKind>,
        now: MonotonicTime,
    ) {
        let is_sample = match completion.outcome {
            CompletionOutcome::Answered => true,
            CompletionOutcome::Cancelled => completion.held > self.expected_work(kind, now),
            CompletionOutcome::ServerRefused
            | CompletionOutcome::Failed
            | CompletionOutcome::NotSent => false,
        };
        if !is_sample {
            return;
        }
        self.service_time.observe(completion.held);
        if let (Some(work), Some(kind)) = (&mut self.work, kind) {
            work.observe(kind, completion.held, now);
        }
    }

    /// Returns the time for which a request of a kind is expected to hold a slot.
    fn expected_work(&self, kind: Option<WorkKind>, now: MonotonicTime) -> Duration {
        match &self.work {
            Some(work) => work.of(kind, now),
            None => self.service_time.mean(),
        }
    }

    /// Returns whether a request cannot finish in time.
    ///
    /// An idle server gets one such request, because its service time may have become shorter.
    fn is_too_late(&self, request: &AdmissionRequest, service_time: Duration) -> bool {
        match self.in_flight {
            0 => request.remaining.is_zero(),
            _ => request.remaining <= service_time,
        }
    }

    /// Returns whether a request with `remaining` time left finds a free slot.
    fn has_room(&mut self, remaining: Duration, now: MonotonicTime) -> bool {
        let has_slot = self.in_flight < self.slots();
        let opening = self.opening.as_mut();
        has_slot && opening.is_none_or(|opening| opening.has_room(remaining, now))
    }

    /// Returns whether the server has sent no response, and no request is left that could get one.
    fn awaits_no_response(&self) -> bool {
        self.opening.is_some() && self.in_flight == 0
    }

    fn fill_slots(&mut self, now: MonotonicTime) -> Wakeups {
        let mut wakeups = Wakeups::default();
        while let Some(ticket) = self.queue.first(&self.usage, now) {
            let entry = self.queue.get(ticket);
            let (start_by, work) =
                entry.map_or((now, Duration::ZERO), |entry| (entry.start_by, entry.work));
            let remaining = start_by.since(now) + work;
            match self.has_room(remaining, now) {
                false => break,
                true if start_by < now => {
                    self.demand.record_shed();
                    let dropped = self.drop_request(ticket, RefusalReason::DeadlineExceeded, now);
                    wakeups.dropped.extend(dropped);
                }
                true => wakeups.started.extend(self.start_waiting(ticket, now)),
            }
        }
        wakeups
    }

    fn start_waiting(&mut self, ticket: Ticket, now: MonotonicTime) -> Option<Ticket> {
        let entry = self.queue.remove(ticket)?;
        self.start(&entry.organisation, entry.rate, now);
        Some(ticket)
    }

    fn start(
        &mut self,
        organisation: &Option<OrganisationId>,
        rate: RatePerSecond,
        now: MonotonicTime,
    ) {
        self.in_flight += 1;
        self.cold_start.record_start(now);
        if let Some(opening) = &mut self.opening {
            opening.record_start(now);
        }
        self.limit.record_start(self.in_flight);
        self.usage.record_start(organisation, rate, now);
    }

    fn drop_request(
        &mut self,
        ticket: Ticket,
        reason: RefusalReason,
        now: MonotonicTime,
    ) -> Option<DroppedRequest> {
        let entry = self.queue.remove(ticket)?;
        let retry_after_ms = self.retry_after_ms(entry.root, now);
        let refusal = Refusal::not_run(reason).retry_after_ms(retry_after_ms);
        Some(DroppedRequest { ticket, refusal })
    }

    fn refuse(
        &mut self,
        request: &AdmissionRequest,
        reason: RefusalReason,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let retry_after_ms = self.retry_after_ms(request.root, now);
        AdmissionDecision::Refused(Refusal::not_run(reason).retry_after_ms(retry_after_ms))
    }

    fn close_window(&mut self, now: MonotonicTime) {
        if !self.demand.window_is_over(now) {
            return;
        }
        let load = match &self.work {
            None => WindowLoad {
                capacity_per_s: self.drain_per_s(now),
                waiting: !self.queue.is_empty(),
            },
            Some(work) => self.work_load(work, now),
        };
        self.demand.close_window(load, now);
    }

    /// Returns the load in time of slots. What waits is work that the capacity has to do first.
    fn work_load(&self, work: &RouteWork, now: MonotonicTime) -> WindowLoad {
        let slots = f64::from(self.limit.slots());
        let mean_s = work.mean(now).as_secs_f64();
        let bounds = self.bounds_per_s(now).map(|per_s| per_s * mean_s);
        let capacity = bounds.fold(slots, f64::min);
        let backlog = self.queue.work().as_secs_f64() / Self::BACKLOG_S;
        WindowLoad {
            capacity_per_s: (capacity - backlog).max(0.0) * DemandMeter::UNITS_PER_S,
            waiting: !self.queue.is_empty()
                || f64::from(self.in_flight) >= slots * Self::NEARLY_FULL,
        }
    }

    fn expected_wait(&self, importance: Importance, rank: u8, now: MonotonicTime) -> Duration {
        let ahead = self.queue.ahead_of(importance, rank) as f64;
        Duration::from_secs_f64(ahead / self.drain_per_s(now))
    }

    fn drain_per_s(&self, now: MonotonicTime) -> f64 {
        let mean = self.expected_work(None, now);
        let drain_per_s = match (&self.work, mean.is_zero()) {
            (None, _) => self.service_time.drain_per_s(self.limit.slots()),
            (Some(_), true) => None,
            (Some(_), false) => Some(f64::from(self.limit.slots()) / mean.as_secs_f64()),
        };
        let drain_per_s = drain_per_s.unwrap_or(Self::DEFAULT_DRAIN_PER_S);
        self.bounds_per_s(now).fold(drain_per_s, f64::min)
    }

    /// Returns the requests per second that the server takes at present, if that is bounded.
    fn bounds_per_s(&self, now: MonotonicTime) -> impl Iterator<Item = f64> + use<> {
        let pace_per_s = self.pace.map(|pace| pace.per_s());
        let cold_per_s = self.cold_start.per_s(now);
        pace_per_s.into_iter().chain(cold_per_s)
    }

    fn queue_bound(&self) -> usize {
        let slots = match self.limit.is_ramping() {
            true => self.limit.announced().0 as usize,
            false => self.limit.slots() as usize,
        };
        (slots * Self::QUEUE_PER_SLOT).max(Self::QUEUE_MIN)
    }
}
