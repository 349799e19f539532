//! The record of one idempotency key.

use super::ContentDigest;
use super::HandoverState;
use super::KeyDigest;
use super::MintTime;
use super::RecordHandover;
use super::RunNumber;
use super::SlotId;
use super::StoredResponse;
use crate::request::AttemptCount;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;

/// What is known of the latest attempt at a key.
#[derive(Debug)]
pub(super) enum RecordState {
    Running,
    HandedOverRunning,
    RunningElsewhere,
    NotRun,
    MayHaveRun,
    Answered(StoredResponse),
    ResponseNotKept,
}

/// The record of one idempotency key.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) key: KeyDigest,
    pub(super) organisation: OrganisationId,
    pub(super) slot: SlotId,
    pub(super) mint: Option<MintTime>,
    pub(super) content: ContentDigest,
    pub(super) attempts: AttemptCount,
    pub(super) run: RunNumber,
    pub(super) state: RecordState,
    pub(super) expires_at: MonotonicTime,
}

impl Record {
    /// Returns whether no attempt runs on this node.
    pub(super) fn is_settled(&self) -> bool {
        !matches!(
            self.state,
            RecordState::Running | RecordState::HandedOverRunning
        )
    }

    /// Returns whether an attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(self.state, RecordState::NotRun)
    }

    /// Copies the record for its next home.
    pub(super) fn handed(&self, state: HandoverState) -> RecordHandover {
        RecordHandover {
            key: self.key,
            organisation: self.organisation.clone(),
            mint: self.mint,
            content: self.content,
            attempts: self.attempts,
            run: self.run,
            state,
        }
    }

    /// Turns the record into what its next home gets.
    pub(super) fn into_handed(self) -> RecordHandover {
        let state = match &self.state {
            RecordState::NotRun => HandoverState::NotRun,
            RecordState::Answered(answer) => HandoverState::Answered(answer.clone()),
            RecordState::ResponseNotKept => HandoverState::ResponseNotKept,
            RecordState::Running
            | RecordState::HandedOverRunning
            | RecordState::RunningElsewhere
            | RecordState::MayHaveRun => HandoverState::MayHaveRun,
        };
        self.handed(state)
    }
}

impl From<HandoverState> for RecordState {
    fn from(state: HandoverState) -> Self {
        match state {
            HandoverState::Running => Self::RunningElsewhere,
            HandoverState::NotRun => Self::NotRun,
            HandoverState::MayHaveRun => Self::MayHaveRun,
            HandoverState::Answered(answer) => Self::Answered(answer),
            HandoverState::ResponseNotKept => Self::ResponseNotKept,
        }
    }
}

impl RecordState {
    /// Returns the memory of the stored answer.
    pub(super) fn response_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => answer.size_bytes(),
            _ => 0,
        }
    }
}
