//! Reads and writes of frames on the connections between nodes.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use parking_lot::Mutex;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

use super::frame::EncodedFrame;
use super::frame::ExchangeId;
use super::frame::Frame;
use super::frame::FrameError;
use super::frame::FrameLengths;
use crate::connection::BodyKind;
use crate::connection::MemoryBudget;
use crate::connection::MemoryCharge;

/// Size up to which queued frames are joined into one write.
const WRITE_BYTES: usize = 64 * 1_024;
/// Buffer space reserved before each read.
pub(super) const READ_BYTES: usize = 16 * 1_024;
/// Buffer space reserved before each read of a large body.
const LARGE_READ_BYTES: usize = 256 * 1_024;

/// Bodies of queued frames that are not part of them, in the order of the frames.
type QueuedBodies = Arc<Mutex<VecDeque<Bytes>>>;

#[derive(Debug)]
struct QueuedFrame {
    frame: Bytes,
    /// The exchange that the frame begins.
    exchange: Option<ExchangeId>,
}

/// Queues frames for one connection.
#[derive(Clone, Debug)]
pub(super) struct FrameSender {
    frames: mpsc::UnboundedSender<QueuedFrame>,
    bodies: QueuedBodies,
}

/// The queued frames of one connection.
#[derive(Debug)]
pub(super) struct FrameQueue {
    frames: mpsc::UnboundedReceiver<QueuedFrame>,
    bodies: QueuedBodies,
}

/// The connection has ended.
#[derive(Debug)]
pub(super) struct QueueClosed;

/// Creates an empty queue.
pub(super) fn frame_queue() -> (FrameSender, FrameQueue) {
    let (sender, frames) = mpsc::unbounded_channel();
    let bodies = QueuedBodies::default();
    let queue = FrameQueue {
        frames,
        bodies: Arc::clone(&bodies),
    };
    let sender = FrameSender {
        frames: sender,
        bodies,
    };
    (sender, queue)
}

impl FrameSender {
    /// Queues a frame. Fails if the connection has ended.
    pub(super) fn send(&self, encoded: EncodedFrame) -> Result<(), QueueClosed> {
        self.send_queued(encoded, None)
    }

    /// Queues the frame that begins an exchange, which may be withdrawn before it is written.
    pub(super) fn send_first(
        &self,
        exchange: ExchangeId,
        encoded: EncodedFrame,
    ) -> Result<(), QueueClosed> {
        self.send_queued(encoded, Some(exchange))
    }

    fn send_queued(
        &self,
        encoded: EncodedFrame,
        exchange: Option<ExchangeId>,
    ) -> Result<(), QueueClosed> {
        let EncodedFrame { frame, body } = encoded;
        let queued = QueuedFrame { frame, exchange };
        if body.is_empty() {
            return self.frames.send(queued).map_err(|_| QueueClosed);
        }
        let mut bodies = self.bodies.lock();
        self.frames.send(queued).map_err(|_| QueueClosed)?;
        bodies.push_back(body);
        Ok(())
    }

    /// Returns whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// Returns whether both queue frames for the same connection.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.frames.same_channel(&other.frames)
    }
}

impl FrameQueue {
    /// Returns the next frame that `begin` lets begin its exchange.
    async fn next(&mut self, begin: &impl Fn(ExchangeId, usize) -> bool) -> Option<EncodedFrame> {
        loop {
            let queued = self.frames.recv().await?;
            if let Some(encoded) = self.begun(queued, begin) {
                return Some(encoded);
            }
        }
    }

    /// Does the same with the frames that are there.
    fn try_next(&mut self, begin: &impl Fn(ExchangeId, usize) -> bool) -> Option<EncodedFrame> {
        loop {
            let queued = self.frames.try_recv().ok()?;
            if let Some(encoded) = self.begun(queued, begin) {
                return Some(encoded);
            }
        }
    }

    fn begun(
        &self,
        queued: QueuedFrame,
        begin: &impl Fn(ExchangeId, usize) -> bool,
    ) -> Option<EncodedFrame> {
        let QueuedFrame { frame, exchange } = queued;
        let is_whole = FrameLengths::read(&frame).is_none_or(|lengths| lengths.are_whole(&frame));
        let body = match is_whole {
            true => Bytes::new(),
            false => self.bodies.lock().pop_front().unwrap_or_default(),
        };
        let encoded = EncodedFrame { frame, body };
        let is_begun = exchange.is_none_or(|exchange| begin(exchange, encoded.total_bytes()));
        is_begun.then_some(encoded)
    }
}

impl Drop for FrameQueue {
    fn drop(&mut self) {
        // Senders may live longer than the connection.
        self.frames.close();
        self.bodies.lock().clear();
    }
}

/// What a write has sent.
#[derive(Clone, Copy, Debug)]
pub(super) enum Written {
    /// Whole frames of this many bytes in all, without large bodies.
    Frames(usize),
    /// This many bytes of a large body. What is queued behind it waits.
    BodyPart(usize),
}

