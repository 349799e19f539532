//! One request and its complete response on one connection.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::uri::PathAndQuery;
use http_body_util::Full;
use snafu::Snafu;

use crate::request::ExchangeProgress;
use crate::request::Failure;
use crate::request::Verdict;
use crate::request::verdict_of;

/// A request with its whole body, so that it can be sent more than once.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Copies the path and the headers into one allocation of their exact size.
    ///
    /// A request that was read from a connection otherwise keeps the whole read buffer allocated.
    pub fn into_compact(self) -> Self {
        let path = self.uri.path_and_query().map(PathAndQuery::as_str);
        let value_bytes: usize = self.headers.values().map(HeaderValue::len).sum();
        let path_bytes = path.map_or(0, str::len);
        let mut copied = BytesMut::with_capacity(path_bytes + value_bytes);
        copied.put_slice(path.unwrap_or_default().as_bytes());
        for value in self.headers.values() {
            copied.put_slice(value.as_bytes());
        }
        let mut copied = copied.freeze();
        let path = copied.split_to(path_bytes);
        let uri = match path.is_empty() {
            true => self.uri,
            // The copy of a valid path is a valid path.
            false => Uri::from_maybe_shared(path).unwrap_or(self.uri),
        };
        let mut headers = self.headers;
        for value in headers.values_mut() {
            let bytes = copied.split_to(value.len());
            if let Ok(compact) = HeaderValue::from_maybe_shared(bytes) {
                *value = compact;
            }
        }
        Self {
            uri,
            headers,
            ..self
        }
    }
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The reason why an exchange returned no complete response.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// No connection could be opened.
    #[snafu(display("no connection to the server"))]
    NotConnected,
    /// All connections that the server allows are in use.
    #[snafu(display("all connections that the server allows are in use"))]
    NoFreeConnection,
    /// The connection closed before any byte of the request was written.
    #[snafu(display("connection closed before the request was sent"))]
    NotSent,
    /// The connection failed after a part of the request was written.
    #[snafu(display("connection failed after the request was sent"))]
    Sent,
    /// The other end of the connection stopped acknowledging after a part of the request may have
    /// been written. A new connection may work.
    #[snafu(display("connection went silent after the request was sent"))]
    Silent,
    /// The response body was incomplete, malformed or too large, or the response belongs to another
    /// request.
    #[snafu(display("response is incomplete or malformed"))]
    InvalidResponse,
    /// The request timed out after a part of it may have been written.
    #[snafu(display("no response in time"))]
    TimedOut,
}

impl ExchangeError {
    /// Returns whether the server's handler may have received the request.
    pub fn verdict(&self) -> Verdict {
        let (progress, failure) = match self {
            Self::NoFreeConnection => (ExchangeProgress::Queued, Failure::TimedOut),
            Self::NotConnected => (ExchangeProgress::Connecting, Failure::ConnectionRefused),
            Self::NotSent => (ExchangeProgress::Connected, Failure::ConnectionLost),
            Self::Sent | Self::Silent => (ExchangeProgress::PartlyWritten, Failure::ConnectionLost),
            Self::TimedOut => (ExchangeProgress::PartlyWritten, Failure::TimedOut),
            Self::InvalidResponse => (ExchangeProgress::PartlyAnswered, Failure::AnswerBroken),
        };
        verdict_of(progress, failure)
    }
}

/// Returns whether a response with this status can be the last one to a request. The HTTP library also accepts
/// 101, which nobody asked for, and numbers beyond the protocol's.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Returns a request in the form of the HTTP library.
pub(super) fn http_request(request: BufferedRequest) -> Request<Full<Bytes>> {
    let mut http_request = Request::new(Full::new(request.body));
    *http_request.method_mut() = request.method;
    *http_request.uri_mut() = request.uri;
    *http_request.headers_mut() = request.headers;
    http_request
}
