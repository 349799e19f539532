//! Bounds the bytes that a server may send before the head of its response is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use parking_lot::Mutex;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::MemoryCharge;

/// Bytes that a server may send before the head of its response is complete, with those of its body
/// that arrive together with the head. The HTTP library bounds a single head, but not the number of
/// interim responses before it.
const HEAD_BYTES_MAX: usize = 1_024 * 1_024;

/// Largest buffer for bytes of a server that are not parsed yet, and so the largest head of a response. Each
/// connection to a server may hold as much beside the bodies that count.
pub(super) const READ_BUFFER_BYTES_MAX: usize = 64 * 1_024;

/// The head of a response that is expected on a connection, if any. Clones share one state.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadLimit(Arc<Mutex<Option<ExpectedHead>>>);

#[derive(Debug)]
struct ExpectedHead {
    received_bytes: usize,
    /// What is held of a head that is not complete.
    charge: MemoryCharge,
}

impl HeadLimit {
    /// Expects the head of a response, whose bytes count as `charge`.
    pub(super) fn begin_head(&self, charge: MemoryCharge) {
        *self.0.lock() = Some(ExpectedHead {
            received_bytes: 0,
            charge,
        });
    }

    /// Ends the limit, because the head is complete.
    pub(super) fn end_head(&self) {
        *self.0.lock() = None;
    }

    /// Counts what was received before as the part of a head that is not complete. Fails if there is no room
    /// for it.
    fn charge_received(&self) -> io::Result<()> {
        let mut expected = self.0.lock();
        let Some(head) = expected.as_mut() else {
            return Ok(());
        };
        // Interim responses are not kept.
        let held_bytes = head.received_bytes.min(READ_BUFFER_BYTES_MAX);
        match head.charge.grow_to(held_bytes) {
            true => Ok(()),
            false => Err(io::Error::other("heads of responses hold too much memory")),
        }
    }

    /// Counts received bytes. Returns whether they exceed the limit.
    fn count(&self, bytes: usize) -> bool {
        let mut expected = self.0.lock();
        expected.as_mut().is_some_and(|head| {
            head.received_bytes += bytes;
            head.received_bytes >= HEAD_BYTES_MAX
        })
    }
}

/// A stream whose reads fail beyond its [`HeadLimit`].
#[derive(Debug)]
pub(super) struct HeadLimited<T> {
    /// The stream.
    pub(super) stream: T,
    /// The limit.
    pub(super) limit: HeadLimit,
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadLimited<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // The HTTP library reads on only if the head is not complete.
        self.limit.charge_received()?;
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match read {
            Poll::Ready(Ok(())) if self.limit.count(buffer.filled().len() - filled_before) => {
                Poll::Ready(Err(io::Error::other("no response head in too many bytes")))
            }
            read => read,
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadLimited<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
