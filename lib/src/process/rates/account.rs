//! Bucket, loans and demand of one organisation, as kept by the holder of one zone.

use std::collections::BTreeMap;
use std::time::Duration;

use super::BatchId;
use super::Bucket;
use super::Demand;
use super::HolderReport;
use super::Loans;
use super::MAX_BATCH_LIFETIME;
use super::MicroTokens;
use super::PoolHolder;
use super::ReturnDemand;
use super::ReturnPlaces;
use super::SettlementReport;
use super::ShareLoan;
use super::TakenTokens;
use super::TokenRequest;
use super::TokenRequestId;
use super::TokenRequestPurpose;
use super::ZoneShare;
use super::lender::Lender;
use super::pool::Pool;
use crate::process::returns::PlaceOffer;
use crate::process::returns::ReturnSchedule;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::TokenCount;
use crate::values::ZoneId;
use crate::version::Organisation;

/// Span of expected demand for which tokens are borrowed in advance.
const BORROW_AHEAD: Duration = Duration::from_millis(100);

/// A holder that expects to need fewer tokens than this borrows only for waiting requests.
const MIN_BORROW_AHEAD_TOKENS: u64 = 4;

/// Span of its own zone's expected demand for which a lender keeps tokens.
const LENDER_RESERVE: Duration = Duration::from_millis(50);

/// At most one in this many of the tokens left after waiting requests is prefetched.
const PREFETCH_DIVISOR: u64 = 4;

/// With fewer tokens than this left, none are prefetched; all are kept for waiting requests.
const MIN_AVAILABLE_FOR_PREFETCH_TOKENS: u64 = 8;

/// Shortest validity of a reply that the bucket is empty.
const MIN_EMPTY_VALIDITY: Duration = Duration::from_millis(1);

/// Longest validity of a reply that the bucket is empty.
pub(super) const MAX_EMPTY_VALIDITY: Duration = Duration::from_millis(50);

/// Shortest validity of a reply to the holder of another zone that the bucket is empty.
const MIN_LENDER_EMPTY_VALIDITY: Duration = Duration::from_millis(25);

/// Microseconds between two tokens at a rate of a millionth of a token per second.
const MICRO_RATE_US: u64 = 1_000_000_000_000;

/// A node without a token request for this time no longer counts as a requester.
const REQUESTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Account of one organisation in the zone.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub bucket: Bucket,
    pub pool: Pool,
    pub loans: Loans,
    pub demand: Demand,
    pub lenders: BTreeMap<ZoneId, Lender>,
    pub requesters: BTreeMap<NodeId, MonotonicTime>,
    /// Places in the tokens of the bucket.
    pub returns: ReturnSchedule,
}

impl Account {
    pub fn new(share: ZoneShare, now: MonotonicTime, previous_grants_end: MonotonicTime) -> Self {
        Self {
            bucket: Bucket::empty(share, now, previous_grants_end),
            pool: Pool::new(share),
            loans: Loans::default(),
            demand: Demand::new(now),
            lenders: BTreeMap::new(),
            requesters: BTreeMap::new(),
            returns: ReturnSchedule::default(),
        }
    }

    pub fn advance(&mut self, now: MonotonicTime) {
        while let Some(ends) = self.pool.next_end().filter(|ends| *ends <= now) {
            self.bucket.advance(ends);
            if let Some(returned) = self.pool.end(ends) {
                let grants_end = returned.at.after(MAX_BATCH_LIFETIME);
                self.bucket
                    .count_unknown_grants(returned.burst_tokens, grants_end);
            }
            self.bucket.set_share(self.pool.share_in_force(), ends);
        }
        self.bucket.advance(now);
        self.loans.advance(now);
    }

    /// Sets the configured share of the zone.
    pub fn set_own_share(&mut self, share: ZoneShare, now: MonotonicTime) {
        self.advance(now);
        self.pool.set_own_share(share);
        self.bucket.set_share(self.pool.share_in_force(), now);
    }

    /// Sets the zone of the pool. See [`Pool::set_zone`].
    pub fn set_pool_zone(
        &mut self,
        organisation: &Organisation,
        zone: Option<ZoneId>,
        lent_until: Option<MonotonicTime>,
        now: MonotonicTime,
    ) {
        self.pool.set_zone(organisation, zone, lent_until);
        self.advance(now);
        self.bucket.set_share(self.pool.share_in_force(), now);
    }

