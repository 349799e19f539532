//! The pool of an organisation with a small burst: one zone borrows the shares of the others.

use std::collections::BTreeMap;
use std::time::Duration;

use super::MicroTokens;
use super::PoolHolder;
use super::ShareLoan;
use super::TokenRequestId;
use super::ZoneLayout;
use super::ZoneShare;
use super::candidates::rendezvous_rank;
use super::share::split_over_zones;
use super::usable_lifetime;
use crate::values::Epoch;
use crate::values::MonotonicTime;
use crate::values::RatePerSecond;
use crate::values::TokenCount;
use crate::values::ZoneId;
use crate::version::Organisation;

/// An organisation is pooled if its burst is fewer tokens than this for each zone. With fewer, most zones
/// are full and mint nothing while one is short.
const MIN_BURST_PER_ZONE_TOKENS: u64 = 4;

/// How long a share is lent, counted from the request.
pub const SHARE_LEASE: Duration = Duration::from_millis(1_000);

/// A lent share is requested again when it ends sooner than this.
const RENEW_BEFORE: Duration = Duration::from_millis(500);

/// Time between two requests for the share of one zone.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// How long token requests wait for the reply to a request for a share.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);

/// Shares are requested until the pool has had no request for this time.
const ACTIVE_SPAN: Duration = Duration::from_secs(5);

/// Returns the zone where the tokens of an organisation with a small burst are pooled.
///
/// All nodes with the same configuration choose the same zone, and organisations are spread over zones.
pub fn pool_zone(organisation: &Organisation, layout: &ZoneLayout) -> Option<ZoneId> {
    let zone_count = layout.weights.len() as u64;
    if organisation.burst_tokens.0 >= MIN_BURST_PER_ZONE_TOKENS * zone_count || zone_count < 2 {
        return None;
    }
    let shares = split_over_zones(organisation, layout).into_iter();
    let with_burst = shares.filter(|(_, share)| share.burst_tokens > TokenCount(0));
    with_burst
        .map(|(zone, _)| zone)
        .max_by_key(|zone| rendezvous_rank(organisation.id.as_str(), zone.as_str()))
}

/// The part of this zone's share that is lent.
#[derive(Clone, Debug)]
struct LentShare {
    zone: ZoneId,
    epoch: Epoch,
    burst_tokens: TokenCount,
    until: MonotonicTime,
}

/// The share of another zone.
#[derive(Clone, Copy, Debug)]
struct BorrowedShare {
    share: ZoneShare,
    until: MonotonicTime,
}

/// A request for the share of another zone.
#[derive(Clone, Copy, Debug)]
struct ShareRequest {
    id: TokenRequestId,
    sent: MonotonicTime,
    is_pending: bool,
}

/// Which shares of one organisation this zone has: its own unless lent, and borrowed ones.
///
/// A share is in force at one zone at a time. The lender counts its time from the reply, the borrower
/// from the request, which was earlier.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    zone: Option<ZoneId>,
    limits: Option<(RatePerSecond, TokenCount)>,
    own: ZoneShare,
    lent: Option<LentShare>,
    borrowed: BTreeMap<ZoneId, BorrowedShare>,
    requests: BTreeMap<ZoneId, ShareRequest>,
    active_until: MonotonicTime,
}

/// Tokens that may still be spent on a share that came back.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReturnedShare {
    /// Tokens that its borrower may have granted.
    pub burst_tokens: TokenCount,
    /// When the borrower stopped granting them.
    pub at: MonotonicTime,
}

impl Pool {
    pub fn new(own: ZoneShare) -> Self {
        Self {
            zone: None,
            limits: None,
            own,
            lent: None,
            borrowed: BTreeMap::new(),
            requests: BTreeMap::new(),
            active_until: MonotonicTime::default(),
        }
    }

    pub fn set_own_share(&mut self, own: ZoneShare) {
        self.own = own;
    }

    /// Sets the zone of the pool. An earlier holder of this zone may have lent the share until
    /// `lent_until`.
    ///
    /// After a change of the limits, borrowed shares are requested again, since they are of the old ones.
    pub fn set_zone(
        &mut self,
        organisation: &Organisation,
        zone: Option<ZoneId>,
        lent_until: Option<MonotonicTime>,
    ) {
        let limits = (organisation.rate_per_s, organisation.burst_tokens);
        if self.limits.replace(limits) != Some(limits) {
            self.borrowed.clear();
            self.requests.clear();
        }
        if let (Some(pool_zone), Some(until), None) = (&zone, lent_until, &self.zone) {
            self.lent = Some(LentShare {
                zone: pool_zone.clone(),
                epoch: Epoch::default(),
                burst_tokens: self.own.burst_tokens,
                until,
            });
        }
        self.zone = zone;
    }

    /// Returns the zone of the pool, if the organisation is pooled.
    pub fn zone(&self) -> Option<&ZoneId> {
        self.zone.as_ref()
    }

    /// Returns the zone that has this zone's share now.
    pub fn borrower(&self) -> Option<&ZoneId> {
        self.lent.as_ref().map(|lent| &lent.zone)
    }

