//! The holder of one zone: keeps the zone's buckets and grants batches.

use std::collections::BTreeMap;

use super::BatchId;
use super::Bucket;
use super::BucketDump;
use super::BucketHandover;
use super::HolderDecision;
use super::HolderReport;
use super::HolderSettings;
use super::LoanRequest;
use super::PoolHolder;
use super::SHARE_LEASE;
use super::Settlement;
use super::ShareLoan;
use super::TakenTokens;
use super::TokenGrant;
use super::TokenReply;
use super::TokenRequest;
use super::TokenRequestId;
use super::TokenRequestPurpose;
use super::ZoneShare;
use super::account::Account;
use super::lease::FIRST_EPOCH;
use crate::values::Epoch;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::TokenCount;
use crate::values::ZoneId;
use crate::version::Organisation;

/// Keeps the buckets of all organisations in one zone.
///
/// Every call must be made with a time that was read after the holder's lease was found valid.
#[derive(Clone, Debug)]
pub struct Holder {
    pub(super) settings: HolderSettings,
    pub(super) accounts: BTreeMap<OrganisationId, Account>,
    next_batch: BatchId,
    last_request: TokenRequestId,
    lender_epochs: BTreeMap<ZoneId, Epoch>,
    previous_grants_end: MonotonicTime,
    /// Until when the holder before may have lent shares of this zone.
    lent_until: Option<MonotonicTime>,
}

impl Holder {
    /// Creates a holder that has just taken over. All its buckets are empty and stay empty until
    /// every batch of the previous holder has ended. The first holder of a zone has no previous
    /// holder.
    pub fn new(settings: HolderSettings, now: MonotonicTime) -> Self {
        Self {
            previous_grants_end: match settings.epoch {
                FIRST_EPOCH => now,
                _ => settings.previous_grants_end,
            },
            lent_until: match settings.epoch {
                FIRST_EPOCH => None,
                _ => Some(now.after(SHARE_LEASE)),
            },
            accounts: BTreeMap::new(),
            next_batch: BatchId(0),
            last_request: TokenRequestId::start_of_incarnation(settings.epoch.0),
            settings,
            lender_epochs: BTreeMap::new(),
        }
    }

    /// Returns the epoch in which the node is the holder.
    pub fn epoch(&self) -> Epoch {
        self.settings.epoch
    }

