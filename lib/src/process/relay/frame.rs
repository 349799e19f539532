//! Messages between nodes and their wire format.
//!
//! A frame consists of the length of the remaining frame (4 bytes, big-endian), the length of the
//! head (4 bytes, big-endian), the head in the `postcard` format, and the unencoded body.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use snafu::Snafu;

use super::confirmation::ConfirmationReport;
use super::frame_io::READ_BYTES;
use super::rate_records::RateRecordCall;
use super::rate_records::RateRecordOutcome;
use super::views::ViewPositions;
use super::views::ViewUpdate;
use crate::connection::MemoryBudget;
use crate::process::gate::CallTree;
use crate::process::gate::FloorNotice;
use crate::process::gate::SpentTime;
use crate::process::load::LoadReport;
use crate::process::rates::PeerStatus;
use crate::process::rates::ReturnDemand;
use crate::process::rates::SettlementReport;
use crate::process::rates::TokenReply;
use crate::process::rates::TokenRequest;
use crate::process::suspects::SuspectEntry;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::Importance;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::RatePerSecond;
use crate::values::RequestId;
use crate::values::TokenCount;
use crate::values::ZoneId;

number_type! {
    /// Identifies an exchange on one connection between two nodes.
    ExchangeId(u64)
}

/// Header names and values.
pub type HeaderList<'a> = Vec<(&'a str, &'a [u8])>;

/// A request for the backend server of the receiving node.
#[derive(Debug, Serialize, Deserialize)]
pub struct RequestHead<'a> {
    /// The exchange.
    pub exchange: ExchangeId,
    /// The HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub uri: &'a str,
    /// End-to-end headers.
    #[serde(borrow)]
    pub headers: HeaderList<'a>,
    /// What the ingress node decided about the request, with the time left for this attempt.
    #[serde(rename = "terms")]
    pub metadata: RequestMetadata,
    /// Loads that the sender knows.
    #[serde(deserialize_with = "or_none")]
    pub loads: Vec<LoadReport>,
    /// Time that the call tree has run before.
    #[serde(deserialize_with = "or_none")]
    pub spent: SpentTime,
}

plain_data! {
    /// What the ingress node decided about a request.
    pub struct RequestMetadata {
        /// The request id from the caller's header.
        pub request_id: String,
        /// The service that sent the request.
        pub caller_service: String,
        /// The route that the request matched.
        pub route: String,
        /// Id of the first request of the call tree.
        pub root: RequestId,
        /// Whether an earlier attempt at the request, or at the request that made this call,
        /// reached a backend server.
        pub is_repeat: bool,
        /// Whether the request runs even on a server that fails often, because no other server
        /// accepted it.
        pub is_last_resort: bool,
        /// The organisation for which the request runs.
        pub organisation: Option<OrganisationId>,
        /// Whether the backend server gets the organisation in a header. Onward calls carry no key,
        /// so the header is omitted for them.
        pub names_organisation: bool,
        /// The rate of the organisation. Waiting requests of organisations share the server in
        /// proportion to their rates.
        pub rate: RatePerSecond,
        /// Priority under overload.
        pub importance: Importance,
        /// Time left until the deadline, in microseconds.
        pub remaining_us: u64,
        /// Whether a node may turn the request away because its server is busier than others.
        #[serde(deserialize_with = "or_none")]
        pub may_turn_away: bool,
        /// Time that the call tree has run before. In messages it is a field of the head.
        #[serde(skip)]
        pub spent: SpentTime,
    }
}

/// The response to a request.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResponseHead<'a> {
    /// The exchange.
    pub exchange: ExchangeId,
    /// The HTTP status of the backend server's response.
    pub status: u16,
    /// End-to-end headers.
    #[serde(borrow)]
    pub headers: HeaderList<'a>,
    /// Configuration version of the replying node, and the age of its confirmation.
    #[serde(rename = "voucher")]
    pub confirmation: ConfirmationReport,
    /// The load of the replying node and of the nodes downstream.
    pub load: LoadNotice,
    /// Loads that the sender knows.
    #[serde(deserialize_with = "or_none")]
    pub loads: Vec<LoadReport>,
    /// The calls that the request needed.
    #[serde(deserialize_with = "or_none")]
    pub calls: CallTree,
}

