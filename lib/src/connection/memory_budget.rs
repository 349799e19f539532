//! A bound on the memory that all bodies, all heads that are not complete, and long read buffers hold together.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;

use super::unfinished::UnfinishedBodies;
use super::unfinished::UnfinishedBody;

/// Parts of a process's memory limit, in percent. The rest is for connections, the state of the node
/// and the program itself.
const SMALL_PERCENT: usize = 8;
/// Share of the bodies of requests. It fits the largest body that a configuration usually allows, at a
/// memory limit of 160 MB.
const REQUEST_PERCENT: usize = 42;
/// Share of the heads of responses that are not complete.
const HEAD_PERCENT: usize = 6;
/// Share of what callers sent and is not parsed, beyond the buffers that each connection has.
const RECEIVED_PERCENT: usize = 6;
/// Share of all large bodies. What requests leave of it is for responses, whose requests have run.
const LARGE_PERCENT: usize = 52;

/// Time in which the memory of a body that was given up becomes free.
const GIVE_UP_TIME: Duration = Duration::from_millis(2);

plain_value! {
    /// What the bytes belong to.
    pub enum BodyKind {
        /// A request that has not run yet.
        Request,
        /// A response.
        Response,
        /// The head of a response that is not complete. Heads without end leave room for the bodies of others.
        ResponseHead,
        /// What a caller sent and is not parsed.
        Received,
    }
}

/// Bounds the bytes of all bodies that are held at the same time. Clones share one budget.
///
/// Small bodies have a part of their own, so that they are served beside large ones. So have
/// responses: without room for one, its request would have run in vain.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    small_bytes_max: usize,
    head_bytes_max: usize,
    received_bytes_max: usize,
    request_bytes_max: usize,
    large_bytes_max: usize,
    held: Mutex<HeldBytes>,
    unfinished: UnfinishedBodies,
}

#[derive(Debug, Default)]
struct HeldBytes {
    small: usize,
    heads: usize,
    received: usize,
    requests: usize,
    responses: usize,
}

impl MemoryBudget {
    /// Longest body that does not count, as the buffers of its connection are about as large.
    pub const UNCOUNTED_BYTES: usize = 4 * 1_024;
    /// Longest body that counts as a small one.
    pub const SMALL_BYTES: usize = 64 * 1_024;

    /// Creates a budget of `bytes` for large bodies. Small ones, heads and read buffers do not count.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Shared {
            small_bytes_max: usize::MAX,
            head_bytes_max: usize::MAX,
            received_bytes_max: usize::MAX,
            request_bytes_max: bytes,
            large_bytes_max: bytes,
            held: Mutex::default(),
            unfinished: UnfinishedBodies::default(),
        }))
    }

    /// Creates the budget of a process that may use `memory_bytes` for everything.
    pub fn of_process(memory_bytes: usize) -> Self {
        let part = |percent| memory_bytes / 100 * percent;
        Self(Arc::new(Shared {
            small_bytes_max: part(SMALL_PERCENT),
            head_bytes_max: part(HEAD_PERCENT),
            received_bytes_max: part(RECEIVED_PERCENT),
            request_bytes_max: part(REQUEST_PERCENT),
            large_bytes_max: part(LARGE_PERCENT),
            held: Mutex::default(),
            unfinished: UnfinishedBodies::default(),
        }))
    }

    /// Returns the number of bytes of bodies and of heads of responses that are held now.
    pub fn held_bytes(&self) -> usize {
        let held = self.0.held.lock();
        held.small + held.heads + held.requests + held.responses
    }

    /// Returns the largest body of a request for which there is room when nothing else is held.
    pub fn request_bytes_max(&self) -> usize {
        self.0.request_bytes_max
    }

    /// Starts to count a body.
    pub fn start(&self, kind: BodyKind) -> MemoryCharge {
        MemoryCharge {
            budget: self.clone(),
            kind,
            bytes: 0,
        }
    }
}