    /// Returns what the bucket of this zone may use now.
    pub fn share_in_force(&self) -> ZoneShare {
        let mut share = self.own;
        if let Some(lent) = &self.lent {
            share.rate_micro_per_s.0 = 0;
            let kept_tokens = share.burst_tokens.0.saturating_sub(lent.burst_tokens.0);
            share.burst_tokens = TokenCount(kept_tokens);
        }
        for borrowed in self.borrowed.values() {
            share.rate_micro_per_s.0 += borrowed.share.rate_micro_per_s.0;
            share.burst_tokens.0 += borrowed.share.burst_tokens.0;
        }
        share
    }

    /// Returns when the next lent or borrowed share ends.
    pub fn next_end(&self) -> Option<MonotonicTime> {
        let borrowed = self.borrowed.values().map(|borrowed| borrowed.until);
        let lent = self.lent.iter().map(|lent| lent.until);
        borrowed.chain(lent).min()
    }

    /// Ends what ends until `now`. Returns this zone's share if it came back.
    pub fn end(&mut self, now: MonotonicTime) -> Option<ReturnedShare> {
        self.borrowed.retain(|_, borrowed| borrowed.until > now);
        let lent = self.lent.take_if(|lent| lent.until <= now)?;
        Some(ReturnedShare {
            burst_tokens: lent.burst_tokens,
            at: lent.until,
        })
    }

    /// Returns whether the share may be lent to `borrower`, and what its holder before may still have
    /// granted of it.
    pub fn may_lend(&self, borrower: &PoolHolder) -> Option<TokenCount> {
        match &self.lent {
            _ if self.zone.as_ref() != Some(&borrower.zone) => None,
            Some(lent) if lent.zone != borrower.zone || lent.epoch > borrower.epoch => None,
            Some(lent) if lent.epoch < borrower.epoch => Some(lent.burst_tokens),
            Some(_) | None => Some(TokenCount(0)),
        }
    }

    /// Lends the share, apart from the tokens that are outstanding here.
    pub fn lend(
        &mut self,
        borrower: &PoolHolder,
        outstanding: TokenCount,
        now: MonotonicTime,
    ) -> ZoneShare {
        let burst_tokens = self.own.burst_tokens.0.saturating_sub(outstanding.0);
        let burst_tokens = TokenCount(burst_tokens);
        self.lent = Some(LentShare {
            zone: borrower.zone.clone(),
            epoch: borrower.epoch,
            burst_tokens,
            until: now.after(SHARE_LEASE),
        });
        ZoneShare {
            burst_tokens,
            ..self.own
        }
    }

    /// Completes the request `id` for the share of `lender`. Returns the tokens that come with the share,
    /// or none if the request was not pending. A share whose lease has ended brings no tokens.
    pub fn accept(
        &mut self,
        lender: &ZoneId,
        id: TokenRequestId,
        loan: Option<&ShareLoan>,
        now: MonotonicTime,
    ) -> Option<MicroTokens> {
        let is_this = |request: &&mut ShareRequest| request.id == id && request.is_pending;
        let request = self.requests.get_mut(lender).filter(is_this)?;
        request.is_pending = false;
        let until = |loan: &ShareLoan| request.sent.after(usable_lifetime(loan.lifetime()));
        match loan.map(|loan| (loan, until(loan))) {
            Some((loan, until)) if until > now => {
                let share = ZoneShare {
                    rate_micro_per_s: loan.rate_micro_per_s,
                    burst_tokens: loan.burst_tokens,
                    ..self.own
                };
                let borrowed = BorrowedShare { share, until };
                self.borrowed.insert(lender.clone(), borrowed);
                Some(loan.level)
            }
            Some(_) | None => Some(MicroTokens(0)),
        }
    }

    /// Records that this zone has the pool and got a request, which was short of tokens or not.
    pub fn record_request(&mut self, is_short: bool, now: MonotonicTime) {
        if is_short || now < self.active_until {
            self.active_until = now.after(ACTIVE_SPAN);
        }
    }

    /// Returns the `lenders` whose shares are to be requested now.
    pub fn shares_to_request<'a>(
        &self,
        lenders: impl Iterator<Item = &'a ZoneId>,
        now: MonotonicTime,
    ) -> Vec<ZoneId> {
        let is_due = |zone: &&ZoneId| {
            let borrowed = self.borrowed.get(*zone);
            let request = self.requests.get(*zone);
            borrowed.is_none_or(|borrowed| borrowed.until <= now.after(RENEW_BEFORE))
                && request.is_none_or(|request| now >= request.sent.after(REQUEST_INTERVAL))
        };
        match now < self.active_until {
            true => lenders.filter(is_due).cloned().collect(),
            false => Vec::new(),
        }
    }

    /// Records that the request `id` for the share of `lender` was sent.
    pub fn record_share_request(
        &mut self,
        lender: &ZoneId,
        id: TokenRequestId,
        now: MonotonicTime,
    ) {
        let request = ShareRequest {
            id,
            sent: now,
            is_pending: true,
        };
        self.requests.insert(lender.clone(), request);
    }

    /// Returns whether the reply to a request for a share is awaited.
    pub fn is_awaiting_share(&self, now: MonotonicTime) -> bool {
        let is_awaited =
            |request: &ShareRequest| request.is_pending && now < request.sent.after(REPLY_TIMEOUT);
        self.requests.values().any(is_awaited)
    }
}
