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
use super::unfinished::UnfinishedBody;

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
    if declared_bytes.is_some_and(|bytes| bytes > limit_bytes) {
        return TooLargeSnafu { limit_bytes }.fail();
    }
    let unfinished = charge.begin_receiving();
    if !charge
        .grow_for(&unfinished, declared_bytes.unwrap_or_default())
        .await
    {
        return NoMemorySnafu.fail();
    }
    unfinished.record(0, charge.bytes());
    let limited = std::pin::pin!(Limited::new(body, limit_bytes));
    let reading = async {
        tokio::select! {
            biased;
            result = collect_within(limited, &unfinished, (limit_bytes, declared_bytes), charge) => result,
            () = unfinished.given_up() => NoMemorySnafu.fail(),
        }
    };
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
    unfinished: &UnfinishedBody,
    (limit_bytes, declared_bytes): (usize, Option<usize>),
    mut charge: MemoryCharge,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut first = Bytes::new();
    // Parts are joined as they arrive: each of them may keep a read buffer allocated.
    let mut joined = Joined {
        bytes: Vec::new(),
        counted_bytes: declared_bytes.unwrap_or_default(),
        limit_bytes,
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => TooLargeSnafu { limit_bytes }.build(),
            false => BodyError::Malformed,
        })?;
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let is_first = joined.bytes.is_empty() && first.is_empty();
        let has_room = match is_first {
            true => joined.count(data.len(), &mut charge),
            false => joined.reserve(first.len() + data.len(), &mut charge),
        };
        if !has_room {
            let missing_bytes = joined.missing_bytes(first.len() + data.len());
            if !charge.grow_for(unfinished, missing_bytes).await {
                return NoMemorySnafu.fail();
            }
            joined.take(missing_bytes, first.len() + data.len(), is_first);
        }
        unfinished.record(data.len(), charge.bytes());
        if is_first {
            first = data;
            continue;
        }
        joined.bytes.extend_from_slice(&std::mem::take(&mut first));
        joined.bytes.extend_from_slice(&data);
    }
    let joined = joined.finish(first.len(), &mut charge);
    Ok(match joined.is_empty() {
        true => charge.attach(first),
        false => charge.attach(joined),
    })
}

/// The joined parts of a body, which count by the memory that they take.
struct Joined {
    bytes: Vec<u8>,
    /// Bytes that count: the announced length, or the capacity.
    counted_bytes: usize,
    limit_bytes: usize,
}

impl Joined {
    /// Makes room for `more` bytes. Returns false if the memory has none.
    fn reserve(&mut self, more: usize, charge: &mut MemoryCharge) -> bool {
        let needed = self.bytes.len() + more;
        if needed <= self.bytes.capacity() {
            return true;
        }
        // Large bodies grow by less, so that others fit beside them.
        let longer = match needed > MemoryBudget::SMALL_BYTES {
            true => needed + needed / 8,
            false => 2 * self.bytes.capacity(),
        };
        let steps = [longer.min(self.limit_bytes), needed];
        let steps = steps.map(|bytes| bytes.max(needed).max(self.counted_bytes));
        let capacity = steps.into_iter().find(|bytes| self.count(*bytes, charge));
        let Some(capacity) = capacity else {
            return false;
        };
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }

    /// Counts the body as at least `bytes` long. Returns false if there is no room.
    fn count(&mut self, bytes: usize, charge: &mut MemoryCharge) -> bool {
        let more = bytes.saturating_sub(self.counted_bytes);
        let fits = charge.grow(more);
        if fits {
            self.counted_bytes += more;
        }
        fits
    }

    /// Returns how many bytes more count if the body gets `more` bytes.
    fn missing_bytes(&self, more: usize) -> usize {
        (self.bytes.len() + more).saturating_sub(self.counted_bytes)
    }

    /// Takes room that was counted for `more` bytes.
    fn take(&mut self, counted_bytes: usize, more: usize, is_first: bool) {
        self.counted_bytes += counted_bytes;
        if !is_first {
            self.bytes.reserve_exact(more);
        }
    }

    /// Returns the bytes, and counts just them or the `first_bytes` that were never joined.
    fn finish(mut self, first_bytes: usize, charge: &mut MemoryCharge) -> Vec<u8> {
        let length = self.bytes.len().max(first_bytes);
        self.bytes.shrink_to_fit();
        charge.shrink(self.counted_bytes.saturating_sub(length));
        self.bytes
    }
}
