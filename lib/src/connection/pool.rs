//! Persistent HTTP/1.1 connections to one address, never more than the address allows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::BodyKind;
use super::BufferedRequest;
use super::BufferedResponse;
use super::ExchangeError;
use super::MemoryBudget;
use super::allow_closed_window;
use super::bytes_of;
use super::enable_liveness_probes;
use super::exchange::http_request;
use super::exchange::is_final_status;
use super::first_write::CheckedStream;
use super::first_write::FirstWrite;
use super::head_limit::HeadLimit;
use super::head_limit::HeadLimited;
use super::head_limit::READ_BUFFER_BYTES_MAX;
use super::liveness::Liveness;
use super::liveness::Observed;
use super::read_budgeted_body;
use super::strip_connection_headers;
use crate::process::events::process as events;

/// Longest body that fits into the receive window of a server that reads nothing. A longer one is
/// sent on a connection of its own, on which a closed window is no sign of silence.
const WINDOW_BODY_BYTES_MAX: usize = 32 * 1_024;
/// A connection that received bytes less than this time before another one was found silent is still
/// trusted. Nothing arrives on the silent one for longer before it is found.
const TRUST_TIME: Duration = Duration::from_millis(800);

plain_value! {
    /// Bounds on the connections to one address.
    pub struct PoolLimits {
        /// Maximum number of connections at the same time.
        pub connections_max: u32,
        /// Maximum time to open a connection.
        pub connect_timeout_ms: u64,
        /// An idle connection is closed after this time.
        pub idle_timeout_ms: u64,
        /// Maximum number of bytes in the body of a response.
        #[serde(rename = "answer_bytes_max")]
        pub response_bytes_max: usize,
    }
}

plain_value! {
    /// Whether the head of a response belongs to the request that waits for one.
    pub enum ResponseMatch {
        /// It names the request.
        Own,
        /// It names the request and says that it did not run. The server may send it again later,
        /// so no request of the same name uses its connection.
        OwnRejection,
        /// It names no request. The server may send it again later, so its connection is closed.
        Unidentified,
        /// It belongs to another request.
        Foreign,
    }
}

plain_value! {
    /// What the time until the response says about the connection.
    pub enum ResponseTime {
        /// Nothing: the server may take any time.
        Any,
        /// Nearly all responses arrive well within the timeout. An idle connection is no longer
        /// trusted after a timeout on one that was kept.
        Short,
        /// Nothing, but the request may be sent again at no loss. The exchange ends with
        /// [`ExchangeError::Silent`] once another connection of the pool is found silent.
        LongPoll,
    }
}

/// Persistent connections to one address.
///
/// The kernel probes each connection. Once one is found silent, idle ones that received nothing since
/// are closed.
///
/// The pool never sends a request twice: a connection that fails returns an error, and a connection
/// whose exchange did not complete is closed.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    limits: PoolLimits,
    permits: Arc<Semaphore>,
    /// Bounds the bodies of all responses together.
    budget: MemoryBudget,
    kept: Arc<KeptConnections>,
}

/// The idle connections of a pool, and which of its connections are trusted.
#[derive(Debug)]
struct KeptConnections {
    address: SocketAddr,
    idle: Mutex<Vec<PooledConnection>>,
    /// Connections that received nothing since then may be silent.
    distrusted_before: watch::Sender<Instant>,
    /// When a request was sent on a kept connection that got no response in time. The next exchange
    /// on a new connection shows whether the connection or the server was the reason.
    unanswered_since: Mutex<Option<Instant>>,
}

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    liveness: Liveness,
    is_kept: bool,
    idle_since: Instant,
    idle_limit: Option<Duration>,
    head_limit: HeadLimit,
    first_write: FirstWrite,
    /// Names of the requests that were rejected on this connection.
    rejected: Vec<Box<[u8]>>,
    _permit: OwnedSemaphorePermit,
}

impl PooledConnection {
    /// Fraction of the server's own idle timeout within which a connection is reused, so that a
    /// request is not sent while the server closes the connection.
    const IDLE_FRACTION: f64 = 0.6;

    /// Most rejections on a connection that is used again, so that all their names are known.
    const REJECTED_MAX: usize = 32;

    fn has_rejected(&self, name: &[u8]) -> bool {
        self.rejected.iter().any(|rejected| **rejected == *name)
    }

