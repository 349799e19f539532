//! Serves connections from other nodes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Uri;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::backend::RunOutcome;
use super::backend::run_request;
use super::frame::ExchangeId;
use super::frame::Frame;
use super::frame::Head;
use super::frame::LoadNotice;
use super::frame::RequestHead;
use super::frame::RequestMetadata;
use super::frame::ResponseHead;
use super::frame::encode_shared;
use super::frame::header_list;
use super::frame::header_map;
use super::frame_io::FrameReader;
use super::frame_io::FrameSender;
use super::frame_io::frame_queue;
use super::frame_io::write_frames;
use super::node::RelayNode;
use super::rates::call_store;
use super::supervision::catch_panic;
use super::views::serve_views;
use crate::connection::BodyKind;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::process::events::relay as events;
use crate::process::gate::CallTree;
use crate::process::rates::TokenRequest;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::TokenCount;

/// Delay after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without received bytes after which a connection is closed. Other nodes close idle
/// connections sooner.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without received or written bytes after which a connection that ends is no longer waited for.
/// Other nodes count a connection as lost after the same time.
const CLOSING_SILENCE_MAX: Duration = Duration::from_secs(1);

/// The connections that other nodes opened to this one.
#[derive(Debug, Default)]
pub(super) struct PeerConnections {
    tasks: TaskTracker,
    closing: CancellationToken,
}

impl PeerConnections {
    /// Begins no more exchanges, and waits until the other nodes have read all replies and closed the
    /// connections. New ones are not accepted.
    pub(super) async fn close(&self) {
        self.closing.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Accepts connections of other nodes until they are closed.
pub(super) async fn serve_peers(node: Arc<RelayNode>, listener: TcpListener) {
    let connections = &node.peer_connections;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = connections.closing.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let node = Arc::clone(&node);
                connections
                    .tasks
                    .spawn(async move { serve_connection(node, stream).await });
            }
            Err(error) => {
                events::LINK_NOT_OPENED.log(format_args!("peer=unknown reason=\"{error}\""));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Tasks of the requests of one connection, aborted when it ends.
#[derive(Default)]
struct RunningTasks {
    tasks: Mutex<HashMap<ExchangeId, AbortHandle>>,
}

impl RunningTasks {
    fn cancel(&self, exchange: ExchangeId) {
        if let Some(task) = self.tasks.lock().remove(&exchange) {
            task.abort();
        }
    }
}

impl Drop for RunningTasks {
    fn drop(&mut self) {
        for task in self.tasks.get_mut().values() {
            task.abort();
        }
    }
}

async fn serve_connection(node: Arc<RelayNode>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        events::LINK_LOST.log(format_args!("peer=unknown reason=\"{error}\""));
        return;
    }
    let (reader, writer) = stream.into_split();
    let (replies, queue) = frame_queue();
    let running = Arc::new(RunningTasks::default());
    let mut connection = PeerConnection {
        node: &node,
        running: &running,
        frames: FrameReader::new(reader, node.memory.clone(), BodyKind::Request),
        replies,
        first_not_begun: ExchangeId(0),
    };
    let last_written_at = Mutex::new(Instant::now());
    let on_written = |_| *last_written_at.lock() = Instant::now();
    let reading = async {
        let served = {
            let serving = connection.serve();
            node.peer_connections
                .closing
                .run_until_cancelled(serving)
                .await
        };
        match served {
            Some(reason) => reason,
            None => connection.close(&last_written_at).await,
        }
    };
    tokio::select! {
        reason = reading => {
            events::LINK_LOST.log(format_args!("peer=caller reason=\"{reason}\""));
        }
        result = write_frames(writer, queue, |_, _| true, on_written) => {
            if let Err(error) = result {
                events::LINK_LOST.log(format_args!("peer=caller reason=\"{error}\""));
            }
        }
    }
    let tasks = std::mem::take(&mut *running.tasks.lock());
    for task in tasks.into_values() {
        task.abort();
    }
}

/// The reading side of a connection that another node opened.
struct PeerConnection<'a> {
    node: &'a Arc<RelayNode>,
    running: &'a Arc<RunningTasks>,
    frames: FrameReader<OwnedReadHalf>,
    replies: FrameSender,
    /// The number after that of the last exchange that began and whose reply may come later.
    first_not_begun: ExchangeId,
}

impl PeerConnection<'_> {
    /// Handles frames until the connection ends, and returns why it did. A frame is handled as a whole
    /// or not at all if the future is dropped.
    async fn serve(&mut self) -> String {
        loop {
            match tokio::time::timeout(RECEIVE_TIMEOUT, self.frames.read()).await {
                Ok(Ok(0)) => return "closed by the other node".to_owned(),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return error.to_string(),
                Err(_) => return "silent".to_owned(),
            }
            loop {
                let handled = match self.frames.next_frame() {
                    Ok(Some(frame)) => self.handle(&frame),
                    Ok(None) => break,
                    Err(error) => Err(error.to_string()),
                };
                if let Err(reason) = handled {
                    return reason;
                }
            }
        }
    }

