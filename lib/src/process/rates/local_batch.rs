//! The batches of one organisation that a node may spend.

use std::collections::BTreeSet;
use std::time::Duration;

use super::BatchId;
use super::Settlement;
use super::TokenGrant;
use super::usable_lifetime;
use crate::values::Epoch;
use crate::values::MonotonicTime;
use crate::values::TokenCount;
use crate::values::ZoneId;

/// Unspent tokens are given back this long before the end of a short batch.
const MIN_RETURN_MARGIN: Duration = Duration::from_millis(10);

/// What was spent is reported without an ask after this part of a batch's lifetime.
const REPORTS_PER_LIFETIME: u32 = 4;

/// A batch that the node may spend until it ends.
#[derive(Clone, Debug)]
struct LocalBatch {
    zone: ZoneId,
    epoch: Epoch,
    batch: BatchId,
    unspent_tokens: u64,
    returned_tokens: u64,
    return_at: MonotonicTime,
    ends: MonotonicTime,
    /// Whether the holder has not been told the latest.
    changed: bool,
    /// When the holder is told the latest without an ask.
    report_at: MonotonicTime,
}

/// The batches of one organisation that a node may spend, in no particular order.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalBatches {
    batches: Vec<LocalBatch>,
}

impl LocalBatches {
    /// Takes in a batch that `zone` was asked for at `asked_at`.
    pub fn accept(&mut self, grant: &TokenGrant, zone: &ZoneId, asked_at: MonotonicTime) {
        let lifetime = usable_lifetime(grant.lifetime());
        let return_margin = (lifetime / 4).max(MIN_RETURN_MARGIN);
        self.batches.push(LocalBatch {
            zone: zone.clone(),
            epoch: grant.epoch,
            batch: grant.batch,
            unspent_tokens: grant.tokens.0,
            returned_tokens: 0,
            return_at: asked_at.after(lifetime.saturating_sub(return_margin)),
            ends: asked_at.after(lifetime),
            changed: false,
            report_at: asked_at.after(lifetime / REPORTS_PER_LIFETIME),
        });
    }

    /// Spends a token of the batch that ends first. Returns whether there was one.
    pub fn spend(&mut self, now: MonotonicTime) -> bool {
        self.forget_ended(now);
        let unspent = self
            .batches
            .iter_mut()
            .filter(|batch| batch.unspent_tokens > 0);
        match unspent.min_by_key(|batch| batch.ends) {
            Some(batch) => {
                batch.unspent_tokens -= 1;
                batch.changed = true;
                true
            }
            None => false,
        }
    }

    /// Returns the tokens that can be spent.
    pub fn available(&self, now: MonotonicTime) -> TokenCount {
        let live = self.batches.iter().filter(|batch| batch.ends > now);
        TokenCount(live.map(|batch| batch.unspent_tokens).sum())
    }

    /// Gives up the tokens of batches that end soon.
    pub fn give_up_unused(&mut self, now: MonotonicTime) {
        self.forget_ended(now);
        for batch in self
            .batches
            .iter_mut()
            .filter(|batch| batch.return_at <= now)
        {
            batch.give_up(now);
        }
    }

    /// Gives up all tokens.
    pub fn give_up_all(&mut self, now: MonotonicTime) {
        for batch in &mut self.batches {
            batch.give_up(now);
            batch.report_at = now;
        }
    }

    /// Returns the zones that are to be told the latest about their batches now.
    pub fn zones_to_tell(&self, now: MonotonicTime) -> BTreeSet<ZoneId> {
        let is_due = |batch: &&LocalBatch| batch.changed && batch.report_at <= now;
        let changed = self.batches.iter().filter(is_due);
        changed.map(|batch| batch.zone.clone()).collect()
    }

    /// Returns the reports for `zone` that its holder has not been told yet.
    pub fn settlements(&mut self, zone: &ZoneId) -> Vec<Settlement> {
        let changed = self
            .batches
            .iter_mut()
            .filter(|batch| batch.changed && batch.zone == *zone);
        changed.map(LocalBatch::settlement).collect()
    }

    fn forget_ended(&mut self, now: MonotonicTime) {
        let is_used_up = |batch: &LocalBatch| batch.unspent_tokens == 0 && !batch.changed;
        self.batches
            .retain(|batch| batch.ends > now && !is_used_up(batch));
    }
}

impl LocalBatch {
    fn give_up(&mut self, now: MonotonicTime) {
        if self.unspent_tokens > 0 {
            self.changed = true;
            self.report_at = now;
        }
        self.returned_tokens += self.unspent_tokens;
        self.unspent_tokens = 0;
    }

    fn settlement(&mut self) -> Settlement {
        self.changed = false;
        Settlement {
            epoch: self.epoch,
            batch: self.batch,
            unspent_tokens: TokenCount(self.unspent_tokens),
            returned_tokens: TokenCount(self.returned_tokens),
        }
    }
}
