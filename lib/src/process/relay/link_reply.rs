//! What another node sends on the connection that this node opened to it.

use http::StatusCode;

use super::confirmation::ConfirmationReport;
use super::frame::ExchangeId;
use super::frame::Frame;
use super::frame::Head;
use super::frame::LoadNotice;
use super::frame::header_map;
use super::rate_records::RateRecordOutcome;
use super::views::ViewUpdate;
use crate::connection::BufferedResponse;
use crate::connection::is_final_status;
use crate::process::gate::CallTree;
use crate::process::load::LoadReport;
use crate::process::rates::PeerStatus;
use crate::process::rates::TokenReply;
use crate::process::suspects::SuspectEntry;
use crate::request::Refusal;
use crate::request::RefusalReason;

/// The reply of another node to an exchange.
#[derive(Debug)]
pub(super) enum PeerReply {
    /// The response of a backend server.
    Response(BufferedResponse),
    /// A refusal of the request.
    Refused(Refusal),
    /// The reply to a ping.
    Pong,
    /// The reply of a holder to a token request.
    Tokens(TokenReply),
    /// The status for the holder of the node's zone.
    RateStatus(PeerStatus),
    /// What became of a call for a holder record.
    RateRecord(RateRecordOutcome),
    /// What this node lacked of the store's views.
    Views(Vec<ViewUpdate>),
    /// The suspects of which the node knows more, or all that it knows.
    KnownSuspects(Vec<SuspectEntry>),
}

/// A reply with the confirmation report, the load notice and the loads that came with it.
#[derive(Debug)]
pub(super) struct LinkReply {
    pub(super) reply: PeerReply,
    pub(super) confirmation: Option<ConfirmationReport>,
    pub(super) load: LoadNotice,
    pub(super) loads: Vec<LoadReport>,
    pub(super) calls: CallTree,
}

/// Returns the reply to an exchange that a frame holds, or none if it holds something else.
pub(super) fn decode_reply(head: Head<'_>, frame: &Frame) -> Option<(ExchangeId, LinkReply)> {
    let mut received_loads = Vec::new();
    let mut calls = CallTree::default();
    let (exchange, reply, confirmation, load) = match head {
        Head::Response(response) => {
            received_loads = response.loads;
            calls = response.calls;
            let reply = match (
                StatusCode::from_u16(response.status),
                header_map(&response.headers),
            ) {
                (Ok(status), Some(headers))
                    if !frame.is_body_dropped && is_final_status(status) =>
                {
                    PeerReply::Response(BufferedResponse {
                        status,
                        headers,
                        body: frame.body.clone(),
                    })
                }
                _ => PeerReply::Refused(Refusal::may_have_run(RefusalReason::BadAnswer)),
            };
            (
                response.exchange,
                reply,
                Some(response.confirmation),
                response.load,
            )
        }
        Head::Refused {
            exchange,
            refusal,
            confirmation,
            load,
            loads,
        } => {
            received_loads = loads;
            let reply = PeerReply::Refused(refusal);
            (exchange, reply, Some(confirmation), load)
        }
        Head::Pong {
            exchange,
            confirmation,
            loads,
        } => {
            received_loads = loads;
            let load = LoadNotice::default();
            (exchange, PeerReply::Pong, Some(confirmation), load)
        }
        Head::TokenReply { exchange, reply } => {
            let load = LoadNotice::default();
            (exchange, PeerReply::Tokens(reply), None, load)
        }
        Head::RateStatus { exchange, status } => {
            let load = LoadNotice::default();
            (exchange, PeerReply::RateStatus(status), None, load)
        }
        Head::RateRecordReply { exchange, outcome } => {
            let load = LoadNotice::default();
            (exchange, PeerReply::RateRecord(outcome), None, load)
        }
        Head::KnownSuspects { exchange, entries } => {
            let load = LoadNotice::default();
            (exchange, PeerReply::KnownSuspects(entries), None, load)
        }
        Head::ViewReply {
            exchange,
            confirmation,
            updates,
        } => {
            let load = LoadNotice::default();
            let reply = PeerReply::Views(updates);
            (exchange, reply, Some(confirmation), load)
        }
        Head::Hello { .. }
        | Head::Request(_)
        | Head::Cancel { .. }
        | Head::Ping { .. }
        | Head::Borrow { .. }
        | Head::Lent { .. }
        | Head::TokenRequest { .. }
        | Head::TokenRequestWithReturns { .. }
        | Head::RateRecordRequest { .. }
        | Head::TokenReport { .. }
        | Head::RateStatusRequest { .. }
        | Head::RateHolderReleased
        | Head::SuspectUpdates { .. }
        | Head::ViewRequest { .. }
        | Head::SuspectsRequest { .. }
        | Head::ViewsChanged
        | Head::Closing { .. } => return None,
    };
    let reply = LinkReply {
        reply,
        confirmation,
        load,
        loads: received_loads,
        calls,
    };
    Some((exchange, reply))
}