    fn handle(&mut self, frame: &Frame) -> Result<(), String> {
        let head = frame.head().map_err(|error| error.to_string())?;
        if let Head::Request(RequestHead { exchange, .. })
        | Head::TokenRequest { exchange, .. }
        | Head::TokenRequestWithReturns { exchange, .. }
        | Head::RateRecordRequest { exchange, .. } = &head
        {
            self.first_not_begun = ExchangeId(exchange.0.saturating_add(1));
        }
        handle_frame(self.node, self.running, head, frame, &self.replies)
    }

    /// Says that no more exchanges begin, and reads until the other node closes the connection: bytes that
    /// are unread when a socket closes would reset it, and lose replies. Returns why the connection ended.
    async fn close(&mut self, last_written_at: &Mutex<Instant>) -> String {
        let first_not_begun = self.first_not_begun;
        let head = Head::Closing { first_not_begun };
        send_reply(&self.replies, &head, &Bytes::new());
        let mut last_read_at = Instant::now();
        loop {
            let heard_at = last_read_at.max(*last_written_at.lock());
            let silent_at = heard_at + CLOSING_SILENCE_MAX;
            match tokio::time::timeout_at(silent_at, self.frames.read()).await {
                Ok(Ok(0)) => return "closed by both nodes".to_owned(),
                Ok(Ok(_)) => last_read_at = Instant::now(),
                Ok(Err(error)) => return error.to_string(),
                Err(_) if *last_written_at.lock() > heard_at => {}
                Err(_) => return "silent".to_owned(),
            }
            loop {
                let frame = match self.frames.next_frame() {
                    Ok(Some(frame)) => frame,
                    Ok(None) => break,
                    Err(error) => return error.to_string(),
                };
                if let Ok(Head::Cancel { exchange }) = frame.head() {
                    self.running.cancel(exchange);
                }
            }
        }
    }
}

fn handle_frame(
    node: &Arc<RelayNode>,
    running: &Arc<RunningTasks>,
    head: Head<'_>,
    frame: &Frame,
    replies: &FrameSender,
) -> Result<(), String> {
    match head {
        Head::Hello { to, .. } if to != node.settings.raw.node => {
            return Err(format!("connection is addressed to node {to}"));
        }
        Head::Hello { .. } => {}
        Head::Request(head) if frame.is_body_dropped => {
            let refusal = Refusal::not_run(RefusalReason::Overloaded);
            let load = LoadNotice::default();
            send_refusal(node, head.exchange, refusal, load, replies);
        }
        Head::Request(mut head) => {
            node.learn_loads(std::mem::take(&mut head.loads));
            start_request(node, running, head, frame.body.clone(), replies);
        }
        Head::Cancel { exchange } => running.cancel(exchange),
        Head::Ping { exchange } => {
            let confirmation = node.confirmation_report();
            send_reply(
                replies,
                &Head::Pong {
                    exchange,
                    confirmation,
                    loads: node.known_loads(),
                },
                &Bytes::new(),
            );
        }
        // A node of an earlier version keeps a share of its own. Tokens are granted by holders only.
        Head::Borrow { exchange, .. } => {
            let tokens = TokenCount(0);
            send_reply(replies, &Head::Lent { exchange, tokens }, &Bytes::new());
        }
        Head::TokenRequest { exchange, request } => {
            grant_tokens(node, exchange, request, replies);
        }
        Head::TokenRequestWithReturns {
            exchange,
            request,
            returns,
        } => {
            let request = TokenRequest {
                returns: Some(returns),
                ..request
            };
            grant_tokens(node, exchange, request, replies);
        }
        Head::RateRecordRequest {
            exchange,
            zone,
            call,
        } => {
            let call = call_store(node, zone, call);
            let replies = replies.clone();
            tokio::spawn(async move {
                let outcome = call.await;
                let head = Head::RateRecordReply { exchange, outcome };
                send_reply(&replies, &head, &Bytes::new());
            });
        }
        Head::TokenReport { report } => node.rates.service.apply_report(&report),
        Head::RateStatusRequest { exchange } => {
            let status = node.rates.service.peer_status();
            send_reply(
                replies,
                &Head::RateStatus { exchange, status },
                &Bytes::new(),
            );
        }
        Head::RateHolderReleased => {
            let service = &node.rates.service;
            service.with_lease(|lease, now| lease.release_received(now));
        }
        Head::SuspectUpdates { exchange, entries } => {
            let entries = node.merge_suspects(&entries);
            send_reply(
                replies,
                &Head::KnownSuspects { exchange, entries },
                &Bytes::new(),
            );
        }
        Head::ViewRequest { exchange, known } => {
            let reply = serve_views(node, exchange, &known, replies);
            send_reply(replies, &reply, &Bytes::new());
        }
        Head::SuspectsRequest { exchange } => {
            let entries = node.suspects.entries();
            send_reply(
                replies,
                &Head::KnownSuspects { exchange, entries },
                &Bytes::new(),
            );
        }
        Head::Response(_)
        | Head::Refused { .. }
        | Head::Pong { .. }
        | Head::Lent { .. }
        | Head::TokenReply { .. }
        | Head::RateStatus { .. }
        | Head::RateRecordReply { .. }
        | Head::ViewReply { .. }
        | Head::ViewsChanged
        | Head::KnownSuspects { .. }
        | Head::Closing { .. } => {}
    }
    Ok(())
}

