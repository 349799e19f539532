//! Serves HTTP/1.1 on one address.
//!
//! Handlers use the types of `volo-http`. Connections are accepted and served with `hyper`, since
//! the server of `volo-http` stops on signals that it handles itself, closes connections a fixed
//! time later and does not limit the time that a client may take for its headers (see
//! `docs/design/http-server.md`).

use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::Version;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::BodyKind;
use super::MemoryBudget;
use super::activity::Activity;
use super::closing::CloseCause;
use super::closing::ResumedStream;
use super::closing::SharedStream;
use super::crowding::OpenConnections;
use super::headers::has_connection_option;
use crate::process::events::process as events;

/// Delay after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without room for a connection after which another one is given up.
const FULL_WAIT: Duration = Duration::from_millis(5);
/// Time without a new connection after which a stopping listener closes its socket. Connections that
/// the kernel has accepted would be reset with it.
const STOP_ACCEPT_WAIT: Duration = Duration::from_millis(10);
/// Time without a request after which a stopping listener closes a connection. Requests may be on their way.
const STOP_READ_WAIT: Duration = Duration::from_millis(200);

plain_value! {
    /// Bounds on the connections that a listener accepts.
    pub struct ListenerLimits {
        /// Maximum number of connections at the same time; for further ones, those that wait for their clients are closed.
        pub connections_max: u32,
        /// Maximum time that a client may take for the headers of a request.
        pub header_timeout_ms: u64,
        /// A connection without a request for this time after a response is closed.
        pub idle_timeout_ms: u64,
        /// Maximum number of bytes in the headers of a request.
        pub header_bytes_max: usize,
    }
}

/// What bounds the connections of a listener.
#[derive(Clone, Debug)]
struct Bounds {
    limits: ListenerLimits,
    memory: MemoryBudget,
}

/// Listening on an address failed.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}"))]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// A bound address that does not accept connections yet.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    socket: TcpListener,
}

impl Listener {
    /// Binds `address`; port 0 selects any free port.
    pub async fn bind(address: SocketAddr) -> Result<Self, ListenError> {
        let socket = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = socket.local_addr().context(ListenSnafu { address })?;
        Ok(Self { address, socket })
    }

    /// Returns the bound address with its actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Handles each request with `handler` until [`ListenerHandle::stop`] is called.
    pub fn serve<H, F>(self, limits: ListenerLimits, handler: H) -> ListenerHandle
    where
        H: Fn(Request) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        self.serve_within(limits, MemoryBudget::new(0), handler)
    }

    /// Does the same. What the clients sent and is not parsed counts in `memory`; without room, long heads end their
    /// connections and bodies are read in short parts.
    pub fn serve_within<H, F>(
        self,
        limits: ListenerLimits,
        memory: MemoryBudget,
        handler: H,
    ) -> ListenerHandle
    where
        H: Fn(Request) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let handle = ListenerHandle {
            stopping: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        let bounds = Bounds { limits, memory };
        let accepting = accept_all(self.socket, bounds, Arc::new(handler), handle.clone());
        handle.connections.spawn(accepting);
        handle.connections.close();
        handle
    }
}

/// A handle to a listener that accepts connections.
#[derive(Clone, Debug)]
pub struct ListenerHandle {
    stopping: CancellationToken,
    connections: TaskTracker,
}

impl ListenerHandle {
    /// Stops accepting connections, except those that the kernel has accepted already, and waits until
    /// each open one has finished its request.
    ///
    /// There is no time limit. To limit the time, drop the future.
    pub async fn stop(&self) {
        self.stopping.cancel();
        self.connections.wait().await;
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len().saturating_sub(1)
    }
}

async fn accept_all<H, F>(
    socket: TcpListener,
    bounds: Bounds,
    handler: Arc<H>,
    handle: ListenerHandle,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(bounds.limits.connections_max as usize));
    let open = OpenConnections::default();
    loop {
        let is_stopping = handle.stopping.is_cancelled();
        let accepted = tokio::select! {
            biased;
            accepted = accept_one(&socket) => accepted,
            () = tokio::time::sleep(STOP_ACCEPT_WAIT), if is_stopping => return,
            () = handle.stopping.cancelled(), if !is_stopping => continue,
        };
        let Some(stream) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(permit) = connection_permit(&permits, &open).await else {
            return;
        };
        let (handler, bounds) = (Arc::clone(&handler), bounds.clone());
        let stopping = handle.stopping.clone();
        let open = open.clone();
        handle.connections.spawn(async move {
            serve_connection(stream, bounds, handler, (stopping, open)).await;
            drop(permit);
        });
    }
}

/// Returns the permit for a connection. Those that wait for their clients are given up while there is none.
async fn connection_permit(
    permits: &Arc<Semaphore>,
    open: &OpenConnections,
) -> Option<OwnedSemaphorePermit> {
    loop {
        let acquired = Arc::clone(permits).acquire_owned();
        match tokio::time::timeout(FULL_WAIT, acquired).await {
            // The semaphore is never closed.
            Ok(acquired) => return acquired.ok(),
            Err(_) => open.give_up_slowest(),
        }
    }
}

