//! Tokens that the holder of a zone has borrowed from other zones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use super::BatchId;
use super::Settlement;
use super::TokenGrant;
use super::usable_lifetime;
use crate::values::Epoch;
use crate::values::MonotonicTime;
use crate::values::TokenCount;
use crate::values::ZoneId;

/// Tokens of a loan that ends sooner than this are not granted any more.
const MIN_REMAINING: Duration = Duration::from_millis(10);

new_key_type! {
    /// Key of a loan that has not ended.
    struct LoanKey;
}

/// A batch granted by the holder of another zone.
#[derive(Clone, Debug)]
struct Loan {
    lender: ZoneId,
    epoch: Epoch,
    batch: BatchId,
    /// Tokens that are neither granted to nodes nor returned.
    available_tokens: u64,
    /// Tokens that may still be spent: the available ones and those granted to nodes.
    unspent_tokens: u64,
    returned_tokens: u64,
    return_at: MonotonicTime,
    ends: MonotonicTime,
    /// Whether there are changes that were not reported to the lender.
    is_unreported: bool,
}

/// The part of a loan that was granted to a node.
#[derive(Clone, Copy, Debug)]
struct LoanPart {
    loan: LoanKey,
    unspent_tokens: u64,
    returned_tokens: u64,
}

/// Tokens taken for one batch, from the bucket or from a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakenTokens {
    /// Number of tokens.
    pub tokens: TokenCount,
    /// How long the tokens may be spent, counted from the call that took them.
    pub lifetime: Duration,
}

/// All loans of one organisation in one zone that have not ended.
///
/// Batches granted from a loan end with the loan, so that no token is spent after the lender has
/// stopped counting it as outstanding.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    loans: SlotMap<LoanKey, Loan>,
    parts: BTreeMap<BatchId, LoanPart>,
}

impl Loans {
    /// Adds a batch that was requested at `requested_at`.
    pub fn accept(&mut self, grant: &TokenGrant, requested_at: MonotonicTime) {
        let lifetime = usable_lifetime(grant.lifetime());
        self.loans.insert(Loan {
            lender: grant.zone.clone(),
            epoch: grant.epoch,
            batch: grant.batch,
            available_tokens: grant.tokens.0,
            unspent_tokens: grant.tokens.0,
            returned_tokens: 0,
            return_at: requested_at.after(lifetime / 2),
            ends: requested_at.after(lifetime),
            is_unreported: false,
        });
    }

    /// Removes loans that have ended, with their parts.
    pub fn advance(&mut self, now: MonotonicTime) {
        self.loans.retain(|_, loan| loan.ends > now);
        let loans = &self.loans;
        self.parts.retain(|_, part| loans.contains_key(part.loan));
    }

    /// Returns the borrowed tokens that can be granted.
    pub fn available(&self, now: MonotonicTime) -> TokenCount {
        let usable = self.loans.values().filter(|loan| loan.is_usable(now));
        TokenCount(usable.map(|loan| loan.available_tokens).sum())
    }

    /// Takes at most `wanted` tokens from the loan that ends first, as the batch `id`.
    pub fn take(
        &mut self,
        id: BatchId,
        wanted: TokenCount,
        now: MonotonicTime,
    ) -> Option<TakenTokens> {
        let usable = self
            .loans
            .iter_mut()
            .filter(|(_, loan)| loan.is_usable(now));
        let (key, loan) = usable.min_by_key(|(_, loan)| loan.ends)?;
        let tokens = wanted.0.min(loan.available_tokens);
        loan.available_tokens -= tokens;
        let part = LoanPart {
            loan: key,
            unspent_tokens: tokens,
            returned_tokens: 0,
        };
        let lifetime = loan.ends.since(now);
        self.parts.insert(id, part);
        Some(TakenTokens {
            tokens: TokenCount(tokens),
            lifetime,
        })
    }

    /// Applies a report on the spent and returned tokens of a part. Duplicate and late reports have
    /// no effect.
    pub fn settle(&mut self, settlement: &Settlement) {
        let Some(part) = self.parts.get_mut(&settlement.batch) else {
            return;
        };
        let Some(loan) = self.loans.get_mut(part.loan) else {
            return;
        };
        let unspent_tokens = part.unspent_tokens.min(settlement.unspent_tokens.0);
        let used_tokens = part.unspent_tokens - unspent_tokens;
        let returned = settlement
            .returned_tokens
            .0
            .saturating_sub(part.returned_tokens);
        let returned_tokens = returned.min(used_tokens);
        part.unspent_tokens = unspent_tokens;
        part.returned_tokens += returned_tokens;
        loan.available_tokens += returned_tokens;
        loan.unspent_tokens -= used_tokens - returned_tokens;
        loan.is_unreported |= used_tokens > returned_tokens;
        if unspent_tokens == 0 {
            self.parts.remove(&settlement.batch);
        }
    }

    /// Marks available tokens as returned to the lender after half of a loan's lifetime.
    pub fn return_unused(&mut self, now: MonotonicTime) {
        let unused = |loan: &&mut Loan| loan.return_at <= now && loan.available_tokens > 0;
        for loan in self.loans.values_mut().filter(unused) {
            loan.return_tokens();
        }
    }

    /// Marks all available tokens as returned to their lenders.
    pub fn return_all(&mut self) {
        for loan in self.loans.values_mut() {
            loan.return_tokens();
        }
    }

    /// Returns the lending zones with unreported changes of their loans.
    pub fn lenders_to_report(&self) -> BTreeSet<ZoneId> {
        let unreported = self.loans.values().filter(|loan| loan.is_unreported);
        unreported.map(|loan| loan.lender.clone()).collect()
    }

    /// Returns the unreported changes for `lender` and marks them as reported.
    pub fn settlements(&mut self, lender: &ZoneId) -> Vec<Settlement> {
        let unreported = self
            .loans
            .values_mut()
            .filter(|loan| loan.is_unreported && loan.lender == *lender);
        unreported.map(Loan::settlement).collect()
    }
}

impl Loan {
    fn is_usable(&self, now: MonotonicTime) -> bool {
        self.available_tokens > 0 && self.ends > now.after(MIN_REMAINING)
    }

    fn return_tokens(&mut self) {
        self.unspent_tokens -= self.available_tokens;
        self.returned_tokens += self.available_tokens;
        self.is_unreported |= self.available_tokens > 0;
        self.available_tokens = 0;
    }

    fn settlement(&mut self) -> Settlement {
        self.is_unreported = false;
        Settlement {
            epoch: self.epoch,
            batch: self.batch,
            unspent_tokens: TokenCount(self.unspent_tokens),
            returned_tokens: TokenCount(self.returned_tokens),
        }
    }
}
