//! Messages that transfer records from one home node to the next at a planned stop.

use super::ContentDigest;
use super::KeyDigest;
use super::MintTime;
use super::StoredResponse;
use super::TermMove;
use crate::request::AttemptCount;
use crate::values::OrganisationId;

number_type! {
    /// The number of an attempt at a key, counted from zero.
    RunNumber(u32)
}

plain_data! {
    /// The state of a key at its previous home node.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum HandoverState {
        /// The attempt still runs there. Its outcome is sent later.
        Running,
        /// No attempt ran.
        NotRun,
        /// An attempt may have run.
        MayHaveRun,
        /// An attempt ran, and its response is stored.
        Answered(StoredResponse),
        /// An attempt ran, and its response is not stored.
        #[serde(rename = "answer-not-kept")]
        ResponseNotKept,
    }
}

plain_data! {
    /// The record of one key, as transferred between nodes.
    #[derive(Eq)]
    pub struct RecordHandover {
        /// The key.
        pub key: KeyDigest,
        /// The organisation that used the key.
        pub organisation: OrganisationId,
        /// When the key was minted; `None` if the key contains no time.
        pub mint: Option<MintTime>,
        /// The digest of the request's content.
        pub content: ContentDigest,
        /// Extra attempts that remain.
        pub attempts: AttemptCount,
        /// The attempt that the state describes.
        pub run: RunNumber,
        /// The state of the key.
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
        /// Records of keys minted before this time have expired.
        pub expired_before: MintTime,
    }
}
