//! A stand-in for the backend server of a relay.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsamfold::connection::BufferedRequest;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::Listener;
use balsamfold::connection::ListenerLimits;
use balsamfold::connection::PoolLimits;
use balsamfold::connection::read_body;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use parking_lot::Mutex;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::fleet::relay_protocol;
use crate::backend_server::truncated_response;
use crate::own_runtime::OwnRuntime;

/// Header in which a server names the requests per second that it takes.
pub const RATE_LIMIT_HEADER: HeaderName = HeaderName::from_static("takes-per-s");
/// Header in which a server says that it leaves.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("goes-away");
/// Longest body that a stand-in reads.
const BODY_BYTES_MAX: usize = 64 * 1_024 * 1_024;
/// Longest time for which it reads one.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts to bind the address of a crashed stand-in until its sockets are closed.
const BIND_ATTEMPTS_MAX: usize = 200;
/// Time between two such attempts.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How a stand-in treats the requests that it receives.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Responds at once.
    Respond,
    /// Responds after a delay.
    Slow(Duration),
    /// Reads the whole body of the request after a delay, and responds.
    ReadAfter(Duration),
    /// Responds at once with a body of this many bytes.
    Large(usize),
    /// Responds with 503 and the header which says that the request did not run.
    Shed,
    /// Runs the request and responds with 500.
    Fail,
    /// Responds at once, and names the requests per second that the server takes.
    Limited(f64),
    /// Responds after a delay, and names the requests per second that the server takes.
    SlowLimited(Duration, f64),
    /// Responds with the id of another request.
    WrongRequestId,
    /// Crashes when the path contains this text, and responds at once to any other request.
    CrashOn(&'static str),
    /// Responds at once, and says that the server leaves.
    Leaving,
    /// Breaks off the response when the path contains this text, and crashes after a delay.
    CrashLate(Duration, &'static str),
    /// Crashes when the path contains this text, and responds to any other request after a delay.
    SlowAndCrashOn(Duration, &'static str),
    /// Crashes some time after it received a request whose path contains `text`, also if that one's
    /// connection has closed. Responds to any other request after a delay.
    CrashAfter {
        /// The text in the path.
        text: &'static str,
        /// Time until the crash.
        delay: Duration,
        /// Time until the response to any other request.
        response_delay: Duration,
    },
    /// Makes an onward call, and responds with 500 if that fails.
    CallOnward {
        /// The host of the call.
        host: &'static str,
        /// The path of the call.
        path: &'static str,
    },
    /// Makes onward calls one after another without waiting for their responses, also if the connection of
    /// the request has closed, and responds after the last one.
    KeepCalling {
        /// The host of the calls.
        host: &'static str,
        /// The path of the calls.
        path: &'static str,
        /// Time between two calls.
        period: Duration,
        /// Number of calls.
        calls: u32,
    },
}

/// A request that the stand-in received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Its headers.
    pub headers: HeaderMap,
    /// Path and query.
    pub uri: String,
    /// When it arrived.
    pub received_at: Instant,
}

struct Shared {
    behaviour: Mutex<Behaviour>,
    received: Mutex<Vec<ReceivedRequest>>,
    onward: Mutex<Option<SocketAddr>>,
    abandoned: AtomicUsize,
    runtime: OwnRuntime,
}

/// Counts a request whose connection closed before the response was ready.
struct AbandonGuard<'a> {
    shared: &'a Shared,
    has_response: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.has_response {
            self.shared.abandoned.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A stand-in for the backend server of a relay.
pub struct RelayServer {
    /// The address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Drop for RelayServer {
    fn drop(&mut self) {
        self.crash();
    }
}

impl RelayServer {
    /// Starts a server that responds at once.
    pub async fn start() -> Self {
        let shared = Arc::new(Shared {
            behaviour: Mutex::new(Behaviour::Respond),
            received: Mutex::default(),
            onward: Mutex::default(),
            abandoned: AtomicUsize::new(0),
            runtime: OwnRuntime::default(),
        });
        let address = listen(&shared, SocketAddr::new(own_loopback_ip(), 0)).await;
        Self { address, shared }
    }

    /// Closes all sockets of the server at once, as the crash of a process does.
    pub fn crash(&self) {
        self.shared.runtime.shut_down();
    }

    /// Returns whether the server has crashed and was not started again.
    pub fn is_crashed(&self) -> bool {
        !self.shared.runtime.is_running()
    }

    /// Starts the server again at its address after a crash.
    pub async fn start_again(&self) {
        listen(&self.shared, self.address).await;
    }

    /// Replaces the behaviour for later requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock() = behaviour;
    }

    /// Sets the address to which the server sends onward calls.
    pub fn set_onward_address(&self, address: SocketAddr) {
        *self.shared.onward.lock() = Some(address);
    }

    /// Returns the number of requests whose connection closed before they had a response.
    pub fn abandoned(&self) -> usize {
        self.shared.abandoned.load(Ordering::Relaxed)
    }

    /// Returns all requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.shared.received.lock().clone()
    }
}

/// Returns a loopback address that no other server has, so that the port of a crashed server stays
/// free until it starts again.
fn own_loopback_ip() -> IpAddr {
    static SERVERS: AtomicU32 = AtomicU32::new(1);
    let server = SERVERS.fetch_add(1, Ordering::Relaxed) & 0x3ff;
    let process = (std::process::id() & 0x1fff) << 10;
    let loopback = u32::from(Ipv4Addr::LOCALHOST) & 0xff00_0000;
    // Bit 23 keeps away from 127.0.0.1.
    IpAddr::V4(Ipv4Addr::from(loopback | 1 << 23 | process | server))
}

