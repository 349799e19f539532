//! Persistent HTTP/1.1 connections to one address, never more than the address allows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
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
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::BodyBudget;
use super::BufferedRequest;
use super::BufferedResponse;
use super::ExchangeError;
use super::head_limit::HeadLimit;
use super::head_limit::HeadLimited;
use super::read_budgeted_body;
use super::strip_connection_headers;

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
        /// It names no request. The server may send it again later, so its connection is closed.
        Unidentified,
        /// It belongs to another request.
        Foreign,
    }
}

/// Persistent connections to one address.
///
/// The pool never sends a request twice: a connection that fails returns an error, and a connection
/// whose exchange did not complete is closed.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    limits: PoolLimits,
    permits: Arc<Semaphore>,
    /// The bodies of all responses together may hold as many bytes as the largest one.
    body_budget: BodyBudget,
    idle: Mutex<Vec<PooledConnection>>,
}

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    idle_since: Instant,
    idle_limit: Option<Duration>,
    head_limit: HeadLimit,
    _permit: OwnedSemaphorePermit,
}

impl PooledConnection {
    /// Fraction of the server's own idle timeout within which a connection is reused, so that a
    /// request is not sent while the server closes the connection.
    const IDLE_FRACTION: f64 = 0.6;

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

impl ConnectionPool {
    /// Creates an empty pool for `address`.
    pub fn new(address: SocketAddr, limits: PoolLimits) -> Self {
        Self {
            address,
            limits,
            permits: Arc::new(Semaphore::new(limits.connections_max as usize)),
            body_budget: BodyBudget::new(limits.response_bytes_max),
            idle: Mutex::default(),
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
        self.exchange_checked(request, timeout, |_, _| ResponseMatch::Own)
            .await
    }

    /// Sends `request` once and returns the complete response, unless `match_response` finds that its
    /// head belongs to another request.
    ///
    /// Only a connection whose responses all named their requests is used again. A late copy of any
    /// of them is recognised then.
    pub async fn exchange_checked(
        &self,
        request: BufferedRequest,
        timeout: Duration,
        match_response: impl Fn(StatusCode, &HeaderMap) -> ResponseMatch,
    ) -> Result<BufferedResponse, ExchangeError> {
        let deadline = Instant::now() + timeout;
        let mut connection = self.connection(timeout).await?;
        let method = request.method.clone();
        connection.head_limit.begin_head();
        let sent = connection.sender.try_send_request(http_request(request));
        let response = match tokio::time::timeout_at(deadline, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.message().is_some() => return Err(ExchangeError::NotSent),
            Ok(Err(_)) => return Err(ExchangeError::Sent),
            Err(_) => return Err(ExchangeError::TimedOut),
        };
        connection.head_limit.end_head();
        let matched = match_response(response.status(), response.headers());
        if matched == ResponseMatch::Foreign {
            return Err(ExchangeError::InvalidResponse);
        }
        connection.limit_idle_time(response.headers());
        let buffered = self.buffered_response(&method, response, deadline).await?;
        if matched == ResponseMatch::Own {
            self.keep(connection);
        }
        Ok(buffered)
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
        let reading = read_budgeted_body(body, limit_bytes, timeout, &self.body_budget);
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

    async fn connection(&self, timeout: Duration) -> Result<PooledConnection, ExchangeError> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let permit = Arc::clone(&self.permits)
            .try_acquire_owned()
            .map_err(|_| ExchangeError::NoFreeConnection)?;
        let connect_timeout = Duration::from_millis(self.limits.connect_timeout_ms).min(timeout);
        match tokio::time::timeout(connect_timeout, open(self.address, permit)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) | Err(_) => Err(ExchangeError::NotConnected),
        }
    }

    fn take_idle(&self) -> Option<PooledConnection> {
        let idle_timeout = Duration::from_millis(self.limits.idle_timeout_ms);
        let mut idle = self.idle.lock();
        idle.retain(|connection| connection.is_usable(idle_timeout));
        idle.pop()
    }

    fn keep(&self, mut connection: PooledConnection) {
        connection.idle_since = Instant::now();
        if !connection.sender.is_closed() {
            self.idle.lock().push(connection);
        }
    }
}

async fn open(
    address: SocketAddr,
    permit: OwnedSemaphorePermit,
) -> Result<PooledConnection, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let head_limit = HeadLimit::unlimited();
    let limited = HeadLimited {
        stream,
        limit: head_limit.clone(),
    };
    let (sender, connection) = http1::handshake(TokioIo::new(limited)).await?;
    let driver = tokio::spawn(async move {
        // An error here also fails the exchange, which returns it.
        let _ = connection.await;
    });
    Ok(PooledConnection {
        sender,
        driver,
        idle_since: Instant::now(),
        idle_limit: None,
        head_limit,
        _permit: permit,
    })
}

fn http_request(request: BufferedRequest) -> Request<Full<Bytes>> {
    let mut http_request = Request::new(Full::new(request.body));
    *http_request.method_mut() = request.method;
    *http_request.uri_mut() = request.uri;
    *http_request.headers_mut() = request.headers;
    http_request
}
