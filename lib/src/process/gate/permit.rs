//! The gate as tasks use it: a lock around its state, and a channel for each waiting request.

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
use super::Completion;
use super::CompletionOutcome;
use super::DroppedRequest;
use super::FloorNotice;
use super::GateState;
use super::Ticket;
use super::Wakeups;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::Clock;
use crate::values::MonotonicTime;
use crate::values::RequestId;
use crate::values::SlotCount;

type Answer = Result<(), Refusal>;

#[derive(Debug)]
struct Shared {
    state: GateState,
    waiting: SecondaryMap<Ticket, oneshot::Sender<Answer>>,
}

impl Shared {
    fn wake(&mut self, wakeups: Wakeups) {
        for ticket in wakeups.started {
            self.answer(ticket, Ok(()));
        }
        for dropped in wakeups.dropped {
            self.refuse(dropped);
        }
    }

    fn refuse(&mut self, dropped: DroppedRequest) {
        self.answer(dropped.ticket, Err(dropped.refusal));
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        if let Some(sender) = self.waiting.remove(ticket) {
            // A receiver that is gone gives its slot back when it is dropped.
            let _ = sender.send(answer);
        }
    }
}

/// The gate in front of a backend server. Clones share one gate.
///
/// It has one lock, which is never held over an await and under which no other lock is taken.
#[derive(Clone, Debug)]
pub struct Gate {
    shared: Arc<Mutex<Shared>>,
    clock: Clock,
}

impl Gate {
    /// Makes the gate of a backend server that has just announced itself.
    pub fn new(slots: SlotCount, clock: Clock) -> Self {
        let now = clock.now();
        let state = GateState::new(AdaptiveLimit::cold(slots, now), now);
        Self::with_state(state, clock)
    }

    /// Makes a gate with a given state.
    pub fn with_state(state: GateState, clock: Clock) -> Self {
        let waiting = SecondaryMap::new();
        Self {
            shared: Arc::new(Mutex::new(Shared { state, waiting })),
            clock,
        }
    }

    /// Takes a new announcement of a server that went on running.
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

    /// Returns the present admission floor.
    pub fn floor(&self) -> FloorNotice {
        let now = self.clock.now();
        self.shared.lock().state.floor(now)
    }

    /// Returns when a caller refused now may try again, in milliseconds.
    pub fn retry_after_ms(&self, root: RequestId) -> u64 {
        let now = self.clock.now();
        self.shared.lock().state.retry_after_ms(root, now)
    }

    /// Refuses all waiting requests, because the server stops or is lost.
    pub fn drop_waiting(&self, reason: RefusalReason) {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        for dropped in shared.state.drop_waiting(reason, now) {
            shared.refuse(dropped);
        }
    }

    /// Waits for a slot, at most as long as the request can still finish in time.
    ///
    /// The future may be dropped at any time: the request then neither waits nor holds a slot.
    pub async fn acquire(&self, request: AdmissionRequest) -> Result<Permit, Refusal> {
        match self.decide(&request) {
            Decision::Started => Ok(self.permit()),
            Decision::Refused(refusal) => Err(refusal),
            Decision::Waiting(waiting, patience) => waiting.wait(patience).await,
        }
    }

    fn decide(&self, request: &AdmissionRequest) -> Decision {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        let (entry, displaced) = shared.state.acquire(request, now);
        if let Some(dropped) = displaced {
            shared.refuse(dropped);
        }
        match entry {
            AdmissionDecision::Started => Decision::Started,
            AdmissionDecision::Refused(refusal) => Decision::Refused(refusal),
            AdmissionDecision::Waiting { ticket, start_by } => {
                let (sender, answer) = oneshot::channel();
                shared.waiting.insert(ticket, sender);
                let waiting = Waiting {
                    gate: self.clone(),
                    ticket,
                    answer,
                };
                Decision::Waiting(waiting, start_by.since(now))
            }
        }
    }

    fn permit(&self) -> Permit {
        Permit {
            gate: self.clone(),
            started_at: self.clock.now(),
            finished: false,
        }
    }

    fn release(&self, completion: &Completion) {
        let now = self.clock.now();
        let mut shared = self.shared.lock();
        let wakeups = shared.state.release(completion, now);
        shared.wake(wakeups);
    }
}

enum Decision {
    Started,
    Waiting(Waiting, Duration),
    Refused(Refusal),
}

/// A request that waits; dropping it takes the request out of the queue.
struct Waiting {
    gate: Gate,
    ticket: Ticket,
    answer: oneshot::Receiver<Answer>,
}

impl Waiting {
    async fn wait(mut self, patience: Duration) -> Result<Permit, Refusal> {
        let answer = timeout(patience, &mut self.answer).await;
        match answer {
            Ok(Ok(Ok(()))) => Ok(self.gate.permit()),
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) | Err(_) => self.give_up(),
        }
    }

    /// Ends the wait, unless the answer came at the last moment.
    fn give_up(&mut self) -> Result<Permit, Refusal> {
        let now = self.gate.clock.now();
        let mut shared = self.gate.shared.lock();
        shared.waiting.remove(self.ticket);
        let reason = RefusalReason::DeadlineExceeded;
        let dropped = shared.state.abandon(self.ticket, reason, now);
        drop(shared);
        match (dropped, self.answer.try_recv()) {
            (Some(dropped), _) => Err(dropped.refusal),
            (None, Ok(Ok(()))) => Ok(self.gate.permit()),
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
        let started = !still_waiting && matches!(self.answer.try_recv(), Ok(Ok(())));
        if started {
            drop(self.gate.permit());
        }
    }
}

/// A slot of the backend server, given back when it is finished or dropped.
pub struct Permit {
    gate: Gate,
    started_at: MonotonicTime,
    finished: bool,
}

impl Permit {
    /// Gives the slot back after `onward` was spent waiting for onward calls.
    pub fn finish(mut self, outcome: CompletionOutcome, onward: Duration) {
        self.end(outcome, onward);
    }

    fn end(&mut self, outcome: CompletionOutcome, onward: Duration) {
        self.finished = true;
        let held = self.gate.clock.now().since(self.started_at);
        self.gate.release(&Completion {
            outcome,
            held,
            onward,
        });
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
