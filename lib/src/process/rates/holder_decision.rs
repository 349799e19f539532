//! Settings, decisions, reports and the dump of a holder.

use super::LoanRequest;
use super::MicroRate;
use super::SettlementReport;
use super::TokenReply;
use crate::values::Epoch;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::TokenCount;
use crate::values::ZoneId;

/// Identity of a holder.
#[derive(Clone, Debug)]
pub struct HolderSettings {
    /// The zone.
    pub zone: ZoneId,
    /// The node that keeps the buckets.
    pub node: NodeId,
    /// The epoch of the role.
    pub epoch: Epoch,
    /// When the batches of the previous holder have ended.
    pub previous_grants_end: MonotonicTime,
}

/// What the holder does about a token request.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderDecision {
    /// The reply, or none if the request has to wait for the replies to loan requests.
    pub reply: Option<TokenReply>,
    /// Requests to send to the holders of other zones now.
    pub loan_requests: Vec<LoanRequest>,
}

/// A report to send to the holder of another zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderReport {
    /// The zone whose holder gets the report.
    pub lender: ZoneId,
    /// The report.
    pub report: SettlementReport,
}

plain_data! {
    /// The bucket of one organisation in one zone.
    #[derive(Eq)]
    pub struct BucketDump {
        /// Whole tokens in the bucket.
        pub tokens: TokenCount,
        /// Tokens granted from the bucket that may still be spent.
        pub outstanding_tokens: TokenCount,
        /// Tokens borrowed from other zones that can be granted.
        pub borrowed_tokens: TokenCount,
        /// Rate at which the zone mints tokens, in millionths of a token per second.
        pub rate_micro_per_s: MicroRate,
    }
}

impl HolderDecision {
    pub(super) fn reply_only(reply: TokenReply) -> Self {
        Self {
            reply: Some(reply),
            loan_requests: Vec::new(),
        }
    }
}
