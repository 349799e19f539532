//! The wire protocol of the platform's service: HTTP/1.1 with JSON bodies.
//!
//! Every call is a `POST` to [`CALL_PATH`] whose body is a [`PlatformCall`]; the reply is a
//! [`PlatformReply`] with status 200. Nothing outside this file depends on the protocol, so that it
//! can be replaced.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::time::timeout;
use volo_http::body::BodyConversion;
use volo_http::client::Client;
use volo_http::error::ClientError;

use super::PlatformCall;
use super::PlatformError;
use super::PlatformReply;
use super::error::BadReplySnafu;
use super::error::NoReplySnafu;
use super::error::NotSentSnafu;
use crate::values::ZoneId;

/// Path of all calls.
pub const CALL_PATH: &str = "/v1/call";

/// Header with the zone of the calling process.
pub const ZONE_HEADER: &str = "platform-zone";

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Most idle connections kept open to the service.
const IDLE_CONNECTIONS_MAX: usize = 2;

/// Error for a message body that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("message cannot be decoded: {detail}"))]
pub struct DecodeError {
    detail: String,
}

/// Encodes a call or a reply as the body of an HTTP message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

/// Decodes a call or a reply from the body of an HTTP message.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(body).map_err(|error| DecodeError {
        detail: error.to_string(),
    })
}

/// Sends calls to one address of the service.
pub(super) struct WireClient {
    http: Result<Client, PlatformError>,
    url: String,
    zone: Option<HeaderValue>,
}

impl WireClient {
    /// Creates a client of the service at `address`, for a process in `zone`.
    pub(super) fn new(address: SocketAddr, zone: Option<&ZoneId>) -> Self {
        let mut builder = Client::builder();
        builder
            .set_connect_timeout(CONNECT_TIMEOUT)
            .set_max_idle_per_host(IDLE_CONNECTIONS_MAX);
        Self {
            http: builder.build().map_err(not_sent),
            url: format!("http://{address}{CALL_PATH}"),
            zone: zone.and_then(|zone| HeaderValue::from_str(zone.as_str()).ok()),
        }
    }

    /// Sends one call and waits at most `time_limit` for the reply.
    pub(super) async fn send(
        &self,
        call: &PlatformCall,
        time_limit: Duration,
    ) -> Result<PlatformReply, PlatformError> {
        match timeout(time_limit, self.exchange(call)).await {
            Ok(reply) => reply,
            Err(_) => {
                let detail = format!("no reply within {} ms", time_limit.as_millis());
                NoReplySnafu { detail }.fail()
            }
        }
    }

    async fn exchange(&self, call: &PlatformCall) -> Result<PlatformReply, PlatformError> {
        let http = self.http.as_ref().map_err(PlatformError::clone)?;
        let mut request = http
            .request(Method::POST, self.url.as_str())
            .header(CONTENT_TYPE, "application/json")
            .data(encode(call));
        if let Some(zone) = &self.zone {
            request = request.header(ZONE_HEADER, zone.clone());
        }
        let response = request.send().await.map_err(send_error)?;
        let status = response.status();
        let body = response.into_body().into_bytes().await;
        let body = body.map_err(|error| PlatformError::NoReply {
            detail: error.to_string(),
        })?;
        match status {
            StatusCode::OK => decode(&body).map_err(bad_reply),
            StatusCode::TOO_MANY_REQUESTS => Ok(PlatformReply::Busy),
            other => {
                let detail = format!("status {other}");
                BadReplySnafu { detail }.fail()
            }
        }
    }
}

/// Converts an error of the HTTP client. Only a failed connect proves that the call was not sent.
///
/// volo-http reports a failed connect as a request error whose direct source is the I/O error of
/// the connect; a later failure has a hyper error as its source.
fn send_error(error: ClientError) -> PlatformError {
    match error.source() {
        Some(source) if source.is::<io::Error>() => not_sent(error),
        _ => PlatformError::NoReply {
            detail: error.to_string(),
        },
    }
}

fn not_sent(error: ClientError) -> PlatformError {
    let detail = error.to_string();
    NotSentSnafu { detail }.build()
}

fn bad_reply(error: DecodeError) -> PlatformError {
    PlatformError::BadReply {
        detail: error.to_string(),
    }
}
