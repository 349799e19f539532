//! The HTTP server of the stand-in, which also announces itself to its node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsamfold::connection::BufferedRequest;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::HANDLE_HEADER;
use balsamfold::connection::Listener;
use balsamfold::connection::ListenerHandle;
use balsamfold::connection::ListenerLimits;
use balsamfold::connection::PoolLimits;
use balsamfold::connection::read_body;
use balsamfold::process::node::Announcement;
use balsamfold::values::ConnectionCount;
use balsamfold::values::ServiceId;
use balsamfold::values::SlotCount;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http_body::Frame;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio_util::task::AbortOnDropHandle;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Behaviour;
use super::Fault;
use super::Recorder;
use crate::own_runtime::OwnRuntime;

const BODY_BYTES_MAX: usize = 16 * 1_024 * 1_024;
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(500);
/// Path at which a test replaces the behaviour of a stand-in in another process.
const BEHAVIOUR_PATH: &str = "/.stand-in/behaviour";
/// Path at which a test reads the recorded runs of a stand-in in another process.
const RUNS_PATH: &str = "/.stand-in/runs";

/// The configuration of a stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerPlan {
    /// Its service.
    pub service: ServiceId,
    /// Most requests that it runs at the same time.
    pub slots: u32,
    /// Most connections that are open at the same time.
    pub connections: u32,
    /// Paths that each request calls onward, one after another.
    pub calls: Vec<String>,
    /// Seed of its random choices.
    pub seed: u64,
    /// Address to which each run is sent before it starts.
    pub report_to: Option<SocketAddr>,
}

/// Where a stand-in sends its onward calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// To the local listener of its node, to which it also announces itself.
    Node(SocketAddr),
    /// Directly to another stand-in, without nodes between them.
    Direct(SocketAddr),
    /// The stand-in makes no onward calls.
    None,
}

impl Upstream {
    fn address(self) -> Option<SocketAddr> {
        match self {
            Self::Node(address) | Self::Direct(address) => Some(address),
            Self::None => None,
        }
    }
}

/// A running stand-in.
pub struct BackendServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    serving: ListenerHandle,
    _announcing: Option<AbortOnDropHandle<()>>,
    own_runtime: OwnRuntime,
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.own_runtime.shut_down();
    }
}

/// Ends the stand-in when a request crashes it.
type CrashAction = Box<dyn Fn() + Send + Sync>;

struct Shared {
    crash: CrashAction,
    plan: ServerPlan,
    slots: Semaphore,
    behaviour: Mutex<Behaviour>,
    random: Mutex<StdRng>,
    recorder: Recorder,
    upstream: Option<ConnectionPool>,
}

impl BackendServer {
    /// Starts a stand-in on a free port. A crash ends the whole process.
    pub async fn start(
        plan: ServerPlan,
        behaviour: Behaviour,
        upstream: Upstream,
    ) -> std::io::Result<Self> {
        let crash = Box::new(|| std::process::abort());
        Self::start_with(plan, behaviour, upstream, crash).await
    }

    /// Starts a stand-in on a free port with its own runtime. A crash ends only the stand-in.
    pub async fn start_isolated(
        plan: ServerPlan,
        behaviour: Behaviour,
        upstream: Upstream,
    ) -> std::io::Result<Self> {
        let own_runtime = OwnRuntime::default();
        let crashing = own_runtime.clone();
        let crash = Box::new(move || crashing.shut_down());
        let starting = own_runtime.start(Self::start_with(plan, behaviour, upstream, crash))?;
        let server = starting.await.map_err(std::io::Error::other)?;
        server.map(|mut server| {
            server.own_runtime = own_runtime;
            server
        })
    }

