//! One organisation on a node: its batches, and when to request more tokens.

use std::collections::VecDeque;
use std::time::Duration;

use super::Demand;
use super::MIN_BATCH_LIFETIME;
use super::SettlementReport;
use super::SettlementReportTarget;
use super::TOKEN_REQUEST_TIMEOUT;
use super::TokenRequestId;
use super::local_batch::LocalBatches;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::TokenCount;
use crate::values::ZoneId;

/// More tokens are requested when the remaining ones are expected to last only this long.
const REFILL_MARGIN: Duration = Duration::from_millis(20);

/// Span of expected demand for which tokens are prefetched.
const PREFETCH_SPAN: Duration = Duration::from_millis(400);

/// A node that expects to need fewer tokens than this requests a token only for a waiting request.
const MIN_PREFETCH_TOKENS: u64 = 2;

/// More tokens are requested when at most one in this many of the prefetch target is left.
const REFILL_DIVISOR: u64 = 4;

/// A token request without a reply.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub id: TokenRequestId,
    pub zone: ZoneId,
    pub sent: MonotonicTime,
}

/// Time in which a holder's reply that its bucket is empty is valid.
#[derive(Clone, Copy, Debug)]
pub(super) struct EmptyPeriod {
    pub received_at: MonotonicTime,
    pub valid_until: MonotonicTime,
    pub next_token: MonotonicTime,
    /// Whether the holder has more places than it gave.
    pub has_more_places: bool,
}

/// A waiting request, as far as its token depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateCaller {
    /// Whether the caller has a place in the tokens, and comes back at its time.
    pub has_place: bool,
    /// Longest time until a place, or zero if the caller gets none.
    pub horizon: Duration,
}

impl RateCaller {
    /// A caller that neither has nor gets a place.
    pub const WITHOUT_PLACE: Self = Self {
        has_place: false,
        horizon: Duration::ZERO,
    };

    /// Returns whether the caller gets a place if it is refused.
    pub fn gets_place(self) -> bool {
        !self.has_place && !self.horizon.is_zero()
    }
}

/// Account of one organisation on this node.
#[derive(Clone, Debug)]
pub(super) struct LocalAccount {
    pub batches: LocalBatches,
    pub demand: Demand,
    pub pending: Option<PendingRequest>,
    pub empty_period: Option<EmptyPeriod>,
    /// No tokens are prefetched before this time.
    pub prefetch_not_before: MonotonicTime,
    pub lifetime: Duration,
    /// Places that the holder gave for callers that are refused, the earliest first.
    pub places: VecDeque<MonotonicTime>,
}

impl LocalAccount {
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            batches: LocalBatches::default(),
            demand: Demand::new(now),
            pending: None,
            empty_period: None,
            prefetch_not_before: now,
            lifetime: MIN_BATCH_LIFETIME,
            places: VecDeque::new(),
        }
    }

    /// Takes the next place for a caller, if it comes within its horizon.
    pub fn take_place(&mut self, horizon: Duration, now: MonotonicTime) -> Option<MonotonicTime> {
        self.places
            .pop_front_if(|place| place.since(now) <= horizon)
    }

    /// Returns whether the holder may have a place for a caller that found none here.
    pub fn may_get_place(&self, caller: RateCaller) -> bool {
        let has_more = self
            .empty_period
            .is_some_and(|period| period.has_more_places);
        has_more && self.places.is_empty() && !caller.horizon.is_zero()
    }

    pub fn has_pending_request(&self, now: MonotonicTime) -> bool {
        match &self.pending {
            Some(pending) => now < pending.sent.after(TOKEN_REQUEST_TIMEOUT),
            None => false,
        }
    }

    pub fn prefetch_tokens(&self, waiting: TokenCount, now: MonotonicTime) -> TokenCount {
        let left = self.batches.available(now).0;
        let span = PREFETCH_SPAN.min(self.lifetime / 2);
        let target = self.demand.expected(span, now).0;
        let refill_level = self.demand.expected(REFILL_MARGIN, now).0;
        let is_empty = self
            .empty_period
            .is_some_and(|period| now < period.valid_until);
        let is_backing_off = is_empty || now < self.prefetch_not_before;
        match left {
            _ if is_backing_off || target < MIN_PREFETCH_TOKENS => TokenCount(0),
            _ if waiting.0 == 0 && left > refill_level.max(target / REFILL_DIVISOR) => {
                TokenCount(0)
            }
            _ => TokenCount(target.saturating_sub(left)),
        }
    }

    pub fn reports(
        &mut self,
        organisation: &OrganisationId,
        now: MonotonicTime,
    ) -> Vec<SettlementReportTarget> {
        let zones = self.batches.zones_to_report(now);
        zones
            .into_iter()
            .map(|zone| SettlementReportTarget {
                report: SettlementReport {
                    organisation: organisation.clone(),
                    settlements: self.batches.settlements(&zone, now),
                },
                zone,
            })
            .collect()
    }
}
