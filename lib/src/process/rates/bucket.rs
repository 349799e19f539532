//! One zone's token bucket of one organisation, with its outstanding tokens.

use std::collections::BTreeMap;
use std::time::Duration;

use super::BatchId;
use super::BucketHandover;
use super::MAX_BATCH_LIFETIME;
use super::MicroTokens;
use super::Settlement;
use super::ZoneShare;
use crate::values::MonotonicTime;
use crate::values::TokenCount;

/// Trillionths of a token in one token. A rate of one millionth of a token per second mints one
/// trillionth in a microsecond.
const PICOS_PER_TOKEN: u128 = 1_000_000_000_000;

/// Trillionths of a token in a millionth.
const PICOS_PER_MICRO_TOKEN: u128 = 1_000_000;

/// Tokens of a batch that may still be spent.
#[derive(Clone, Debug)]
struct Outstanding {
    unspent_tokens: u64,
    returned_tokens: u64,
    ends: MonotonicTime,
}

/// One zone's token bucket of one organisation.
///
/// Tokens leave the bucket when a batch is granted and stay outstanding until they are reported as
/// spent or returned, or the batch ends. The level plus all outstanding tokens never exceeds the
/// burst. So at most the burst plus the tokens minted in a time window can be spent in that window.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: ZoneShare,
    level_picos: u128,
    updated: MonotonicTime,
    /// Grants of earlier holders and of borrowers of the share, which are not reported here.
    unknown_grants: Vec<Outstanding>,
    batches: BTreeMap<BatchId, Outstanding>,
    outstanding_tokens: u64,
}

impl Bucket {
    /// Creates an empty bucket for a holder that has just taken over.
    ///
    /// The grants of the previous holder are unknown and may be spent until `previous_grants_end`.
    /// Until then the whole burst counts as outstanding.
    pub fn empty(share: ZoneShare, now: MonotonicTime, previous_grants_end: MonotonicTime) -> Self {
        let previous_grants = Outstanding {
            unspent_tokens: share.burst_tokens.0,
            returned_tokens: 0,
            ends: previous_grants_end,
        };
        Self {
            share,
            level_picos: 0,
            updated: now,
            outstanding_tokens: previous_grants.unspent_tokens,
            unknown_grants: vec![previous_grants],
            batches: BTreeMap::new(),
        }
    }

    /// Creates a bucket from the handover of a holder that released the role.
    ///
    /// The tokens that the previous holder granted count as outstanding for
    /// [`MAX_BATCH_LIFETIME`].
    pub fn from_handover(share: ZoneShare, handover: &BucketHandover, now: MonotonicTime) -> Self {
        let previous_grants = Outstanding {
            unspent_tokens: handover.outstanding_tokens.0,
            returned_tokens: 0,
            ends: now.after(MAX_BATCH_LIFETIME),
        };
        let mut bucket = Self {
            share,
            level_picos: u128::from(handover.level_tokens.0) * PICOS_PER_TOKEN,
            updated: now,
            outstanding_tokens: previous_grants.unspent_tokens,
            unknown_grants: vec![previous_grants],
            batches: BTreeMap::new(),
        };
        bucket.level_picos = bucket.level_picos.min(bucket.room_picos());
        bucket
    }

    /// Returns the zone's share of the organisation's rate and burst.
    pub fn share(&self) -> ZoneShare {
        self.share
    }

    /// Changes rate and burst from `now` on. This creates no tokens.
    pub fn set_share(&mut self, share: ZoneShare, now: MonotonicTime) {
        self.advance(now);
        self.share = share;
        self.level_picos = self.level_picos.min(self.room_picos());
    }

    /// Mints the tokens due until `now` and removes batches that have ended.
    pub fn advance(&mut self, now: MonotonicTime) {
        while let Some(ends) = self.next_end().filter(|ends| *ends <= now) {
            self.mint_until(ends);
            self.remove_ended(ends);
        }
        self.mint_until(now);
    }

    /// Returns the tokens in the bucket, rounded down.
    pub fn level(&self) -> TokenCount {
        TokenCount((self.level_picos / PICOS_PER_TOKEN) as u64)
    }

    /// Returns the granted tokens that may still be spent.
    pub fn outstanding(&self) -> TokenCount {
        TokenCount(self.outstanding_tokens)
    }

