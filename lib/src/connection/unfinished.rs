//! Bodies of requests that are still received. Slow ones are given up when others have no room.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slab::Slab;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::MemoryBudget;

/// A body is slow if fewer bytes than these arrive within [`SLOW_TIME`].
const SLOW_BYTES: usize = 16 * 1_024;
const SLOW_TIME: Duration = Duration::from_secs(2);

/// The bodies that are still received.
#[derive(Clone, Debug, Default)]
pub(super) struct UnfinishedBodies(Arc<Mutex<Slab<Receipt>>>);

/// How far a body was received.
#[derive(Debug)]
struct Receipt {
    /// Bytes for which it counts.
    held_bytes: usize,
    /// When it last had received enough, and the bytes since.
    recent_at: Instant,
    recent_bytes: usize,
    given_up: CancellationToken,
}

impl Receipt {
    fn is_slow(&self) -> bool {
        self.recent_at.elapsed() >= SLOW_TIME
    }
}

/// A body that is still received, until this is dropped.
#[derive(Debug)]
pub(super) struct UnfinishedBody {
    all: UnfinishedBodies,
    key: usize,
    given_up: CancellationToken,
}

impl UnfinishedBodies {
    /// Begins to receive a body.
    pub(super) fn begin(&self) -> UnfinishedBody {
        let given_up = CancellationToken::new();
        let key = self.0.lock().insert(Receipt {
            held_bytes: 0,
            recent_at: Instant::now(),
            recent_bytes: 0,
            given_up: given_up.clone(),
        });
        UnfinishedBody {
            all: self.clone(),
            key,
            given_up,
        }
    }
}

impl UnfinishedBody {
    /// Records received bytes, and for how many the body counts.
    pub(super) fn record(&self, bytes: usize, held_bytes: usize) {
        if let Some(receipt) = self.all.0.lock().get_mut(self.key) {
            receipt.held_bytes = held_bytes;
            receipt.recent_bytes += bytes;
            if receipt.recent_bytes >= SLOW_BYTES {
                receipt.recent_at = Instant::now();
                receipt.recent_bytes = 0;
            }
        }
    }

    /// Gives up the largest of the slow bodies that are small or large like one of `bytes`. Returns false if
    /// there is none, or if this body is slow itself.
    pub(super) fn give_up_other(&self, bytes: usize) -> bool {
        let is_large = |bytes| bytes > MemoryBudget::SMALL_BYTES;
        let bodies = self.all.0.lock();
        let is_slow = bodies.get(self.key).is_none_or(Receipt::is_slow);
        let others = bodies.iter().filter(|(key, receipt)| {
            *key != self.key
                && receipt.is_slow()
                && receipt.held_bytes > MemoryBudget::UNCOUNTED_BYTES
                && is_large(receipt.held_bytes) == is_large(bytes)
                && !receipt.given_up.is_cancelled()
        });
        let largest = others.max_by_key(|(_, receipt)| receipt.held_bytes);
        match largest {
            Some((_, receipt)) if !is_slow => {
                receipt.given_up.cancel();
                true
            }
            Some(_) | None => false,
        }
    }

    /// Returns once the body is given up.
    pub(super) async fn given_up(&self) {
        self.given_up.cancelled().await;
    }
}

impl Drop for UnfinishedBody {
    fn drop(&mut self) {
        self.all.0.lock().try_remove(self.key);
    }
}
