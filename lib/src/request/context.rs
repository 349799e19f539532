//! What a node tells the next node about a request.

use std::fmt;
use std::str::FromStr;

use super::AttemptCount;
use super::ChainDepth;
use super::RemainingUs;
use crate::process::once::KeyDigest;
use crate::process::once::MintTime;
use crate::values::Importance;
use crate::values::OrganisationId;
use crate::values::RequestId;

plain_value! {
    /// Identifies one attempt at a request, so that its answer is told from those of others.
    #[serde(transparent)]
    pub struct AttemptId(pub u64);
}

impl AttemptId {
    /// Makes a new random id.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for AttemptId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

plain_data! {
    /// The key of a request that must run at most once.
    pub struct KeyedContext {
        /// The key.
        pub key: KeyDigest,
        /// The organisation in which the key is unique.
        pub organisation: OrganisationId,
        /// When the key was made, if it says.
        pub mint: Option<MintTime>,
    }
}

plain_data! {
    /// What a node tells the next node about a request.
    ///
    /// It comes from the node's own tables and never from what a backend server says.
    pub struct RequestContext {
        /// The root request of the call tree.
        pub root: RequestId,
        /// This attempt.
        pub attempt: AttemptId,
        /// The organisation for which the request runs; none on routes open to all.
        pub organisation: Option<OrganisationId>,
        /// Rank of the root request.
        pub importance: Importance,
        /// Time that the request may still take.
        pub remaining_us: RemainingUs,
        /// Attempts beyond the first that the tree below this request may make.
        pub extra_attempts: AttemptCount,
        /// Calls in the chain above this one.
        pub depth: ChainDepth,
        /// The key of a request that is sent to its home; none if it is to run.
        pub keyed: Option<KeyedContext>,
    }
}
