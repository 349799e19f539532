//! Admits requests on a node: spends its tokens and requests more from holders.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::LocalTokens;
use super::LocalTokensDump;
use super::RateCaller;
use super::RatePlan;
use super::ReturnDemand;
use super::SettlementReportTarget;
use super::Spend;
use super::TOKEN_REQUEST_TIMEOUT;
use super::TokenReply;
use super::TokenRequestTarget;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::Clock;
use crate::values::Incarnation;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::TokenCount;
use crate::values::ZoneId;

/// Interval between rounds of reports.
const TICK: Duration = Duration::from_millis(20);

/// Longest time that a request waits for a token. It spans two token requests, one to the holder of
/// the node's own zone and one to that of another zone.
const WAIT_MAX: Duration = Duration::from_millis(1_000);

/// Requests wait for a new holder if a request was admitted within this time.
const HOLDER_CHANGE_MAX: Duration = Duration::from_millis(1_500);

/// Retry delay for a caller if no holder is reachable, in milliseconds.
const RETRY_WITHOUT_HOLDER_MS: u64 = 1_000;

/// Sends messages to the holders of zones.
pub struct HolderCalls {
    /// Sends a token request. Returns none if the holder did not reply.
    pub request:
        Box<dyn Fn(TokenRequestTarget) -> BoxFuture<'static, Option<TokenReply>> + Send + Sync>,
    /// Sends a report, which may be lost.
    pub report: Box<dyn Fn(SettlementReportTarget) -> BoxFuture<'static, ()> + Send + Sync>,
}

impl fmt::Debug for HolderCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HolderCalls")
    }
}

/// Waiting requests of one organisation.
#[derive(Debug, Default)]
struct Waiting {
    tokens: u64,
    /// Those of them whose callers have a place.
    returned: u64,
    /// Those of them whose callers can get a place.
    placeable: u64,
    /// Longest time until a place that any caller of late could wait.
    horizon: Duration,
    wake: Arc<Notify>,
}

/// A refusal for the rate of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct RateRefusal {
    /// The refusal for the caller.
    pub refusal: Refusal,
    /// Whether a token is held for the caller at the time at which it may retry.
    pub has_place: bool,
}

/// State under the lock, which is not held across an await.
#[derive(Debug)]
struct ClientState {
    tokens: LocalTokens,
    waiting: BTreeMap<OrganisationId, Waiting>,
    /// When a request was last admitted, or else when the first one came.
    last_admitted: Option<MonotonicTime>,
}

/// Admits requests on a node.
///
/// A request that finds a token does not wait. The others share one token request and wait for its
/// reply.
#[derive(Debug)]
pub struct RateClient {
    zone: ZoneId,
    clock: Clock,
    calls: HolderCalls,
    state: Mutex<ClientState>,
}

