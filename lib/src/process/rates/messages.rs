//! Token messages between nodes and the holders of zones.

use std::time::Duration;

use super::MicroRate;
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
    /// Millionths of a token.
    MicroTokens(u64)
}

number_type! {
    /// Numbers the token requests of one node. A reply applies only to the pending request.
    TokenRequestId(u64)
}

/// Base-2 logarithm of the requests that one incarnation may send before its numbers reach those of
/// the next incarnation.
const REQUESTS_PER_INCARNATION_BITS: u32 = 20;

impl TokenRequestId {
    /// Returns the number before the first request of an incarnation.
    pub fn start_of_incarnation(incarnation: u64) -> Self {
        Self(incarnation.wrapping_shl(REQUESTS_PER_INCARNATION_BITS))
    }

    /// Returns the next number.
    pub fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

plain_value! {
    /// What the requester uses the tokens for.
    #[serde(rename_all = "kebab-case")]
    pub enum TokenRequestPurpose {
        /// A node spends the tokens on requests.
        Spend,
        /// The holder of another zone grants the tokens in its own zone.
        Lend,
        /// The holder of the zone of a pool uses the share of the addressed zone for a while.
        LendShare,
    }
}

plain_data! {
    /// Reports the use of a batch since it was granted.
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
        /// Tokens that were returned to the bucket since the batch was granted.
        #[serde(rename = "r")]
        pub returned_tokens: TokenCount,
    }
}

plain_data! {
    /// What a requester tells of callers that come back or will come back.
    #[derive(Copy, Eq)]
    pub struct ReturnDemand {
        /// Those of the waiting requests whose callers came back when they were told to.
        #[serde(rename = "b")]
        pub returned_tokens: TokenCount,
        /// Those of the waiting requests whose callers can be told a place.
        #[serde(rename = "p")]
        pub placeable_tokens: TokenCount,
        /// Longest time until a place, in microseconds.
        #[serde(rename = "h")]
        pub horizon_us: u64,
    }
}

plain_data! {
    /// Requests tokens of one organisation from the holder of a zone.
    #[derive(Eq)]
    pub struct TokenRequest {
        /// Matches the reply to this request.
        #[serde(rename = "i")]
        pub id: TokenRequestId,
        /// The node that sends the request.
        #[serde(rename = "n")]
        pub requester: NodeId,
        /// The organisation.
        #[serde(rename = "o")]
        pub organisation: OrganisationId,
        /// What the tokens are for.
        #[serde(rename = "p")]
        pub purpose: TokenRequestPurpose,
        /// The highest epoch of the addressed zone that the requester has observed.
        #[serde(rename = "e")]
        pub epoch: Epoch,
        /// Tokens for waiting requests of callers.
        #[serde(rename = "w")]
        pub waiting_tokens: TokenCount,
        /// Tokens that the requester expects to need soon, in addition to `waiting_tokens`.
        #[serde(rename = "f")]
        pub prefetch_tokens: TokenCount,
        /// Reports on earlier batches of the same zone.
        #[serde(rename = "s", default)]
        pub settlements: Vec<Settlement>,
        /// The holder that requests the share of the addressed zone.
        #[serde(rename = "h", default)]
        pub pool_holder: Option<PoolHolder>,
        /// Callers that come back. Sent beside the request, as earlier versions cannot decode it.
        #[serde(skip)]
        pub returns: Option<ReturnDemand>,
    }
}

plain_data! {
    /// The holder of the zone where an organisation's tokens are pooled.
    #[derive(Eq)]
    pub struct PoolHolder {
        /// The zone.
        #[serde(rename = "z")]
        pub zone: ZoneId,
        /// The epoch of the holder.
        #[serde(rename = "e")]
        pub epoch: Epoch,
    }
}

