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

use super::backend::RunOutcome;
use super::backend::run_request;
use super::frame::ExchangeId;
use super::frame::Frame;
use super::frame::Head;
use super::frame::LoadNotice;
use super::frame::RequestHead;
use super::frame::ResponseHead;
use super::frame::encode_shared;
use super::frame::header_list;
use super::frame::header_map;
use super::frame_io::FrameReader;
use super::frame_io::FrameSender;
use super::frame_io::frame_queue;
use super::frame_io::write_frames;
use super::node::RelayNode;
use super::supervision::catch_panic;
use super::views::serve_views;
use crate::connection::BodyKind;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::process::events::relay as events;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::TokenCount;

/// Delay after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without received bytes after which a connection is closed. Other nodes close idle
/// connections sooner.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Accepts connections of other nodes until the future is dropped.
pub(super) async fn serve_peers(node: Arc<RelayNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Arc::clone(&node);
                tokio::spawn(async move { serve_connection(node, stream).await });
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
    let (replies, frames) = frame_queue();
    let running = Arc::new(RunningTasks::default());
    tokio::select! {
        reason = read_requests(&node, &running, reader, replies) => {
            events::LINK_LOST.log(format_args!("peer=caller reason=\"{reason}\""));
        }
        result = write_frames(writer, frames, |_| {}) => {
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

async fn read_requests(
    node: &Arc<RelayNode>,
    running: &Arc<RunningTasks>,
    reader: OwnedReadHalf,
    replies: FrameSender,
) -> String {
    let mut frames = FrameReader::new(reader, node.memory.clone(), BodyKind::Request);
    loop {
        match tokio::time::timeout(RECEIVE_TIMEOUT, frames.read()).await {
            Ok(Ok(0)) => return "closed by the other node".to_owned(),
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "silent".to_owned(),
        }
        loop {
            match frames.next_frame() {
                Ok(Some(frame)) => {
                    if let Err(reason) = handle_frame(node, running, &frame, &replies) {
                        return reason;
                    }
                }
                Ok(None) => break,
                Err(error) => return error.to_string(),
            }
        }
    }
}

fn handle_frame(
    node: &Arc<RelayNode>,
    running: &Arc<RunningTasks>,
    frame: &Frame,
    replies: &FrameSender,
) -> Result<(), String> {
    match frame.head().map_err(|error| error.to_string())? {
        Head::Hello { to, .. } if to != node.settings.raw.node => {
            return Err(format!("connection is addressed to node {to}"));
        }
        Head::Hello { .. } => {}
        Head::Request(head) if frame.is_body_dropped => {
            let refusal = Refusal::not_run(RefusalReason::Overloaded);
            let load = LoadNotice::default();
            send_refusal(node, head.exchange, refusal, load, replies);
        }
        Head::Request(head) => start_request(node, running, head, frame.body.clone(), replies),
        Head::Cancel { exchange } => running.cancel(exchange),
        Head::Ping { exchange } => {
            let confirmation = node.confirmation_report();
            send_reply(
                replies,
                &Head::Pong {
                    exchange,
                    confirmation,
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
            let service = Arc::clone(&node.rates.service);
            let replies = replies.clone();
            tokio::spawn(async move {
                let reply = service.handle_request(request).await;
                send_reply(
                    &replies,
                    &Head::TokenReply { exchange, reply },
                    &Bytes::new(),
                );
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
            let reply = serve_views(node, exchange, &known, replies.whole_frames());
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
        | Head::ViewReply { .. }
        | Head::ViewsChanged
        | Head::KnownSuspects { .. } => {}
    }
    Ok(())
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
    let metadata = head.metadata;
    let node = Arc::clone(node);
    let replies = replies.clone();
    let weak_running = Arc::downgrade(running);
    let mut tasks = running.tasks.lock();
    let task = tokio::spawn(async move {
        let running_request = run_request(&node, &metadata, request);
        let outcome = catch_panic("run", running_request).await;
        let outcome = outcome.unwrap_or_else(RunOutcome::unknown);
        if let Some(running) = weak_running.upgrade() {
            running.tasks.lock().remove(&exchange);
        }
        match outcome.result {
            Ok(response) => send_response(&node, exchange, &response, outcome.load, &replies),
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
    replies: &FrameSender,
) {
    let head = Head::Response(ResponseHead {
        exchange,
        status: response.status.as_u16(),
        headers: header_list(&response.headers),
        confirmation: node.confirmation_report(),
        load,
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
    };
    send_reply(replies, &head, &Bytes::new());
}
