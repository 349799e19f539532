//! The tokens that a node may spend, and when it requests more.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use super::EmptyBucket;
use super::RateCaller;
use super::ReturnDemand;
use super::ReturnPlaces;
use super::SettlementReport;
use super::TokenGrant;
use super::TokenReply;
use super::TokenRequest;
use super::TokenRequestId;
use super::TokenRequestPurpose;
use super::local_account::EmptyPeriod;
use super::local_account::LocalAccount;
use super::local_account::PendingRequest;
use crate::values::Epoch;
use crate::values::Incarnation;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::TokenCount;
use crate::values::ZoneId;

/// How long no request goes to a zone whose holder did not reply.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(500);

/// How long a node prefetches no tokens after a holder had none to spare.
const PREFETCH_BACKOFF: Duration = Duration::from_millis(50);

/// Time without a reply after which a token request fails.
pub const TOKEN_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Shortest span over which retries of refused callers are spread.
const MIN_RETRY_SPREAD: Duration = Duration::from_millis(100);

/// Result of spending a token on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spend {
    /// A token was spent.
    Admitted,
    /// A holder's reply that its bucket is empty is still valid.
    Refused {
        /// How long the caller should wait before a retry.
        retry_after: Duration,
        /// Whether a token is held for the caller at that time.
        has_place: bool,
    },
    /// The node has no token and has to request some.
    NeedsTokens,
    /// No holder is reachable.
    Unreachable,
}

/// What a node knows about one organisation's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalTokensDump {
    /// Tokens that the node may spend.
    pub available_tokens: TokenCount,
    /// Time since a holder last replied that its bucket is empty, or none if it did not since the
    /// last grant.
    pub empty_reply_age: Option<Duration>,
    /// Time until the next token by that reply.
    pub next_token_in: Option<Duration>,
}

/// A token request and the zone whose holder gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequestTarget {
    /// The zone.
    pub zone: ZoneId,
    /// The request.
    pub request: TokenRequest,
}

/// A report and the zone whose holder gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettlementReportTarget {
    /// The zone.
    pub zone: ZoneId,
    /// The report.
    pub report: SettlementReport,
}

/// The tokens of all organisations that a node may spend.
///
/// Lifetimes are counted from when a request was sent, by the node's own monotonic clock, so that
/// they end before the holder stops counting the batch as outstanding.
#[derive(Clone, Debug)]
pub struct LocalTokens {
    node: NodeId,
    /// The node's own zone first, then the others.
    zones: Vec<ZoneId>,
    epochs: BTreeMap<ZoneId, Epoch>,
    unresponsive_until: BTreeMap<ZoneId, MonotonicTime>,
    accounts: BTreeMap<OrganisationId, LocalAccount>,
    last_request: TokenRequestId,
    refusals: u64,
}

impl LocalTokens {
    /// Creates a node's state without tokens. `zones` has the node's own zone first.
    ///
    /// Each incarnation of a node numbers its requests from a different start, so that a late reply
    /// to an earlier incarnation is not accepted as a reply to this one.
    pub fn new(node: NodeId, incarnation: Incarnation, zones: Vec<ZoneId>) -> Self {
        Self {
            node,
            zones,
            epochs: BTreeMap::new(),
            unresponsive_until: BTreeMap::new(),
            accounts: BTreeMap::new(),
            last_request: TokenRequestId::start_of_incarnation(incarnation.0),
            refusals: 0,
        }
    }

    /// Replaces the zones. The node's own zone comes first.
    pub fn set_zones(&mut self, zones: Vec<ZoneId>) {
        self.zones = zones;
    }

