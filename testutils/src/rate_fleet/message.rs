//! Messages between nodes, and between nodes and the platform.

use std::collections::BTreeSet;

use balsamfold::process::rates::HolderRecord;
use balsamfold::process::rates::PeerStatus;
use balsamfold::process::rates::RecordWrite;
use balsamfold::process::rates::SettlementReport;
use balsamfold::process::rates::TokenReply;
use balsamfold::process::rates::TokenRequest;
use balsamfold::process::rates::TokenRequestId;
use balsamfold::values::MonotonicTime;
use balsamfold::values::OrganisationId;
use balsamfold::values::ZoneId;

/// Index of a node in the fleet; the nodes of a zone are consecutive.
pub type NodeIndex = usize;

/// A message to a node.
#[derive(Clone, Debug)]
pub enum Message {
    /// A token request of a node to the holder of a zone.
    TokenRequest(TokenRequest),
    /// The reply to a token request of a node.
    TokenReply(OrganisationId, TokenRequestId, TokenReply),
    /// A loan request of the holder of another zone.
    LoanRequest(TokenRequest),
    /// The reply to a loan request. The zone is that of the lender.
    LoanReply(OrganisationId, ZoneId, TokenRequestId, TokenReply),
    /// A settlement report. It has no reply.
    Report(SettlementReport),
    /// A request of the holder for the status of a node, which includes a promise. The time is the
    /// reading of the holder's clock, and comes back in the reply.
    PeerStatusRequest(MonotonicTime),
    /// The reply to a status request, with the time of the request.
    PeerStatus(MonotonicTime, PeerStatus),
    /// The record of the node's zone, as read from the platform.
    Record(Option<HolderRecord>),
    /// The reply of the platform to a write: whether it took effect.
    Written(bool),
    /// The records of other zones, as read from the platform.
    OtherRecords(Vec<Option<HolderRecord>>),
    /// The platform did not reply to a call, or its reply was lost.
    PlatformUnreachable,
}

impl Message {
    /// Returns the length in bytes of the message as JSON, without the framing of the transport, or
    /// 0 for a message that is not about tokens.
    pub fn json_bytes(&self) -> u64 {
        let text = match self {
            Self::TokenRequest(request) | Self::LoanRequest(request) => {
                serde_json::to_string(request)
            }
            Self::TokenReply(_, _, reply) | Self::LoanReply(_, _, _, reply) => {
                serde_json::to_string(reply)
            }
            Self::Report(report) => serde_json::to_string(report),
            _ => Ok(String::new()),
        };
        text.expect("messages serialize to JSON").len() as u64
    }

    /// Returns the name under which the message is counted.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::TokenRequest(_) => "ask",
            Self::TokenReply(_, _, TokenReply::Grant(_)) => "grant",
            Self::TokenReply(..) => "other answer",
            Self::LoanRequest(_) => "loan ask",
            Self::LoanReply(_, _, _, TokenReply::Grant(_)) => "loan",
            Self::LoanReply(..) => "other loan answer",
            Self::Report(_) => "report",
            _ => "lease",
        }
    }

    /// Returns whether the message grants, requests or reports on tokens.
    pub fn is_about_tokens(&self) -> bool {
        matches!(
            self,
            Self::TokenRequest(_)
                | Self::TokenReply(..)
                | Self::LoanRequest(_)
                | Self::LoanReply(..)
                | Self::Report(_)
        )
    }
}

/// A call to the platform.
#[derive(Clone, Debug)]
pub enum PlatformCall {
    /// Reads the record of the node's zone.
    Read,
    /// Writes the record of the node's zone.
    Write(Box<RecordWrite>),
    /// Reads the records of other zones.
    ReadOthers(BTreeSet<ZoneId>),
}