    /// Applies the idle timeout in the `Keep-Alive` header of the server, if there is one.
    fn limit_idle_time(&mut self, headers: &HeaderMap) {
        let timeout_s = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|text| {
                let parameters = text.split(',').map(str::trim);
                parameters
                    .filter_map(|parameter| parameter.strip_prefix("timeout="))
                    .find_map(|seconds| seconds.trim().parse::<u32>().ok())
            });
        if let Some(timeout_s) = timeout_s {
            let limit_s = f64::from(timeout_s) * Self::IDLE_FRACTION;
            self.idle_limit = Some(Duration::from_secs_f64(limit_s));
        }
    }

    fn is_usable(&self, idle_timeout: Duration) -> bool {
        let idle_limit = self.idle_limit.unwrap_or(idle_timeout).min(idle_timeout);
        self.sender.is_ready() && self.idle_since.elapsed() < idle_limit
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl KeptConnections {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            distrusted_before: watch::Sender::new(Instant::now()),
            unanswered_since: Mutex::default(),
        }
    }

    /// Gives up the connections that received nothing since shortly before another was found silent.
    fn report_silent(&self, silent: &Liveness) {
        if silent.begin_report() {
            self.log_silent(silent, "unacknowledged");
            let now = Instant::now();
            self.distrust_before(now.checked_sub(TRUST_TIME).unwrap_or(now));
        }
    }

    fn distrust_before(&self, before: Instant) {
        self.close_idle_before(before);
        self.distrusted_before.send_replace(before);
    }

    fn close_idle_before(&self, before: Instant) {
        let mut idle = self.idle.lock();
        idle.retain(|connection| connection.liveness.last_received_at() >= before);
    }

    /// Records whether an exchange with a short response time that began at `sent_at` timed out.
    fn observe_short(&self, connection: &PooledConnection, sent_at: Instant, timed_out: bool) {
        let liveness = &connection.liveness;
        let mut unanswered_since = self.unanswered_since.lock();
        match timed_out {
            true if connection.is_kept && liveness.last_received_at() < sent_at => {
                self.log_silent(liveness, "unanswered");
                self.close_idle_before(sent_at);
                unanswered_since.get_or_insert(sent_at);
            }
            // The server itself is slow.
            true => *unanswered_since = None,
            false => {
                let since = unanswered_since.take();
                if let Some(since) = since.filter(|since| liveness.opened_at() > *since) {
                    self.distrust_before(since);
                }
            }
        }
    }

    fn log_silent(&self, liveness: &Liveness, reason: &str) {
        events::CONNECTION_SILENT.log(format_args!(
            "address={} reason={reason} last_received_ms_ago={} age_ms={}",
            self.address,
            liveness.last_received_at().elapsed().as_millis(),
            liveness.opened_at().elapsed().as_millis()
        ));
    }
}

impl ConnectionPool {
    /// Creates an empty pool for `address`. The bodies of all responses together may hold as many bytes
    /// as the largest one.
    pub fn new(address: SocketAddr, limits: PoolLimits) -> Self {
        Self::with_budget(
            address,
            limits,
            MemoryBudget::new(limits.response_bytes_max),
        )
    }

    /// Creates an empty pool whose responses share `budget` with other bodies.
    pub fn with_budget(address: SocketAddr, limits: PoolLimits, budget: MemoryBudget) -> Self {
        Self {
            address,
            limits,
            permits: Arc::new(Semaphore::new(limits.connections_max as usize)),
            budget,
            kept: Arc::new(KeptConnections::new(address)),
        }
    }

    /// Returns the address to which the connections are opened.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections, idle ones included.
    pub fn open_connections(&self) -> usize {
        self.limits.connections_max as usize - self.permits.available_permits()
    }

    /// Sends `request` once and returns the complete response.
    pub async fn exchange(
        &self,
        request: BufferedRequest,
        timeout: Duration,
    ) -> Result<BufferedResponse, ExchangeError> {
        self.exchange_checked(request, &[], timeout, |_, _| ResponseMatch::Own)
            .await
    }

    /// Sends `request` once and returns the complete response, unless `match_response` finds that its
    /// head belongs to another request. The response may repeat `name`.
    ///
    /// Only a connection whose responses all named their requests is used again. A late copy of any
    /// of them is recognised then.
    pub async fn exchange_checked(
        &self,
        request: BufferedRequest,
        name: &[u8],
        timeout: Duration,
        match_response: impl Fn(StatusCode, &HeaderMap) -> ResponseMatch,
    ) -> Result<BufferedResponse, ExchangeError> {
        self.exchange_on_any(request, name, timeout, ResponseTime::Any, match_response)
            .await
    }

