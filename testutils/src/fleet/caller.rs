//! A caller with a connection pool to one node.

use std::net::SocketAddr;
use std::time::Duration;

use balsamfold::connection::BufferedRequest;
use balsamfold::connection::BufferedResponse;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::ExchangeError;
use balsamfold::connection::PoolLimits;
use balsamfold::version::CallerKey;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::header;

const TIMEOUT: Duration = Duration::from_secs(30);

/// A caller with a connection pool to one node.
pub struct Caller {
    pool: ConnectionPool,
}

impl Caller {
    /// Creates a caller of the node whose caller listener is `address`.
    pub fn new(address: SocketAddr) -> Self {
        let limits = PoolLimits {
            connections_max: 4_096,
            connect_timeout_ms: 2_000,
            // Shorter than the idle timeout of nodes in tests.
            idle_timeout_ms: 200,
            response_bytes_max: 64 * 1_024 * 1_024,
        };
        Self {
            pool: ConnectionPool::new(address, limits),
        }
    }

    /// Sends one request and waits up to 30 s for the response.
    pub async fn send(&self, request: BufferedRequest) -> Result<BufferedResponse, ExchangeError> {
        self.pool.exchange(request, TIMEOUT).await
    }
}

/// Builds a POST request with an optional key and further headers.
pub fn post(
    path: &str,
    key: Option<&CallerKey>,
    headers: &[(HeaderName, &str)],
    body: &str,
) -> BufferedRequest {
    let mut map = HeaderMap::new();
    map.insert(header::HOST, HeaderValue::from_static("balsamfold.test"));
    if let Some(key) = key {
        let bearer = format!("Bearer {}", key.reveal());
        let value = HeaderValue::try_from(bearer).expect("keys of tests are ASCII");
        map.insert(header::AUTHORIZATION, value);
    }
    for (name, value) in headers {
        let value = HeaderValue::try_from(*value).expect("headers of tests are ASCII");
        map.insert(name, value);
    }
    BufferedRequest {
        method: Method::POST,
        uri: path.parse().expect("paths of tests are valid"),
        headers: map,
        body: Bytes::from(body.to_owned()),
    }
}