impl RateClient {
    /// Creates a client without tokens.
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        zone: ZoneId,
        clock: Clock,
        calls: HolderCalls,
    ) -> Self {
        Self {
            state: Mutex::new(ClientState {
                tokens: LocalTokens::new(node, incarnation, vec![zone.clone()]),
                waiting: BTreeMap::new(),
                last_admitted: None,
            }),
            zone,
            clock,
            calls,
        }
    }

    /// Applies the zones and organisations of a configuration.
    pub fn configure(&self, plan: &RatePlan) {
        let others = plan.layout.weights.keys();
        let others = others.filter(|zone| **zone != self.zone).cloned();
        let zones = std::iter::once(self.zone.clone()).chain(others).collect();
        let organisations = &plan.organisations;
        let mut state = self.state.lock();
        state.tokens.set_zones(zones);
        state.tokens.retain(|id| organisations.contains_key(id));
        state.waiting.retain(|id, _| organisations.contains_key(id));
    }

    /// Spends a token on a request of `organisation`, or refuses it.
    pub async fn admit(self: &Arc<Self>, organisation: &OrganisationId) -> Result<(), Refusal> {
        let admitted = self.admit_caller(organisation, RateCaller::WITHOUT_PLACE);
        admitted.await.map_err(|refused| refused.refusal)
    }

    /// Like [`Self::admit`], for a caller that may have or get a place.
    pub async fn admit_caller(
        self: &Arc<Self>,
        organisation: &OrganisationId,
        caller: RateCaller,
    ) -> Result<(), RateRefusal> {
        let spend = {
            let now = self.clock.now();
            let mut state = self.state.lock();
            // The first requests of a process wait for its first holder like for a new one.
            state.last_admitted.get_or_insert(now);
            state.tokens.count(organisation, now);
            if caller.has_place {
                state.tokens.forget_empty_reply(organisation, now);
            }
            state.spend(organisation, caller, now)
        };
        let outcome = match spend {
            Spend::NeedsTokens => self.wait_for_token(organisation, caller).await,
            Spend::Unreachable if self.has_admitted_recently() => {
                self.wait_for_token(organisation, caller).await
            }
            spend => spend,
        };
        if outcome == Spend::Admitted {
            self.state.lock().last_admitted = Some(self.clock.now());
        }
        self.request_tokens_if_needed(organisation);
        self.send_due_reports(organisation);
        match outcome {
            Spend::Admitted => Ok(()),
            Spend::Refused {
                retry_after,
                has_place,
            } => Err(RateRefusal {
                refusal: refusal(
                    RefusalReason::RateExceeded,
                    retry_after.as_micros().div_ceil(1_000) as u64,
                ),
                has_place,
            }),
            Spend::NeedsTokens | Spend::Unreachable => Err(RateRefusal {
                refusal: refusal(
                    RefusalReason::RateHolderUnreachable,
                    RETRY_WITHOUT_HOLDER_MS,
                ),
                has_place: false,
            }),
        }
    }

    /// Takes back the token of a request that did not run, if that is still possible.
    pub fn give_back(&self, organisation: &OrganisationId) -> bool {
        let now = self.clock.now();
        self.state.lock().tokens.give_back(organisation, now)
    }

    /// Returns what this node knows about the tokens of `organisation`, if it knows anything.
    pub fn dump(&self, organisation: &OrganisationId) -> Option<LocalTokensDump> {
        let now = self.clock.now();
        self.state.lock().tokens.dump(organisation, now)
    }

    /// Sends the reports that are due, until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut period = tokio::time::interval(TICK);
        loop {
            period.tick().await;
            let reports = self.state.lock().tokens.tick(self.clock.now());
            for report in reports {
                tokio::spawn((self.calls.report)(report));
            }
        }
    }

    /// Gives all tokens back to their holders before a planned stop.
    pub async fn return_tokens(&self) {
        let reports = self.state.lock().tokens.return_all(self.clock.now());
        let sent = reports
            .into_iter()
            .map(|report| (self.calls.report)(report));
        futures::future::join_all(sent).await;
    }

    /// Returns whether a request was admitted recently, so that the holder may only be changing. In
    /// a longer outage, requests are refused at once.
    fn has_admitted_recently(&self) -> bool {
        let now = self.clock.now();
        let admitted = self.state.lock().last_admitted;
        admitted.is_some_and(|admitted| now.since(admitted) < HOLDER_CHANGE_MAX)
    }

    fn send_due_reports(&self, organisation: &OrganisationId) {
        let now = self.clock.now();
        let reports = self.state.lock().tokens.due_reports(organisation, now);
        for report in reports {
            tokio::spawn((self.calls.report)(report));
        }
    }

    async fn wait_for_token(
        self: &Arc<Self>,
        organisation: &OrganisationId,
        caller: RateCaller,
    ) -> Spend {
        let waiting = WaitingGuard::start(self, organisation, caller);
        let spent = self.spend_when_notified(organisation, caller, &waiting.wake);
        let spent = tokio::time::timeout(WAIT_MAX, spent);
        spent.await.unwrap_or(Spend::NeedsTokens)
    }

    async fn spend_when_notified(
        self: &Arc<Self>,
        organisation: &OrganisationId,
        caller: RateCaller,
        wake: &Notify,
    ) -> Spend {
        loop {
            let notified = wake.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let now = self.clock.now();
            let spend = self.state.lock().spend(organisation, caller, now);
            if !matches!(spend, Spend::NeedsTokens | Spend::Unreachable) {
                return spend;
            }
            self.request_tokens_if_needed(organisation);
            // The end of a zone's backoff sends no notification, so the wait has a timeout.
            let _ = tokio::time::timeout(TOKEN_REQUEST_TIMEOUT, notified).await;
        }
    }

    /// Sends a token request if one is due. Its reply wakes all waiting requests.
    fn request_tokens_if_needed(self: &Arc<Self>, organisation: &OrganisationId) {
        let target = {
            let mut state = self.state.lock();
            let waiting = state.waiting.get(organisation);
            let tokens = TokenCount(waiting.map_or(0, |waiting| waiting.tokens));
            let returns = waiting.and_then(Waiting::return_demand);
            let now = self.clock.now();
            let tokens_of_node = &mut state.tokens;
            tokens_of_node.begin_request_for(organisation, tokens, returns, now)
        };
        if let Some(target) = target {
            let client = Arc::clone(self);
            let organisation = organisation.clone();
            tokio::spawn(async move { client.request_tokens(&organisation, target).await });
        }
    }

    async fn request_tokens(
        self: &Arc<Self>,
        organisation: &OrganisationId,
        target: TokenRequestTarget,
    ) {
        let id = target.request.id;
        let reply = tokio::time::timeout(TOKEN_REQUEST_TIMEOUT, (self.calls.request)(target)).await;
        let now = self.clock.now();
        let mut state = self.state.lock();
        match reply.ok().flatten() {
            Some(reply) => state.tokens.handle_reply(organisation, id, &reply, now),
            None => state.tokens.fail_request(organisation, id, now),
        }
        if let Some(waiting) = state.waiting.get(organisation) {
            waiting.wake.notify_waiters();
        }
    }
}