    async fn start_with(
        plan: ServerPlan,
        behaviour: Behaviour,
        upstream: Upstream,
        crash: CrashAction,
    ) -> std::io::Result<Self> {
        let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .map_err(std::io::Error::other)?;
        let address = listener.address();
        let limits = ListenerLimits {
            connections_max: plan.connections,
            header_timeout_ms: BODY_TIMEOUT.as_millis() as u64,
            idle_timeout_ms: BODY_TIMEOUT.as_millis() as u64,
            header_bytes_max: 64 * 1_024,
        };
        let shared = Arc::new(Shared {
            crash,
            slots: Semaphore::new(plan.slots as usize),
            behaviour: Mutex::new(behaviour),
            random: Mutex::new(StdRng::seed_from_u64(plan.seed)),
            recorder: match plan.report_to {
                Some(address) => Recorder::reporting_to(address)?,
                None => Recorder::default(),
            },
            upstream: upstream
                .address()
                .map(|address| ConnectionPool::new(address, pool_limits())),
            plan,
        });
        let handling = Arc::clone(&shared);
        let serving = listener.serve(limits, move |request| {
            let shared = Arc::clone(&handling);
            async move { handle(&shared, request).await }
        });
        let announcing = match upstream {
            Upstream::Node(_) => {
                let announcing = announce_periodically(Arc::clone(&shared), address);
                Some(AbortOnDropHandle::new(tokio::spawn(announcing)))
            }
            Upstream::Direct(_) | Upstream::None => None,
        };
        Ok(Self {
            shared,
            address,
            serving,
            _announcing: announcing,
            own_runtime: OwnRuntime::default(),
        })
    }

    /// Returns the address on which the stand-in accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the recorder of the runs.
    pub fn recorder(&self) -> &Recorder {
        &self.shared.recorder
    }

    /// Changes the behaviour for later requests.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.behaviour.lock());
    }

    /// Ends the stand-in in the way of a crashing request.
    pub fn crash(&self) {
        (self.shared.crash)();
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.serving.open_connections()
    }

    /// Stops accepting and waits for the requests in flight.
    pub async fn stop(self) {
        self.serving.stop().await;
    }
}

async fn announce_periodically(shared: Arc<Shared>, address: SocketAddr) {
    let announcement = Announcement {
        service: shared.plan.service.clone(),
        address,
        slots: SlotCount(shared.plan.slots),
        connections: ConnectionCount(shared.plan.connections),
    };
    let body = Bytes::from(serde_json::to_vec(&announcement).unwrap_or_default());
    let mut period = tokio::time::interval(ANNOUNCEMENT_PERIOD);
    loop {
        period.tick().await;
        if let Some(node) = &shared.upstream {
            let request = request_to("/.balsamfold/announce", HeaderMap::new(), body.clone());
            // The next period repeats a lost announcement.
            let _ = node.exchange(request, CALL_TIMEOUT).await;
        }
    }
}

async fn handle(shared: &Arc<Shared>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let Ok(body) = read_body(body, BODY_BYTES_MAX, BODY_TIMEOUT).await else {
        return respond(StatusCode::BAD_REQUEST, Bytes::new());
    };
    match parts.uri.path() {
        BEHAVIOUR_PATH => change_behaviour(shared, &body),
        RUNS_PATH => {
            let runs = serde_json::to_vec(&shared.recorder.runs()).unwrap_or_default();
            respond(StatusCode::OK, Bytes::from(runs))
        }
        path => run(shared, path, &parts.headers, body).await,
    }
}

fn change_behaviour(shared: &Shared, body: &[u8]) -> Response {
    match serde_json::from_slice(body) {
        Ok(behaviour) => {
            *shared.behaviour.lock() = behaviour;
            respond(StatusCode::OK, Bytes::new())
        }
        Err(error) => respond(StatusCode::BAD_REQUEST, Bytes::from(error.to_string())),
    }
}

async fn run(shared: &Arc<Shared>, path: &str, headers: &HeaderMap, body: Bytes) -> Response {
    let behaviour = shared.behaviour.lock().clone();
    if behaviour.fault == Fault::Shed {
        return with_handle(
            headers,
            respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        );
    }
    shared.recorder.record(path, headers, &body);
    if behaviour.crashes_on(&body) {
        return crash(shared, behaviour.crash_delay_ms).await;
    }
    let service_time = behaviour.service_time(&mut shared.random.lock());
    {
        let _slot = shared.slots.acquire().await;
        tokio::time::sleep(service_time).await;
    }
    for call in &shared.plan.calls {
        if let Some(failed) = call_onward(shared, call, headers, body.clone()).await {
            return with_handle(headers, failed);
        }
    }
    let body = response_body(&body, behaviour.padding_bytes);
    let response = match behaviour.fault {
        Fault::None | Fault::Shed => respond(StatusCode::OK, body),
        Fault::LoseResponse => truncated_response(&body, 0),
        Fault::TruncateResponse => truncated_response(&body, body.len() / 2),
        Fault::WrongHandle => {
            let mut response = respond(StatusCode::OK, body);
            let other = HeaderValue::from_static("00");
            response.headers_mut().insert(HANDLE_HEADER, other);
            return response;
        }
    };
    with_handle(headers, response)
}

