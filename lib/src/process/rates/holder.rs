//! The holder of one zone: keeps the zone's buckets and hands out batches.

use std::collections::BTreeMap;

use super::BatchId;
use super::Bucket;
use super::BucketDump;
use super::BucketHandover;
use super::EmptyBucket;
use super::HolderDecision;
use super::HolderReport;
use super::HolderSettings;
use super::LoanRequest;
use super::MAX_BATCH_LIFETIME;
use super::Settlement;
use super::TakenTokens;
use super::TokenGrant;
use super::TokenReply;
use super::TokenRequest;
use super::TokenRequestId;
use super::TokenRequestPurpose;
use super::ZoneShare;
use super::account::Account;
use super::account::MAX_DRY;
use super::lease::FIRST_EPOCH;
use crate::values::Epoch;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::TokenCount;
use crate::values::ZoneId;

/// Keeps the buckets of all organisations in one zone.
///
/// Every call must be made with the time read after the holder's lease was found valid.
#[derive(Clone, Debug)]
pub struct Holder {
    settings: HolderSettings,
    accounts: BTreeMap<OrganisationId, Account>,
    next_batch: BatchId,
    last_ask: TokenRequestId,
    lender_epochs: BTreeMap<ZoneId, Epoch>,
    unknown_until: MonotonicTime,
}

impl Holder {
    /// Makes a holder that has just taken over. All its buckets are empty, and they stay empty until
    /// every batch of the holder before has ended. The first holder of a zone has none before it.
    pub fn new(settings: HolderSettings, now: MonotonicTime) -> Self {
        Self {
            unknown_until: match settings.epoch {
                FIRST_EPOCH => now,
                _ => now.after(MAX_BATCH_LIFETIME),
            },
            accounts: BTreeMap::new(),
            next_batch: BatchId(0),
            last_ask: TokenRequestId::start_of_life(settings.epoch.0),
            settings,
            lender_epochs: BTreeMap::new(),
        }
    }

    /// Returns the epoch of the role.
    pub fn epoch(&self) -> Epoch {
        self.settings.epoch
    }

