//! Messages of the schedule.

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

/// The index of a node in the fleet.
pub type NodeIndex = usize;

/// A message to a node.
#[derive(Clone, Debug)]
pub enum Message {
    /// An ask by a node.
    TokenRequest(TokenRequest),
    /// The answer to an ask by a node.
    TokenReply(OrganisationId, TokenRequestId, TokenReply),
    /// An ask by another zone's holder.
    LoanRequest(TokenRequest),
    /// The answer to an ask by another zone's holder.
    LoanReply(OrganisationId, ZoneId, TokenRequestId, TokenReply),
    /// A report that needs no answer.
    Report(SettlementReport),
    /// The holder asks for a promise; the time is the holder's own.
    PeerStatusRequest(MonotonicTime),
    /// The promise.
    PeerStatus(MonotonicTime, PeerStatus),
    /// The platform's record.
    Record(Option<HolderRecord>),
    /// Whether a write to the platform took effect.
    Written(bool),
    /// The platform's records of other zones.
    OtherRecords(Vec<Option<HolderRecord>>),
    /// The platform did not answer.
    PlatformUnreachable,
}

impl Message {
    /// Returns the bytes of the message as JSON, without the framing of the transport.
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
        text.expect("messages have a JSON form").len() as u64
    }

    /// Returns a name for what the message does.
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

    /// Returns whether the message carries tokens, asks for them or reports on them.
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
    Write(RecordWrite),
    /// Reads the records of other zones.
    ReadOthers(BTreeSet<ZoneId>),
}