impl HeldBytes {
    /// Returns the count of the part in which a body of `bytes` is held, if it counts.
    fn part(&mut self, kind: BodyKind, bytes: usize) -> Option<&mut usize> {
        match kind {
            _ if bytes <= MemoryBudget::UNCOUNTED_BYTES => None,
            BodyKind::ResponseHead => Some(&mut self.heads),
            BodyKind::Received => Some(&mut self.received),
            _ if bytes <= MemoryBudget::SMALL_BYTES => Some(&mut self.small),
            BodyKind::Request => Some(&mut self.requests),
            BodyKind::Response => Some(&mut self.responses),
        }
    }
}

/// The bytes of one body, which count until this is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    budget: MemoryBudget,
    kind: BodyKind,
    bytes: usize,
}

impl MemoryCharge {
    /// Counts `more` bytes of the body. Returns false if there is no room for them; the body counts
    /// as before then.
    #[must_use]
    pub fn grow(&mut self, more: usize) -> bool {
        let bytes = self.bytes.saturating_add(more);
        if bytes <= MemoryBudget::UNCOUNTED_BYTES {
            self.bytes = bytes;
            return true;
        }
        let limits = &self.budget.0;
        let mut held = limits.held.lock();
        if let Some(part) = held.part(self.kind, self.bytes) {
            *part -= self.bytes;
        }
        let room = match self.kind {
            BodyKind::ResponseHead => limits.head_bytes_max - held.heads,
            BodyKind::Received => limits.received_bytes_max - held.received,
            _ if bytes <= MemoryBudget::SMALL_BYTES => limits.small_bytes_max - held.small,
            BodyKind::Request => {
                let free = limits.large_bytes_max - held.requests - held.responses;
                free.min(limits.request_bytes_max - held.requests)
            }
            BodyKind::Response => limits.large_bytes_max - held.requests - held.responses,
        };
        let fits = bytes <= room;
        if fits {
            self.bytes = bytes;
        }
        if let Some(part) = held.part(self.kind, self.bytes) {
            *part += self.bytes;
        }
        fits
    }

    /// Counts `more` bytes of a body that is still received. Slow ones are given up if there is no room. Returns
    /// false if there is none even so.
    #[must_use]
    pub(super) async fn grow_for(&mut self, body: &UnfinishedBody, more: usize) -> bool {
        while !self.grow(more) {
            if !body.give_up_other(self.bytes.saturating_add(more)) {
                return false;
            }
            // The one that was given up is dropped by its own task.
            tokio::time::sleep(GIVE_UP_TIME).await;
        }
        true
    }

    /// Begins to receive the body.
    pub(super) fn begin_receiving(&self) -> UnfinishedBody {
        self.budget.0.unfinished.begin()
    }

    /// Returns the bytes that count.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts the body as at least `bytes` long. Returns false if there is no room; the body counts as before
    /// then.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        self.grow(bytes.saturating_sub(self.bytes))
    }

    /// Counts the body as `less` bytes shorter.
    pub fn shrink(&mut self, less: usize) {
        let mut held = self.budget.0.held.lock();
        if let Some(part) = held.part(self.kind, self.bytes) {
            *part -= self.bytes;
        }
        self.bytes = self.bytes.saturating_sub(less);
        if let Some(part) = held.part(self.kind, self.bytes) {
            *part += self.bytes;
        }
    }

    /// Returns the body, which counts until its last copy is dropped.
    pub fn attach(self, body: impl Into<Bytes>) -> Bytes {
        let body = body.into();
        match self.bytes <= MemoryBudget::UNCOUNTED_BYTES {
            true => body,
            false => Bytes::from_owner(CountedBody {
                body,
                _charge: self,
            }),
        }
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        if self.bytes > MemoryBudget::UNCOUNTED_BYTES {
            let mut held = self.budget.0.held.lock();
            if let Some(part) = held.part(self.kind, self.bytes) {
                *part -= self.bytes;
            }
        }
    }
}

struct CountedBody {
    body: Bytes,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
