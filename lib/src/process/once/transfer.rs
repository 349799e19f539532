//! Transfers records between home nodes.

use super::HandoverState;
use super::MintTime;
use super::OnceRecords;
use super::RecordHandover;
use super::RecordId;
use super::SlotId;
use super::record::Record;
use super::record::RecordState;
use crate::values::MonotonicTime;

impl OnceRecords {
    pub(super) fn remove_for_handover(&mut self, id: RecordId) -> Option<RecordHandover> {
        self.remove(id).map(Record::into_handover)
    }

    /// Returns the records of a slot, to be sent to the next holder of its term.
    ///
    /// Attempts that still run are handed over as [`HandoverState::Running`];
    /// [`OnceRecords::finish`] returns their records with the outcome later.
    pub fn hand_over(&mut self, slot: &SlotId) -> Vec<RecordHandover> {
        let ids: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.slot == *slot)
            .map(|(id, _)| id)
            .collect();
        ids.into_iter()
            .filter_map(|id| self.hand_over_record(id))
            .collect()
    }

    fn hand_over_record(&mut self, id: RecordId) -> Option<RecordHandover> {
        let record = self.records.get_mut(id)?;
        match record.state {
            RecordState::Running => {
                record.state = RecordState::HandedOverRunning;
                Some(record.to_handover(HandoverState::Running))
            }
            RecordState::HandedOverRunning => None,
            _ => self.remove_for_handover(id),
        }
    }

    /// Returns the mint time before which records have expired, to be sent with a handover.
    pub fn expired_before(&self) -> MintTime {
        self.expired_before
    }

    /// Adds the records of a slot that were received with its term.
    pub fn take_over(
        &mut self,
        slot: &SlotId,
        records: Vec<RecordHandover>,
        expired_before: MintTime,
        now: MonotonicTime,
    ) {
        self.expired_before = self.expired_before.max(expired_before);
        for handover in records {
            match self.by_key.get(&handover.key).copied() {
                Some(id) => self.resume_record(id),
                None => self.take_over_record(slot, handover, now),
            }
        }
    }

    /// Resumes a record that was handed over while its attempt ran here, and was handed back.
    fn resume_record(&mut self, id: RecordId) {
        let record = &mut self.records[id];
        if matches!(record.state, RecordState::HandedOverRunning) {
            record.state = RecordState::Running;
        }
    }

    fn take_over_record(&mut self, slot: &SlotId, handover: RecordHandover, now: MonotonicTime) {
        let id = self.insert(Record {
            key: handover.key,
            organisation: handover.organisation,
            slot: slot.clone(),
            mint: handover.mint,
            content: handover.content,
            attempts: handover.attempts,
            run: handover.run,
            state: RecordState::RunningElsewhere,
            expires_at: now,
        });
        let state = RecordState::from(handover.state);
        self.settle_as(id, state, now);
    }

    /// Records the outcome of an attempt whose record was handed over while it ran.
    ///
    /// Ignores the outcome unless the record still waits for this attempt.
    pub fn settle(&mut self, handover: RecordHandover, now: MonotonicTime) {
        let Some(id) = self.by_key.get(&handover.key).copied() else {
            return;
        };
        let record = &mut self.records[id];
        if matches!(record.state, RecordState::RunningElsewhere) && record.run == handover.run {
            record.attempts = handover.attempts;
            self.settle_as(id, RecordState::from(handover.state), now);
        }
    }
}
