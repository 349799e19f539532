//! A node's share of each organisation's rate and burst, and its loans to other nodes.

use std::collections::HashMap;
use std::time::Duration;

use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::TokenCount;
use crate::version::OrganisationLimits;
use crate::version::TrafficPlan;

/// One organisation's tokens on this node.
#[derive(Clone, Debug)]
struct Account {
    rate_per_s: f64,
    burst_tokens: f64,
    level_tokens: f64,
    updated_at: MonotonicTime,
    borrow_after: MonotonicTime,
    is_borrowing: bool,
}

impl Account {
    fn advance(&mut self, now: MonotonicTime) {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        let refilled = self.rate_per_s * elapsed_s;
        self.updated_at = self.updated_at.max(now);
        // Borrowed tokens may raise the level above the share of the burst. They are kept, but the
        // level is not refilled.
        if self.level_tokens < self.burst_tokens {
            self.level_tokens = (self.level_tokens + refilled).min(self.burst_tokens);
        }
    }

    fn until_next_token(&self) -> Duration {
        let missing = (1.0 - self.level_tokens).max(0.0);
        match self.rate_per_s {
            rate if rate <= 0.0 => Allowances::NEXT_TOKEN_DELAY_MAX,
            rate => Duration::from_secs_f64(missing / rate).min(Allowances::NEXT_TOKEN_DELAY_MAX),
        }
    }
}

/// The state of one organisation's allowance on a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceDump {
    /// Tokens on this node.
    pub level_tokens: f64,
    /// The node's share of the rate.
    pub rate_per_s: f64,
    /// The node's share of the burst.
    pub burst_tokens: f64,
}

/// Whether an organisation's allowance admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceDecision {
    /// The request may run; a token was taken if the organisation has a limit.
    Granted,
    /// This node has no token now. Another node may lend some, unless a loan was requested just
    /// before.
    Exhausted {
        /// Time until the node's own share of the rate yields the next token.
        next_token_in: Duration,
    },
}

/// A node's share of each organisation's rate and burst.
///
/// The shares of all nodes add up to the whole limit. A loan is deducted from the lender before the
/// borrower receives it, so network partitions, lost messages and crashes lose tokens but never
/// create any. A node starts without tokens.
#[derive(Clone, Debug, Default)]
pub struct Allowances {
    accounts: HashMap<OrganisationId, Account>,
}

impl Allowances {
    /// Longest reported time to the next token, also reported for a share without a rate.
    const NEXT_TOKEN_DELAY_MAX: Duration = Duration::from_secs(1);

    /// Fraction of its tokens that a node lends at once.
    const LENT_FRACTION: f64 = 0.5;

    /// Fraction of the share of the burst below which a node borrows tokens ahead of need.
    const BORROW_BELOW_FRACTION: f64 = 0.3;

    /// Delay after a loan request that brought no tokens: half the time in which a burst of one
    /// second's rate refills to the level at which other nodes lend.
    const BORROW_BACKOFF: Duration = Duration::from_millis(250);

    /// Applies the limits of `plan`, divided by the number of nodes.
    pub fn set_plan(&mut self, plan: &TrafficPlan, node_count: usize, now: MonotonicTime) {
        self.accounts
            .retain(|id, _| plan.organisations.contains_key(id));
        for limits in plan.organisations.values() {
            self.set_limits(limits, node_count, now);
        }
    }

    fn set_limits(&mut self, limits: &OrganisationLimits, node_count: usize, now: MonotonicTime) {
        let Some(rate) = limits.rate_per_s else {
            self.accounts.remove(&limits.id);
            return;
        };
        let nodes = node_count.max(1) as f64;
        let account = self
            .accounts
            .entry(limits.id.clone())
            .or_insert_with(|| Account {
                rate_per_s: 0.0,
                burst_tokens: 0.0,
                level_tokens: 0.0,
                updated_at: now,
                borrow_after: now,
                is_borrowing: false,
            });
        account.advance(now);
        account.rate_per_s = f64::from(rate.0) / nodes;
        account.burst_tokens = limits.burst.0 as f64 / nodes;
        account.level_tokens = account.level_tokens.min(account.burst_tokens.max(1.0));
    }

    /// Takes a token for a request.
    pub fn take(&mut self, organisation: &OrganisationId, now: MonotonicTime) -> AllowanceDecision {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return AllowanceDecision::Granted;
        };
        account.advance(now);
        if account.level_tokens >= 1.0 {
            account.level_tokens -= 1.0;
            return AllowanceDecision::Granted;
        }
        AllowanceDecision::Exhausted {
            next_token_in: account.until_next_token(),
        }
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self, organisation: &OrganisationId) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.level_tokens += 1.0;
        }
    }

    /// Returns whether to borrow tokens from another node now, and if so marks the loan request as
    /// in progress.
    pub fn begin_borrowing(&mut self, organisation: &OrganisationId, now: MonotonicTime) -> bool {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return false;
        };
        account.advance(now);
        let is_low =
            account.level_tokens < (account.burst_tokens * Self::BORROW_BELOW_FRACTION).max(1.0);
        let begins = is_low && !account.is_borrowing && now >= account.borrow_after;
        account.is_borrowing |= begins;
        begins
    }

    /// Adds the tokens that another node lent. A loan of zero tokens starts the backoff.
    pub fn end_borrowing(
        &mut self,
        organisation: &OrganisationId,
        tokens: TokenCount,
        now: MonotonicTime,
    ) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.advance(now);
            account.is_borrowing = false;
            account.level_tokens += tokens.0 as f64;
            if tokens.0 == 0 {
                account.borrow_after = now.after(Self::BORROW_BACKOFF);
            }
        }
    }

    /// Deducts tokens to be lent to another node, and returns their number.
    pub fn lend(&mut self, organisation: &OrganisationId, now: MonotonicTime) -> TokenCount {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return TokenCount(0);
        };
        account.advance(now);
        let lent = (account.level_tokens * Self::LENT_FRACTION)
            .floor()
            .max(0.0);
        account.level_tokens -= lent;
        TokenCount(lent as u64)
    }

    /// Returns the tokens that an organisation has on this node.
    pub fn level(&self, organisation: &OrganisationId) -> Option<f64> {
        self.account(organisation)
            .map(|account| account.level_tokens)
    }

    /// Returns this node's account of an organisation that has a limit.
    pub fn account(&self, organisation: &OrganisationId) -> Option<AllowanceDump> {
        let account = self.accounts.get(organisation)?;
        Some(AllowanceDump {
            level_tokens: account.level_tokens,
            rate_per_s: account.rate_per_s,
            burst_tokens: account.burst_tokens,
        })
    }
}
