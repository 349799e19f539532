//! What a holder is made from, answers and shows.

use super::LoanRequest;
use super::MicroRate;
use super::SettlementReport;
use super::TokenReply;
use crate::values::Epoch;
use crate::values::NodeId;
use crate::values::TokenCount;
use crate::values::ZoneId;

/// Who holds the buckets of a zone.
#[derive(Clone, Debug)]
pub struct HolderSettings {
    /// The zone.
    pub zone: ZoneId,
    /// The node that holds them.
    pub node: NodeId,
    /// The epoch of the role.
    pub epoch: Epoch,
}

/// What the holder does about an ask.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderDecision {
    /// The answer, or none if the asker has to wait until loans are answered.
    pub reply: Option<TokenReply>,
    /// Asks to send to the holders of other zones now.
    pub loan_requests: Vec<LoanRequest>,
}

/// Reports to send to the holder of another zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderReport {
    /// The zone whose holder gets the report.
    pub lender: ZoneId,
    /// The report.
    pub report: SettlementReport,
}

plain_data! {
    /// What is in the bucket of one organisation in one zone.
    #[derive(Eq)]
    pub struct BucketDump {
        /// Whole tokens in the bucket.
        pub tokens: TokenCount,
        /// Tokens of the bucket that may still be spent somewhere.
        pub outstanding_tokens: TokenCount,
        /// Tokens borrowed from other zones that can be handed out.
        pub borrowed_tokens: TokenCount,
        /// What the zone mints.
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
