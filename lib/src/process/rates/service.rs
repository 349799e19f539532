//! Handles token requests on the node that is the holder of its zone.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::BucketDump;
use super::Holder;
use super::HolderDecision;
use super::HolderLease;
use super::HolderRecord;
use super::HolderReport;
use super::HolderSettings;
use super::LeaseAction;
use super::LoanRequest;
use super::PeerStatus;
use super::RatePlan;
use super::RecordWrite;
use super::SettlementReport;
use super::TokenReply;
use super::TokenRequest;
use super::pool_zone;
use crate::process::events::rates as events;
use crate::values::Clock;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::ZoneId;

/// Times after which a token request no longer waits for loans from lenders that did not reply
/// before, and from any lender. They are a little longer than the lenders' timeouts.
const LOAN_TIMEOUTS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(80)];

/// Sends messages to the holders of other zones.
pub struct LenderCalls {
    /// Sends a loan request. Returns none if the lender did not reply.
    pub request: Box<dyn Fn(LoanRequest) -> BoxFuture<'static, Option<TokenReply>> + Send + Sync>,
    /// Sends a report, which may be lost.
    pub report: Box<dyn Fn(HolderReport) -> BoxFuture<'static, ()> + Send + Sync>,
}

impl fmt::Debug for LenderCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LenderCalls")
    }
}

/// State under the lock, which is not held across an await.
#[derive(Debug)]
struct ServiceState {
    lease: HolderLease,
    holder: Option<Holder>,
    plan: Option<Arc<RatePlan>>,
}

/// Handles token requests on a node for as long as the node is the holder of its zone.
#[derive(Debug)]
pub struct HolderService {
    zone: ZoneId,
    node: NodeId,
    clock: Clock,
    calls: LenderCalls,
    loan_reply_received: Notify,
    state: Mutex<ServiceState>,
}

impl HolderService {
    /// Creates a service without the role.
    pub fn new(lease: HolderLease, zone: ZoneId, clock: Clock, calls: LenderCalls) -> Self {
        Self {
            node: lease.node().clone(),
            state: Mutex::new(ServiceState {
                lease,
                holder: None,
                plan: None,
            }),
            zone,
            clock,
            calls,
            loan_reply_received: Notify::new(),
        }
    }

    /// Puts the shares of a configuration in force. This creates no tokens.
    pub fn configure(&self, plan: &Arc<RatePlan>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.plan = Some(Arc::clone(plan));
        state.lease.set_layout(plan.layout.clone(), now);
        self.apply_shares(&mut state, now);
    }

    /// Returns the zones whose records have to be read. See [`HolderLease::zones_to_read`].
    pub fn zones_to_read(&self) -> Option<BTreeSet<ZoneId>> {
        self.state.lock().lease.zones_to_read(&self.zone)
    }

