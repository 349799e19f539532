//! Records on their way from one home to the next at a planned stop.

use super::ContentDigest;
use super::KeyDigest;
use super::MintTime;
use super::StoredResponse;
use super::TermMove;
use crate::request::AttemptCount;
use crate::values::OrganisationId;

number_type! {
    /// Counts the attempts at one key.
    RunNumber(u32)
}

plain_data! {
    /// What became of a key at the home before.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum HandoverState {
        /// The attempt still runs there. Its end is sent later.
        Running,
        /// No attempt ran.
        NotRun,
        /// An attempt may have run.
        MayHaveRun,
        /// An attempt ran and was answered.
        Answered(StoredResponse),
        /// An attempt ran, and its answer is not kept.
        #[serde(rename = "answer-not-kept")]
        ResponseNotKept,
    }
}

plain_data! {
    /// The record of one key.
    #[derive(Eq)]
    pub struct RecordHandover {
        /// The key.
        pub key: KeyDigest,
        /// The organisation that used the key.
        pub organisation: OrganisationId,
        /// When the key was made, if it says.
        pub mint: Option<MintTime>,
        /// What the request asks for.
        pub content: ContentDigest,
        /// Extra attempts that are left.
        pub attempts: AttemptCount,
        /// The attempt of which the state tells.
        pub run: RunNumber,
        /// What became of the key.
        pub state: HandoverState,
    }
}

plain_data! {
    /// A term together with the records of its slot.
    pub struct SlotHandover {
        /// The term.
        pub moved: TermMove,
        /// The records of the slot.
        pub records: Vec<RecordHandover>,
        /// Records of keys made before have expired.
        pub expired_before: MintTime,
    }
}
