//! Tokens that the holder of a zone borrowed from other zones.

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

/// Borrowed tokens that end sooner than this are not handed out any more.
const MIN_REMAINING: Duration = Duration::from_millis(10);

new_key_type! {
    /// Refers to a live loan.
    struct LoanKey;
}

/// A batch of another zone.
#[derive(Clone, Debug)]
struct Loan {
    lender: ZoneId,
    epoch: Epoch,
    batch: BatchId,
    /// Tokens that were not handed out and not given back.
    available_tokens: u64,
    /// Tokens that may still be spent, here or by a node.
    unspent_tokens: u64,
    returned_tokens: u64,
    return_at: MonotonicTime,
    ends: MonotonicTime,
    /// Whether the lender has not been told the latest.
    is_unreported: bool,
}

/// A part of a loan that a node may spend.
#[derive(Clone, Copy, Debug)]
struct LoanPart {
    loan: LoanKey,
    unspent_tokens: u64,
    returned_tokens: u64,
}

/// Tokens taken from a loan for a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakenTokens {
    /// How many.
    pub tokens: TokenCount,
    /// How long they may be spent from now on.
    pub lifetime: Duration,
}

/// All live loans of one organisation in one zone.
///
/// What is handed out of a loan ends with the loan, so that the lender's account holds.
#[derive(Clone, Debug, Default)]
pub struct Loans {
    loans: SlotMap<LoanKey, Loan>,
    parts: BTreeMap<BatchId, LoanPart>,
}

impl Loans {
    /// Takes in a batch that was asked for at `asked_at`.
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

    /// Forgets loans that have ended, with their parts.
    pub fn advance(&mut self, now: MonotonicTime) {
        self.loans.retain(|_, loan| loan.ends > now);
        let loans = &self.loans;
        self.parts.retain(|_, part| loans.contains_key(part.loan));
    }

    /// Returns the borrowed tokens that can be handed out.
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

    /// Takes in what was spent and given back of a part. Doubled and late reports change nothing.
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

    /// Gives up the tokens of loans that were not needed for half of their lifetime.
    pub fn return_unused(&mut self, now: MonotonicTime) {
        let unused = |loan: &&mut Loan| loan.return_at <= now && loan.available_tokens > 0;
        for loan in self.loans.values_mut().filter(unused) {
            loan.return_tokens();
        }
    }

    /// Gives up all tokens that were not handed out.
    pub fn return_all(&mut self) {
        for loan in self.loans.values_mut() {
            loan.return_tokens();
        }
    }

    /// Returns the zones that have not been told the latest about their loans.
    pub fn lenders_to_report(&self) -> BTreeSet<ZoneId> {
        let unreported = self.loans.values().filter(|loan| loan.is_unreported);
        unreported.map(|loan| loan.lender.clone()).collect()
    }

    /// Returns the reports for `lender` that it has not been told yet.
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