plain_data! {
    /// Reports on batches without requesting tokens. It gets no reply.
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
    /// A batch of tokens that the requester may spend for a short time.
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
        /// How long the batch may be spent, in microseconds from the sending of the request.
        #[serde(rename = "l")]
        pub lifetime_us: u64,
        /// How long the requester may keep the use of tokens to itself, in microseconds from the
        /// sending of the request. Until the report, the token of a request that did not run can be
        /// spent again.
        #[serde(rename = "a", default)]
        pub report_delay_us: u64,
    }
}

impl TokenGrant {
    /// Returns how long the batch may be spent, counted from when the request was sent.
    pub fn lifetime(&self) -> Duration {
        Duration::from_micros(self.lifetime_us)
    }

    /// Returns the time from when the request was sent until spent tokens are reported.
    pub fn report_delay(&self) -> Duration {
        Duration::from_micros(self.report_delay_us)
    }
}

plain_data! {
    /// Reports that the holder has no token for the requester.
    #[derive(Eq)]
    pub struct EmptyBucket {
        /// The zone whose holder sends the reply.
        #[serde(rename = "z")]
        pub zone: ZoneId,
        /// The epoch of the holder.
        #[serde(rename = "e")]
        pub epoch: Epoch,
        /// How long the requester may refuse requests by this reply, in microseconds from receipt.
        #[serde(rename = "d")]
        pub valid_us: u64,
        /// When the next token is due, in microseconds from receipt.
        #[serde(rename = "r")]
        pub next_token_us: u64,
    }
}

plain_data! {
    /// Places of refused callers in the tokens that the bucket will have.
    #[derive(Eq)]
    pub struct ReturnPlaces {
        /// The times of the places, in microseconds from receipt, the earliest first.
        #[serde(rename = "p")]
        pub due_us: Vec<u64>,
        /// Whether no more places are free within the horizon.
        #[serde(rename = "f")]
        pub is_full: bool,
    }
}

plain_data! {
    /// The share of a zone, lent to the zone of the pool.
    #[derive(Eq)]
    pub struct ShareLoan {
        /// The lending zone.
        #[serde(rename = "z")]
        pub zone: ZoneId,
        /// The epoch of its holder.
        #[serde(rename = "e")]
        pub epoch: Epoch,
        /// The rate.
        #[serde(rename = "m")]
        pub rate_micro_per_s: MicroRate,
        /// The burst.
        #[serde(rename = "b")]
        pub burst_tokens: TokenCount,
        /// What the bucket had.
        #[serde(rename = "t")]
        pub level: MicroTokens,
        /// How long the share may be used, in microseconds from the sending of the request.
        #[serde(rename = "l")]
        pub lifetime_us: u64,
    }
}

impl ShareLoan {
    /// Returns how long the share may be used, counted from when the request was sent.
    pub fn lifetime(&self) -> Duration {
        Duration::from_micros(self.lifetime_us)
    }
}

plain_data! {
    /// The reply of a holder to a token request.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum TokenReply {
        /// A batch of tokens, perhaps fewer than requested.
        Grant(TokenGrant),
        /// There is no token for the waiting requests.
        #[serde(rename = "dry")]
        Empty(EmptyBucket),
        /// No request waits, and there are no spare tokens to prefetch.
        #[serde(rename = "none-ahead")]
        NoPrefetch,
        /// The node is not the holder of the zone. It names the holder if it knows one.
        NotHolder(Option<NodeId>),
        /// The share of the zone.
        Share(ShareLoan),
        /// There is no token for the waiting requests; their callers get places. Sent only in reply to a
        /// request with [`ReturnDemand`].
        EmptyWithPlaces(EmptyBucket, ReturnPlaces),
    }
}

plain_data! {
    /// A token request by the holder of one zone to the holder of another.
    #[derive(Eq)]
    pub struct LoanRequest {
        /// The zone whose holder gets the request.
        pub lender: ZoneId,
        /// The request.
        #[serde(rename = "ask")]
        pub request: TokenRequest,
    }
}
