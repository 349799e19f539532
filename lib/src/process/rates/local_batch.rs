//! The token batches of one organisation on a node.

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

/// Shortest time before the end of a batch at which its unspent tokens are returned.
const MIN_RETURN_MARGIN: Duration = Duration::from_millis(10);

/// A batch that the node may spend until it ends.
#[derive(Clone, Debug)]
struct LocalBatch {
    zone: ZoneId,
    epoch: Epoch,
    batch: BatchId,
    unspent_tokens: u64,
    /// Unspent tokens by the last report to the holder.
    reported_tokens: u64,
    returned_tokens: u64,
    return_at: MonotonicTime,
    ends: MonotonicTime,
    /// Whether there are changes that were not reported to the holder.
    is_unreported: bool,
    /// When changes are reported.
    report_at: MonotonicTime,
}

/// The batches of one organisation that a node may spend, in no particular order.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalBatches {
    batches: Vec<LocalBatch>,
}

impl LocalBatches {
    /// Adds a batch that was requested from `zone` at `requested_at`.
    pub fn accept(&mut self, grant: &TokenGrant, zone: &ZoneId, requested_at: MonotonicTime) {
        let lifetime = usable_lifetime(grant.lifetime());
        let return_margin = (lifetime / 4).max(MIN_RETURN_MARGIN);
        self.batches.push(LocalBatch {
            zone: zone.clone(),
            epoch: grant.epoch,
            batch: grant.batch,
            unspent_tokens: grant.tokens.0,
            reported_tokens: grant.tokens.0,
            returned_tokens: 0,
            return_at: requested_at.after(lifetime.saturating_sub(return_margin)),
            ends: requested_at.after(lifetime),
            is_unreported: false,
            report_at: requested_at.after(grant.report_delay()),
        });
    }

    /// Spends a token of the batch that ends first. Returns whether there was a token.
    pub fn spend(&mut self, now: MonotonicTime) -> bool {
        self.remove_ended(now);
        let unspent = self
            .batches
            .iter_mut()
            .filter(|batch| batch.unspent_tokens > 0);
        match unspent.min_by_key(|batch| batch.ends) {
            Some(batch) => {
                batch.unspent_tokens -= 1;
                batch.is_unreported = true;
                true
            }
            None => false,
        }
    }

    /// Takes back a token that was spent on a request that did not run. Returns whether it did.
    ///
    /// A token that was reported as spent is lost, because the holder has minted another since.
    pub fn give_back(&mut self, now: MonotonicTime) -> bool {
        let is_unreported = |batch: &&mut LocalBatch| {
            let spent = batch.reported_tokens - batch.unspent_tokens;
            batch.ends > now && batch.returned_tokens == 0 && spent > 0
        };
        match self.batches.iter_mut().find(is_unreported) {
            Some(batch) => {
                batch.unspent_tokens += 1;
                true
            }
            None => false,
        }
    }

    /// Returns the number of tokens that can be spent.
    pub fn available(&self, now: MonotonicTime) -> TokenCount {
        let live = self.batches.iter().filter(|batch| batch.ends > now);
        TokenCount(live.map(|batch| batch.unspent_tokens).sum())
    }

    /// Marks the tokens of batches that end soon as returned to the holder.
    pub fn return_expiring(&mut self, now: MonotonicTime) {
        self.remove_ended(now);
        for batch in self
            .batches
            .iter_mut()
            .filter(|batch| batch.return_at <= now)
        {
            batch.return_tokens(now);
        }
    }

    /// Marks all tokens as returned to their holders, and makes the reports due.
    pub fn return_all(&mut self, now: MonotonicTime) {
        for batch in &mut self.batches {
            batch.return_tokens(now);
            batch.report_at = now;
        }
    }

    /// Returns the zones to which reports on their batches are due.
    pub fn zones_to_report(&self, now: MonotonicTime) -> BTreeSet<ZoneId> {
        let due = self.batches.iter().filter(|batch| batch.is_due(now));
        due.map(|batch| batch.zone.clone()).collect()
    }

    /// Returns the changes that are due to be reported to `zone`, and marks them as reported.
    pub fn settlements(&mut self, zone: &ZoneId, now: MonotonicTime) -> Vec<Settlement> {
        let is_due = |batch: &&mut LocalBatch| batch.is_due(now) && batch.zone == *zone;
        let due = self.batches.iter_mut().filter(is_due);
        due.map(LocalBatch::settlement).collect()
    }

    fn remove_ended(&mut self, now: MonotonicTime) {
        let is_used_up = |batch: &LocalBatch| batch.unspent_tokens == 0 && !batch.is_unreported;
        self.batches
            .retain(|batch| batch.ends > now && !is_used_up(batch));
    }
}

impl LocalBatch {
    fn is_due(&self, now: MonotonicTime) -> bool {
        self.is_unreported && self.report_at <= now
    }

    fn return_tokens(&mut self, now: MonotonicTime) {
        if self.unspent_tokens > 0 {
            self.is_unreported = true;
            self.report_at = now;
        }
        self.returned_tokens += self.unspent_tokens;
        self.unspent_tokens = 0;
    }

    fn settlement(&mut self) -> Settlement {
        self.is_unreported = false;
        self.reported_tokens = self.unspent_tokens;
        Settlement {
            epoch: self.epoch,
            batch: self.batch,
            unspent_tokens: TokenCount(self.unspent_tokens),
            returned_tokens: TokenCount(self.returned_tokens),
        }
    }
}
