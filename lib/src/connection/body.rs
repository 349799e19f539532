//! Reads whole bodies within bounds.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use snafu::Snafu;

/// The reason why a body could not be read whole.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[snafu(display("body is larger than {limit_bytes} bytes"))]
    TooLarge {
        /// Most bytes allowed.
        limit_bytes: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("body did not arrive within {limit_ms} ms"))]
    TooSlow {
        /// Longest time allowed.
        limit_ms: u64,
    },
    /// The body ended early or was malformed.
    #[snafu(display("body is incomplete or malformed"))]
    Broken,
}

/// Reads a body of at most `limit_bytes` within `limit`.
pub async fn read_body<B>(body: B, limit_bytes: usize, limit: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = std::pin::pin!(Limited::new(body, limit_bytes).collect());
    match tokio::time::timeout(limit, limited).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => TooLargeSnafu { limit_bytes }.fail(),
        Ok(Err(_)) => BrokenSnafu.fail(),
        Err(_) => {
            let limit_ms = limit.as_millis() as u64;
            TooSlowSnafu { limit_ms }.fail()
        }
    }
}
