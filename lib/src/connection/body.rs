//! Reads whole bodies, limited in size and time.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use snafu::Snafu;

/// The reason why a body could not be read completely.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[snafu(display("body is larger than {limit_bytes} bytes"))]
    TooLarge {
        /// Maximum number of bytes allowed.
        limit_bytes: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("body did not arrive within {timeout_ms} ms"))]
    TimedOut {
        /// Maximum time allowed.
        timeout_ms: u64,
    },
    /// The body ended early or was malformed.
    #[snafu(display("body is incomplete or malformed"))]
    Malformed,
}

/// Reads a body of at most `limit_bytes` within `timeout`.
pub async fn read_body<B>(
    body: B,
    limit_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = std::pin::pin!(Limited::new(body, limit_bytes).collect());
    match tokio::time::timeout(timeout, limited).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => TooLargeSnafu { limit_bytes }.fail(),
        Ok(Err(_)) => MalformedSnafu.fail(),
        Err(_) => {
            let timeout_ms = timeout.as_millis() as u64;
            TimedOutSnafu { timeout_ms }.fail()
        }
    }
}