    /// Removes organisations for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&OrganisationId) -> bool) {
        self.accounts.retain(|organisation, _| keep(organisation));
    }

    /// Counts a new request of `organisation`, and spends a token on it if there is one.
    pub fn try_admit(&mut self, organisation: &OrganisationId, now: MonotonicTime) -> Spend {
        self.count(organisation, now);
        self.spend(organisation, now)
    }

    /// Counts a new request of `organisation`.
    pub fn count(&mut self, organisation: &OrganisationId, now: MonotonicTime) {
        let account = self.account(organisation, now);
        account.demand.record(TokenCount(1), now);
    }

    /// Makes the next requests ask the holder again, because it may hold a token for one of them.
    pub fn forget_empty_reply(&mut self, organisation: &OrganisationId, now: MonotonicTime) {
        self.account(organisation, now).empty_period = None;
    }

    /// Spends a token on a request that was counted by [`Self::try_admit`].
    pub fn spend(&mut self, organisation: &OrganisationId, now: MonotonicTime) -> Spend {
        self.spend_for(organisation, RateCaller::WITHOUT_PLACE, TokenCount(0), now)
    }

    /// Like [`Self::spend`], for a caller that may have or get a place, and leaves `kept` tokens to others.
    pub fn spend_for(
        &mut self,
        organisation: &OrganisationId,
        caller: RateCaller,
        kept: TokenCount,
        now: MonotonicTime,
    ) -> Spend {
        let unreachable = self.reachable_zone(now).is_none();
        let account = self.account(organisation, now);
        let may_spend = kept == TokenCount(0) || account.batches.available(now) > kept;
        match account.empty_period {
            _ if may_spend && account.batches.spend(now) => Spend::Admitted,
            Some(period) if now < period.valid_until => {
                match account.take_place(caller.horizon, now) {
                    Some(due) => Spend::Refused {
                        retry_after: due.since(now),
                        has_place: true,
                    },
                    None if account.may_get_place(caller) && !unreachable => Spend::NeedsTokens,
                    None => Spend::Refused {
                        retry_after: self.retry_after(organisation, period, now),
                        has_place: false,
                    },
                }
            }
            _ if unreachable => Spend::Unreachable,
            _ => Spend::NeedsTokens,
        }
    }

    /// Takes back a token that was spent on a request that did not run, if its batch still permits.
    pub fn give_back(&mut self, organisation: &OrganisationId, now: MonotonicTime) -> bool {
        let account = self.accounts.get_mut(organisation);
        account.is_some_and(|account| account.batches.give_back(now))
    }

    /// Returns what this node knows about the tokens of `organisation`, if it knows anything.
    pub fn dump(
        &self,
        organisation: &OrganisationId,
        now: MonotonicTime,
    ) -> Option<LocalTokensDump> {
        let account = self.accounts.get(organisation)?;
        let period = account.empty_period;
        Some(LocalTokensDump {
            available_tokens: account.batches.available(now),
            empty_reply_age: period.map(|period| now.since(period.received_at)),
            next_token_in: period.map(|period| period.next_token.since(now)),
        })
    }

    /// Starts a token request for `waiting` requests and for expected demand, and returns it for
    /// sending. Returns none if no tokens are needed, no zone is reachable or a request is pending.
    pub fn begin_request(
        &mut self,
        organisation: &OrganisationId,
        waiting: TokenCount,
        now: MonotonicTime,
    ) -> Option<TokenRequestTarget> {
        self.begin_request_for(organisation, waiting, None, now)
    }

    /// Like [`Self::begin_request`], with what the holder has to know of callers that come back.
    pub fn begin_request_for(
        &mut self,
        organisation: &OrganisationId,
        waiting: TokenCount,
        returns: Option<ReturnDemand>,
        now: MonotonicTime,
    ) -> Option<TokenRequestTarget> {
        let zone = self.reachable_zone(now)?.clone();
        let id = self.last_request.next();
        let account = self.account(organisation, now);
        let prefetch_tokens = account.prefetch_tokens(waiting, now);
        if account.has_pending_request(now) || waiting.0 + prefetch_tokens.0 == 0 {
            return None;
        }
        account.pending = Some(PendingRequest {
            id,
            zone: zone.clone(),
            sent: now,
        });
        let settlements = account.batches.settlements(&zone, now);
        self.last_request = id;
        let request = TokenRequest {
            id,
            requester: self.node.clone(),
            organisation: organisation.clone(),
            purpose: TokenRequestPurpose::Spend,
            epoch: self.epochs.get(&zone).copied().unwrap_or_default(),
            waiting_tokens: waiting,
            prefetch_tokens,
            settlements,
            pool_holder: None,
            returns,
        };
        Some(TokenRequestTarget { zone, request })
    }

    /// Handles the reply to the token request `id`. A reply to a request that is not pending has no
    /// effect.
    pub fn handle_reply(
        &mut self,
        organisation: &OrganisationId,
        id: TokenRequestId,
        reply: &TokenReply,
        now: MonotonicTime,
    ) {
        let account = self.account(organisation, now);
        let Some(pending) = account.pending.take_if(|pending| pending.id == id) else {
            return;
        };
        let seen = self.epochs.entry(pending.zone.clone()).or_default();
        match reply {
            TokenReply::Grant(grant) if grant.epoch >= *seen => {
                *seen = grant.epoch;
                self.accept_grant(organisation, grant, &pending);
            }
            TokenReply::Empty(empty) if empty.epoch >= *seen => {
                *seen = empty.epoch;
                self.accept_empty(organisation, empty, None, now);
            }
            TokenReply::EmptyWithPlaces(empty, places) if empty.epoch >= *seen => {
                *seen = empty.epoch;
                self.accept_empty(organisation, empty, Some(places), now);
            }
            TokenReply::NoPrefetch => {
                let account = self.account(organisation, now);
                account.prefetch_not_before = now.after(PREFETCH_BACKOFF);
            }
            _ => self.mark_unresponsive(pending.zone, now),
        }
    }

    /// Ends the token request `id`, which timed out or could not be sent.
    pub fn fail_request(
        &mut self,
        organisation: &OrganisationId,
        id: TokenRequestId,
        now: MonotonicTime,
    ) {
        let account = self.account(organisation, now);
        if let Some(pending) = account.pending.take_if(|pending| pending.id == id) {
            self.mark_unresponsive(pending.zone, now);
        }
    }

    /// Returns the reports of one organisation that are due to holders. The holder of a small bucket
    /// mints no token until it has the report of the one before.
    pub fn due_reports(
        &mut self,
        organisation: &OrganisationId,
        now: MonotonicTime,
    ) -> Vec<SettlementReportTarget> {
        let account = self.accounts.get_mut(organisation);
        account.map_or_else(Vec::new, |account| account.reports(organisation, now))
    }

    /// Returns the reports that are due to holders. Must be called several times per second.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<SettlementReportTarget> {
        let mut reports = Vec::new();
        for (organisation, account) in &mut self.accounts {
            account.batches.return_expiring(now);
            reports.extend(account.reports(organisation, now));
        }
        reports
    }

    /// Gives all tokens back before a planned stop. Returns the reports to send.
    pub fn return_all(&mut self, now: MonotonicTime) -> Vec<SettlementReportTarget> {
        let mut reports = Vec::new();
        for (organisation, account) in &mut self.accounts {
            account.batches.return_all(now);
            reports.extend(account.reports(organisation, now));
        }
        reports
    }

    fn account(&mut self, organisation: &OrganisationId, now: MonotonicTime) -> &mut LocalAccount {
        if !self.accounts.contains_key(organisation) {
            let account = LocalAccount::new(now);
            self.accounts.insert(organisation.clone(), account);
        }
        self.accounts
            .get_mut(organisation)
            .expect("the account was just inserted")
    }

    fn reachable_zone(&self, now: MonotonicTime) -> Option<&ZoneId> {
        let is_unresponsive = |zone: &ZoneId| {
            let until = self.unresponsive_until.get(zone);
            until.is_some_and(|until| now < *until)
        };
        self.zones.iter().find(|zone| !is_unresponsive(zone))
    }

    fn mark_unresponsive(&mut self, zone: ZoneId, now: MonotonicTime) {
        self.unresponsive_until
            .insert(zone, now.after(UNRESPONSIVE_BACKOFF));
    }

    fn accept_grant(
        &mut self,
        organisation: &OrganisationId,
        grant: &TokenGrant,
        pending: &PendingRequest,
    ) {
        let account = self.account(organisation, pending.sent);
        account.lifetime = grant.lifetime();
        account.empty_period = None;
        account.batches.accept(grant, &pending.zone, pending.sent);
    }

    fn accept_empty(
        &mut self,
        organisation: &OrganisationId,
        empty: &EmptyBucket,
        places: Option<&ReturnPlaces>,
        now: MonotonicTime,
    ) {
        let account = self.account(organisation, now);
        account.empty_period = Some(EmptyPeriod {
            received_at: now,
            valid_until: now.after(Duration::from_micros(empty.valid_us)),
            next_token: now.after(Duration::from_micros(empty.next_token_us)),
            has_more_places: places.is_some_and(|places| !places.is_full),
        });
        let due_us = places.map_or(&[][..], |places| &places.due_us);
        let due = due_us
            .iter()
            .map(|us| now.after(Duration::from_micros(*us)));
        account.places = due.collect();
    }

    /// Returns a delay with jitter, so that refused callers do not retry at the same time.
    fn retry_after(
        &mut self,
        organisation: &OrganisationId,
        period: EmptyPeriod,
        now: MonotonicTime,
    ) -> Duration {
        let due = period.next_token.max(period.valid_until).since(now);
        let spread = due.max(MIN_RETRY_SPREAD);
        self.refusals += 1;
        let mut hasher = DefaultHasher::new();
        (&self.node, organisation, self.refusals).hash(&mut hasher);
        let offset_us = hasher.finish() % spread.as_micros() as u64;
        due + Duration::from_micros(offset_us)
    }
}
