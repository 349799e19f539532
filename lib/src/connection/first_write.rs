//! Whether a byte of a request was written, on connections that servers may have closed before.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use rustix::io::Errno;
use rustix::net::RecvFlags;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Whether the first byte of a request is still to be written. Clones share one state.
#[derive(Clone, Debug, Default)]
pub(super) struct FirstWrite(Arc<AtomicBool>);

impl FirstWrite {
    /// Expects the first byte of a request.
    pub(super) fn begin_request(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Returns whether no byte of the request was written.
    pub(super) fn is_awaited(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(1..)) = written {
            self.0.store(false, Ordering::Relaxed);
        }
    }
}

/// A stream that does not take a request if the server has closed it, or has sent something that belongs
/// to no request.
///
/// The runtime learns of that only with its next events, of which a process that stood still has not
/// seen any.
#[derive(Debug)]
pub(super) struct CheckedStream {
    /// The stream.
    pub(super) stream: TcpStream,
    /// The state of the present request.
    pub(super) first_write: FirstWrite,
}

impl CheckedStream {
    fn check(&self) -> io::Result<()> {
        if !self.first_write.is_awaited() {
            return Ok(());
        }
        let mut byte = [0_u8];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match rustix::net::recv(&self.stream, &mut byte[..], flags) {
            Err(Errno::AGAIN | Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
            Ok((0, _)) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => Err(io::Error::other("bytes that belong to no request")),
        }
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.first_write.record(&written);
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
        self.check()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.first_write.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