plain_data! {
    /// The load of the replying node and of the nodes downstream.
    #[derive(Default)]
    pub struct LoadNotice {
        /// The highest admission floor in force, if any.
        pub floor: Option<FloorNotice>,
        /// Whether an onward call of the request failed.
        pub call_failed: bool,
    }
}

impl LoadNotice {
    /// Returns the floor that a response, or a refusal with the reason `refused`, reports for its
    /// node.
    ///
    /// A node whose server accepts no work reports none. If it counted as a node with an open gate,
    /// the floors of the remaining nodes would have no effect.
    pub fn observed_floor(&self, refused: Option<RefusalReason>) -> Option<FloorNotice> {
        let serves = !matches!(
            refused,
            Some(
                RefusalReason::NoServer
                    | RefusalReason::Draining
                    | RefusalReason::ServerFailing
                    | RefusalReason::DeadlineExceeded
                    | RefusalReason::ZoneEvacuated
            )
        );
        self.floor.clone().or(serves.then(FloorNotice::default))
    }
}

/// The head of a message between nodes.
#[derive(Debug, Serialize, Deserialize)]
pub enum Head<'a> {
    /// First message on a connection, from the node that opened it.
    Hello {
        /// The node that opened the connection.
        from: NodeId,
        /// The node that `from` expects at this address.
        to: NodeId,
    },
    /// A request, followed by its body.
    #[serde(borrow)]
    Request(RequestHead<'a>),
    /// Cancels an exchange, because the sender no longer waits for its reply.
    Cancel {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// The response of a backend server, followed by its body.
    #[serde(rename = "Answer")]
    Response(ResponseHead<'a>),
    /// A refusal of a request.
    Refused {
        /// The exchange.
        exchange: ExchangeId,
        /// The reason, and whether the request may have run.
        refusal: Refusal,
        /// Configuration version of the replying node, and the age of its confirmation.
        #[serde(rename = "voucher")]
        confirmation: ConfirmationReport,
        /// The load of the replying node and of the nodes downstream.
        load: LoadNotice,
        /// Loads that the sender knows.
        #[serde(deserialize_with = "or_none")]
        loads: Vec<LoadReport>,
    },
    /// A liveness probe that also requests a confirmation report.
    Ping {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// The reply to a ping.
    Pong {
        /// The exchange.
        exchange: ExchangeId,
        /// Configuration version of the replying node, and the age of its confirmation.
        #[serde(rename = "voucher")]
        confirmation: ConfirmationReport,
        /// Loads that the sender knows.
        #[serde(deserialize_with = "or_none")]
        loads: Vec<LoadReport>,
    },
    /// Requests tokens of an organisation. Only nodes of earlier versions send it.
    Borrow {
        /// The exchange.
        exchange: ExchangeId,
        /// The organisation.
        organisation: OrganisationId,
    },
    /// The reply to a borrow request.
    Lent {
        /// The exchange.
        exchange: ExchangeId,
        /// Tokens that now belong to the receiver.
        tokens: TokenCount,
    },
    /// Requests tokens from the holder of a zone.
    TokenRequest {
        /// The exchange.
        exchange: ExchangeId,
        /// The request.
        request: TokenRequest,
    },
    /// The reply to a token request.
    TokenReply {
        /// The exchange.
        exchange: ExchangeId,
        /// The reply.
        reply: TokenReply,
    },
    /// Reports the use of tokens to the holder of a zone. It gets no reply.
    TokenReport {
        /// The report.
        report: SettlementReport,
    },
    /// Requests the status of a node for the holder of its zone.
    RateStatusRequest {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// The reply to a status request.
    RateStatus {
        /// The exchange.
        exchange: ExchangeId,
        /// The status, which may include a promise.
        status: PeerStatus,
    },
    /// Notifies a node that the holder of its zone has released its role.
    RateHolderReleased,
    /// Notifies a node of requests that may crash backend servers.
    SuspectUpdates {
        /// The exchange.
        exchange: ExchangeId,
        /// The entries that have changed.
        entries: Vec<SuspectEntry>,
    },
    /// The reply to a notification of suspects, or to a request for all of them.
    #[serde(rename = "SuspectsCleared")]
    KnownSuspects {
        /// The exchange.
        exchange: ExchangeId,
        /// The entries of which the node knows more than the sender of the notification, or all.
        entries: Vec<SuspectEntry>,
    },
    /// Requests what the sender lacks of the store's views, and notices of later changes.
    ViewRequest {
        /// The exchange.
        exchange: ExchangeId,
        /// The positions up to which the sender knows the views.
        known: ViewPositions,
    },
    /// The reply to a request for views.
    ViewReply {
        /// The exchange.
        exchange: ExchangeId,
        /// Configuration version of the replying node, and the age of its confirmation.
        confirmation: ConfirmationReport,
        /// What the sender of the request lacks.
        updates: Vec<ViewUpdate>,
    },
    /// Notifies a node that requested views of changes.
    ViewsChanged,
    /// Requests all suspects that a node knows.
    SuspectsRequest {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Notifies the node that opened the connection that the sender begins no more exchanges on it, and
    /// replies to those that it has begun. The receiver closes the connection after these replies.
    Closing {
        /// The first exchange that the sender has not begun. It begins no later one either.
        first_not_begun: ExchangeId,
    },
    /// Requests tokens from the holder of a zone, with what it has to know of callers that come back.
    TokenRequestWithReturns {
        /// The exchange.
        exchange: ExchangeId,
        /// The request.
        request: TokenRequest,
        /// The callers.
        returns: ReturnDemand,
    },
    /// Calls the store for the holder record of a zone, for a holder that the store turns away.
    RateRecordRequest {
        /// The exchange.
        exchange: ExchangeId,
        /// The zone.
        zone: ZoneId,
        /// The call.
        call: RateRecordCall,
    },
    /// The reply to a call for a holder record.
    RateRecordReply {
        /// The exchange.
        exchange: ExchangeId,
        /// What became of the call.
        outcome: RateRecordOutcome,
    },
}

/// Reads the last field of a head, which nodes of earlier versions omit.
fn or_none<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    head: D,
) -> Result<T, D::Error> {
    Ok(T::deserialize(head).unwrap_or_default())
}

/// A frame that cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The frame is longer than allowed.
    #[snafu(display("frame of {bytes} bytes is too long"))]
    TooLong {
        /// Length after the first four bytes, in bytes.
        bytes: usize,
    },
    /// The head is longer than the frame.
    #[snafu(display("frame head is longer than its frame"))]
    Lengths,
    /// The head cannot be encoded or decoded.
    #[snafu(display("invalid frame head: {source}"))]
    Head {
        /// The `postcard` error.
        source: postcard::Error,
    },
}

/// Maximum length of a frame after its first four bytes: the largest body that a configuration may
/// allow, with headers.
const FRAME_BYTES_MAX: usize = 80 * 1_024 * 1_024;
/// Longest body that is copied out of the read buffer of a connection, a quarter of one read. A
/// shorter body that shared the buffer would keep all of it allocated while its request is in
/// flight.
const SHARED_BODY_BYTES_MIN: usize = READ_BYTES / 4;
/// Size of the two length fields before the head.
const LENGTHS_BYTES: usize = 8;

/// A complete frame as received, with its head not yet decoded.
#[derive(Debug)]
pub struct Frame {
    pub(super) head: Bytes,
    /// The body.
    pub body: Bytes,
    /// Whether there was no room for the body, so that it was dropped.
    pub is_body_dropped: bool,
}

impl Frame {
    pub(super) fn new(head: Bytes, body: Bytes) -> Self {
        Self {
            head,
            body,
            is_body_dropped: false,
        }
    }

    pub(super) fn without_body(head: Bytes) -> Self {
        Self {
            head,
            body: Bytes::new(),
            is_body_dropped: true,
        }
    }

    /// Decodes the head.
    pub fn head(&self) -> Result<Head<'_>, FrameError> {
        postcard::from_bytes(&self.head).map_err(|source| FrameError::Head { source })
    }

    /// Removes the first complete frame from `received`. Returns `None` if more bytes are needed.
    pub fn split_from(received: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        let Some(lengths) = FrameLengths::read(received) else {
            return Ok(None);
        };
        lengths.body_bytes()?;
        let FrameLengths {
            rest_bytes,
            head_bytes,
        } = lengths;
        if received.len() < rest_bytes + 4 {
            received.reserve(rest_bytes + 4 - received.len());
            return Ok(None);
        }
        let mut frame = received.split_to(rest_bytes + 4);
        frame.advance(LENGTHS_BYTES);
        let head = frame.split_to(head_bytes).freeze();
        let body = match frame.len() > SHARED_BODY_BYTES_MIN {
            true => frame.freeze(),
            false => Bytes::copy_from_slice(&frame),
        };
        Ok(Some(Self::new(head, body)))
    }
}

/// The two length fields before the head.
#[derive(Clone, Copy, Debug)]
pub(super) struct FrameLengths {
    rest_bytes: usize,
    head_bytes: usize,
}

impl FrameLengths {
    /// Reads the length fields of the first frame in `received`, if they are complete.
    pub(super) fn read(received: &[u8]) -> Option<Self> {
        let mut lengths = received.get(..LENGTHS_BYTES)?;
        Some(Self {
            rest_bytes: lengths.get_u32() as usize,
            head_bytes: lengths.get_u32() as usize,
        })
    }

    /// Returns the length of the body. Fails if the frame is too long, or shorter than its head.
    pub(super) fn body_bytes(self) -> Result<usize, FrameError> {
        match self.rest_bytes.checked_sub(4 + self.head_bytes) {
            _ if self.rest_bytes > FRAME_BYTES_MAX => TooLongSnafu {
                bytes: self.rest_bytes,
            }
            .fail(),
            Some(body_bytes) => Ok(body_bytes),
            None => LengthsSnafu.fail(),
        }
    }

    /// Returns whether `frame` is as long as its length fields say.
    pub(super) fn are_whole(self, frame: &[u8]) -> bool {
        frame.len() >= self.rest_bytes + 4
    }

    /// Removes the length fields and the head from `received`, if the head is complete.
    pub(super) fn split_head(self, received: &mut BytesMut) -> Option<Bytes> {
        if received.len() < LENGTHS_BYTES + self.head_bytes {
            return None;
        }
        received.advance(LENGTHS_BYTES);
        Some(Bytes::copy_from_slice(&received.split_to(self.head_bytes)))
    }
}

/// An encoded frame.
#[derive(Clone, Debug)]
pub struct EncodedFrame {
    /// The length fields, the head, and a short body.
    pub frame: Bytes,
    /// A longer body, which is sent behind the frame and shares the memory of its request or response.
    pub body: Bytes,
}

impl EncodedFrame {
    /// Returns the length of the whole frame with its body.
    pub fn total_bytes(&self) -> usize {
        self.frame.len() + self.body.len()
    }
}

impl From<Bytes> for EncodedFrame {
    fn from(frame: Bytes) -> Self {
        Self {
            frame,
            body: Bytes::new(),
        }
    }
}

/// Encodes a frame with its length fields. Fails if the frame is too long.
pub fn encode_frame(head: &Head<'_>, body: &[u8]) -> Result<Bytes, FrameError> {
    encode_parts(head, body, body.len())
}

/// Encodes a frame without a copy of its body, unless that is short. Fails if the frame is too long.
pub fn encode_shared(head: &Head<'_>, body: &Bytes) -> Result<EncodedFrame, FrameError> {
    match body.len() > MemoryBudget::UNCOUNTED_BYTES {
        true => Ok(EncodedFrame {
            frame: encode_parts(head, &[], body.len())?,
            body: body.clone(),
        }),
        false => encode_frame(head, body).map(EncodedFrame::from),
    }
}

/// Encodes a frame with a body of `body_bytes`, of which it contains `copied`.
fn encode_parts(head: &Head<'_>, copied: &[u8], body_bytes: usize) -> Result<Bytes, FrameError> {
    let head = postcard::to_stdvec(head).map_err(|source| FrameError::Head { source })?;
    let rest_bytes = 4 + head.len() + body_bytes;
    if rest_bytes > FRAME_BYTES_MAX {
        return TooLongSnafu { bytes: rest_bytes }.fail();
    }
    let mut frame = BytesMut::with_capacity(LENGTHS_BYTES + head.len() + copied.len());
    frame.put_u32(rest_bytes as u32);
    frame.put_u32(head.len() as u32);
    frame.put_slice(&head);
    frame.put_slice(copied);
    Ok(frame.freeze())
}

/// Returns the headers in the form of a message, borrowed.
pub fn header_list(headers: &HeaderMap) -> HeaderList<'_> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect()
}

/// Decodes the headers of a message. Returns `None` if any header is invalid.
pub fn header_map(list: &HeaderList<'_>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(list.len() + 4);
    for (name, value) in list {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}