    /// Sends `request` once and returns the complete response. `response_time` states what a timeout
    /// says about the connection.
    pub async fn exchange_within(
        &self,
        request: BufferedRequest,
        timeout: Duration,
        response_time: ResponseTime,
    ) -> Result<BufferedResponse, ExchangeError> {
        self.exchange_on_any(request, &[], timeout, response_time, |_, _| {
            ResponseMatch::Own
        })
        .await
    }

    async fn exchange_on_any(
        &self,
        request: BufferedRequest,
        name: &[u8],
        timeout: Duration,
        response_time: ResponseTime,
        match_response: impl Fn(StatusCode, &HeaderMap) -> ResponseMatch,
    ) -> Result<BufferedResponse, ExchangeError> {
        let sent_at = Instant::now();
        let deadline = sent_at + timeout;
        let body_bytes = request.body.len();
        let mut connection = self.connection(name, body_bytes, timeout).await?;
        let liveness = connection.liveness.clone();
        let exchange = self.exchange_on(&mut connection, request, deadline, match_response);
        let result = match response_time {
            ResponseTime::Any | ResponseTime::Short => exchange.await,
            ResponseTime::LongPoll => tokio::select! {
                result = exchange => result,
                () = self.await_distrust(&liveness) => Err(ExchangeError::Silent),
            },
        };
        if response_time == ResponseTime::Short {
            let timed_out = matches!(result, Err(ExchangeError::TimedOut));
            if timed_out || result.is_ok() {
                self.kept.observe_short(&connection, sent_at, timed_out);
            }
        }
        let (response, matched) = match result {
            Ok(answered) => answered,
            Err(error) if liveness.is_silent() => {
                self.kept.report_silent(&liveness);
                return Err(match error {
                    ExchangeError::NotSent => error,
                    _ => ExchangeError::Silent,
                });
            }
            Err(error) => return Err(error),
        };
        if matched == ResponseMatch::OwnRejection {
            connection.rejected.push(name.into());
        }
        if matched != ResponseMatch::Unidentified && body_bytes <= WINDOW_BODY_BYTES_MAX {
            self.keep(connection);
        }
        Ok(response)
    }

    /// Returns once another connection was found silent and this one received nothing since.
    async fn await_distrust(&self, liveness: &Liveness) {
        let mut distrusted_before = self.kept.distrusted_before.subscribe();
        let is_distrusted = |before: &Instant| liveness.last_received_at() < *before;
        if distrusted_before.wait_for(is_distrusted).await.is_err() {
            // The sender lives as long as the pool.
            std::future::pending::<()>().await;
        }
        if liveness.begin_report() {
            self.kept.log_silent(liveness, "distrusted");
        }
    }

    async fn exchange_on(
        &self,
        connection: &mut PooledConnection,
        request: BufferedRequest,
        deadline: Instant,
        match_response: impl Fn(StatusCode, &HeaderMap) -> ResponseMatch,
    ) -> Result<(BufferedResponse, ResponseMatch), ExchangeError> {
        let method = request.method.clone();
        let charge = self.budget.start(BodyKind::ResponseHead);
        connection.head_limit.begin_head(charge);
        connection.first_write.begin_request();
        let sent = connection.sender.try_send_request(http_request(request));
        let response = match tokio::time::timeout_at(deadline, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.message().is_some() => return Err(ExchangeError::NotSent),
            Ok(Err(_)) if connection.first_write.is_awaited() => {
                return Err(ExchangeError::NotSent);
            }
            Ok(Err(_)) => return Err(ExchangeError::Sent),
            Err(_) => return Err(ExchangeError::TimedOut),
        };
        connection.head_limit.end_head();
        if !is_final_status(response.status()) {
            return Err(ExchangeError::InvalidResponse);
        }
        let matched = match_response(response.status(), response.headers());
        if matched == ResponseMatch::Foreign {
            return Err(ExchangeError::InvalidResponse);
        }
        connection.limit_idle_time(response.headers());
        let buffered = self.buffered_response(&method, response, deadline).await?;
        Ok((buffered, matched))
    }