impl Waiting {
    fn count(&mut self, caller: RateCaller) {
        self.tokens += 1;
        self.returned += u64::from(caller.has_place);
        self.placeable += u64::from(caller.gets_place());
        self.horizon = match self.placeable {
            _ if !caller.gets_place() => self.horizon,
            1 => caller.horizon,
            _ => self.horizon.max(caller.horizon),
        };
    }

    fn uncount(&mut self, caller: RateCaller) {
        self.tokens = self.tokens.saturating_sub(1);
        let (returned, placeable) = (caller.has_place, caller.gets_place());
        self.returned = self.returned.saturating_sub(u64::from(returned));
        self.placeable = self.placeable.saturating_sub(u64::from(placeable));
    }

    fn return_demand(&self) -> Option<ReturnDemand> {
        (self.returned + self.placeable > 0).then_some(ReturnDemand {
            returned_tokens: TokenCount(self.returned),
            placeable_tokens: TokenCount(self.placeable),
            horizon_us: self.horizon.as_micros() as u64,
        })
    }
}

impl ClientState {
    /// Spends a token for a caller. Those for callers with a place are left to them.
    fn spend(
        &mut self,
        organisation: &OrganisationId,
        caller: RateCaller,
        now: MonotonicTime,
    ) -> Spend {
        let waiting = self.waiting.get(organisation);
        let kept = match caller.has_place {
            true => 0,
            false => waiting.map_or(0, |waiting| waiting.returned),
        };
        self.tokens
            .spend_for(organisation, caller, TokenCount(kept), now)
    }
}

/// Counts a waiting request until it has an outcome or its caller disconnects.
struct WaitingGuard<'a> {
    client: &'a RateClient,
    organisation: &'a OrganisationId,
    caller: RateCaller,
    wake: Arc<Notify>,
}

impl<'a> WaitingGuard<'a> {
    fn start(client: &'a RateClient, organisation: &'a OrganisationId, caller: RateCaller) -> Self {
        let mut state = client.state.lock();
        let waiting = state.waiting.entry(organisation.clone()).or_default();
        waiting.count(caller);
        Self {
            client,
            organisation,
            caller,
            wake: Arc::clone(&waiting.wake),
        }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        if let Some(waiting) = self.client.state.lock().waiting.get_mut(self.organisation) {
            waiting.uncount(self.caller);
        }
    }
}

fn refusal(reason: RefusalReason, retry_after_ms: u64) -> Refusal {
    Refusal::not_run(reason).retry_after_ms(retry_after_ms)
}
