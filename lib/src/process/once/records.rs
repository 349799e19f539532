//! Records of the idempotency keys that this node has run or runs.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use super::AttemptOutcome;
use super::KeyDigest;
use super::KeyedDecision;
use super::KeyedRequest;
use super::MintTime;
use super::MintWindow;
use super::RecordHandover;
use super::RunNumber;
use super::record::Record;
use super::record::RecordState;
use crate::request::AttemptCount;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;

new_key_type! {
    /// Identifies the record of one idempotency key on this node.
    pub struct RecordId;
}

/// Bounds on the memory that records take.
#[derive(Clone, Debug)]
pub struct OnceLimits {
    /// Maximum number of records of all organisations.
    pub records_max: usize,
    /// Maximum number of records of one organisation.
    pub organisation_records_max: usize,
    /// Maximum size of a response that is stored.
    pub response_max_bytes: usize,
    /// Maximum size of all stored responses together. The oldest are dropped first.
    pub responses_max_bytes: usize,
    /// How long a finished record is kept.
    pub retention: Duration,
}

impl Default for OnceLimits {
    fn default() -> Self {
        Self {
            records_max: 32_768,
            organisation_records_max: 8_192,
            response_max_bytes: 16 * 1024,
            responses_max_bytes: 8 * 1024 * 1024,
            retention: Duration::from_secs(600),
        }
    }
}

#[derive(Debug)]
struct Expiry {
    record: RecordId,
    at: MonotonicTime,
}

/// The records of one node, with bounded memory.
#[derive(Debug)]
pub struct OnceRecords {
    limits: OnceLimits,
    pub(super) records: SlotMap<RecordId, Record>,
    pub(super) by_key: HashMap<KeyDigest, RecordId>,
    organisations: HashMap<OrganisationId, usize>,
    expiry: VecDeque<Expiry>,
    answered: VecDeque<RecordId>,
    responses_bytes: usize,
    pub(super) expired_before: MintTime,
}

