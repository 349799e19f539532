//! Messages between nodes, and how they are laid out on a connection.
//!
//! A frame is the length of all that follows (4 bytes), the length of the head (4 bytes), the head
//! in the `postcard` format, and the body as it is.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use super::confirmation::ConfirmationReport;
use super::link::READ_BYTES;
use crate::process::gate::FloorNotice;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::Importance;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::RatePerSecond;
use crate::values::RequestId;
use crate::values::TokenCount;

number_type! {
    /// Tells the exchanges on one connection between two nodes apart.
    ExchangeId(u64)
}

/// Headers as names and values.
pub type HeaderList<'a> = Vec<(&'a str, &'a [u8])>;

/// A request on its way to the node beside its backend server.
#[derive(Debug, Serialize, Deserialize)]
pub struct RequestHead<'a> {
    /// The exchange.
    pub exchange: ExchangeId,
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub uri: &'a str,
    /// End-to-end headers.
    #[serde(borrow)]
    pub headers: HeaderList<'a>,
    /// What the sender decided about the request.
    #[serde(rename = "terms")]
    pub metadata: RequestMetadata,
}

plain_data! {
    /// What the entry node decided about a request.
    pub struct RequestMetadata {
        /// The caller's id of the request.
        pub request_id: String,
        /// The service from which the request came.
        pub caller_service: String,
        /// The route that the request matched.
        pub route: String,
        /// The first request of the call tree.
        pub root: RequestId,
        /// Whether the request was sent to a backend server before, or is a call of such a one.
        pub is_repeat: bool,
        /// Whether the request runs even on a server that fails often, as no other one took it.
        pub is_last_resort: bool,
        /// The organisation for which the request runs.
        pub organisation: Option<OrganisationId>,
        /// Whether the backend server is told the organisation; calls of servers carry no key.
        pub names_organisation: bool,
        /// The rate of the organisation, by which waiting requests share.
        pub rate: RatePerSecond,
        /// Rank when capacity is short.
        pub importance: Importance,
        /// Time left, in microseconds.
        pub remaining_us: u64,
    }
}

/// The answer to a request.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResponseHead<'a> {
    /// The exchange.
    pub exchange: ExchangeId,
    /// The status of the backend server's answer.
    pub status: u16,
    /// End-to-end headers.
    #[serde(borrow)]
    pub headers: HeaderList<'a>,
    /// What the answering node knows about the configuration.
    #[serde(rename = "voucher")]
    pub confirmation: ConfirmationReport,
    /// The load of the answering node and those below it.
    pub load: LoadNotice,
}

plain_data! {
    /// What an answer tells of the load of its node and those below it.
    #[derive(Default)]
    pub struct LoadNotice {
        /// The highest admission floor, if one is in force.
        pub floor: Option<FloorNotice>,
        /// Whether a call that the request made failed.
        pub call_failed: bool,
    }
}

impl LoadNotice {
    /// Returns the floor that an answer, or a refusal for a reason, tells of its node.
    ///
    /// A node without a server that takes work tells none. It must not be taken for one whose gate
    /// is open: the floors of the nodes that are left would not count.
    pub fn observed_floor(&self, refused: Option<RefusalReason>) -> Option<FloorNotice> {
        let serves = !matches!(
            refused,
            Some(
                RefusalReason::NoServer
                    | RefusalReason::Draining
                    | RefusalReason::ServerFailing
                    | RefusalReason::DeadlineExceeded
            )
        );
        self.floor.clone().or(serves.then(FloorNotice::default))
    }
}