/// Serves requests at `address` on a runtime of the server's own. Returns the bound address.
async fn listen(shared: &Arc<Shared>, address: SocketAddr) -> SocketAddr {
    let limits = ListenerLimits {
        connections_max: 256,
        header_timeout_ms: 30_000,
        idle_timeout_ms: 30_000,
        header_bytes_max: 65_536,
    };
    let state = Arc::clone(shared);
    let starting = shared.runtime.start(async move {
        let listener = bind(address).await;
        let address = listener.address();
        listener.serve(limits, move |request| {
            let state = Arc::clone(&state);
            async move { handle(&state, request).await }
        });
        address
    });
    let starting = starting.expect("a runtime can be started");
    starting.await.expect("the server listens")
}

async fn bind(address: SocketAddr) -> Listener {
    for _ in 1..BIND_ATTEMPTS_MAX {
        if let Ok(listener) = Listener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(BIND_RETRY_DELAY).await;
    }
    Listener::bind(address).await.expect("address is free")
}

async fn handle(shared: &Arc<Shared>, request: Request) -> Response {
    shared.received.lock().push(ReceivedRequest {
        headers: request.headers().clone(),
        uri: request.uri().to_string(),
        received_at: Instant::now(),
    });
    let mut guard = AbandonGuard {
        shared,
        has_response: false,
    };
    let names = relay_protocol().headers;
    let id = request.headers().get(&names.request_id).cloned();
    let behaviour = shared.behaviour.lock().clone();
    let mut response = Response::new(Body::from("done"));
    let mut returned_id = id.clone();
    if let Behaviour::SlowLimited(time, _) = &behaviour {
        tokio::time::sleep(*time).await;
    }
    match behaviour {
        Behaviour::CrashOn(text) | Behaviour::SlowAndCrashOn(_, text)
            if request.uri().path().contains(text) =>
        {
            shared.runtime.shut_down();
            return std::future::pending().await;
        }
        Behaviour::CrashLate(delay, text) if request.uri().path().contains(text) => {
            let runtime = shared.runtime.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                runtime.shut_down();
            });
            return truncated_response(&Bytes::from_static(b"cut"), 1);
        }
        Behaviour::CrashAfter { text, delay, .. } if request.uri().path().contains(text) => {
            let runtime = shared.runtime.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                runtime.shut_down();
            });
            return std::future::pending().await;
        }
        Behaviour::CrashAfter { response_delay, .. } => tokio::time::sleep(response_delay).await,
        Behaviour::Respond | Behaviour::CrashLate(..) => {}
        Behaviour::Slow(time) | Behaviour::SlowAndCrashOn(time, _) => {
            tokio::time::sleep(time).await;
        }
        Behaviour::ReadAfter(time) => {
            tokio::time::sleep(time).await;
            let read = read_body(request.into_body(), BODY_BYTES_MAX, BODY_TIMEOUT).await;
            if read.is_err() {
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            }
        }
        Behaviour::Large(bytes) => *response.body_mut() = Body::from(vec![b'z'; bytes]),
        Behaviour::Shed => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let marker = HeaderValue::from_static("1");
            response.headers_mut().insert(names.not_run, marker);
        }
        Behaviour::Limited(per_s) | Behaviour::SlowLimited(_, per_s) => {
            let value = HeaderValue::try_from(per_s.to_string()).expect("valid header");
            response.headers_mut().insert(RATE_LIMIT_HEADER, value);
        }
        Behaviour::Leaving => {
            let marker = HeaderValue::from_static("1");
            response.headers_mut().insert(LEAVING_HEADER, marker);
        }
        Behaviour::Fail => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        Behaviour::WrongRequestId => returned_id = Some(HeaderValue::from_static("other")),
        Behaviour::CrashOn(_) => {}
        Behaviour::CallOnward { host, path } => {
            if !call(shared, call_id(id.as_ref(), "call"), host, path).await {
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            }
        }
        Behaviour::KeepCalling {
            host,
            path,
            period,
            calls,
        } => {
            let (shared, id) = (Arc::clone(shared), id.clone());
            let calling = tokio::spawn(async move {
                for number in 0..calls {
                    let id = call_id(id.as_ref(), &number.to_string());
                    let shared = Arc::clone(&shared);
                    tokio::spawn(async move { call(&shared, id, host, path).await });
                    tokio::time::sleep(period).await;
                }
            });
            // It fails if the server crashes.
            let _ = calling.await;
        }
    }
    if let Some(id) = returned_id {
        response.headers_mut().insert(names.request_id, id);
    }
    guard.has_response = true;
    response
}

/// Returns the id of an onward call, which extends that of the request.
fn call_id(parent: Option<&HeaderValue>, name: &str) -> Option<HeaderValue> {
    let parent = parent?.to_str().ok()?;
    HeaderValue::try_from(format!("{parent}.{name}")).ok()
}

/// Makes an onward call. Returns whether it succeeded.
async fn call(
    shared: &Shared,
    id: Option<HeaderValue>,
    host: &'static str,
    path: &'static str,
) -> bool {
    let onward = *shared.onward.lock();
    let (Some(address), Some(id)) = (onward, id) else {
        return false;
    };
    let mut headers = HeaderMap::new();
    headers.insert(relay_protocol().headers.request_id, id);
    headers.insert(http::header::HOST, HeaderValue::from_static(host));
    let pool = ConnectionPool::new(
        address,
        PoolLimits {
            connections_max: 1,
            connect_timeout_ms: 500,
            idle_timeout_ms: 1_000,
            response_bytes_max: 65_536,
        },
    );
    let request = BufferedRequest {
        method: Method::GET,
        uri: http::Uri::from_static(path),
        headers,
        body: Bytes::new(),
    };
    let response = pool.exchange(request, Duration::from_secs(5)).await;
    response.is_ok_and(|response| response.status.is_success())
}
