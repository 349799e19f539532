//! Clients that close their connection, and bytes that have arrived when a connection is to be closed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use rustix::net::RecvFlags;
use rustix::net::Shutdown;
use rustix::net::recv;
use rustix::net::shutdown;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::MemoryCharge;
use super::activity::Activity;
use super::presence::ClientPresence;

/// Time between two checks while unread bytes hide whether the client has closed the connection.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time in which a response that is ready when its client closes is still written.
const WRITE_TIME: Duration = Duration::from_millis(50);
/// Longest time for which a closed connection waits until its client has closed it, too.
const LINGER_MAX: Duration = Duration::from_secs(1);
/// The same for a client that reads slowly. The kernel may hold several megabytes for it.
const SLOW_LINGER_MAX: Duration = Duration::from_secs(10);
/// Size of the reads of received bytes.
const READ_BYTES: usize = 1_024;
/// Length of the HTTP library's first read buffer. It is part of what each connection takes.
const LEAST_BUFFER_BYTES: usize = 8 * 1_024;

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseCause {
    /// Its last response told the client so.
    LastResponse,
    /// No request was on it for some time.
    Unused,
    /// The head of a request took too long.
    LateHead,
    /// The client closed it.
    ClientLeft,
    /// The client disconnected or sent invalid input.
    Failed,
    /// It waited for its client while there was no room for others.
    GivenUp,
}

impl CloseCause {
    /// Returns the name in log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::LastResponse => "last-response",
            Self::Unused => "unused",
            Self::LateHead => "late-head",
            Self::ClientLeft => "client-left",
            Self::Failed => "failed",
            Self::GivenUp => "given-up",
        }
    }
}

/// A stream that can be watched for its end while another task reads it.
#[derive(Clone, Debug)]
pub(super) struct SharedStream(Arc<StreamState>);

/// The socket of a connection.
#[derive(Debug)]
pub(super) struct StreamState {
    /// The socket.
    pub(super) stream: TcpStream,
    /// Whether a write has waited for the client to read.
    is_read_slowly: AtomicBool,
}

impl SharedStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(StreamState {
            stream,
            is_read_slowly: AtomicBool::new(false),
        }))
    }

    /// Returns what tells whether the client is still connected.
    pub(super) fn presence(&self) -> ClientPresence {
        ClientPresence::new(Arc::downgrade(&self.0))
    }

    /// Returns after the client has closed its side of the connection, also while bytes that it sent
    /// before are unread. HTTP servers see the end only when they read up to it, and they do not read
    /// on while a request runs and a further one is buffered.
    pub(super) async fn closed_by_client(&self) {
        loop {
            match self.0.stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => tokio::time::sleep(CHECK_PERIOD).await,
                Ok(_) | Err(_) => break,
            }
        }
        tokio::time::sleep(WRITE_TIME).await;
    }

    /// Returns some time after [`SharedStream::closed_by_client`], in which the client is told that its
    /// request was given up.
    pub(super) async fn abandoned_by_client(&self) {
        self.closed_by_client().await;
        tokio::time::sleep(WRITE_TIME).await;
    }

    fn poll_write_vectored(
        &self,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0.stream;
        loop {
            if stream.poll_write_ready(context)?.is_pending() {
                self.0.is_read_slowly.store(true, Ordering::Relaxed);
                return Poll::Pending;
            }
            match stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Returns `received` with bytes that have arrived since. Not all of them are read if there are many.
    pub(super) fn append_arrived(&self, received: Bytes) -> Bytes {
        let mut part = [0; READ_BYTES];
        // The runtime may not have learned yet that the stream can be read.
        match recv(&self.0.stream, &mut part, RecvFlags::DONTWAIT) {
            Ok((_, bytes @ 1..)) => [&received, &part[..bytes]].concat().into(),
            Ok(_) | Err(_) => received,
        }
    }

    /// Closes the connection. Returns the number of bytes that arrived and were discarded.
    ///
    /// The kernel resets a connection that is closed while received bytes are unread, and the client
    /// may lose the end of the last response. So behind a response this side is closed first, and bytes
    /// are read until the client has closed its side.
    pub(super) async fn close(self, cause: CloseCause) -> usize {
        let stream = &self.0.stream;
        let mut discarded_bytes = 0;
        // It fails if the connection has failed.
        let _ = shutdown(stream, Shutdown::Write);
        let discarding = async {
            let mut part = [0; READ_BYTES];
            while stream.readable().await.is_ok() {
                match stream.try_read(&mut part) {
                    Ok(bytes @ 1..) => discarded_bytes += bytes,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Ok(_) | Err(_) => return,
                }
            }
        };
        let is_read_slowly = self.0.is_read_slowly.load(Ordering::Relaxed);
        let linger_max = match cause {
            CloseCause::LastResponse if is_read_slowly => SLOW_LINGER_MAX,
            CloseCause::LastResponse | CloseCause::Failed => LINGER_MAX,
            CloseCause::Unused
            | CloseCause::LateHead
            | CloseCause::ClientLeft
            | CloseCause::GivenUp => Duration::ZERO,
        };
        let _ = tokio::time::timeout(linger_max, discarding).await;
        discarded_bytes
    }
}

/// A stream on which some bytes were received already.
#[derive(Debug)]
pub(super) struct ResumedStream {
    /// The bytes that are read first.
    pub(super) received: Bytes,
    /// The stream.
    pub(super) stream: SharedStream,
    /// Records reads and writes.
    pub(super) activity: Arc<Activity>,
    /// What the read buffer takes beyond the least one.
    pub(super) received_charge: MemoryCharge,
}

impl ResumedStream {
    /// Returns how many bytes may be read into a buffer with room for `room_bytes`. Fails if there is no memory for a
    /// head that is not complete.
    fn readable_bytes(&mut self, room_bytes: usize) -> io::Result<usize> {
        let head_bytes = self.activity.head_bytes();
        let buffer_bytes = head_bytes.unwrap_or_default() + room_bytes;
        match buffer_bytes <= LEAST_BUFFER_BYTES || self.received_charge.grow_to(buffer_bytes) {
            true => Ok(room_bytes),
            false if head_bytes.is_some_and(|bytes| bytes > 0) => {
                Err(io::Error::other("heads of requests hold too much memory"))
            }
            // The HTTP library takes a longer buffer after a read that fills this one.
            false => Ok(room_bytes.min(LEAST_BUFFER_BYTES - 1)),
        }
    }
}

impl AsyncRead for ResumedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.received.is_empty() {
            let bytes = self.received.len().min(buffer.remaining());
            buffer.put_slice(&self.received[..bytes]);
            self.received.advance(bytes);
            self.activity.record_read(bytes);
            return Poll::Ready(Ok(()));
        }
        ready!(self.stream.0.stream.poll_read_ready(context))?;
        let readable_bytes = self.readable_bytes(buffer.remaining())?;
        let stream = &self.stream.0.stream;
        loop {
            ready!(stream.poll_read_ready(context))?;
            let read = match readable_bytes == buffer.remaining() {
                true => stream.try_read_buf(buffer),
                false => {
                    let read = stream.try_read(buffer.initialize_unfilled_to(readable_bytes));
                    read.inspect(|bytes| buffer.advance(*bytes))
                }
            };
            match read {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|bytes| self.activity.record_read(bytes))),
            }
        }
    }
}

impl AsyncWrite for ResumedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream.poll_write_vectored(context, slices);
        self.activity.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&self.stream.0.stream, Shutdown::Write).map_err(io::Error::from))
    }
}
