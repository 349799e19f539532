//! A connection to another node that multiplexes all exchanges with it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::frame::ExchangeId;
use super::frame::Frame;
use super::frame::FrameError;
use super::frame::Head;
use super::frame::encode_frame;
use super::frame_io::READ_BYTES;
use super::frame_io::write_frames;
use super::link_reply::LinkReply;
use super::link_reply::ReceivedFrame;
use super::link_reply::decode_reply;
use crate::process::events::relay as events;
use crate::values::Clock;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Time without received bytes after which a node with open exchanges is pinged.
const PING_AFTER: Duration = Duration::from_millis(150);
/// Time without received bytes after which new requests go to other nodes. A ping and its reply
/// take a few milliseconds; a node short of CPU time takes a few hundred.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(400);
/// Time without received bytes after which open exchanges count as lost, and the connection too unless
/// an exchange waits longer.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without received bytes after which the connection counts as lost in any case. An instance that
/// stood still for a moment has sent its replies by then.
const SILENCE_MAX: Duration = Duration::from_secs(20);
/// Time since the start of the last exchange after which a connection without open exchanges is
/// closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between liveness checks of a connection.
const LIVENESS_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Maximum bytes queued for one node. A node with more queued bytes has stopped reading.
const QUEUED_BYTES_MAX: usize = 16 * 1_024 * 1_024;

/// Why an exchange has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkFailure {
    /// No byte of the message was sent.
    NotSent,
    /// The message may have arrived.
    Lost,
}

type ReplySender = oneshot::Sender<Result<LinkReply, LinkFailure>>;

/// How long an exchange waits for the reply of a node that has gone silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Patience {
    /// [`RECEIVE_TIMEOUT`], because it can be repeated elsewhere.
    Short,
    /// As long as its caller: it must not be repeated, and the reply may come late.
    Caller,
}

#[derive(Debug)]
struct PendingExchange {
    sender: ReplySender,
    patience: Patience,
}

#[derive(Debug)]
struct LinkState {
    pending: HashMap<ExchangeId, PendingExchange>,
    next_exchange: u64,
    last_received_at: MonotonicTime,
    last_used_at: MonotonicTime,
    queued_bytes: usize,
    is_closed: bool,
}

/// A connection to one node that multiplexes all exchanges with it.
#[derive(Debug)]
pub(super) struct Link {
    peer: NodeId,
    clock: Clock,
    state: Mutex<LinkState>,
    outgoing: mpsc::UnboundedSender<Bytes>,
    /// Notified when the other node tells that the store has changed.
    update_notice: Arc<Notify>,
}