impl OnceRecords {
    /// Creates an empty table.
    pub fn new(limits: OnceLimits) -> Self {
        Self {
            limits,
            records: SlotMap::with_key(),
            by_key: HashMap::new(),
            organisations: HashMap::new(),
            expiry: VecDeque::new(),
            answered: VecDeque::new(),
            responses_bytes: 0,
            expired_before: MintTime::default(),
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the memory of all stored responses, in bytes.
    pub fn responses_bytes(&self) -> usize {
        self.responses_bytes
    }

    /// Decides on a request. If it is to run, its record is running from then on.
    ///
    /// `window` is the window of the slot's term, or `None` if the node does not hold that term.
    pub fn begin(
        &mut self,
        request: &KeyedRequest,
        window: Option<MintWindow>,
        wall: MintTime,
        now: MonotonicTime,
    ) -> KeyedDecision {
        self.expire(now);
        match self.by_key.get(&request.key) {
            Some(id) => self.begin_known(*id, request),
            None => self.begin_new(request, window, wall, now),
        }
    }

    fn begin_known(&mut self, id: RecordId, request: &KeyedRequest) -> KeyedDecision {
        let record = &mut self.records[id];
        if record.content != request.content {
            return KeyedDecision::Conflict;
        }
        match &record.state {
            RecordState::Running | RecordState::HandedOverRunning => KeyedDecision::Join(id),
            RecordState::RunningElsewhere | RecordState::MayHaveRun => KeyedDecision::MayHaveRun,
            RecordState::Answered(response) => KeyedDecision::Answered(response.clone()),
            RecordState::ResponseNotKept => KeyedDecision::ResponseNotKept,
            RecordState::NotRun => Self::begin_again(id, record),
        }
    }

    fn begin_again(id: RecordId, record: &mut Record) -> KeyedDecision {
        let Some(attempts) = record.attempts.0.checked_sub(1) else {
            return KeyedDecision::AttemptsExhausted;
        };
        record.attempts = AttemptCount(attempts);
        record.run = RunNumber(record.run.0 + 1);
        record.state = RecordState::Running;
        KeyedDecision::Run {
            record: id,
            attempts: record.attempts,
        }
    }

    fn begin_new(
        &mut self,
        request: &KeyedRequest,
        window: Option<MintWindow>,
        wall: MintTime,
        now: MonotonicTime,
    ) -> KeyedDecision {
        let Some(window) = window else {
            return KeyedDecision::NotHome;
        };
        let latest = request.mint.unwrap_or(wall);
        match self.cannot_have_run(request, window, wall) {
            _ if latest >= window.until => KeyedDecision::BeyondWindow {
                retry_after_ms: latest.0 - window.until.0 + 1,
            },
            false => KeyedDecision::MayHaveRun,
            true if self.is_full(&request.organisation) => KeyedDecision::Full,
            true => self.insert_running(request, now),
        }
    }

    /// Returns whether it is certain that the key ran neither under another term nor under a
    /// record that has expired.
    fn cannot_have_run(&self, request: &KeyedRequest, window: MintWindow, wall: MintTime) -> bool {
        match request.mint {
            Some(mint) => mint >= window.from && mint >= self.expired_before,
            None => {
                let lifetime = self.limits.retention + KeyedRequest::UNDATED_MARGIN;
                wall.before_ms(lifetime.as_millis() as u64) >= window.from
                    || window.from == MintTime::default()
            }
        }
    }

    fn is_full(&self, organisation: &OrganisationId) -> bool {
        let held = self.organisations.get(organisation).copied().unwrap_or(0);
        self.records.len() >= self.limits.records_max
            || held >= self.limits.organisation_records_max
    }

    fn insert_running(&mut self, request: &KeyedRequest, now: MonotonicTime) -> KeyedDecision {
        let id = self.insert(Record {
            key: request.key,
            organisation: request.organisation.clone(),
            slot: request.slot.clone(),
            mint: request.mint,
            content: request.content,
            attempts: request.extra_attempts,
            run: RunNumber::default(),
            state: RecordState::Running,
            expires_at: now,
        });
        KeyedDecision::Run {
            record: id,
            attempts: request.extra_attempts,
        }
    }

    pub(super) fn insert(&mut self, record: Record) -> RecordId {
        let held = self
            .organisations
            .entry(record.organisation.clone())
            .or_default();
        *held += 1;
        let key = record.key;
        let id = self.records.insert(record);
        self.by_key.insert(key, id);
        id
    }

    /// Records the outcome of an attempt.
    ///
    /// If the record was handed over while the attempt ran, removes and returns it, so that the
    /// caller can send it to the new home node.
    pub fn finish(
        &mut self,
        id: RecordId,
        outcome: AttemptOutcome,
        now: MonotonicTime,
    ) -> Option<RecordHandover> {
        let record = self.records.get_mut(id)?;
        let handed_over = matches!(record.state, RecordState::HandedOverRunning);
        if let AttemptOutcome::NotRun { unspent } = outcome {
            record.attempts = AttemptCount(unspent.0.min(record.attempts.0));
        }
        let state = self.state_of(outcome);
        self.settle_as(id, state, now);
        match handed_over {
            true => self.remove_for_handover(id),
            false => None,
        }
    }

    fn state_of(&self, outcome: AttemptOutcome) -> RecordState {
        match outcome {
            AttemptOutcome::NotRun { .. } => RecordState::NotRun,
            AttemptOutcome::MayHaveRun => RecordState::MayHaveRun,
            AttemptOutcome::Answered(response)
                if response.size_bytes() > self.limits.response_max_bytes =>
            {
                RecordState::ResponseNotKept
            }
            AttemptOutcome::Answered(response) => RecordState::Answered(response),
        }
    }

    pub(super) fn settle_as(&mut self, id: RecordId, state: RecordState, now: MonotonicTime) {
        if let RecordState::Answered(response) = &state {
            self.responses_bytes += response.size_bytes();
            self.answered.push_back(id);
        }
        let at = now.after(self.limits.retention);
        let record = &mut self.records[id];
        record.state = state;
        record.expires_at = at;
        self.expiry.push_back(Expiry { record: id, at });
        self.drop_old_responses();
    }

    fn drop_old_responses(&mut self) {
        while self.responses_bytes > self.limits.responses_max_bytes {
            let Some(id) = self.answered.pop_front() else {
                return;
            };
            if let Some(record) = self.records.get_mut(id) {
                self.responses_bytes -= record.state.response_bytes();
                record.state = match std::mem::replace(&mut record.state, RecordState::MayHaveRun) {
                    RecordState::Answered(_) => RecordState::ResponseNotKept,
                    other => other,
                };
            }
        }
    }

    /// Removes the expired records.
    ///
    /// After the removal of a key that may have run, the decision on unknown keys with the same or
    /// an earlier mint time is [`KeyedDecision::MayHaveRun`].
    pub fn expire(&mut self, now: MonotonicTime) {
        while self.expiry.front().is_some_and(|entry| entry.at <= now) {
            if let Some(entry) = self.expiry.pop_front() {
                self.expire_record(&entry);
            }
        }
        while self.is_oldest_response_removed() {
            self.answered.pop_front();
        }
    }

    fn expire_record(&mut self, entry: &Expiry) {
        let Some(record) = self.records.get(entry.record) else {
            return;
        };
        if !record.is_settled() || record.expires_at != entry.at {
            return;
        }
        if let (Some(mint), true) = (record.mint, record.may_have_run()) {
            self.expired_before = self.expired_before.max(mint.after_ms(1));
        }
        self.remove(entry.record);
    }

    fn is_oldest_response_removed(&self) -> bool {
        let oldest = self.answered.front();
        oldest.is_some_and(|id| !self.records.contains_key(*id))
    }

    pub(super) fn remove(&mut self, id: RecordId) -> Option<Record> {
        let record = self.records.remove(id)?;
        self.by_key.remove(&record.key);
        self.responses_bytes -= record.state.response_bytes();
        if let Some(held) = self.organisations.get_mut(&record.organisation) {
            *held -= 1;
        }
        self.organisations.retain(|_, held| *held > 0);
        Some(record)
    }
}
