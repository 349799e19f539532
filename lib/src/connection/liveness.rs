//! When a connection last received bytes, and whether its other end still acknowledges.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// What is known about the other end of a connection. Clones share one state.
#[derive(Clone, Debug)]
pub(super) struct Liveness(Arc<State>);

#[derive(Debug)]
struct State {
    opened_at: Instant,
    /// Time from `opened_at` until bytes last arrived.
    last_received_us: AtomicU64,
    is_silent: AtomicBool,
    is_reported: AtomicBool,
}

impl Liveness {
    /// Returns the state of a connection that was just opened.
    pub(super) fn new() -> Self {
        Self(Arc::new(State {
            opened_at: Instant::now(),
            last_received_us: AtomicU64::new(0),
            is_silent: AtomicBool::new(false),
            is_reported: AtomicBool::new(false),
        }))
    }

    /// Returns when the connection was opened.
    pub(super) fn opened_at(&self) -> Instant {
        self.0.opened_at
    }

    /// Returns when bytes last arrived, or when the connection was opened.
    pub(super) fn last_received_at(&self) -> Instant {
        let last_received_us = self.0.last_received_us.load(Ordering::Relaxed);
        self.0.opened_at + Duration::from_micros(last_received_us)
    }

    /// Returns whether the kernel gave the connection up because nothing was acknowledged.
    pub(super) fn is_silent(&self) -> bool {
        self.0.is_silent.load(Ordering::Relaxed)
    }

    /// Returns true on the first call.
    pub(super) fn begin_report(&self) -> bool {
        !self.0.is_reported.swap(true, Ordering::Relaxed)
    }

    fn record_received(&self) {
        let last_received_us = self.0.opened_at.elapsed().as_micros() as u64;
        self.0
            .last_received_us
            .store(last_received_us, Ordering::Relaxed);
    }

    fn record_error<T>(&self, result: &Poll<io::Result<T>>) {
        if let Poll::Ready(Err(error)) = result
            && error.kind() == io::ErrorKind::TimedOut
        {
            self.0.is_silent.store(true, Ordering::Relaxed);
        }
    }
}

/// A stream that records its [`Liveness`].
#[derive(Debug)]
pub(super) struct Observed<T> {
    /// The stream.
    pub(super) stream: T,
    /// What is recorded.
    pub(super) liveness: Liveness,
}

impl<T: AsyncRead + Unpin> AsyncRead for Observed<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.liveness.record_error(&read);
        if buffer.filled().len() > filled_before {
            self.liveness.record_received();
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Observed<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.liveness.record_error(&written);
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.liveness.record_error(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