    /// Sets the zone's share of an organisation and the other zones that may lend.
    ///
    /// A new organisation starts with an empty bucket; a changed share makes no tokens.
    pub fn set_share(
        &mut self,
        organisation: &OrganisationId,
        share: ZoneShare,
        lenders: impl IntoIterator<Item = ZoneId>,
        now: MonotonicTime,
    ) {
        let unknown_until = self.unknown_until;
        let account = self
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Account::new(share, now, unknown_until));
        account.bucket.set_share(share, now);
        let mut known = std::mem::take(&mut account.lenders);
        let lenders = lenders.into_iter();
        account.lenders = lenders
            .map(|zone| {
                let lender = known.remove(&zone).unwrap_or_default();
                (zone, lender)
            })
            .collect();
    }

    /// Mints no more for organisations that `keep` does not name, and forgets them when none of
    /// their tokens is outstanding.
    pub fn retain(&mut self, keep: impl Fn(&OrganisationId) -> bool, now: MonotonicTime) {
        for (_, account) in self.accounts.iter_mut().filter(|(id, _)| !keep(id)) {
            account.bucket.set_share(ZoneShare::NONE, now);
        }
        let is_needed = |id: &OrganisationId, account: &Account| {
            keep(id) || account.bucket.outstanding() > TokenCount(0)
        };
        self.accounts.retain(|id, account| is_needed(id, account));
    }

    /// Takes over what the holder before left; the organisations must have their shares.
    pub fn take_over(&mut self, handed: &[BucketHandover], now: MonotonicTime) {
        for bucket in handed {
            if let Some(account) = self.accounts.get_mut(&bucket.organisation) {
                account.bucket = Bucket::handed(account.bucket.share(), bucket, now);
            }
        }
    }

    /// Returns what the next holder may take over, after this one grants no more.
    pub fn hand_over(&mut self, now: MonotonicTime) -> Vec<BucketHandover> {
        self.accounts
            .iter_mut()
            .map(|(organisation, account)| {
                account.advance(now);
                BucketHandover {
                    organisation: organisation.clone(),
                    level_tokens: account.bucket.level(),
                    outstanding_tokens: account.bucket.outstanding(),
                }
            })
            .collect()
    }

    /// Returns what is in the bucket of `organisation`.
    pub fn bucket(
        &mut self,
        organisation: &OrganisationId,
        now: MonotonicTime,
    ) -> Option<BucketDump> {
        let account = self.accounts.get_mut(organisation)?;
        account.advance(now);
        Some(BucketDump {
            tokens: account.bucket.level(),
            outstanding_tokens: account.bucket.outstanding(),
            borrowed_tokens: account.loans.available(now),
            rate_micro_per_s: account.bucket.share().rate_micro_per_s,
        })
    }

    /// Decides what to answer to an ask by a node of the zone or by another zone's holder.
    pub fn ask(&mut self, ask: &TokenRequest, now: MonotonicTime) -> HolderDecision {
        self.report(&ask.organisation, &ask.settlements, now);
        let reply = self.decide(ask, now);
        self.count_demand(ask, &reply, now);
        reply
    }

    /// Decides again about an ask that had to wait for loans.
    pub fn retry(&mut self, ask: &TokenRequest, now: MonotonicTime) -> HolderDecision {
        self.decide(ask, now)
    }

    /// Decides about an ask that waits no longer for loans.
    pub fn last_try(&mut self, ask: &TokenRequest, now: MonotonicTime) -> HolderDecision {
        let reply = self.decide(ask, now);
        let answer = reply.answer.or_else(|| self.dry(ask, now));
        HolderDecision { answer, ..reply }
    }

    /// Takes in reports on batches.
    pub fn report(
        &mut self,
        organisation: &OrganisationId,
        settlements: &[Settlement],
        now: MonotonicTime,
    ) {
        let epoch = self.settings.epoch;
        let Some(account) = self.accounts.get_mut(organisation) else {
            return;
        };
        account.advance(now);
        let of_this_epoch = |settlement: &&Settlement| settlement.epoch == epoch;
        for settlement in settlements.iter().filter(of_this_epoch) {
            account.bucket.settle(settlement);
            account.loans.settle(settlement);
        }
    }

    /// Takes in the answer of another zone's holder.
    pub fn loan_answered(
        &mut self,
        organisation: &OrganisationId,
        lender: &ZoneId,
        id: TokenRequestId,
        answer: &TokenReply,
        now: MonotonicTime,
    ) {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return;
        };
        let Some(record) = account.lenders.get_mut(lender) else {
            return;
        };
        let Some(sent) = record.answered(id) else {
            return;
        };
        let seen = self.lender_epochs.entry(lender.clone()).or_default();
        match answer {
            TokenReply::Grant(grant) if grant.epoch >= *seen && grant.zone == *lender => {
                *seen = grant.epoch;
                account.loans.accept(grant, sent);
            }
            TokenReply::Empty(dry) if dry.epoch >= *seen => {
                *seen = dry.epoch;
                record.is_dry(dry, now);
            }
            _ => record.does_not_lend(now),
        }
    }

    /// Returns reports that are due to other zones. To be called several times in a second.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<HolderReport> {
        let mut reports = Vec::new();
        for (organisation, account) in &mut self.accounts {
            account.advance(now);
            account.forget_silent_askers(now);
            account.loans.give_up_unused(now);
            reports.extend(account.reports(organisation));
        }
        reports
    }

    /// Gives all borrowed tokens back before a planned stop. Returns the reports to send.
    pub fn give_up_loans(&mut self, now: MonotonicTime) -> Vec<HolderReport> {
        let mut reports = Vec::new();
        for (organisation, account) in &mut self.accounts {
            account.advance(now);
            account.loans.give_up_all();
            reports.extend(account.reports(organisation));
        }
        reports
    }

    /// Counts what was granted or is waited for, whichever is more.
    fn count_demand(&mut self, ask: &TokenRequest, reply: &HolderDecision, now: MonotonicTime) {
        let granted = match &reply.answer {
            Some(TokenReply::Grant(grant)) => grant.tokens,
            _ => TokenCount(0),
        };
        match self.accounts.get_mut(&ask.organisation) {
            Some(account) if ask.purpose == TokenRequestPurpose::Spend => {
                let needed = granted.max(ask.waiting_tokens);
                account.demand.record(needed, now);
            }
            _ => {}
        }
    }

    fn decide(&mut self, ask: &TokenRequest, now: MonotonicTime) -> HolderDecision {
        if ask.epoch > self.settings.epoch {
            return HolderDecision::only(TokenReply::NotHolder(None));
        }
        let Some(account) = self.accounts.get_mut(&ask.organisation) else {
            return HolderDecision::only(self.unknown_organisation());
        };
        account.advance(now);
        let id = self.next_batch;
        self.next_batch = BatchId(id.0 + 1);
        let taken = match ask.purpose {
            TokenRequestPurpose::Spend => account.take_for_node(id, ask, now),
            TokenRequestPurpose::Lend => account.take_for_zone(id, ask, now),
        };
        let loan_asks = match ask.purpose {
            TokenRequestPurpose::Spend => self.borrow(ask, taken, now),
            TokenRequestPurpose::Lend => Vec::new(),
        };
        HolderDecision {
            answer: self.answer(id, ask, taken, now),
            loan_asks,
        }
    }

    fn answer(
        &self,
        id: BatchId,
        ask: &TokenRequest,
        taken: Option<TakenTokens>,
        now: MonotonicTime,
    ) -> Option<TokenReply> {
        let account = self.accounts.get(&ask.organisation)?;
        match taken {
            Some(part) => Some(TokenReply::Grant(TokenGrant {
                zone: self.settings.zone.clone(),
                epoch: self.settings.epoch,
                batch: id,
                tokens: part.tokens,
                lifetime_us: part.lifetime.as_micros() as u64,
            })),
            None if ask.waiting_tokens.0 == 0 => Some(TokenReply::NoPrefetch),
            None if ask.purpose == TokenRequestPurpose::Spend && account.awaits_loan(now) => None,
            None => self.dry(ask, now),
        }
    }

    /// The configuration that names the organisation has not arrived here yet.
    fn unknown_organisation(&self) -> TokenReply {
        TokenReply::Empty(EmptyBucket {
            zone: self.settings.zone.clone(),
            epoch: self.settings.epoch,
            holds_us: MAX_DRY.as_micros() as u64,
            next_token_us: MAX_BATCH_LIFETIME.as_micros() as u64,
        })
    }

    fn dry(&self, ask: &TokenRequest, now: MonotonicTime) -> Option<TokenReply> {
        let account = self.accounts.get(&ask.organisation)?;
        Some(TokenReply::Empty(EmptyBucket {
            zone: self.settings.zone.clone(),
            epoch: self.settings.epoch,
            holds_us: account.dry_holds(ask.purpose, now).as_micros() as u64,
            next_token_us: account.until_next_token(now).as_micros() as u64,
        }))
    }

    fn borrow(
        &mut self,
        ask: &TokenRequest,
        taken: Option<TakenTokens>,
        now: MonotonicTime,
    ) -> Vec<LoanRequest> {
        let Some(account) = self.accounts.get_mut(&ask.organisation) else {
            return Vec::new();
        };
        let granted = taken.map_or(0, |part| part.tokens.0);
        let missing = ask.waiting_tokens.0.saturating_sub(granted);
        let wanted = account.loan_wanted(missing, now);
        let zones = account.lenders_to_ask(wanted, self.last_ask.0, now);
        let each = wanted.div_ceil((zones.len() as u64).max(1));
        let mut asks = Vec::new();
        for lender in zones {
            let id = self.last_ask.next();
            self.last_ask = id;
            account
                .lenders
                .entry(lender.clone())
                .or_default()
                .asked(id, now);
            let epoch = self.lender_epochs.get(&lender).copied();
            let ask = TokenRequest {
                id,
                asker: self.settings.node.clone(),
                organisation: ask.organisation.clone(),
                purpose: TokenRequestPurpose::Lend,
                epoch: epoch.unwrap_or_default(),
                waiting_tokens: TokenCount(each),
                prefetch_tokens: TokenCount(0),
                settlements: account.loans.settlements(&lender),
            };
            asks.push(LoanRequest { lender, ask });
        }
        asks
    }
}
