//! The context that a node sends to the next node with a request.

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
    /// Identifies one attempt at a request, to match its response with it.
    #[serde(transparent)]
    pub struct AttemptId(pub u64);
}

impl AttemptId {
    /// Generates a random id.
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
        /// When the key was minted; `None` if the key contains no time.
        pub mint: Option<MintTime>,
    }
}

plain_data! {
    /// The context that a node sends to the next node with a request.
    ///
    /// A node fills it from its own tables, never from data that a backend server sent.
    pub struct RequestContext {
        /// The root request of the call tree.
        pub root: RequestId,
        /// This attempt.
        pub attempt: AttemptId,
        /// The organisation for which the request runs; `None` on open routes.
        pub organisation: Option<OrganisationId>,
        /// Importance of the root request.
        pub importance: Importance,
        /// Time until the deadline of the request.
        pub remaining_us: RemainingUs,
        /// Extra attempts that the call tree below this request may make.
        pub extra_attempts: AttemptCount,
        /// Number of calls between the root request and this one.
        pub depth: ChainDepth,
        /// The key, if the request is sent to its home node; `None` if the receiver must run it.
        pub keyed: Option<KeyedContext>,
    }
}