impl Link {
    /// Connects to `peer`, starts the connection's task and waits for the reply to a first ping.
    ///
    /// Another node may use the address by now, and closes the connection when it receives the
    /// `Hello`. Requests are sent only after the ping succeeds, because a request lost with the
    /// connection would count as one that may have run.
    pub(super) async fn open(
        from: NodeId,
        peer: NodeId,
        address: SocketAddr,
        clock: Clock,
        update_notice: Arc<Notify>,
    ) -> std::io::Result<Arc<Self>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let (outgoing, frames) = mpsc::unbounded_channel();
        let now = clock.now();
        let link = Arc::new(Self {
            peer: peer.clone(),
            clock,
            state: Mutex::new(LinkState {
                pending: HashMap::new(),
                next_exchange: 0,
                last_received_at: now,
                last_used_at: now,
                queued_bytes: 0,
                is_closed: false,
            }),
            outgoing,
            update_notice,
        });
        link.queue(&Head::Hello { from, to: peer }, &[])
            .map_err(|_| std::io::Error::other("hello frame was not queued"))?;
        tokio::spawn(run_link(Arc::clone(&link), reader, writer, frames));
        let acknowledged = link.exchange(ping_frame).await;
        acknowledged.map_err(|_| std::io::Error::other("another node may use the address"))?;
        Ok(link)
    }

    /// Queues a frame for writing. Fails if the connection is closed or its queue is full.
    pub(super) fn queue(&self, head: &Head<'_>, body: &[u8]) -> Result<(), LinkFailure> {
        let frame = encode_frame(head, body).map_err(|_| LinkFailure::NotSent)?;
        let mut state = self.state.lock();
        if state.is_closed || state.queued_bytes + frame.len() > QUEUED_BYTES_MAX {
            return Err(LinkFailure::NotSent);
        }
        state.queued_bytes += frame.len();
        drop(state);
        self.outgoing.send(frame).map_err(|_| LinkFailure::NotSent)
    }

    /// Sends the frame that `head` encodes and waits for its reply.
    ///
    /// Dropping the future cancels the exchange at the other node.
    pub(super) async fn exchange(
        self: &Arc<Self>,
        head: impl FnOnce(ExchangeId) -> Result<Bytes, LinkFailure>,
    ) -> Result<LinkReply, LinkFailure> {
        self.exchange_with(Patience::Short, head).await
    }

    /// Does the same, and waits for a node that has gone silent as `patience` says.
    pub(super) async fn exchange_with(
        self: &Arc<Self>,
        patience: Patience,
        head: impl FnOnce(ExchangeId) -> Result<Bytes, LinkFailure>,
    ) -> Result<LinkReply, LinkFailure> {
        let (sender, receiver) = oneshot::channel();
        let exchange = {
            let mut state = self.state.lock();
            if state.is_closed {
                return Err(LinkFailure::NotSent);
            }
            let exchange = ExchangeId(state.next_exchange);
            let frame = head(exchange)?;
            if state.queued_bytes + frame.len() > QUEUED_BYTES_MAX {
                return Err(LinkFailure::NotSent);
            }
            let now = self.clock.now();
            if state.pending.is_empty() {
                state.last_received_at = now;
            }
            state.next_exchange += 1;
            state.last_used_at = now;
            state.queued_bytes += frame.len();
            let pending = PendingExchange { sender, patience };
            state.pending.insert(exchange, pending);
            if self.outgoing.send(frame).is_err() {
                state.pending.remove(&exchange);
                return Err(LinkFailure::NotSent);
            }
            exchange
        };
        let guard = CancelGuard {
            link: self,
            exchange,
        };
        let reply = receiver.await.unwrap_or(Err(LinkFailure::Lost));
        std::mem::forget(guard);
        reply
    }

    fn handle_frame(&self, frame: &Frame) -> Result<(), FrameError> {
        match decode_reply(frame)? {
            ReceivedFrame::Reply { exchange, reply } => {
                let pending = self.state.lock().pending.remove(&exchange);
                if let Some(pending) = pending {
                    // Sending fails if the exchange was cancelled.
                    let _ = pending.sender.send(Ok(reply));
                }
            }
            ReceivedFrame::ViewsChanged => self.update_notice.notify_one(),
            ReceivedFrame::Other => {}
        }
        Ok(())
    }

    fn close(&self) {
        let mut state = self.state.lock();
        state.is_closed = true;
        let pending = std::mem::take(&mut state.pending);
        drop(state);
        for exchange in pending.into_values() {
            // Sending fails if the exchange was cancelled.
            let _ = exchange.sender.send(Err(LinkFailure::Lost));
        }
    }

    /// Gives up the exchanges that do not wait for a silent node, and cancels them there in case it
    /// returns.
    fn give_up_impatient(&self) {
        let given_up: Vec<_> = {
            let mut state = self.state.lock();
            let impatient =
                |_: &ExchangeId, pending: &mut PendingExchange| pending.patience == Patience::Short;
            state.pending.extract_if(impatient).collect()
        };
        for (exchange, pending) in given_up {
            // Sending fails if the exchange was cancelled.
            let _ = pending.sender.send(Err(LinkFailure::Lost));
            // A connection that cannot take the frame is closed later.
            let _ = self.queue(&Head::Cancel { exchange }, &[]);
        }
    }

    /// Returns the node at the other end of the connection.
    pub(super) fn peer(&self) -> &NodeId {
        &self.peer
    }

    /// Returns when bytes were last received, or when the first open exchange began, if later.
    pub(super) fn last_received_at(&self) -> MonotonicTime {
        self.state.lock().last_received_at
    }

    /// Returns whether exchanges are open and the node sent nothing for [`UNRESPONSIVE_AFTER`].
    pub(super) fn is_unresponsive(&self) -> bool {
        let state = self.state.lock();
        let since_received = self.clock.now().since(state.last_received_at);
        !state.pending.is_empty() && since_received > UNRESPONSIVE_AFTER
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state.lock().is_closed
    }

    /// Decides on a ping or a close from the times of the last received bytes and the last use.
    fn check_liveness(&self) -> LivenessAction {
        let now = self.clock.now();
        let state = self.state.lock();
        let since_received = now.since(state.last_received_at);
        let mut pending = state.pending.values();
        let is_awaited = pending.any(|exchange| exchange.patience == Patience::Caller);
        match state.pending.is_empty() {
            true if now.since(state.last_used_at) > IDLE_TIMEOUT => LivenessAction::Close,
            true => LivenessAction::None,
            false if since_received > SILENCE_MAX => LivenessAction::Close,
            false if since_received > RECEIVE_TIMEOUT && is_awaited => LivenessAction::GiveUp,
            false if since_received > RECEIVE_TIMEOUT => LivenessAction::Close,
            false if since_received > PING_AFTER => LivenessAction::Ping,
            false => LivenessAction::None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LivenessAction {
    None,
    Ping,
    /// Give up the exchanges that do not wait longer, and ping.
    GiveUp,
    Close,
}

/// Encodes a ping.
pub(super) fn ping_frame(exchange: ExchangeId) -> Result<Bytes, LinkFailure> {
    encode_frame(&Head::Ping { exchange }, &[]).map_err(|_| LinkFailure::NotSent)
}

/// Cancels an exchange at the other node when it is dropped before the reply.
struct CancelGuard<'a> {
    link: &'a Arc<Link>,
    exchange: ExchangeId,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let pending = self.link.state.lock().pending.remove(&self.exchange);
        if pending.is_some() {
            let exchange = self.exchange;
            // Closing a connection cancels all its exchanges at the other node.
            let _ = self.link.queue(&Head::Cancel { exchange }, &[]);
        }
    }
}