    /// Lends the zone's share with the tokens of the bucket to the zone of the pool.
    pub fn lend_share(
        &mut self,
        borrower: &PoolHolder,
        now: MonotonicTime,
    ) -> Option<(ZoneShare, MicroTokens)> {
        let unknown_tokens = self.pool.may_lend(borrower)?;
        let grants_end = now.after(MAX_BATCH_LIFETIME);
        self.bucket.count_unknown_grants(unknown_tokens, grants_end);
        let level = self.bucket.take_level();
        let share = self.pool.lend(borrower, self.bucket.outstanding(), now);
        self.bucket.set_share(self.pool.share_in_force(), now);
        Some((share, level))
    }

    /// Completes a request for the share of `lender`. Returns whether `id` was one.
    pub fn accept_share(
        &mut self,
        lender: &ZoneId,
        id: TokenRequestId,
        loan: Option<&ShareLoan>,
        now: MonotonicTime,
    ) -> bool {
        let Some(level) = self.pool.accept(lender, id, loan, now) else {
            return false;
        };
        self.bucket.set_share(self.pool.share_in_force(), now);
        self.bucket.add_level(level);
        true
    }

    /// Removes nodes that sent no request for `REQUESTER_TIMEOUT`.
    pub fn expire_requesters(&mut self, now: MonotonicTime) {
        self.requesters
            .retain(|_, last| now.since(*last) < REQUESTER_TIMEOUT);
    }

    pub fn available_tokens(&self, now: MonotonicTime) -> u64 {
        self.bucket.level().0 + self.loans.available(now).0
    }

    /// Returns the tokens for `waiting` requests, of which `returned` may have places: tokens that are
    /// held for places go to them only.
    fn tokens_for_waiting(
        &mut self,
        waiting: u64,
        returned: u64,
        available: u64,
        now: MonotonicTime,
    ) -> u64 {
        let held = self.returns.held(now).min(available);
        let for_returned = held.min(returned).min(waiting);
        let for_others = (waiting - for_returned).min(available - held);
        self.returns.take(for_returned, now);
        for_returned + for_others
    }

    /// Gives places in the tokens of the bucket to callers that are refused.
    pub fn book_places(&mut self, demand: &ReturnDemand, now: MonotonicTime) -> ReturnPlaces {
        let rate = self.bucket.share().rate_micro_per_s.0;
        let first_in = self.bucket.until_next_token();
        let offer = first_in.filter(|_| rate > 0).map(|first_in| PlaceOffer {
            first_in,
            interval: Duration::from_micros(MICRO_RATE_US / rate.max(1)),
            horizon: Duration::from_micros(demand.horizon_us),
        });
        let book = |_| self.returns.book(offer?, now);
        let booked = (0..demand.placeable_tokens.0).map_while(book);
        let due_us: Vec<_> = booked.map(|due| due.as_micros() as u64).collect();
        ReturnPlaces {
            is_full: (due_us.len() as u64) < demand.placeable_tokens.0,
            due_us,
        }
    }

    /// Takes borrowed tokens first, because they expire, then tokens of the zone's own bucket.
    pub fn take_for_node(
        &mut self,
        id: BatchId,
        request: &TokenRequest,
        now: MonotonicTime,
    ) -> Option<TakenTokens> {
        self.requesters.insert(request.requester.clone(), now);
        let available = self.available_tokens(now);
        let returned = request
            .returns
            .map_or(0, |returns| returns.returned_tokens.0);
        let waiting = self.tokens_for_waiting(request.waiting_tokens.0, returned, available, now);
        let unheld = available.saturating_sub(self.returns.held(now));
        let spare = match unheld.saturating_sub(waiting) {
            few if few < MIN_AVAILABLE_FOR_PREFETCH_TOKENS => 0,
            left => left / PREFETCH_DIVISOR,
        };
        let wanted = TokenCount(waiting + request.prefetch_tokens.0.min(spare));
        match wanted {
            TokenCount(0) => None,
            _ if self.loans.available(now).0 > 0 => self.loans.take(id, wanted, now),
            _ => self.take_from_bucket(id, wanted, now),
        }
    }

    pub fn take_for_zone(
        &mut self,
        id: BatchId,
        request: &TokenRequest,
        now: MonotonicTime,
    ) -> Option<TakenTokens> {
        let reserve = self.demand.expected(LENDER_RESERVE, now).0;
        let kept = reserve + self.returns.held(now);
        let spare = self.bucket.level().0.saturating_sub(kept);
        match spare.min(request.waiting_tokens.0) {
            0 => None,
            tokens => self.take_from_bucket(id, TokenCount(tokens), now),
        }
    }

    pub fn take_from_bucket(
        &mut self,
        id: BatchId,
        wanted: TokenCount,
        now: MonotonicTime,
    ) -> Option<TakenTokens> {
        let tokens = wanted.min(self.bucket.level());
        let lifetime = self.bucket.share().batch_lifetime();
        let taken = tokens.0 > 0 && self.bucket.take(id, tokens, now.after(lifetime));
        taken.then_some(TakenTokens { tokens, lifetime })
    }