fn grant_tokens(
    node: &RelayNode,
    exchange: ExchangeId,
    request: TokenRequest,
    replies: &FrameSender,
) {
    let service = Arc::clone(&node.rates.service);
    let replies = replies.clone();
    tokio::spawn(async move {
        let reply = service.handle_request(request).await;
        let head = Head::TokenReply { exchange, reply };
        send_reply(&replies, &head, &Bytes::new());
    });
}

fn send_reply(replies: &FrameSender, head: &Head<'_>, body: &Bytes) {
    match encode_shared(head, body) {
        // Sending fails if the connection has ended.
        Ok(frame) => drop(replies.send(frame)),
        Err(error) => events::LINK_LOST.log(format_args!("peer=caller reason=\"{error}\"")),
    }
}

fn start_request(
    node: &Arc<RelayNode>,
    running: &Arc<RunningTasks>,
    head: RequestHead<'_>,
    body: Bytes,
    replies: &FrameSender,
) {
    let exchange = head.exchange;
    let Some(request) = buffered_request(&head, body) else {
        let refusal = Refusal::not_run(RefusalReason::BadRequest);
        send_refusal(node, exchange, refusal, LoadNotice::default(), replies);
        return;
    };
    let metadata = RequestMetadata {
        spent: head.spent,
        ..head.metadata
    };
    let node = Arc::clone(node);
    let replies = replies.clone();
    let weak_running = Arc::downgrade(running);
    let mut tasks = running.tasks.lock();
    let task = tokio::spawn(async move {
        let running_request = run_request(&node, &metadata, request, None);
        let outcome = catch_panic("run", running_request).await;
        let outcome = outcome.unwrap_or_else(RunOutcome::unknown);
        if let Some(running) = weak_running.upgrade() {
            running.tasks.lock().remove(&exchange);
        }
        match outcome.result {
            Ok(response) => {
                let (load, calls) = (outcome.load, outcome.calls);
                send_response(&node, exchange, &response, load, calls, &replies);
            }
            Err(refusal) => send_refusal(&node, exchange, refusal, outcome.load, &replies),
        }
    });
    tasks.insert(exchange, task.abort_handle());
}

fn buffered_request(head: &RequestHead<'_>, body: Bytes) -> Option<BufferedRequest> {
    Some(BufferedRequest {
        method: Method::from_bytes(head.method.as_bytes()).ok()?,
        uri: Uri::try_from(head.uri).ok()?,
        headers: header_map(&head.headers)?,
        body,
    })
}

fn send_response(
    node: &RelayNode,
    exchange: ExchangeId,
    response: &BufferedResponse,
    load: LoadNotice,
    calls: CallTree,
    replies: &FrameSender,
) {
    let head = Head::Response(ResponseHead {
        exchange,
        status: response.status.as_u16(),
        headers: header_list(&response.headers),
        confirmation: node.confirmation_report(),
        load,
        loads: node.known_loads(),
        calls,
    });
    send_reply(replies, &head, &response.body);
}

fn send_refusal(
    node: &RelayNode,
    exchange: ExchangeId,
    refusal: Refusal,
    load: LoadNotice,
    replies: &FrameSender,
) {
    let head = Head::Refused {
        exchange,
        refusal,
        confirmation: node.confirmation_report(),
        load,
        loads: node.known_loads(),
    };
    send_reply(replies, &head, &Bytes::new());
}
