//! Messages about tokens between nodes and the holders of zones.

use std::time::Duration;

use crate::values::Epoch;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::TokenCount;
use crate::values::ZoneId;

number_type! {
    /// Numbers the batches of one holder within one epoch.
    BatchId(u64)
}

number_type! {
    /// Numbers the asks of one node. An answer counts only for the ask that is open.
    TokenRequestId(u64)
}

/// Asks that one life of an asker may make before its numbers meet those of the next life.
const REQUESTS_PER_INCARNATION_BITS: u32 = 20;

impl TokenRequestId {
    /// Returns the number before the first ask of a life.
    pub fn start_of_incarnation(incarnation: u64) -> Self {
        Self(incarnation.wrapping_shl(REQUESTS_PER_INCARNATION_BITS))
    }

    /// Returns the next number.
    pub fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

plain_value! {
    /// What the asker does with the tokens.
    #[serde(rename_all = "kebab-case")]
    pub enum TokenRequestPurpose {
        /// A node spends the tokens on requests.
        Spend,
        /// The holder of another zone hands the tokens out in its own zone.
        Lend,
    }
}

plain_data! {
    /// Reports what happened to a batch since it was granted.
    #[derive(Eq)]
    pub struct Settlement {
        /// The epoch of the holder that granted the batch.
        #[serde(rename = "e")]
        pub epoch: Epoch,
        /// The batch.
        #[serde(rename = "b")]
        pub batch: BatchId,
        /// Tokens that may still be spent.
        #[serde(rename = "u")]
        pub unspent_tokens: TokenCount,
        /// Tokens that were given up since the batch was granted. They go back to the bucket.
        #[serde(rename = "r")]
        pub returned_tokens: TokenCount,
    }
}

plain_data! {
    /// Asks the holder of a zone for tokens of one organisation.
    #[derive(Eq)]
    pub struct TokenRequest {
        /// Matches the answer.
        #[serde(rename = "i")]
        pub id: TokenRequestId,
        /// The node that asks.
        #[serde(rename = "n")]
        pub requester: NodeId,
        /// The organisation.
        #[serde(rename = "o")]
        pub organisation: OrganisationId,
        /// What the tokens are for.
        #[serde(rename = "p")]
        pub purpose: TokenRequestPurpose,
        /// The highest epoch of the asked zone that the asker has seen.
        #[serde(rename = "e")]
        pub epoch: Epoch,
        /// Tokens for requests that wait.
        #[serde(rename = "w")]
        pub waiting_tokens: TokenCount,
        /// Tokens that the asker expects to need soon, beyond those for requests that wait.
        #[serde(rename = "f")]
        pub prefetch_tokens: TokenCount,
        /// Reports on earlier batches of the asked zone.
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        pub settlements: Vec<Settlement>,
    }
}

plain_data! {
    /// Reports on batches without asking for tokens. It needs no answer.
    #[derive(Eq)]
    pub struct SettlementReport {
        /// The organisation.
        #[serde(rename = "o")]
        pub organisation: OrganisationId,
        /// Reports on batches of the zone.
        #[serde(rename = "s")]
        pub settlements: Vec<Settlement>,
    }
}

plain_data! {
    /// Tokens that the asker may spend for a short time.
    #[derive(Eq)]
    pub struct TokenGrant {
        /// The zone whose holder granted the batch.
        #[serde(rename = "z")]
        pub zone: ZoneId,
        /// The epoch of the holder.
        #[serde(rename = "e")]
        pub epoch: Epoch,
        /// The batch.
        #[serde(rename = "b")]
        pub batch: BatchId,
        /// Tokens in the batch.
        #[serde(rename = "t")]
        pub tokens: TokenCount,
        /// How long the batch may be spent, counted from when the asker sent its ask.
        #[serde(rename = "l")]
        pub lifetime_us: u64,
    }
}

impl TokenGrant {
    /// Returns how long the batch may be spent, counted from when the asker sent its ask.
    pub fn lifetime(&self) -> Duration {
        Duration::from_micros(self.lifetime_us)
    }
}

plain_data! {
    /// The holder's word that there is no token for the asker.
    #[derive(Eq)]
    pub struct EmptyBucket {
        /// The zone whose holder speaks.
        #[serde(rename = "z")]
        pub zone: ZoneId,
        /// The epoch of the holder.
        #[serde(rename = "e")]
        pub epoch: Epoch,
        /// How long the asker may refuse by this word, counted from when it arrives.
        #[serde(rename = "d")]
        pub valid_us: u64,
        /// When the next token is due, counted from when the word arrives.
        #[serde(rename = "r")]
        pub next_token_us: u64,
    }
}

plain_data! {
    /// What a holder answers to an ask.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum TokenReply {
        /// Tokens, perhaps fewer than asked for.
        Grant(TokenGrant),
        /// No token for requests that wait.
        #[serde(rename = "dry")]
        Empty(EmptyBucket),
        /// No request waits, and there are no tokens to spare for later ones.
        #[serde(rename = "none-ahead")]
        NoPrefetch,
        /// The asked node does not hold the zone's rates; it may know which node does.
        NotHolder(Option<NodeId>),
    }
}

plain_data! {
    /// An ask by the holder of one zone to the holder of another.
    #[derive(Eq)]
    pub struct LoanRequest {
        /// The zone that is asked.
        pub lender: ZoneId,
        /// The ask.
        #[serde(rename = "ask")]
        pub request: TokenRequest,
    }
}
