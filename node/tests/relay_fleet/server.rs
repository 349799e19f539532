//! A backend server whose work takes as long as the path says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsamfold::connection::BufferedRequest;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::Listener;
use balsamfold::connection::ListenerHandle;
use balsamfold::connection::ListenerLimits;
use balsamfold::connection::PoolLimits;
use balsamfold_platform::protocol;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use parking_lot::Mutex;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

/// In the path of a request that is answered with a head without end.
const ENDLESS: &[u8] = b"/endless/";
/// In the path of a request that is answered with a large body.
const LARGE: &str = "/large/";
const LARGE_BODY_BYTES: usize = 256 * 1_024;
/// Longest first part of a request.
const PEEKED_BYTES: usize = 2_048;
const REPORT_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between two reports while the relay does not accept them.
const REPORT_RETRY_PERIOD: Duration = Duration::from_millis(100);

/// A backend server.
pub struct Server {
    pub address: SocketAddr,
    service: &'static str,
    id: String,
    slots: u32,
    runs: Arc<Mutex<Vec<String>>>,
    /// Accepts all connections.
    front: JoinHandle<()>,
    _serving: ListenerHandle,
    reporting: Option<JoinHandle<()>>,
}

impl Server {
    pub async fn start(service: &'static str, id: String, slots: u32) -> Self {
        let any = "127.0.0.1:0".parse().expect("valid address");
        let listener = Listener::bind(any).await.expect("a port is free");
        let front = TcpListener::bind(any).await.expect("a port is free");
        let address = front.local_addr().expect("bound");
        let faulty = tokio::spawn(serve_front(front, listener.address()));
        let limits = ListenerLimits {
            connections_max: 512,
            header_timeout_ms: 60_000,
            idle_timeout_ms: 60_000,
            header_bytes_max: 65_536,
        };
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let (recorded, own_id) = (Arc::clone(&runs), id.clone());
        let serving = listener.serve(limits, move |request| {
            let (runs, id) = (Arc::clone(&recorded), own_id.clone());
            async move { run(&runs, service, &id, &request).await }
        });
        Self {
            address,
            service,
            id,
            slots,
            runs,
            front: faulty,
            _serving: serving,
            reporting: None,
        }
    }

    /// Returns the ids of the requests that the server began to run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().clone()
    }

    /// Reports to the relay at `reports` until the server is dropped.
    pub fn report_to(&mut self, reports: SocketAddr) {
        let (address, service, id) = (self.address, self.service, self.id.clone());
        let slots = self.slots;
        let reporting = async move {
            for sequence in 1.. {
                let body = json!({
                    "address": address.to_string(),
                    "born": 1,
                    "info": { "service": service, "slots": slots },
                    "status": { "state": "ready", "sequence": sequence },
                });
                let accepted = report(reports, &id, body.to_string()).await;
                let pause = match accepted {
                    true => REPORT_PERIOD,
                    false => REPORT_RETRY_PERIOD,
                };
                tokio::time::sleep(pause).await;
            }
        };
        self.reporting = Some(tokio::spawn(reporting));
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.front.abort();
        if let Some(reporting) = &self.reporting {
            reporting.abort();
        }
    }
}

/// Answers connections whose first request is for a head without end, and passes the others on to `server`.
async fn serve_front(front: TcpListener, server: SocketAddr) {
    while let Ok((mut caller, _)) = front.accept().await {
        tokio::spawn(async move {
            let mut part = [0; PEEKED_BYTES];
            let peeked = caller.peek(&mut part).await?;
            let mut windows = part[..peeked].windows(ENDLESS.len());
            if windows.any(|bytes| bytes == ENDLESS) {
                return send_endless_head(caller).await;
            }
            let mut server = TcpStream::connect(server).await?;
            tokio::io::copy_bidirectional(&mut caller, &mut server).await?;
            std::io::Result::Ok(())
        });
    }
}

/// Sends the head of a response, whose only header has no end, until the caller closes the connection.
async fn send_endless_head(mut caller: TcpStream) -> std::io::Result<()> {
    caller.write_all(b"HTTP/1.1 200 OK\r\nx: ").await?;
    loop {
        caller.write_all(&[b'y'; 4_096]).await?;
        // All connections hold about as much at any time.
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn report(reports: SocketAddr, id: &str, body: String) -> bool {
    let limits = PoolLimits {
        connections_max: 1,
        connect_timeout_ms: 500,
        idle_timeout_ms: 500,
        response_bytes_max: 65_536,
    };
    let host = HeaderValue::from_static("relay");
    let request = BufferedRequest {
        method: Method::PUT,
        uri: format!("/api/instances/{id}").parse().expect("valid path"),
        headers: HeaderMap::from_iter([(header::HOST, host)]),
        body: Bytes::from(body),
    };
    let pool = ConnectionPool::new(reports, limits);
    let response = pool.exchange(request, Duration::from_secs(1)).await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}

async fn run(
    runs: &Mutex<Vec<String>>,
    service: &str,
    server_id: &str,
    request: &Request,
) -> Response {
    let names = protocol().headers;
    let text = |name: &HeaderName| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let expected = text(&names.expected_server);
    if expected.is_some_and(|expected| expected != server_id) {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        return response;
    }
    let id = text(&names.request_id).unwrap_or_default();
    runs.lock().push(id.clone());
    let last = request.uri().path().rsplit('/').next();
    let work_ms = last.and_then(|text| text.parse().ok()).unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(work_ms)).await;
    let body = match request.uri().path().contains(LARGE) {
        true => Body::from(vec![b'z'; LARGE_BODY_BYTES]),
        false => Body::from(format!("{service} {id}")),
    };
    let mut response = Response::new(body);
    let id = HeaderValue::try_from(id).expect("valid header");
    response.headers_mut().insert(names.request_id, id);
    response
}