/// The head of a message between nodes.
#[derive(Debug, Serialize, Deserialize)]
pub enum Head<'a> {
    /// First message of the node that opened the connection.
    Hello {
        /// The node that opened the connection.
        from: NodeId,
        /// The node that it means to reach.
        to: NodeId,
    },
    /// A request, with its body.
    #[serde(borrow)]
    Request(RequestHead<'a>),
    /// The sender no longer waits for an answer.
    Cancel {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// A backend server's answer, with its body.
    #[serde(rename = "Answer")]
    Response(ResponseHead<'a>),
    /// The node refuses a request.
    Refused {
        /// The exchange.
        exchange: ExchangeId,
        /// Why, and whether the request may have run.
        refusal: Refusal,
        /// What the answering node knows about the configuration.
        #[serde(rename = "voucher")]
        confirmation: ConfirmationReport,
        /// The load of the answering node and those below it.
        load: LoadNotice,
    },
    /// Asks for a sign of life and a confirmation report.
    Ping {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Answers a ping.
    Pong {
        /// The exchange.
        exchange: ExchangeId,
        /// What the answering node knows about the configuration.
        #[serde(rename = "voucher")]
        confirmation: ConfirmationReport,
    },
    /// Asks for tokens of an organisation.
    Borrow {
        /// The exchange.
        exchange: ExchangeId,
        /// The organisation.
        organisation: OrganisationId,
    },
    /// Lends tokens of an organisation.
    Lent {
        /// The exchange.
        exchange: ExchangeId,
        /// How many; they are the receiver's from now on.
        tokens: TokenCount,
    },
}

/// A message between nodes cannot be read.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The frame is longer than allowed.
    #[snafu(display("frame of {bytes} bytes is too long"))]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// The lengths within the frame do not fit each other.
    #[snafu(display("frame with inconsistent lengths"))]
    Lengths,
    /// The head cannot be read.
    #[snafu(display("frame with an unreadable head: {source}"))]
    Head {
        /// The cause.
        source: postcard::Error,
    },
}

/// Longest frame: the largest body that a configuration may allow, with headers.
const FRAME_BYTES_MAX: usize = 80 * 1_024 * 1_024;
/// Longest body that is copied out of the bytes read from a connection, a quarter of what is read
/// at once: a request in flight with a shorter one would hold all of them.
const SHARED_BODY_BYTES_MIN: usize = READ_BYTES / 4;
/// Bytes of the two lengths before the head.
const LENGTHS_BYTES: usize = 8;

/// A whole frame as it was received.
#[derive(Debug)]
pub struct Frame {
    head: Bytes,
    /// The body.
    pub body: Bytes,
}

impl Frame {
    /// Decodes the head.
    pub fn head(&self) -> Result<Head<'_>, FrameError> {
        postcard::from_bytes(&self.head).map_err(|source| FrameError::Head { source })
    }

    /// Takes the first whole frame out of what was received, if there is one.
    pub fn split_from(received: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        let Some(mut lengths) = received.get(..LENGTHS_BYTES) else {
            return Ok(None);
        };
        let rest_bytes = lengths.get_u32() as usize;
        let head_bytes = lengths.get_u32() as usize;
        if rest_bytes > FRAME_BYTES_MAX {
            return TooLongSnafu { bytes: rest_bytes }.fail();
        }
        if head_bytes + 4 > rest_bytes {
            return LengthsSnafu.fail();
        }
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
        Ok(Some(Self { head, body }))
    }
}

/// Encodes a frame.
pub fn encode_frame(head: &Head<'_>, body: &[u8]) -> Result<Bytes, FrameError> {
    let head = postcard::to_stdvec(head).map_err(|source| FrameError::Head { source })?;
    let rest_bytes = 4 + head.len() + body.len();
    if rest_bytes > FRAME_BYTES_MAX {
        return TooLongSnafu { bytes: rest_bytes }.fail();
    }
    let mut frame = BytesMut::with_capacity(4 + rest_bytes);
    frame.put_u32(rest_bytes as u32);
    frame.put_u32(head.len() as u32);
    frame.put_slice(&head);
    frame.put_slice(body);
    Ok(frame.freeze())
}

/// Lists headers for a message.
pub fn header_list(headers: &HeaderMap) -> HeaderList<'_> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect()
}

/// Makes headers from a message; a header that cannot be read makes none.
pub fn header_map(list: &HeaderList<'_>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(list.len() + 4);
    for (name, value) in list {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}