    /// Sets the zone's share of an organisation and the other zones that may lend.
    ///
    /// A new organisation starts with an empty bucket. A changed share creates no tokens.
    pub fn set_share(
        &mut self,
        organisation: &OrganisationId,
        share: ZoneShare,
        lenders: impl IntoIterator<Item = ZoneId>,
        now: MonotonicTime,
    ) {
        let previous_grants_end = self.previous_grants_end;
        let account = self
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Account::new(share, now, previous_grants_end));
        account.set_own_share(share, now);
        let mut known = std::mem::take(&mut account.lenders);
        let lenders = lenders.into_iter();
        account.lenders = lenders
            .map(|zone| {
                let lender = known.remove(&zone).unwrap_or_default();
                (zone, lender)
            })
            .collect();
    }

    /// Sets the zone where the tokens of `organisation` are pooled, or none if they are not. The share
    /// of the organisation must be set.
    pub fn set_pool_zone(
        &mut self,
        organisation: &Organisation,
        zone: Option<ZoneId>,
        now: MonotonicTime,
    ) {
        let is_elsewhere = zone.as_ref() != Some(&self.settings.zone);
        let lent_until = self.lent_until.filter(|until| is_elsewhere && *until > now);
        if let Some(account) = self.accounts.get_mut(&organisation.id) {
            account.set_pool_zone(organisation, zone, lent_until, now);
        }
    }

    /// Stops minting for organisations for which `keep` returns false, and removes them when none
    /// of their tokens is outstanding.
    pub fn retain(&mut self, keep: impl Fn(&OrganisationId) -> bool, now: MonotonicTime) {
        for (_, account) in self.accounts.iter_mut().filter(|(id, _)| !keep(id)) {
            account.set_own_share(ZoneShare::NONE, now);
        }
        let is_needed = |id: &OrganisationId, account: &Account| {
            keep(id)
                || account.bucket.outstanding() > TokenCount(0)
                || account.pool.borrower().is_some()
        };
        self.accounts.retain(|id, account| is_needed(id, account));
    }

    /// Applies the handover of the previous holder. The shares of the organisations must be set.
    pub fn apply_handover(&mut self, handovers: &[BucketHandover], now: MonotonicTime) {
        for bucket in handovers {
            // What the holder before had of a lent share is not known, so that all of it counts as granted.
            let account = self.accounts.get_mut(&bucket.organisation);
            if let Some(account) = account.filter(|account| account.pool.borrower().is_none()) {
                account.bucket = Bucket::from_handover(account.bucket.share(), bucket, now);
            }
        }
    }

    /// Returns the buckets for the next holder. This holder must grant no tokens afterwards.
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

    /// Returns the state of the bucket of `organisation`, or none for an unknown organisation.
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

    /// Handles a token request by a node of the zone or by another zone's holder.
    pub fn handle_request(&mut self, request: &TokenRequest, now: MonotonicTime) -> HolderDecision {
        self.apply_settlements(&request.organisation, &request.settlements, now);
        let decision = self.decide(request, now);
        self.count_demand(request, &decision, now);
        decision
    }

    /// Decides again on a request that waits for loans.
    pub fn retry(&mut self, request: &TokenRequest, now: MonotonicTime) -> HolderDecision {
        self.decide(request, now)
    }

    /// Decides on a request that no longer waits for loans.
    pub fn final_retry(&mut self, request: &TokenRequest, now: MonotonicTime) -> HolderDecision {
        let decision = self.decide(request, now);
        let reply = decision.reply.or_else(|| self.empty_reply(request, now));
        HolderDecision { reply, ..decision }
    }

    /// Applies reports on batches. Reports on batches of other epochs have no effect.
    pub fn apply_settlements(
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

    /// Handles the reply of another zone's holder to the loan request `id`.
    pub fn handle_loan_reply(
        &mut self,
        organisation: &OrganisationId,
        lender: &ZoneId,
        id: TokenRequestId,
        reply: &TokenReply,
        now: MonotonicTime,
    ) {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return;
        };
        account.advance(now);
        let share = match reply {
            TokenReply::Share(share) if share.zone == *lender => Some(share),
            _ => None,
        };
        if account.accept_share(lender, id, share, now) {
            return;
        }
        let Some(record) = account.lenders.get_mut(lender) else {
            return;
        };
        let Some(sent) = record.complete_request(id) else {
            return;
        };
        let seen = self.lender_epochs.entry(lender.clone()).or_default();
        match reply {
            TokenReply::Grant(grant) if grant.epoch >= *seen && grant.zone == *lender => {
                *seen = grant.epoch;
                account.loans.accept(grant, sent);
            }
            TokenReply::Empty(empty) if empty.epoch >= *seen => {
                *seen = empty.epoch;
                record.record_empty(empty, now);
            }
            _ => record.back_off(now),
        }
    }

    /// Returns the reports of one organisation that are due to other zones.
    pub fn due_reports(&mut self, organisation: &OrganisationId) -> Vec<HolderReport> {
        let account = self.accounts.get_mut(organisation);
        account.map_or_else(Vec::new, |account| account.reports(organisation))
    }

    /// Returns the reports that are due to other zones. Must be called several times per second.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<HolderReport> {
        let mut reports = Vec::new();
        for (organisation, account) in &mut self.accounts {
            account.advance(now);
            account.expire_requesters(now);
            account.loans.return_unused(now);
            reports.extend(account.reports(organisation));
        }
        reports
    }

    /// Gives all borrowed tokens back before a planned stop. Returns the reports to send.
    pub fn return_loans(&mut self, now: MonotonicTime) -> Vec<HolderReport> {
        let mut reports = Vec::new();
        for (organisation, account) in &mut self.accounts {
            account.advance(now);
            account.loans.return_all();
            reports.extend(account.reports(organisation));
        }
        reports
    }

    /// Records the granted or the waiting tokens as demand, whichever are more.
    fn count_demand(
        &mut self,
        request: &TokenRequest,
        decision: &HolderDecision,
        now: MonotonicTime,
    ) {
        let granted = match &decision.reply {
            Some(TokenReply::Grant(grant)) => grant.tokens,
            _ => TokenCount(0),
        };
        match self.accounts.get_mut(&request.organisation) {
            Some(account) if request.purpose == TokenRequestPurpose::Spend => {
                let needed = granted.max(request.waiting_tokens);
                account.demand.record(needed, now);
            }
            _ => {}
        }
    }

    fn decide(&mut self, request: &TokenRequest, now: MonotonicTime) -> HolderDecision {
        if request.epoch > self.settings.epoch {
            return HolderDecision::reply_only(TokenReply::NotHolder(None));
        }
        let Some(account) = self.accounts.get_mut(&request.organisation) else {
            return HolderDecision::reply_only(self.unknown_organisation());
        };
        account.advance(now);
        let id = self.next_batch;
        self.next_batch = BatchId(id.0 + 1);
        let taken = match request.purpose {
            TokenRequestPurpose::Spend => account.take_for_node(id, request, now),
            TokenRequestPurpose::Lend => account.take_for_zone(id, request, now),
            TokenRequestPurpose::LendShare => {
                return HolderDecision::reply_only(self.lend_share(request, now));
            }
        };
        let granted = taken.map_or(TokenCount(0), |part| part.tokens);
        let is_short = granted < request.waiting_tokens;
        account
            .pool
            .record_request(is_short && account.has_pool(), now);
        let loan_requests = match request.purpose {
            TokenRequestPurpose::Spend => self.borrow(request, taken, now),
            TokenRequestPurpose::Lend | TokenRequestPurpose::LendShare => {
                self.share_requests_of(&request.organisation, now)
            }
        };
        HolderDecision {
            reply: self.reply(id, request, taken, now),
            loan_requests,
        }
    }

    fn reply(
        &mut self,
        id: BatchId,
        request: &TokenRequest,
        taken: Option<TakenTokens>,
        now: MonotonicTime,
    ) -> Option<TokenReply> {
        let account = self.accounts.get(&request.organisation)?;
        match taken {
            Some(part) => Some(TokenReply::Grant(TokenGrant {
                zone: self.settings.zone.clone(),
                epoch: self.settings.epoch,
                batch: id,
                tokens: part.tokens,
                lifetime_us: part.lifetime.as_micros() as u64,
                report_delay_us: account.bucket.share().report_delay().as_micros() as u64,
            })),
            None if request.waiting_tokens.0 == 0 => Some(TokenReply::NoPrefetch),
            None if request.purpose == TokenRequestPurpose::Spend
                && account.is_awaiting_loan(now) =>
            {
                None
            }
            None => self.empty_reply(request, now),
        }
    }

    /// Lends the share of the zone to the holder that requests it.
    fn lend_share(&mut self, request: &TokenRequest, now: MonotonicTime) -> TokenReply {
        let (zone, epoch) = (self.settings.zone.clone(), self.settings.epoch);
        let account = self.accounts.get_mut(&request.organisation);
        let lent = account
            .zip(request.pool_holder.as_ref())
            .and_then(|(account, borrower)| account.lend_share(borrower, now));
        match lent {
            Some((share, level)) => TokenReply::Share(ShareLoan {
                zone,
                epoch,
                rate_micro_per_s: share.rate_micro_per_s,
                burst_tokens: share.burst_tokens,
                level,
                lifetime_us: SHARE_LEASE.as_micros() as u64,
            }),
            None => TokenReply::NoPrefetch,
        }
    }

    /// Returns the requests for shares of other zones that are due. Must be called several times per
    /// second.
    pub fn share_requests(&mut self, now: MonotonicTime) -> Vec<LoanRequest> {
        let pooled = self
            .accounts
            .iter()
            .filter(|(_, account)| account.has_pool());
        let organisations: Vec<_> = pooled.map(|(id, _)| id.clone()).collect();
        let requests = organisations
            .iter()
            .flat_map(|organisation| self.share_requests_of(organisation, now));
        requests.collect()
    }

    fn share_requests_of(
        &mut self,
        organisation: &OrganisationId,
        now: MonotonicTime,
    ) -> Vec<LoanRequest> {
        let account = self.accounts.get_mut(organisation);
        let Some(account) = account.filter(|account| account.has_pool()) else {
            return Vec::new();
        };
        let lenders = account.pool.shares_to_request(account.lenders.keys(), now);
        let mut requests = Vec::new();
        for lender in lenders {
            let id = self.last_request.next();
            self.last_request = id;
            account.pool.record_share_request(&lender, id, now);
            let request = TokenRequest {
                id,
                requester: self.settings.node.clone(),
                organisation: organisation.clone(),
                purpose: TokenRequestPurpose::LendShare,
                epoch: self.lender_epochs.get(&lender).copied().unwrap_or_default(),
                waiting_tokens: TokenCount(0),
                prefetch_tokens: TokenCount(0),
                settlements: Vec::new(),
                pool_holder: Some(PoolHolder {
                    zone: self.settings.zone.clone(),
                    epoch: self.settings.epoch,
                }),
                returns: None,
            };
            requests.push(LoanRequest { lender, request });
        }
        requests
    }

    fn borrow(
        &mut self,
        request: &TokenRequest,
        taken: Option<TakenTokens>,
        now: MonotonicTime,
    ) -> Vec<LoanRequest> {
        let Some(account) = self.accounts.get_mut(&request.organisation) else {
            return Vec::new();
        };
        if account.has_pool() {
            return self.share_requests_of(&request.organisation, now);
        }
        let granted = taken.map_or(0, |part| part.tokens.0);
        let missing = request.waiting_tokens.0.saturating_sub(granted);
        let wanted = account.tokens_to_borrow(missing, now);
        let zones = account.select_lenders(wanted, self.last_request.0, now);
        let each = wanted.div_ceil((zones.len() as u64).max(1));
        let mut requests = Vec::new();
        for lender in zones {
            let id = self.last_request.next();
            self.last_request = id;
            account
                .lenders
                .entry(lender.clone())
                .or_default()
                .record_request(id, now);
            let epoch = self.lender_epochs.get(&lender).copied();
            let request = TokenRequest {
                id,
                requester: self.settings.node.clone(),
                organisation: request.organisation.clone(),
                purpose: TokenRequestPurpose::Lend,
                epoch: epoch.unwrap_or_default(),
                waiting_tokens: TokenCount(each),
                prefetch_tokens: TokenCount(0),
                settlements: account.loans.settlements(&lender),
                pool_holder: None,
                returns: None,
            };
            requests.push(LoanRequest { lender, request });
        }
        requests
    }
}
