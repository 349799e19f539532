//! Serves HTTP/1.1 on one address.
//!
//! Handlers use the types of `volo-http`. Connections are accepted and served with `hyper`, since
//! the server of `volo-http` stops on signals that it handles itself, closes connections a fixed
//! time later and does not limit the time that a client may take for its headers (see
//! `docs/design/http-server.md`).

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use volo_http::request::Request;
use volo_http::response::Response;

use super::activity::Activity;
use super::closing::SharedStream;
use crate::process::events::process as events;

/// Delay after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a new connection after which a stopping listener closes its socket. Connections that
/// the kernel has accepted would be reset with it.
const STOP_ACCEPT_WAIT: Duration = Duration::from_millis(10);
/// Time in which a stopping listener reads requests that are on their way on open connections.
const STOP_READ_WAIT: Duration = Duration::from_millis(200);

plain_value! {
    /// Bounds on the connections that a listener accepts.
    pub struct ListenerLimits {
        /// Maximum number of connections at the same time; further ones wait to be accepted.
        pub connections_max: u32,
        /// Maximum time that a client may take for the headers of a request.
        pub header_timeout_ms: u64,
        /// A connection without a request for this time after a response is closed.
        pub idle_timeout_ms: u64,
        /// Maximum number of bytes in the headers of a request.
        pub header_bytes_max: usize,
    }
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
        let handle = ListenerHandle {
            stopping: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        let accepting = accept_all(self.socket, limits, Arc::new(handler), handle.clone());
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
    limits: ListenerLimits,
    handler: Arc<H>,
    handle: ListenerHandle,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.connections_max as usize));
    loop {
        let is_stopping = handle.stopping.is_cancelled();
        let accepted = tokio::select! {
            biased;
            accepted = accept_one(&socket, &permits) => accepted,
            () = tokio::time::sleep(STOP_ACCEPT_WAIT), if is_stopping => return,
            () = handle.stopping.cancelled(), if !is_stopping => continue,
        };
        let Some((stream, permit)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = Arc::clone(&handler);
        let stopping = handle.stopping.clone();
        handle.connections.spawn(async move {
            serve_connection(stream, limits, handler, stopping).await;
            drop(permit);
        });
    }
}

async fn accept_one(
    socket: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    let (stream, _) = socket.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, permit))
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ListenerLimits,
    handler: Arc<H>,
    stopping: CancellationToken,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let activity = Arc::new(Activity::default());
    let service_activity = Arc::clone(&activity);
    let service = service_fn(move |request: http::Request<Incoming>| {
        let response = handler(request.map(|body| service_activity.begin(body)));
        let activity = Arc::clone(&service_activity);
        async move {
            let response = response.await;
            activity.record_response();
            Ok::<_, Infallible>(response)
        }
    });
    let stream = SharedStream::new(stream);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_bytes_max)
        .serve_connection(TokioIo::new(stream.clone()), service);
    let mut connection = std::pin::pin!(connection);
    let serving = async {
        // An error here means that the client disconnected or sent invalid input, to which hyper has
        // already responded.
        let cause = tokio::select! {
            _ = connection.as_mut() => return "ended",
            () = stopping.cancelled() => {
                // A connection without a request is closed at once, even if one arrived and was not
                // read.
                if tokio::time::timeout(STOP_READ_WAIT, connection.as_mut()).await.is_ok() {
                    return "ended";
                }
                // A connection whose response is complete is closed at once, too, even if its caller still
                // sends the body and has not read the response.
                tokio::select! {
                    _ = connection.as_mut() => return "ended",
                    () = activity.body_ended() => connection.as_mut().graceful_shutdown(),
                }
                "stop"
            }
            () = activity.idle_for(Duration::from_millis(limits.idle_timeout_ms)) => {
                connection.as_mut().graceful_shutdown();
                "idle"
            }
        };
        let _ = connection.await;
        cause
    };
    let cause = tokio::select! {
        cause = serving => cause,
        () = stream.closed_by_client() => "client-left",
    };
    let unread_bytes = stream.discard_received();
    if unread_bytes > 0 {
        events::CONNECTION_UNREAD.log(format_args!("cause={cause} unread_bytes={unread_bytes}"));
    }
}