    async fn buffered_response(
        &self,
        method: &Method,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<BufferedResponse, ExchangeError> {
        let (mut parts, body) = response.into_parts();
        let timeout = deadline.saturating_duration_since(Instant::now());
        let limit_bytes = self.limits.response_bytes_max;
        let mut charge = self.budget.start(BodyKind::Response);
        let head_bytes = bytes_of(&parts.headers);
        if head_bytes > MemoryBudget::UNCOUNTED_BYTES && !charge.grow(head_bytes) {
            return Err(ExchangeError::InvalidResponse);
        }
        let reading = read_budgeted_body(body, limit_bytes, timeout, charge);
        let body = match reading.await {
            Ok(body) => body,
            Err(super::BodyError::TimedOut { .. }) => return Err(ExchangeError::TimedOut),
            Err(_) => return Err(ExchangeError::InvalidResponse),
        };
        let length = parts.headers.remove(header::CONTENT_LENGTH);
        strip_connection_headers(&mut parts.headers);
        if let (&Method::HEAD, Some(length)) = (method, length) {
            parts.headers.insert(header::CONTENT_LENGTH, length);
        }
        Ok(BufferedResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    async fn connection(
        &self,
        name: &[u8],
        body_bytes: usize,
        timeout: Duration,
    ) -> Result<PooledConnection, ExchangeError> {
        let fits_window = body_bytes <= WINDOW_BODY_BYTES_MAX;
        if fits_window && let Some(connection) = self.take_idle(name) {
            return Ok(connection);
        }
        let permit = self.permit().ok_or(ExchangeError::NoFreeConnection)?;
        let connect_timeout = Duration::from_millis(self.limits.connect_timeout_ms).min(timeout);
        let opening = open(&self.kept, permit, fits_window);
        match tokio::time::timeout(connect_timeout, opening).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) | Err(_) => Err(ExchangeError::NotConnected),
        }
    }

    /// Returns the permit for a new connection. Closes an idle one if there is no other.
    fn permit(&self) -> Option<OwnedSemaphorePermit> {
        let permit = || Arc::clone(&self.permits).try_acquire_owned().ok();
        permit().or_else(|| {
            drop(self.kept.idle.lock().pop()?);
            permit()
        })
    }

    fn take_idle(&self, name: &[u8]) -> Option<PooledConnection> {
        let idle_timeout = Duration::from_millis(self.limits.idle_timeout_ms);
        let mut idle = self.kept.idle.lock();
        idle.retain(|connection| connection.is_usable(idle_timeout));
        let latest = idle
            .iter()
            .rposition(|connection| !connection.has_rejected(name))?;
        Some(idle.remove(latest))
    }

    fn keep(&self, mut connection: PooledConnection) {
        connection.idle_since = Instant::now();
        connection.is_kept = true;
        let may_reject_more = connection.rejected.len() < PooledConnection::REJECTED_MAX;
        if may_reject_more && !connection.sender.is_closed() {
            self.kept.idle.lock().push(connection);
        }
    }
}

async fn open(
    kept: &Arc<KeptConnections>,
    permit: OwnedSemaphorePermit,
    fits_window: bool,
) -> Result<PooledConnection, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(kept.address).await?;
    stream.set_nodelay(true)?;
    enable_liveness_probes(&stream)?;
    if !fits_window {
        allow_closed_window(&stream)?;
    }
    let liveness = Liveness::new();
    let first_write = FirstWrite::default();
    let checked = CheckedStream {
        stream,
        first_write: first_write.clone(),
    };
    let observed = Observed {
        stream: checked,
        liveness: liveness.clone(),
    };
    let head_limit = HeadLimit::default();
    let limited = HeadLimited {
        stream: observed,
        limit: head_limit.clone(),
    };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES_MAX)
        .handshake(TokioIo::new(limited))
        .await?;
    let driver = tokio::spawn(drive(connection, liveness.clone(), Arc::downgrade(kept)));
    Ok(PooledConnection {
        sender,
        driver,
        liveness,
        is_kept: false,
        idle_since: Instant::now(),
        idle_limit: None,
        head_limit,
        first_write,
        rejected: Vec::new(),
        _permit: permit,
    })
}

async fn drive(
    connection: http1::Connection<TokioIo<HeadLimited<Observed<CheckedStream>>>, Full<Bytes>>,
    liveness: Liveness,
    kept: Weak<KeptConnections>,
) {
    // An error here also fails the exchange, which returns it.
    let _ = connection.await;
    if let (true, Some(kept)) = (liveness.is_silent(), kept.upgrade()) {
        kept.report_silent(&liveness);
    }
}
