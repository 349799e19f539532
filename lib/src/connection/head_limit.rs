//! Bounds the bytes that a server may send before the head of its response is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Bytes that a server may send before the head of its response is complete, with those of its body
/// that arrive together with the head. The HTTP library bounds a single head, but not the number of
/// interim responses before it.
const HEAD_BYTES_MAX: usize = 1_024 * 1_024;

/// The bytes that may still arrive on a connection. Clones share one count.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Allows any number of bytes.
    pub(super) fn unlimited() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Expects the head of a response.
    pub(super) fn begin_head(&self) {
        self.0.store(HEAD_BYTES_MAX, Ordering::Relaxed);
    }

    /// Ends the limit, because the head is complete.
    pub(super) fn end_head(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts received bytes. Returns whether they exceed the limit.
    fn count(&self, bytes: usize) -> bool {
        let remaining = self.0.load(Ordering::Relaxed);
        if remaining != usize::MAX {
            self.0
                .store(remaining.saturating_sub(bytes), Ordering::Relaxed);
        }
        bytes >= remaining
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
