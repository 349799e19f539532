//! The gate as used by tasks: a lock around its state, and a channel for each waiting request.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::AdaptiveLimit;
use super::AdmissionDecision;
use super::AdmissionRequest;
use super::ColdNotice;
use super::Completion;
use super::CompletionOutcome;
use super::DroppedRequest;
use super::FloorNotice;
use super::GateState;
use super::Ticket;
use super::TreePart;
use super::Wakeups;
use super::WorkKind;
use crate::process::load::LoadReport;
use crate::process::load::NodeKey;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::Clock;
use crate::values::MonotonicTime;
use crate::values::RequestId;
use crate::values::ServerRate;
use crate::values::SlotCount;

type WaitResult = Result<(), Refusal>;

#[derive(Debug)]
struct Shared {
    state: GateState,
    waiting: SecondaryMap<Ticket, oneshot::Sender<WaitResult>>,
}

impl Shared {
    fn wake(&mut self, wakeups: Wakeups) {
        for ticket in wakeups.started {
            self.resolve(ticket, Ok(()));
        }
        for dropped in wakeups.dropped {
            self.refuse(dropped);
        }
    }

    fn refuse(&mut self, dropped: DroppedRequest) {
        self.resolve(dropped.ticket, Err(dropped.refusal));
    }

    fn resolve(&mut self, ticket: Ticket, result: WaitResult) {
        if let Some(sender) = self.waiting.remove(ticket) {
            // If the receiver is gone, `Waiting::drop` releases the slot.
            let _ = sender.send(result);
        }
    }
}

/// The admission gate in front of a backend server. Clones share one gate.
///
/// It has one lock, which is never held across an await point and under which no other lock is
/// acquired.
#[derive(Clone, Debug)]
pub struct Gate {
    shared: Arc<Mutex<Shared>>,
    clock: Clock,
}

impl Gate {
    /// Creates the gate of a backend server that has just announced itself.
    pub fn new(slots: SlotCount, clock: Clock) -> Self {
        let now = clock.now();
        let state = GateState::new(AdaptiveLimit::cold(slots, now), now);
        Self::with_state(state, clock)
    }

    /// Creates a gate with a given state.
    pub fn with_state(state: GateState, clock: Clock) -> Self {
        let waiting = SecondaryMap::new();
        Self {
            shared: Arc::new(Mutex::new(Shared { state, waiting })),
            clock,
        }
    }

    /// Applies a new announcement of a server that is still running.
    pub fn set_announced_slots(&self, slots: SlotCount) {
        self.shared.lock().state.set_announced_slots(slots);
    }

    /// Returns how many requests may run at the same time.
    pub fn slots(&self) -> u32 {
        self.shared.lock().state.slots()
    }

    /// Returns how many requests hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.shared.lock().state.in_flight()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.shared.lock().state.waiting()
    }

    /// Returns the mean time for which a request holds a slot.
    pub fn service_time(&self) -> Duration {
        self.shared.lock().state.service_time()
    }

    /// Returns the current admission floor.
    pub fn floor(&self) -> FloorNotice {
        let now = self.clock.now();
        self.shared.lock().state.floor(now)
    }

    /// Returns the load of the server of `node`.
    pub fn load_report(&self, node: NodeKey) -> LoadReport {
        let now = self.clock.now();
        self.shared.lock().state.load_report(node, now)
    }

    /// Applies the floor of the server's service, which nodes apply to requests that begin.
    pub fn set_service_floor(&self, floor: FloorNotice) {
        self.shared.lock().state.set_service_floor(floor);
    }

    /// Counts a refusal and returns the time after which the caller may retry, in milliseconds.
    pub fn retry_after_ms(&self, root: RequestId) -> u64 {
        let now = self.clock.now();
        self.shared.lock().state.retry_after_ms(root, now)
    }

    /// Applies the rate that the server named, or its end.
    pub fn set_rate(&self, rate: Option<ServerRate>) {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        for dropped in shared.state.set_rate(rate, now) {
            shared.refuse(dropped);
        }
    }

    /// Applies what the server reported about its cold start. Returns whether it turned cold or warm.
    pub fn apply_cold_notice(&self, notice: ColdNotice) -> bool {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        let (has_changed, dropped) = shared.state.apply_cold_notice(notice, now);
        for dropped in dropped {
            shared.refuse(dropped);
        }
        has_changed
    }

    /// Bounds the requests to a server that may have turned cold since its last report.
    pub fn presume_cold(&self, requests_max: u32) {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        for dropped in shared.state.presume_cold(requests_max, now) {
            shared.refuse(dropped);
        }
    }

    /// Returns whether the server is cold, or may be.
    pub fn is_cold(&self) -> bool {
        let now = self.clock.now();
        self.shared.lock().state.is_cold(now)
    }

    /// Records the head of a response of the server, after [`Gate::set_rate`] with the rate that it
    /// names.
    pub fn record_response(&self) {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        let wakeups = shared.state.record_response(now);
        shared.wake(wakeups);
    }

    /// Refuses all waiting requests because the server stops or is lost.
    pub fn drop_waiting(&self, reason: RefusalReason) {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        for dropped in shared.state.drop_waiting(reason, now) {
            shared.refuse(dropped);
        }
    }

    /// Waits for a slot, at most as long as the request can still finish in time.
    ///
    /// Cancel safe: once the future is dropped, the request neither waits nor holds a slot.
    pub async fn acquire(&self, request: AdmissionRequest) -> Result<Permit, Refusal> {
        self.acquire_part(request, TreePart::default()).await
    }

    /// Waits for a slot for a part of a call tree, as [`Gate::acquire`].
    pub async fn acquire_part(
        &self,
        request: AdmissionRequest,
        part: TreePart<'_>,
    ) -> Result<Permit, Refusal> {
        let (kind, acquisition) = self.decide(&request, part);
        match acquisition {
            Acquisition::Started => Ok(self.permit(kind)),
            Acquisition::Refused(refusal) => Err(refusal),
            Acquisition::Waiting(waiting, wait_timeout) => waiting.wait(wait_timeout).await,
        }
    }

    fn decide(
        &self,
        request: &AdmissionRequest,
        part: TreePart<'_>,
    ) -> (Option<WorkKind>, Acquisition) {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        let kind = shared.state.kind_of(part.route);
        let wakeups = shared.state.start_due(now);
        shared.wake(wakeups);
        let (decision, displaced) = shared.state.acquire_part(request, part, now);
        if let Some(dropped) = displaced {
            shared.refuse(dropped);
        }
        let acquisition = match decision {
            AdmissionDecision::Started => Acquisition::Started,
            AdmissionDecision::Refused(refusal) => Acquisition::Refused(refusal),
            AdmissionDecision::Waiting { ticket, start_by } => {
                let (sender, result) = oneshot::channel();
                shared.waiting.insert(ticket, sender);
                let waiting = Waiting {
                    gate: self.clone(),
                    ticket,
                    kind,
                    result,
                };
                Acquisition::Waiting(waiting, start_by.since(now))
            }
        };
        (kind, acquisition)
    }

    fn permit(&self, kind: Option<WorkKind>) -> Permit {
        Permit {
            gate: self.clone(),
            kind,
            started_at: self.clock.now(),
            finished: false,
        }
    }

    fn release(&self, completion: &Completion, kind: Option<WorkKind>) {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        let wakeups = shared.state.release_kind(completion, kind, now);
        shared.wake(wakeups);
    }
}