    pub fn tokens_to_borrow(&self, missing_tokens: u64, now: MonotonicTime) -> u64 {
        let ahead = match self.demand.expected(BORROW_AHEAD, now) {
            TokenCount(few) if few < MIN_BORROW_AHEAD_TOKENS => 0,
            TokenCount(ahead) => ahead,
        };
        let available = self.available_tokens(now);
        match available {
            _ if missing_tokens > 0 => missing_tokens + ahead,
            _ => ahead.saturating_sub(available),
        }
    }

    /// Returns at most one lender for each wanted token. `rotation` changes which ones come first.
    pub fn select_lenders(
        &self,
        wanted_tokens: u64,
        rotation: u64,
        now: MonotonicTime,
    ) -> Vec<ZoneId> {
        let lenders = self.lenders.iter();
        let mut zones: Vec<_> = lenders
            .filter(|(zone, _)| self.may_lend_tokens(zone))
            .filter(|(_, lender)| lender.can_request(now))
            .map(|(zone, _)| zone.clone())
            .collect();
        let first = rotation as usize % zones.len().max(1);
        zones.rotate_left(first);
        // The pool is the most likely to have tokens.
        zones.sort_by_key(|zone| Some(zone) != self.pool.zone());
        zones.truncate(usize::try_from(wanted_tokens).unwrap_or(usize::MAX));
        zones
    }

    /// Returns whether tokens are requested from `zone`: none if the pool is here, and only from the pool
    /// while this zone's share is there.
    fn may_lend_tokens(&self, zone: &ZoneId) -> bool {
        let borrower = self.pool.borrower();
        !self.has_pool() && borrower.is_none_or(|borrower| borrower == zone)
    }

    /// Returns whether the organisation's tokens are pooled in this zone, which is no lender of its own.
    pub fn has_pool(&self) -> bool {
        let zone = self.pool.zone();
        zone.is_some_and(|zone| !self.lenders.contains_key(zone))
    }

    pub fn is_awaiting_loan(&self, now: MonotonicTime) -> bool {
        self.pool.is_awaiting_share(now)
            || self.lenders.values().any(|lender| lender.is_pending(now))
    }

    /// Returns how long a reply that the bucket is empty is valid.
    ///
    /// For a node, this is the time in which the rates of all zones mint one token for each
    /// requester, and for another zone's holder the time until this zone's next token. Both have a
    /// lower and an upper bound. Tokens of a pool are all in one place, so that none is due before its
    /// next one.
    pub fn empty_validity(&self, purpose: TokenRequestPurpose, now: MonotonicTime) -> Duration {
        let is_active = |last: &&MonotonicTime| now.since(**last) < REQUESTER_TIMEOUT;
        let requesters = self.requesters.values().filter(is_active).count() as u64;
        let zones = self.lenders.len() as u64 + 1;
        let rate = self.bucket.share().rate_micro_per_s.0.max(1);
        let fleet_rate = rate.saturating_mul(zones);
        let micros = requesters.saturating_mul(1_000_000_000_000) / fleet_rate;
        let next_own = self.bucket.until_next_token().unwrap_or(MAX_EMPTY_VALIDITY);
        match purpose {
            _ if self.pool.zone().is_some() => {
                let due = self.until_next_token(now);
                due.clamp(MIN_EMPTY_VALIDITY, MAX_EMPTY_VALIDITY)
            }
            TokenRequestPurpose::Spend => {
                Duration::from_micros(micros).clamp(MIN_EMPTY_VALIDITY, MAX_EMPTY_VALIDITY)
            }
            TokenRequestPurpose::Lend | TokenRequestPurpose::LendShare => {
                next_own.clamp(MIN_LENDER_EMPTY_VALIDITY, MAX_EMPTY_VALIDITY)
            }
        }
    }

    pub fn until_next_token(&self, now: MonotonicTime) -> Duration {
        let lenders = self.lenders.iter();
        let lenders = lenders.filter(|(zone, _)| self.may_lend_tokens(zone));
        let soonest = lenders
            .map(|(_, lender)| lender.until_next_token(now))
            .min();
        let own = self.bucket.until_next_token();
        own.into_iter()
            .chain(soonest)
            .min()
            .unwrap_or(MAX_BATCH_LIFETIME)
    }

    pub fn reports(&mut self, organisation: &OrganisationId) -> Vec<HolderReport> {
        let lenders = self.loans.lenders_to_report();
        lenders
            .into_iter()
            .map(|lender| HolderReport {
                report: SettlementReport {
                    organisation: organisation.clone(),
                    settlements: self.loans.settlements(&lender),
                },
                lender,
            })
            .collect()
    }
}
