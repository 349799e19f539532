//! A bound on the memory that all bodies, and all heads that are not complete, hold together.

use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;

/// Parts of a process's memory limit, in percent. The rest is for connections, the state of the node
/// and the program itself.
const SMALL_PERCENT: usize = 10;
/// Share of the bodies of requests. It fits the largest body that a configuration usually allows, at a
/// memory limit of 160 MB.
const REQUEST_PERCENT: usize = 42;
/// Share of the heads of responses that are not complete.
const HEAD_PERCENT: usize = 10;
/// Share of all large bodies. What requests leave of it is for responses, whose requests have run.
const LARGE_PERCENT: usize = 52;

plain_value! {
    /// What the bytes belong to.
    pub enum BodyKind {
        /// A request that has not run yet.
        Request,
        /// A response.
        Response,
        /// The head of a response that is not complete. Heads without end leave room for the bodies of others.
        ResponseHead,
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
    request_bytes_max: usize,
    large_bytes_max: usize,
    held: Mutex<HeldBytes>,
}

#[derive(Debug, Default)]
struct HeldBytes {
    small: usize,
    heads: usize,
    requests: usize,
    responses: usize,
}

impl MemoryBudget {
    /// Longest body that does not count, as the buffers of its connection are about as large.
    pub const UNCOUNTED_BYTES: usize = 4 * 1_024;
    /// Longest body that counts as a small one.
    pub const SMALL_BYTES: usize = 64 * 1_024;

    /// Creates a budget of `bytes` for large bodies. Small ones and heads do not count.
    pub fn new(bytes: usize) -> Self {
        Self::with_limits(usize::MAX, usize::MAX, bytes, bytes)
    }

    /// Creates the budget of a process that may use `memory_bytes` for everything.
    pub fn of_process(memory_bytes: usize) -> Self {
        let part = |percent| memory_bytes / 100 * percent;
        Self::with_limits(
            part(SMALL_PERCENT),
            part(HEAD_PERCENT),
            part(REQUEST_PERCENT),
            part(LARGE_PERCENT),
        )
    }

    fn with_limits(
        small_bytes_max: usize,
        head_bytes_max: usize,
        request_bytes_max: usize,
        large_bytes_max: usize,
    ) -> Self {
        Self(Arc::new(Shared {
            small_bytes_max,
            head_bytes_max,
            request_bytes_max,
            large_bytes_max,
            held: Mutex::default(),
        }))
    }

    /// Returns the number of bytes that are held now.
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

    /// Counts the body as at least `bytes` long. Returns false if there is no room; the body counts as before
    /// then.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        self.grow(bytes.saturating_sub(self.bytes))
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