    /// Takes `tokens` out of the bucket as the batch `id`, which ends at `ends`.
    ///
    /// Returns whether the bucket had enough tokens; if not, nothing is taken.
    pub fn take(&mut self, id: BatchId, tokens: TokenCount, ends: MonotonicTime) -> bool {
        if tokens > self.level() {
            return false;
        }
        self.level_picos -= u128::from(tokens.0) * PICOS_PER_TOKEN;
        self.outstanding_tokens += tokens.0;
        let batch = Outstanding {
            unspent_tokens: tokens.0,
            returned_tokens: 0,
            ends,
        };
        self.batches.insert(id, batch);
        true
    }

    /// Counts `tokens` that others granted of this bucket as outstanding until `ends`.
    pub fn count_unknown_grants(&mut self, tokens: TokenCount, ends: MonotonicTime) {
        if tokens == TokenCount(0) || ends <= self.updated {
            return;
        }
        self.outstanding_tokens += tokens.0;
        self.unknown_grants.push(Outstanding {
            unspent_tokens: tokens.0,
            returned_tokens: 0,
            ends,
        });
        self.level_picos = self.level_picos.min(self.room_picos());
    }

    /// Takes all tokens out, for a bucket that gets the share of this one.
    pub fn take_level(&mut self) -> MicroTokens {
        let level = self.level_picos / PICOS_PER_MICRO_TOKEN;
        self.level_picos = 0;
        MicroTokens(level as u64)
    }

    /// Adds tokens of a bucket whose share this one got, as far as they fit.
    pub fn add_level(&mut self, level: MicroTokens) {
        self.level_picos += u128::from(level.0) * PICOS_PER_MICRO_TOKEN;
        self.level_picos = self.level_picos.min(self.room_picos());
    }

    /// Applies a report on the spent and returned tokens of a batch that has not ended.
    ///
    /// Duplicate, late and reordered reports have no effect.
    pub fn settle(&mut self, settlement: &Settlement) {
        let Some(batch) = self.batches.get_mut(&settlement.batch) else {
            return;
        };
        let unspent_tokens = batch.unspent_tokens.min(settlement.unspent_tokens.0);
        let used_tokens = batch.unspent_tokens - unspent_tokens;
        let returned = settlement
            .returned_tokens
            .0
            .saturating_sub(batch.returned_tokens);
        let returned_tokens = returned.min(used_tokens);
        batch.unspent_tokens = unspent_tokens;
        batch.returned_tokens += returned_tokens;
        if unspent_tokens == 0 {
            self.batches.remove(&settlement.batch);
        }
        self.outstanding_tokens -= used_tokens;
        self.level_picos += u128::from(returned_tokens) * PICOS_PER_TOKEN;
        self.level_picos = self.level_picos.min(self.room_picos());
    }

    /// Returns the time until the bucket has a whole token, or none if it will never have one.
    pub fn until_next_token(&self) -> Option<Duration> {
        let missing = PICOS_PER_TOKEN.saturating_sub(self.level_picos);
        match u128::from(self.share.rate_micro_per_s.0) {
            _ if missing == 0 => Some(Duration::ZERO),
            0 => None,
            rate => Some(Duration::from_micros(missing.div_ceil(rate) as u64)),
        }
    }

    fn room_picos(&self) -> u128 {
        let room_tokens = self
            .share
            .burst_tokens
            .0
            .saturating_sub(self.outstanding_tokens);
        u128::from(room_tokens) * PICOS_PER_TOKEN
    }

    fn mint_until(&mut self, until: MonotonicTime) {
        let elapsed_us = until.since(self.updated).as_micros();
        let minted_picos = u128::from(self.share.rate_micro_per_s.0) * elapsed_us;
        self.level_picos = (self.level_picos + minted_picos).min(self.room_picos());
        self.updated = self.updated.max(until);
    }

    fn next_end(&self) -> Option<MonotonicTime> {
        let batches = self.batches.values().chain(&self.unknown_grants);
        batches.map(|batch| batch.ends).min()
    }

    fn remove_ended(&mut self, now: MonotonicTime) {
        let has_ended = |batch: &Outstanding| batch.ends <= now;
        let unknown = self.unknown_grants.extract_if(.., |batch| has_ended(batch));
        let batches = self.batches.extract_if(.., |_, batch| has_ended(batch));
        for ended in unknown.chain(batches.map(|(_, batch)| batch)) {
            self.outstanding_tokens -= ended.unspent_tokens;
        }
    }
}