/// Writes queued frames, several in one write, and calls `on_written` after each write.
///
/// Before the first frame of an exchange is written, `begin` is called with the exchange and the length of the frame.
/// The frame is dropped if it returns false.
pub(super) async fn write_frames(
    mut writer: impl AsyncWrite + Unpin,
    mut queue: FrameQueue,
    begin: impl Fn(ExchangeId, usize) -> bool,
    on_written: impl Fn(Written),
) -> std::io::Result<()> {
    let mut next = None;
    loop {
        let first = match next.take() {
            Some(first) => Some(first),
            None => queue.next(&begin).await,
        };
        let Some(mut encoded) = first else {
            return Ok(());
        };
        next = queue.try_next(&begin);
        if next.is_none() && encoded.body.is_empty() {
            writer.write_all(&encoded.frame).await?;
            on_written(Written::Frames(encoded.frame.len()));
            continue;
        }
        let mut joined = BytesMut::new();
        let large_body = loop {
            joined.extend_from_slice(&encoded.frame);
            if encoded.body.len() > WRITE_BYTES {
                break encoded.body;
            }
            joined.extend_from_slice(&encoded.body);
            if joined.len() >= WRITE_BYTES {
                break Bytes::new();
            }
            match next.take().or_else(|| queue.try_next(&begin)) {
                Some(following) => encoded = following,
                None => break Bytes::new(),
            }
        };
        writer.write_all(&joined).await?;
        on_written(Written::Frames(joined.len()));
        drop(joined);
        for part in large_body.chunks(WRITE_BYTES) {
            writer.write_all(part).await?;
            on_written(Written::BodyPart(part.len()));
        }
    }
}

/// Reads frames from a connection.
///
/// A large body counts from the moment when its frame begins. If there is no room for it, its bytes are
/// read and dropped.
pub struct FrameReader<R> {
    reader: R,
    received: BytesMut,
    budget: MemoryBudget,
    kind: BodyKind,
    large: Option<LargeFrame>,
}

/// A frame whose large body is being read.
struct LargeFrame {
    head: Bytes,
    body: Vec<u8>,
    missing_bytes: usize,
    /// `None` if there is no room for the body.
    charge: Option<MemoryCharge>,
}

impl LargeFrame {
    fn take_from(&mut self, received: &mut BytesMut) {
        let part = received.split_to(self.missing_bytes.min(received.len()));
        self.missing_bytes -= part.len();
        if self.charge.is_some() {
            self.body.extend_from_slice(&part);
        }
    }

    fn finish(self) -> Frame {
        match self.charge {
            Some(charge) => Frame::new(self.head, charge.attach(self.body)),
            None => Frame::without_body(self.head),
        }
    }
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `reader`. Large bodies count as `kind` in `budget`.
    pub fn new(reader: R, budget: MemoryBudget, kind: BodyKind) -> Self {
        Self {
            reader,
            received: BytesMut::with_capacity(READ_BYTES),
            budget,
            kind,
            large: None,
        }
    }

    /// Reads more bytes. Returns their number, 0 at the end of the connection.
    pub async fn read(&mut self) -> std::io::Result<usize> {
        self.received.reserve(match &self.large {
            Some(large) => large.missing_bytes.clamp(READ_BYTES, LARGE_READ_BYTES),
            None => READ_BYTES,
        });
        self.reader.read_buf(&mut self.received).await
    }

    /// Returns the next complete frame, or `None` if more bytes are needed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        if self.large.is_none()
            && let Some(lengths) = FrameLengths::read(&self.received)
            && lengths.body_bytes()? > MemoryBudget::SMALL_BYTES
        {
            match lengths.split_head(&mut self.received) {
                Some(head) => self.large = Some(self.begin_large(head, lengths.body_bytes()?)),
                None => return Ok(None),
            }
        }
        let Some(mut large) = self.large.take() else {
            let frame = Frame::split_from(&mut self.received)?;
            return Ok(frame.map(|frame| self.counted(frame)));
        };
        large.take_from(&mut self.received);
        if large.missing_bytes > 0 {
            self.large = Some(large);
            return Ok(None);
        }
        // The buffer may be as large as the reads of the body.
        let rest = std::mem::replace(&mut self.received, BytesMut::with_capacity(READ_BYTES));
        self.received.extend_from_slice(&rest);
        Ok(Some(large.finish()))
    }

    fn counted(&self, frame: Frame) -> Frame {
        let mut charge = self.budget.start(self.kind);
        match charge.grow(frame.head.len() + frame.body.len()) {
            true => Frame {
                body: charge.attach(frame.body),
                ..frame
            },
            false => Frame {
                body: Bytes::new(),
                is_body_dropped: true,
                ..frame
            },
        }
    }

    fn begin_large(&self, head: Bytes, body_bytes: usize) -> LargeFrame {
        let mut charge = self.budget.start(self.kind);
        let has_room = charge.grow(body_bytes);
        LargeFrame {
            head,
            body: match has_room {
                true => Vec::with_capacity(body_bytes),
                false => Vec::new(),
            },
            missing_bytes: body_bytes,
            charge: has_room.then_some(charge),
        }
    }
}