/// Crashes the stand-in, at once or `delay_ms` after the connection of the request is closed.
async fn crash(shared: &Arc<Shared>, delay_ms: u64) -> Response {
    if delay_ms == 0 {
        (shared.crash)();
        return std::future::pending().await;
    }
    let crashing = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        (crashing.crash)();
    });
    truncated_response(&Bytes::new(), 0)
}

/// Makes an onward call; returns the response to send upstream if the call failed.
async fn call_onward(
    shared: &Shared,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Option<Response> {
    let mut onward = HeaderMap::new();
    if let Some(handle) = headers.get(HANDLE_HEADER) {
        onward.insert(HANDLE_HEADER, handle.clone());
    }
    let upstream = shared.upstream.as_ref()?;
    let request = request_to(path, onward, body);
    match upstream.exchange(request, CALL_TIMEOUT).await {
        Ok(response) if response.status == StatusCode::OK && is_complete_body(&response.body) => {
            None
        }
        Ok(response) => Some(respond(response.status, response.body)),
        Err(_) => Some(respond(StatusCode::BAD_GATEWAY, Bytes::new())),
    }
}

/// Returns the body of a complete response: the request's body, padding and a checksum.
pub fn response_body(request_body: &[u8], padding_bytes: usize) -> Bytes {
    let mut body = request_body.to_vec();
    body.push(b'|');
    body.resize(body.len() + padding_bytes, b'.');
    let checksum = checksum(&body);
    body.extend_from_slice(&checksum);
    Bytes::from(body)
}

/// Returns whether a response body is complete and its checksum is valid.
pub fn is_complete_body(body: &[u8]) -> bool {
    match body.len().checked_sub(CHECKSUM_BYTES) {
        Some(end) => checksum(&body[..end]) == body[end..],
        None => false,
    }
}

const CHECKSUM_BYTES: usize = 8;

fn checksum(body: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let hash = body.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash.to_be_bytes()
}

pub(crate) fn truncated_response(body: &Bytes, sent_bytes: usize) -> Response {
    let part = Ok(Frame::data(body.slice(..sent_bytes)));
    let failure = Err(std::io::Error::other("stand-in truncated the response").into());
    Response::new(Body::from_stream(futures::stream::iter([part, failure])))
}

fn with_handle(headers: &HeaderMap, mut response: Response) -> Response {
    if let Some(handle) = headers.get(HANDLE_HEADER) {
        response.headers_mut().insert(HANDLE_HEADER, handle.clone());
    }
    response
}

fn respond(status: StatusCode, body: Bytes) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response
}

fn request_to(path: &str, headers: HeaderMap, body: Bytes) -> BufferedRequest {
    BufferedRequest {
        method: Method::POST,
        uri: path.parse().unwrap_or_default(),
        headers,
        body,
    }
}

fn pool_limits() -> PoolLimits {
    PoolLimits {
        connections_max: 4_096,
        connect_timeout_ms: 1_000,
        idle_timeout_ms: 30_000,
        response_bytes_max: BODY_BYTES_MAX,
    }
}

impl ServerPlan {
    /// Returns the plan of a small stand-in for `service` that makes onward calls to the paths `calls`.
    pub fn small(service: &str, calls: &[&str]) -> Self {
        const SLOTS: u32 = 16;
        const CONNECTIONS: u32 = 64;
        Self {
            service: service.parse().expect("names of tests are valid"),
            slots: SLOTS,
            connections: CONNECTIONS,
            calls: calls.iter().map(|&call| call.to_owned()).collect(),
            seed: 1,
            report_to: None,
        }
    }
}
