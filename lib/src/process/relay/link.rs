//! A connection to another node that multiplexes all exchanges with it.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio_util::task::AbortOnDropHandle;

use super::frame::EncodedFrame;
use super::frame::ExchangeId;
use super::frame::Frame;
use super::frame::FrameError;
use super::frame::Head;
use super::frame::encode_frame;
use super::frame_io::FrameQueue;
use super::frame_io::FrameReader;
use super::frame_io::FrameSender;
use super::frame_io::Written;
use super::frame_io::frame_queue;
use super::frame_io::write_frames;
use super::link_reply::LinkReply;
use super::link_reply::decode_reply;
use super::liveness::LIVENESS_CHECK_PERIOD;
use super::liveness::Liveness;
use super::liveness::LivenessAction;
use super::liveness::OpenExchanges;
use crate::connection::BodyKind;
use crate::connection::MemoryBudget;
use crate::process::events::relay as events;
use crate::values::Clock;
use crate::values::MonotonicTime;
use crate::values::NodeId;

/// Maximum bytes queued for one node. A node with more queued bytes has stopped reading.
const QUEUED_BYTES_MAX: usize = 16 * 1_024 * 1_024;
/// Longest body of a request that can be sent to another node. The rest is for the head.
pub(super) const SENT_BODY_BYTES_MAX: usize = QUEUED_BYTES_MAX - 256 * 1_024;

/// Why an exchange has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkFailure {
    /// The other node has not begun the exchange: no byte of the message was sent, or the node said so.
    NotSent,
    /// The message may have arrived.
    Lost,
}

type ReplySender = oneshot::Sender<Result<LinkReply, LinkFailure>>;

/// How long an exchange waits for the reply of a node that has gone silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Patience {
    /// Until the connection counts as silent, because it can be repeated elsewhere.
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
    /// The exchange after the last one that has begun to be written. Exchanges are queued in order.
    first_unwritten: ExchangeId,
    liveness: Liveness,
    queued_bytes: usize,
    is_closed: bool,
}

impl LinkState {
    fn open_exchanges(&self) -> OpenExchanges {
        let mut pending = self.pending.values();
        match self.pending.is_empty() {
            true => OpenExchanges::None,
            false if pending.any(|exchange| exchange.patience == Patience::Caller) => {
                OpenExchanges::Awaited
            }
            false => OpenExchanges::Repeatable,
        }
    }
}

/// Opens another connection beside one that is silent. Called again while the silence lasts.
pub(super) type OpenBeside = Box<dyn Fn(&Arc<Link>) + Send + Sync>;

