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

/// The state of the latest attempt at a key.
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
    /// Returns whether no attempt at the key runs on this node.
    pub(super) fn is_settled(&self) -> bool {
        !matches!(
            self.state,
            RecordState::Running | RecordState::HandedOverRunning
        )
    }

    /// Returns whether an attempt at the key may have run.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(self.state, RecordState::NotRun)
    }

    /// Copies the record for its next home node, with `state`.
    pub(super) fn to_handover(&self, state: HandoverState) -> RecordHandover {
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

    /// Converts the record for its next home node.
    ///
    /// An attempt that still runs somewhere becomes [`HandoverState::MayHaveRun`].
    pub(super) fn into_handover(self) -> RecordHandover {
        let state = match &self.state {
            RecordState::NotRun => HandoverState::NotRun,
            RecordState::Answered(response) => HandoverState::Answered(response.clone()),
            RecordState::ResponseNotKept => HandoverState::ResponseNotKept,
            RecordState::Running
            | RecordState::HandedOverRunning
            | RecordState::RunningElsewhere
            | RecordState::MayHaveRun => HandoverState::MayHaveRun,
        };
        self.to_handover(state)
    }
}

impl From<HandoverState> for RecordState {
    fn from(state: HandoverState) -> Self {
        match state {
            HandoverState::Running => Self::RunningElsewhere,
            HandoverState::NotRun => Self::NotRun,
            HandoverState::MayHaveRun => Self::MayHaveRun,
            HandoverState::Answered(response) => Self::Answered(response),
            HandoverState::ResponseNotKept => Self::ResponseNotKept,
        }
    }
}

impl RecordState {
    /// Returns the memory of the stored response, in bytes.
    pub(super) fn response_bytes(&self) -> usize {
        match self {
            Self::Answered(response) => response.size_bytes(),
            _ => 0,
        }
    }
}
