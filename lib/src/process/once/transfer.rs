//! Moves records between homes.

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
    pub(super) fn take_out(&mut self, id: RecordId) -> Option<RecordHandover> {
        self.remove(id).map(Record::into_handed)
    }

    /// Takes out the records of a slot, to be sent to the next holder of its term.
    ///
    /// Attempts that still run go as [`HandoverState::Running`]; their ends come later from
    /// [`OnceRecords::finish`].
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
                Some(record.handed(HandoverState::Running))
            }
            RecordState::HandedOverRunning => None,
            _ => self.take_out(id),
        }
    }

    /// Returns the bound below which records have expired, which goes along with a handover.
    pub fn expired_before(&self) -> MintTime {
        self.expired_before
    }

    /// Takes over the records of a slot together with its term.
    pub fn take_over(
        &mut self,
        slot: &SlotId,
        records: Vec<RecordHandover>,
        expired_before: MintTime,
        now: MonotonicTime,
    ) {
        self.expired_before = self.expired_before.max(expired_before);
        for handed in records {
            match self.by_key.get(&handed.key).copied() {
                Some(id) => self.take_back_record(id),
                None => self.take_over_record(slot, handed, now),
            }
        }
    }

    /// Keeps a record that was handed over while its attempt ran here, and came back.
    fn take_back_record(&mut self, id: RecordId) {
        let record = &mut self.records[id];
        if matches!(record.state, RecordState::HandedOverRunning) {
            record.state = RecordState::Running;
        }
    }

    fn take_over_record(&mut self, slot: &SlotId, handed: RecordHandover, now: MonotonicTime) {
        let id = self.insert(Record {
            key: handed.key,
            organisation: handed.organisation,
            slot: slot.clone(),
            mint: handed.mint,
            content: handed.content,
            attempts: handed.attempts,
            run: handed.run,
            state: RecordState::RunningElsewhere,
            expires_at: now,
        });
        let state = RecordState::from(handed.state);
        self.settle_as(id, state, now);
    }

    /// Notes the end of an attempt that was handed over while it ran.
    pub fn settle(&mut self, handed: RecordHandover, now: MonotonicTime) {
        let Some(id) = self.by_key.get(&handed.key).copied() else {
            return;
        };
        let record = &mut self.records[id];
        if matches!(record.state, RecordState::RunningElsewhere) && record.run == handed.run {
            record.attempts = handed.attempts;
            self.settle_as(id, RecordState::from(handed.state), now);
        }
    }
}