async fn accept_one(socket: &TcpListener) -> Option<TcpStream> {
    let (stream, _) = socket.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    bounds: Bounds,
    handler: Arc<H>,
    (stopping, open): (CancellationToken, OpenConnections),
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let stream = SharedStream::new(stream);
    let mut received = Bytes::new();
    let mut activity = Arc::new(Activity::new());
    let member = open.add(&activity);
    let (cause, unread_bytes) = loop {
        let resumed = (stream.clone(), received);
        let end = tokio::select! {
            biased;
            end = serve_until_unused(resumed, (&bounds, &activity), &handler, &stopping) => end,
            () = member.given_up() => break (CloseCause::GivenUp, 0),
            () = stream.abandoned_by_client() => break (CloseCause::ClientLeft, 0),
        };
        match end {
            ConnectionEnd::Unused { arrived } if !arrived.is_empty() => {
                received = arrived;
                activity = Arc::new(Activity::new());
                member.resume(&activity);
            }
            ConnectionEnd::Unused { .. } => break (CloseCause::Unused, 0),
            ConnectionEnd::Final { cause, unread } => break (cause, unread.len()),
        }
    };
    let unread_bytes = unread_bytes + stream.close(cause).await;
    if unread_bytes > 0 {
        let cause = cause.name();
        events::CONNECTION_UNREAD.log(format_args!("cause={cause} unread_bytes={unread_bytes}"));
    }
}

/// Why a connection is no longer served.
enum ConnectionEnd {
    /// No request was on it for some time, and its client was not told that it closes. Bytes of a
    /// further request may have arrived since.
    Unused {
        /// The bytes that arrived.
        arrived: Bytes,
    },
    /// The client closed it, was told that it closes, or sent invalid input.
    Final {
        /// Which of these.
        cause: CloseCause,
        /// Bytes behind the last request.
        unread: Bytes,
    },
}

/// Serves a connection on which some bytes were received already, until it is to be closed.
async fn serve_until_unused<H, F>(
    (stream, received): (SharedStream, Bytes),
    (bounds, activity): (&Bounds, &Arc<Activity>),
    handler: &Arc<H>,
    stopping: &CancellationToken,
) -> ConnectionEnd
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let limits = bounds.limits;
    let client = &stream;
    let service = service_fn(move |request: http::Request<Incoming>| {
        let is_last = is_last(&request);
        let expects_continue = request.headers().contains_key(header::EXPECT);
        let mut request = request.map(|body| activity.begin(body));
        request.extensions_mut().insert(client.presence());
        let response = handler(request);
        Box::pin(async move {
            let mut response = tokio::select! {
                biased;
                response = response => response,
                () = client.closed_by_client() => given_up_response(),
            };
            // hyper closes the connection if the client was not asked for its body.
            let is_body_unwanted = expects_continue && activity.has_dropped_body();
            if stopping.is_cancelled() || is_body_unwanted {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            activity.record_response(is_last || has_connection_option(response.headers(), "close"));
            Ok::<_, Infallible>(response)
        })
    });
    let resumed = ResumedStream {
        received,
        stream: stream.clone(),
        activity: Arc::clone(activity),
        received_charge: bounds.memory.start(BodyKind::Received),
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .half_close(true)
        // That of hyper would also end a connection whose client reads the response for longer.
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes_max)
        .serve_connection(TokioIo::new(resumed), service);
    let head_time = Duration::from_millis(limits.header_timeout_ms);
    let mut late_head = pin!(activity.without_request_for(head_time));
    // The socket stays open, so that a connection on which a request has arrived can be resumed.
    let served = tokio::select! {
        biased;
        result = poll_fn(|context| connection.poll_without_shutdown(context)) => Served::Ended(result),
        () = &mut late_head => Served::LateHead,
        () = activity.idle_for(Duration::from_millis(limits.idle_timeout_ms)) => Served::Unused,
        () = unused_in_stop(activity, stopping) => Served::Unused,
    };
    let is_unused = matches!(served, Served::Unused);
    let served = match served {
        Served::Unused => {
            activity.begin_close();
            Pin::new(&mut connection).graceful_shutdown();
            tokio::select! {
                biased;
                result = poll_fn(|context| connection.poll_without_shutdown(context)) => {
                    Served::Ended(result)
                }
                () = &mut late_head => Served::LateHead,
            }
        }
        served => served,
    };
    let unread = connection.into_parts().read_buf;
    let cause = match served {
        _ if activity.is_close_announced() => CloseCause::LastResponse,
        Served::Ended(Ok(())) if is_unused => return unused(&stream, unread),
        // The process may have been held up while the request arrived.
        Served::LateHead if unread.is_empty() => return unused(&stream, unread),
        Served::LateHead | Served::Unused => CloseCause::LateHead,
        Served::Ended(Ok(())) => CloseCause::ClientLeft,
        // The client disconnected or sent invalid input, to which hyper has already responded.
        Served::Ended(Err(_)) => CloseCause::Failed,
    };
    ConnectionEnd::Final { cause, unread }
}

/// Returns whether the request says that the connection closes behind its response.
fn is_last(request: &http::Request<Incoming>) -> bool {
    let headers = request.headers();
    match request.version() {
        Version::HTTP_11 => has_connection_option(headers, "close"),
        _ => !has_connection_option(headers, "keep-alive"),
    }
}

fn unused(stream: &SharedStream, unread: Bytes) -> ConnectionEnd {
    let arrived = stream.append_arrived(unread);
    ConnectionEnd::Unused { arrived }
}

/// How far a connection was served.
enum Served {
    /// To its end.
    Ended(hyper::Result<()>),
    /// Until the time for the head of its first request was over.
    LateHead,
    /// Until there was no request on it for some time.
    Unused,
}

/// Returns the response to a client that has closed its writing side, and that has left in most cases.
fn given_up_response() -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Returns during a stop, once no request was on the connection for some time.
async fn unused_in_stop(activity: &Activity, stopping: &CancellationToken) {
    stopping.cancelled().await;
    activity.unused_for(STOP_READ_WAIT).await;
}