async fn run_link(
    link: Arc<Link>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    frames: mpsc::UnboundedReceiver<Bytes>,
) {
    let on_written = |bytes| {
        let mut state = link.state.lock();
        state.queued_bytes = state.queued_bytes.saturating_sub(bytes);
    };
    let reason = tokio::select! {
        reason = read_frames(&link, reader) => reason,
        result = write_frames(writer, frames, on_written) => match result {
            Ok(()) => "closed by this node".to_owned(),
            Err(error) => error.to_string(),
        },
        reason = monitor_liveness(&link) => reason.to_owned(),
    };
    link.close();
    events::LINK_LOST.log(format_args!("peer={} reason=\"{reason}\"", link.peer));
}

async fn read_frames(link: &Link, mut reader: OwnedReadHalf) -> String {
    let mut received = BytesMut::with_capacity(READ_BYTES);
    loop {
        received.reserve(READ_BYTES);
        match reader.read_buf(&mut received).await {
            Ok(0) => return "closed by the other node".to_owned(),
            Ok(_) => {}
            Err(error) => return error.to_string(),
        }
        link.state.lock().last_received_at = link.clock.now();
        loop {
            match Frame::split_from(&mut received) {
                Ok(Some(frame)) => {
                    if let Err(error) = link.handle_frame(&frame) {
                        return error.to_string();
                    }
                }
                Ok(None) => break,
                Err(error) => return error.to_string(),
            }
        }
    }
}

async fn monitor_liveness(link: &Link) -> &'static str {
    loop {
        tokio::time::sleep(LIVENESS_CHECK_PERIOD).await;
        match link.check_liveness() {
            LivenessAction::None => {}
            LivenessAction::Close => return "silent",
            action @ (LivenessAction::Ping | LivenessAction::GiveUp) => {
                if action == LivenessAction::GiveUp {
                    link.give_up_impatient();
                }
                // Any received byte shows that the node is alive: no exchange waits for this reply.
                let exchange = ExchangeId(u64::MAX);
                if link.queue(&Head::Ping { exchange }, &[]).is_err() {
                    return "the other node does not read";
                }
            }
        }
    }
}