enum Acquisition {
    Started,
    Waiting(Waiting, Duration),
    Refused(Refusal),
}

/// A waiting request; dropping it removes the request from the queue.
struct Waiting {
    gate: Gate,
    ticket: Ticket,
    kind: Option<WorkKind>,
    result: oneshot::Receiver<WaitResult>,
}

impl Waiting {
    async fn wait(mut self, wait_timeout: Duration) -> Result<Permit, Refusal> {
        let result = timeout(wait_timeout, &mut self.result).await;
        match result {
            Ok(Ok(Ok(()))) => Ok(self.gate.permit(self.kind)),
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) | Err(_) => self.time_out(),
        }
    }

    /// Ends the wait, unless the result arrived in the meantime.
    fn time_out(&mut self) -> Result<Permit, Refusal> {
        let now = self.gate.clock.now();
        let mut shared = self.gate.shared.lock();
        shared.waiting.remove(self.ticket);
        let reason = RefusalReason::DeadlineExceeded;
        let dropped = shared.state.abandon(self.ticket, reason, now);
        drop(shared);
        match (dropped, self.result.try_recv()) {
            (Some(dropped), _) => Err(dropped.refusal),
            (None, Ok(Ok(()))) => Ok(self.gate.permit(self.kind)),
            (None, Ok(Err(refusal))) => Err(refusal),
            (None, Err(_)) => Err(Refusal::not_run(reason)),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut shared = self.gate.shared.lock();
        shared.waiting.remove(self.ticket);
        let reason = RefusalReason::DeadlineExceeded;
        let still_waiting = shared.state.abandon(self.ticket, reason, now).is_some();
        drop(shared);
        let started = !still_waiting && matches!(self.result.try_recv(), Ok(Ok(())));
        if started {
            self.gate.permit(self.kind).release_unused();
        }
    }
}

/// A slot of the backend server, released when the permit is finished or dropped.
pub struct Permit {
    gate: Gate,
    kind: Option<WorkKind>,
    started_at: MonotonicTime,
    finished: bool,
}

impl Permit {
    /// Releases the slot; `onward` is the part of the time spent waiting for onward calls.
    pub fn finish(mut self, outcome: CompletionOutcome, onward: Duration) {
        self.end(outcome, onward);
    }

    /// Releases the slot of a request of which nothing was sent.
    pub fn release_unused(mut self) {
        self.end(CompletionOutcome::NotSent, Duration::ZERO);
    }

    fn end(&mut self, outcome: CompletionOutcome, onward: Duration) {
        self.finished = true;
        let held = self.gate.clock.now().since(self.started_at);
        let completion = Completion {
            outcome,
            held,
            onward,
        };
        self.gate.release(&completion, self.kind);
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit")
            .field("started_at", &self.started_at)
            .finish_non_exhaustive()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.finished {
            self.end(CompletionOutcome::Cancelled, Duration::ZERO);
        }
    }
}