    /// Applies the records of the zones in [`Self::zones_to_read`].
    pub fn zones_read(&self, others: &[Option<HolderRecord>]) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.lease.zones_read(others);
        self.apply_shares(&mut state, now);
    }

    /// Returns whether the node holds the role now and has started to grant tokens.
    pub fn is_holder(&self) -> bool {
        let state = self.state.lock();
        let held = state.lease.held_epoch(self.clock.now());
        held.is_some() && held == state.holder.as_ref().map(Holder::epoch)
    }

    /// Returns the state of the bucket of `organisation`, if the node holds the role now.
    pub fn bucket(&self, organisation: &OrganisationId) -> Option<BucketDump> {
        let mut state = self.state.lock();
        let now = self.clock.now();
        self.acting_holder(&mut state, now)?
            .bucket(organisation, now)
    }

    /// Returns the zone's holder record as last read from or written to the platform.
    pub fn known_holder(&self) -> Option<HolderRecord> {
        self.state.lock().lease.known_holder().cloned()
    }

    /// Handles a token request. The reply waits for loans for at most the last of
    /// `LOAN_TIMEOUTS`.
    pub async fn handle_request(self: &Arc<Self>, request: TokenRequest) -> TokenReply {
        let first = self.decide(&request, Holder::handle_request);
        match self.carry_out(first) {
            Some(reply) => reply,
            None => self.reply_after_loans(&request).await,
        }
    }

    /// Applies a report on batches.
    pub fn apply_report(&self, report: &SettlementReport) {
        let now = self.clock.now();
        let reports = match &mut self.state.lock().holder {
            Some(holder) => {
                holder.apply_settlements(&report.organisation, &report.settlements, now);
                holder.due_reports(&report.organisation)
            }
            None => Vec::new(),
        };
        self.send_reports(reports);
    }

    fn send_reports(&self, reports: Vec<HolderReport>) {
        for report in reports {
            tokio::spawn((self.calls.report)(report));
        }
    }

    /// Returns the status for the holder of the zone, and makes the promise that it implies.
    pub fn peer_status(&self) -> PeerStatus {
        self.state.lock().lease.peer_status(self.clock.now())
    }

    /// Releases the role with all buckets. Returns the record to write, see
    /// [`HolderLease::release`].
    pub fn release(&self) -> Option<RecordWrite> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let handovers = self
            .acting_holder(&mut state, now)
            .map(|holder| holder.hand_over(now));
        state.holder = None;
        state.lease.release(handovers.unwrap_or_default(), now)
    }

    /// Calls `step` with the lease and the current time, under the lock.
    pub fn with_lease<T>(&self, step: impl FnOnce(&mut HolderLease, MonotonicTime) -> T) -> T {
        let mut state = self.state.lock();
        step(&mut state.lease, self.clock.now())
    }

    /// Returns the next call to the platform. See [`HolderLease::next_action`].
    pub fn next_lease_action(&self, is_candidate: bool) -> LeaseAction {
        self.with_lease(|lease, now| lease.next_action(is_candidate, now))
    }

    /// Starts a newly acquired role, and sends the reports and requests that are due to other zones.
    pub fn tick(self: &Arc<Self>) {
        let (reports, requests) = {
            let mut state = self.state.lock();
            let now = self.clock.now();
            match self.acting_holder(&mut state, now) {
                Some(holder) => (holder.tick(now), holder.share_requests(now)),
                None => (Vec::new(), Vec::new()),
            }
        };
        self.send_reports(reports);
        self.send_loan_requests(requests);
    }

    /// Gives all borrowed tokens back to their lenders before a planned stop.
    pub async fn return_loans(&self) {
        let now = self.clock.now();
        let reports = match &mut self.state.lock().holder {
            Some(holder) => holder.return_loans(now),
            None => Vec::new(),
        };
        let sent = reports
            .into_iter()
            .map(|report| (self.calls.report)(report));
        futures::future::join_all(sent).await;
    }

    async fn reply_after_loans(self: &Arc<Self>, request: &TokenRequest) -> TokenReply {
        let started = Instant::now();
        for timeout in LOAN_TIMEOUTS {
            let reply = self.reply_when_notified(request);
            if let Ok(reply) = tokio::time::timeout_at(started + timeout, reply).await {
                return reply;
            }
        }
        let decision = self.decide(request, Holder::final_retry);
        let reply = self.carry_out(decision);
        reply.unwrap_or(TokenReply::NoPrefetch)
    }

    /// Decides on a token request now and after each reply of a lender, until there is a decision.
    async fn reply_when_notified(self: &Arc<Self>, request: &TokenRequest) -> TokenReply {
        loop {
            let received = self.loan_reply_received.notified();
            tokio::pin!(received);
            received.as_mut().enable();
            let decision = self.decide(request, Holder::retry);
            match self.carry_out(decision) {
                Some(reply) => return reply,
                None => received.await,
            }
        }
    }

    fn decide(
        &self,
        request: &TokenRequest,
        decide: impl FnOnce(&mut Holder, &TokenRequest, MonotonicTime) -> HolderDecision,
    ) -> HolderDecision {
        let mut state = self.state.lock();
        let state = &mut *state;
        state.lease.epoch_seen(request.epoch);
        let now = self.clock.now();
        match self.acting_holder(state, now) {
            Some(holder) => decide(holder, request, now),
            None => HolderDecision {
                reply: Some(TokenReply::NotHolder(self.hint(state))),
                loan_requests: Vec::new(),
            },
        }
    }

    /// Returns the holder if the lease is valid at `now`, and starts it if the role is new.
    fn acting_holder<'a>(
        &self,
        state: &'a mut ServiceState,
        now: MonotonicTime,
    ) -> Option<&'a mut Holder> {
        let epoch = state.lease.held_epoch(now)?;
        let is_current = |holder: &Holder| holder.epoch() == epoch;
        if !state.holder.as_ref().is_some_and(is_current) {
            let settings = HolderSettings {
                zone: self.zone.clone(),
                node: self.node.clone(),
                epoch,
                previous_grants_end: state.lease.previous_grants_end(now),
            };
            events::HOLDER_TAKEN.log(format_args!("zone {}, epoch {epoch}", self.zone));
            state.holder = Some(Holder::new(settings, now));
            self.apply_shares(state, now);
            let handovers = state.lease.take_handovers();
            if let Some(holder) = &mut state.holder {
                holder.apply_handover(&handovers, now);
            }
        }
        state.holder.as_mut()
    }

    fn hint(&self, state: &ServiceState) -> Option<NodeId> {
        let record = state.lease.known_holder()?;
        (record.holder != self.node).then(|| record.holder.clone())
    }

    fn carry_out(self: &Arc<Self>, decision: HolderDecision) -> Option<TokenReply> {
        self.send_loan_requests(decision.loan_requests);
        decision.reply
    }

    fn send_loan_requests(self: &Arc<Self>, requests: Vec<LoanRequest>) {
        for loan in requests {
            let service = Arc::clone(self);
            let organisation = loan.request.organisation.clone();
            tokio::spawn(async move {
                let (lender, id) = (loan.lender.clone(), loan.request.id);
                let reply = (service.calls.request)(loan).await;
                let reply = reply.unwrap_or(TokenReply::NotHolder(None));
                let now = service.clock.now();
                if let Some(holder) = &mut service.state.lock().holder {
                    holder.handle_loan_reply(&organisation, &lender, id, &reply, now);
                }
                service.loan_reply_received.notify_waiters();
            });
        }
    }

    /// Sets the holder's shares from the configuration in force.
    fn apply_shares(&self, state: &mut ServiceState, now: MonotonicTime) {
        let (Some(holder), Some(plan)) = (&mut state.holder, &state.plan) else {
            return;
        };
        let organisations = &plan.organisations;
        holder.retain(|id| organisations.contains_key(id), now);
        for organisation in organisations.values() {
            let share = state.lease.layouts().share(organisation, &self.zone);
            let others = plan.layout.weights.keys();
            let lenders = others.filter(|id| **id != self.zone).cloned();
            holder.set_share(&organisation.id, share, lenders, now);
            let pool_zone = pool_zone(organisation, &plan.layout);
            holder.set_pool_zone(organisation, pool_zone, now);
        }
    }
}
