//! Reads whole bodies, limited in size and time.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use snafu::Snafu;

use super::BodyKind;
use super::MemoryBudget;
use super::MemoryCharge;

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
    /// The bodies that are held leave no room for this one.
    #[snafu(display("bodies hold too much memory"))]
    NoMemory,
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
    let charge = MemoryBudget::new(limit_bytes).start(BodyKind::Request);
    read_budgeted_body(body, limit_bytes, timeout, charge).await
}

/// Reads a body of at most `limit_bytes` within `timeout`. The body counts as `charge` until its last
/// copy is dropped.
///
/// A body that names its length is refused before it is read if it is too long, or if there is no
/// room for it.
pub async fn read_budgeted_body<B>(
    body: B,
    limit_bytes: usize,
    timeout: Duration,
    mut charge: MemoryCharge,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let declared_bytes = body.size_hint().exact();
    let declared_bytes = declared_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    match declared_bytes {
        Some(bytes) if bytes > limit_bytes => return TooLargeSnafu { limit_bytes }.fail(),
        Some(bytes) if !charge.grow(bytes) => return NoMemorySnafu.fail(),
        Some(_) | None => {}
    }
    let limited = std::pin::pin!(Limited::new(body, limit_bytes));
    let reading = collect_within(limited, limit_bytes, declared_bytes, charge);
    match tokio::time::timeout(timeout, reading).await {
        Ok(result) => result,
        Err(_) => {
            let timeout_ms = timeout.as_millis() as u64;
            TimedOutSnafu { timeout_ms }.fail()
        }
    }
}

async fn collect_within<B>(
    mut body: Pin<&mut Limited<B>>,
    limit_bytes: usize,
    declared_bytes: Option<usize>,
    mut charge: MemoryCharge,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut first = Bytes::new();
    // Parts are joined as they arrive: each of them may keep a read buffer allocated.
    let mut joined = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => TooLargeSnafu { limit_bytes }.build(),
            false => BodyError::Malformed,
        })?;
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if declared_bytes.is_none() && !charge.grow(data.len()) {
            return NoMemorySnafu.fail();
        }
        match joined.is_empty() {
            true if first.is_empty() => first = data,
            true => {
                let parts_bytes = first.len() + data.len();
                joined.reserve_exact(declared_bytes.unwrap_or_default().max(parts_bytes));
                joined.extend_from_slice(&std::mem::take(&mut first));
                joined.extend_from_slice(&data);
            }
            false => joined.extend_from_slice(&data),
        }
    }
    Ok(match joined.is_empty() {
        true => charge.attach(first),
        false => charge.attach(joined),
    })
}