/// A connection to one node that multiplexes all exchanges with it.
pub(super) struct Link {
    peer: NodeId,
    clock: Clock,
    state: Mutex<LinkState>,
    outgoing: FrameSender,
    /// Notified when the other node tells that the store has changed.
    update_notice: Arc<Notify>,
    open_beside: OpenBeside,
    /// Bounds the memory of responses.
    budget: MemoryBudget,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("peer", &self.peer)
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
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
        open_beside: OpenBeside,
        budget: MemoryBudget,
    ) -> std::io::Result<Arc<Self>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let (outgoing, frames) = frame_queue();
        let now = clock.now();
        let link = Arc::new(Self {
            peer: peer.clone(),
            clock,
            state: Mutex::new(LinkState {
                pending: HashMap::new(),
                next_exchange: 0,
                first_unwritten: ExchangeId(0),
                liveness: Liveness::new(now),
                queued_bytes: 0,
                is_closed: false,
            }),
            outgoing,
            update_notice,
            open_beside,
            budget,
        });
        link.queue(&Head::Hello { from, to: peer }, &[])
            .map_err(|_| std::io::Error::other("hello frame was not queued"))?;
        let running = run_link(Arc::clone(&link), reader, writer, frames);
        // Closes the connection unless the ping succeeds.
        let running = AbortOnDropHandle::new(tokio::spawn(running));
        let acknowledged = link.exchange(ping_frame).await;
        acknowledged.map_err(|_| std::io::Error::other("another node may use the address"))?;
        running.detach();
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
        let sent = self.outgoing.send(EncodedFrame::from(frame));
        sent.map_err(|_| LinkFailure::NotSent)
    }

    /// Sends the frame that `head` encodes and waits for its reply.
    ///
    /// Dropping the future cancels the exchange at the other node.
    pub(super) async fn exchange<F: Into<EncodedFrame>>(
        self: &Arc<Self>,
        head: impl FnOnce(ExchangeId) -> Result<F, LinkFailure>,
    ) -> Result<LinkReply, LinkFailure> {
        self.exchange_with(Patience::Short, head).await
    }

    /// Does the same, and waits for a node that has gone silent as `patience` says.
    pub(super) async fn exchange_with<F: Into<EncodedFrame>>(
        self: &Arc<Self>,
        patience: Patience,
        head: impl FnOnce(ExchangeId) -> Result<F, LinkFailure>,
    ) -> Result<LinkReply, LinkFailure> {
        let (sender, receiver) = oneshot::channel();
        let exchange = {
            let mut state = self.state.lock();
            if state.is_closed || state.liveness.is_retired() {
                return Err(LinkFailure::NotSent);
            }
            let exchange = ExchangeId(state.next_exchange);
            let frame: EncodedFrame = head(exchange)?.into();
            if state.queued_bytes + frame.total_bytes() > QUEUED_BYTES_MAX {
                return Err(LinkFailure::NotSent);
            }
            state.next_exchange += 1;
            state.liveness.begin_exchange(self.clock.now());
            state.queued_bytes += frame.total_bytes();
            let pending = PendingExchange { sender, patience };
            state.pending.insert(exchange, pending);
            if self.outgoing.send_first(exchange, frame).is_err() {
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

    /// Returns whether an exchange is still waited for, and may be written.
    fn begin_writing(&self, exchange: ExchangeId, frame_bytes: usize) -> bool {
        let mut state = self.state.lock();
        state.first_unwritten = ExchangeId(exchange.0 + 1);
        let is_pending = state.pending.contains_key(&exchange);
        if !is_pending {
            state.queued_bytes = state.queued_bytes.saturating_sub(frame_bytes);
        }
        is_pending
    }

    /// Gives up an exchange. Its frame is not written any more, or else the other node is told.
    fn cancel(&self, exchange: ExchangeId) {
        let mut state = self.state.lock();
        let was_pending = state.pending.remove(&exchange).is_some();
        let is_written = exchange < state.first_unwritten;
        drop(state);
        if was_pending && is_written {
            // Closing a connection cancels all its exchanges at the other node.
            let _ = self.queue(&Head::Cancel { exchange }, &[]);
        }
    }

    fn handle_frame(&self, frame: &Frame) -> Result<(), FrameError> {
        let head = frame.head()?;
        if matches!(head, Head::ViewsChanged) {
            self.update_notice.notify_one();
            return Ok(());
        }
        if let Head::Closing { first_not_begun } = head {
            self.end_from(first_not_begun);
            return Ok(());
        }
        if let Some((exchange, reply)) = decode_reply(head, frame) {
            let pending = self.state.lock().pending.remove(&exchange);
            if let Some(pending) = pending {
                // Sending fails if the exchange was cancelled.
                let _ = pending.sender.send(Ok(reply));
            }
        }
        Ok(())
    }

    /// Starts no more exchanges, and fails the open ones that the other node has not begun.
    fn end_from(&self, first_not_begun: ExchangeId) {
        let not_begun: Vec<_> = {
            let mut state = self.state.lock();
            state.liveness.retire();
            let is_not_begun =
                |exchange: &ExchangeId, _: &mut PendingExchange| *exchange >= first_not_begun;
            state.pending.extract_if(is_not_begun).collect()
        };
        for (_, pending) in not_begun {
            // Sending fails if the exchange was cancelled.
            let _ = pending.sender.send(Err(LinkFailure::NotSent));
        }
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

    /// Returns when bytes were last received.
    pub(super) fn last_received_at(&self) -> MonotonicTime {
        self.state.lock().liveness.last_received_at()
    }

    /// Returns whether new exchanges should go elsewhere, and not wait for this open connection.
    pub(super) fn is_unresponsive(&self) -> bool {
        let state = self.state.lock();
        let is_responsive =
            !state.liveness.is_retired() && !state.liveness.is_unresponsive(self.clock.now());
        !state.is_closed && !is_responsive
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state.lock().is_closed
    }

    /// Starts no more exchanges, and closes when the open ones have ended.
    pub(super) fn retire(&self) {
        self.state.lock().liveness.retire();
    }

    /// Logs that a new connection takes the place of this one.
    pub(super) fn log_replaced(&self) {
        let state = self.state.lock();
        let silence = state.liveness.silence(self.clock.now());
        let open = state.pending.len();
        drop(state);
        events::LINK_REPLACED.log(format_args!(
            "peer={} silent_ms={} open_exchanges={open}",
            self.peer,
            silence.as_millis()
        ));
    }

    /// Returns whether nothing is owed and nothing arrived for `time`.
    pub(super) fn is_quiet(&self, now: MonotonicTime, time: Duration) -> bool {
        self.state.lock().liveness.is_quiet(now, time)
    }

    /// Asks the node for a sign of life.
    pub(super) fn probe(&self) -> Result<(), LinkFailure> {
        self.state.lock().liveness.expect_reply(self.clock.now());
        // Any received byte shows that the node is alive: no exchange waits for this reply.
        let exchange = ExchangeId(u64::MAX);
        self.queue(&Head::Ping { exchange }, &[])
    }

    fn check_liveness(&self) -> LivenessAction {
        let mut state = self.state.lock();
        let open = state.open_exchanges();
        state.liveness.check(self.clock.now(), open)
    }
}

/// Encodes a ping.
pub(super) fn ping_frame(exchange: ExchangeId) -> Result<EncodedFrame, LinkFailure> {
    let frame = encode_frame(&Head::Ping { exchange }, &[]);
    frame
        .map(EncodedFrame::from)
        .map_err(|_| LinkFailure::NotSent)
}

/// Cancels an exchange at the other node when it is dropped before the reply.
struct CancelGuard<'a> {
    link: &'a Arc<Link>,
    exchange: ExchangeId,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.link.cancel(self.exchange);
    }
}

async fn run_link(
    link: Arc<Link>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    frames: FrameQueue,
) {
    let begin = |exchange, frame_bytes| link.begin_writing(exchange, frame_bytes);
    let on_written = |written| {
        let mut state = link.state.lock();
        let (Written::Frames(bytes) | Written::BodyPart(bytes)) = written;
        state.queued_bytes = state.queued_bytes.saturating_sub(bytes);
        if matches!(written, Written::BodyPart(_)) {
            state.liveness.send_part(link.clock.now());
        }
    };
    let reason = tokio::select! {
        reason = read_frames(&link, reader) => reason,
        result = write_frames(writer, frames, begin, on_written) => match result {
            Ok(()) => "closed by this node".to_owned(),
            Err(error) => error.to_string(),
        },
        reason = monitor_liveness(&link) => reason.to_owned(),
    };
    link.close();
    events::LINK_LOST.log(format_args!("peer={} reason=\"{reason}\"", link.peer));
}

async fn read_frames(link: &Link, reader: OwnedReadHalf) -> String {
    let mut frames = FrameReader::new(reader, link.budget.clone(), BodyKind::Response);
    loop {
        match frames.read().await {
            Ok(0) => return "closed by the other node".to_owned(),
            Ok(_) => {}
            Err(error) => return error.to_string(),
        }
        loop {
            match frames.next_frame() {
                Ok(Some(frame)) => {
                    if let Err(error) = link.handle_frame(&frame) {
                        return error.to_string();
                    }
                }
                Ok(None) => break,
                Err(error) => return error.to_string(),
            }
        }
        let mut state = link.state.lock();
        let is_awaiting = !state.pending.is_empty();
        state.liveness.receive(link.clock.now(), is_awaiting);
        if state.liveness.is_retired() && !is_awaiting {
            return "closed by this node after its last exchange".to_owned();
        }
    }
}

async fn monitor_liveness(link: &Arc<Link>) -> &'static str {
    let mut was_silent = false;
    loop {
        tokio::time::sleep(LIVENESS_CHECK_PERIOD).await;
        let action = link.check_liveness();
        let is_silent = action >= LivenessAction::OpenBeside;
        if is_silent && !was_silent {
            let open = link.state.lock().open_exchanges();
            events::LINK_SILENT.log(format_args!("peer={} open_exchanges={open:?}", link.peer));
        }
        was_silent = is_silent;
        match action {
            LivenessAction::Keep => continue,
            LivenessAction::Close => return "silent",
            LivenessAction::GiveUp => link.give_up_impatient(),
            LivenessAction::Ping | LivenessAction::OpenBeside => {}
        }
        if is_silent {
            (link.open_beside)(link);
        }
        if link.probe().is_err() {
            return "the other node does not read";
        }
    }
}
