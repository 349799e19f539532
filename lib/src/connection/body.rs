//! Reads whole bodies, limited in size and time.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use snafu::Snafu;
use tokio::sync::Semaphore;

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

/// Bounds the bytes of all bodies that are read at the same time. Clones share one budget.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Semaphore>);

impl BodyBudget {
    /// Bytes of each body that do not count, so that small bodies arrive beside a large one.
    pub const UNCOUNTED_BYTES: usize = 64 * 1_024;

    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))))
    }
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
    read_budgeted_body(body, limit_bytes, timeout, &BodyBudget::new(limit_bytes)).await
}

/// Reads a body of at most `limit_bytes` within `timeout`.
///
/// Fails with [`BodyError::TooLarge`] also if the bodies that are read at the same time exceed
/// `budget`.
pub async fn read_budgeted_body<B>(
    body: B,
    limit_bytes: usize,
    timeout: Duration,
    budget: &BodyBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = std::pin::pin!(Limited::new(body, limit_bytes));
    let reading = collect_within(limited, limit_bytes, budget);
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
    budget: &BodyBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut parts: Vec<Bytes> = Vec::new();
    let mut read_bytes = 0;
    let mut counted = budget.0.try_acquire_many(0).ok();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => TooLargeSnafu { limit_bytes }.build(),
            false => BodyError::Malformed,
        })?;
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        read_bytes += data.len();
        if read_bytes > BodyBudget::UNCOUNTED_BYTES {
            let more = budget.0.try_acquire_many(data.len() as u32).ok();
            match (&mut counted, more) {
                (Some(counted), Some(more)) => counted.merge(more),
                _ => return TooLargeSnafu { limit_bytes }.fail(),
            }
        }
        parts.push(data);
    }
    Ok(match parts.len() {
        1 => parts.swap_remove(0),
        _ => parts.concat().into(),
    })
}
