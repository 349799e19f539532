//! Connections to servers that are kept for later requests, and closed by their servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsamfold::connection::BufferedRequest;
use balsamfold::connection::BufferedResponse;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::ExchangeError;
use balsamfold::connection::PoolLimits;
use balsamfold::request::Verdict;
use bytes::Bytes;
use futures::future::join;
use futures::future::join_all;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const ROUNDS: usize = 20;
const CROSSINGS: usize = 2_000;
/// Attempts of a relay at a request of which no byte was written.
const ATTEMPTS: usize = 3;
const CONNECTIONS_MAX: u32 = 6;
/// Only a hanging test reaches it.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A server that responds once on each connection, and closes it without reading on.
struct Server {
    address: SocketAddr,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    accepted: AtomicUsize,
    received: AtomicUsize,
    closed: AtomicUsize,
}

async fn server(close_delay: Duration) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let counts = Arc::<Counts>::default();
    let counted = Arc::clone(&counts);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.accepted.fetch_add(1, Ordering::SeqCst);
            let counted = Arc::clone(&counted);
            tokio::spawn(async move {
                respond_once(stream, close_delay, &counted).await;
                counted.closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    Server { address, counts }
}

async fn respond_once(mut stream: TcpStream, close_delay: Duration, counts: &Counts) {
    let mut buffer = [0; 4_096];
    if stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
        counts.received.fetch_add(1, Ordering::SeqCst);
    }
    // A pool that found its connection unusable has closed it.
    let _ = stream.write_all(RESPONSE).await;
    sleep(close_delay).await;
}

fn pool(address: SocketAddr) -> ConnectionPool {
    let limits = PoolLimits {
        connections_max: CONNECTIONS_MAX,
        connect_timeout_ms: 500,
        idle_timeout_ms: 4_000,
        response_bytes_max: 1_024,
    };
    ConnectionPool::new(address, limits)
}

async fn call(pool: &ConnectionPool) -> Result<BufferedResponse, ExchangeError> {
    let request = BufferedRequest {
        method: Method::POST,
        uri: "/x".parse().expect("valid path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    pool.exchange(request, TIMEOUT).await
}

/// Calls again while no byte of the request was written, as often as a relay does.
async fn call_with_attempts(pool: &ConnectionPool) -> Result<StatusCode, ExchangeError> {
    let mut result = Err(ExchangeError::NotSent);
    for _ in 0..ATTEMPTS {
        result = call(pool).await.map(|response| response.status);
        if !matches!(result, Err(ExchangeError::NotSent)) {
            break;
        }
    }
    result
}

/// Starts a server on a thread of its own.
fn server_apart(close_delay: Duration) -> Server {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().expect("a runtime starts");
        runtime.block_on(async move {
            let server = server(close_delay).await;
            sender.send(server).expect("the test waits");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("a server")
}

// Guards against requests on connections that their server closed while the process did not run: they
// counted as sent although the ends of the connections were there.
#[tokio::test]
async fn requests_after_a_standstill_use_no_connection_that_was_closed_meanwhile() {
    for concurrent in [1, CONNECTIONS_MAX] {
        let server = server_apart(Duration::from_millis(20));
        let counts = &server.counts;
        for round in 0..ROUNDS {
            let pool = pool(server.address);
            let calls = || join_all((0..concurrent).map(|_| call_with_attempts(&pool)));
            calls().await;
            // Blocks the only thread, like a suspended instance.
            while counts.closed.load(Ordering::SeqCst) < counts.accepted.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(1));
            }
            let results = calls().await;
            let is_ok = |result: &Result<_, _>| matches!(result, Ok(StatusCode::OK));
            assert!(results.iter().all(is_ok), "round {round}: {results:?}");
        }
    }
}

// Guards against a request that crosses the close of its connection and is told not run although the server
// has read it, or is sent again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crosses_the_close_of_its_connection_may_have_run() {
    let server = server(Duration::ZERO).await;
    let pool = pool(server.address);
    let received = &server.counts.received;
    for _ in 0..CROSSINGS {
        let before = received.load(Ordering::SeqCst);
        let result = call(&pool).await;
        let arrived = received.load(Ordering::SeqCst) - before;
        match result {
            Ok(_) => assert_eq!(arrived, 1),
            Err(error) if error.verdict() == Verdict::NotRun => assert_eq!(arrived, 0),
            Err(_) => assert!(arrived <= 1, "{arrived}"),
        }
    }
}

// Guards against a request on a connection of which the server has said that it ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connection_that_its_server_ends_is_not_used_again() {
    for headers in [
        "connection: close\r\n",
        "Connection: Keep-Alive, Close\r\n",
        "keep-alive: timeout=0\r\n",
        "Keep-Alive: max=7, timeout=1\r\n",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let pool = pool(listener.local_addr().expect("bound"));
        let mut open = Vec::new();
        for _ in 0..3 {
            let serving = async {
                let (mut stream, _) = listener.accept().await.expect("a new connection");
                let mut buffer = [0; 4_096];
                let read = stream.read(&mut buffer).await.expect("a request");
                assert!(read > 0, "closed without a request");
                let response = format!("HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n\r\n");
                let written = stream.write_all(response.as_bytes()).await;
                written.expect("the pool reads");
                stream
            };
            let exchange = join(call(&pool), serving);
            let exchange = tokio::time::timeout(Duration::from_secs(5), exchange).await;
            let (response, stream) = exchange.unwrap_or_else(|_| panic!("used again: {headers:?}"));
            assert_eq!(response.expect("a response").status, StatusCode::OK);
            // The server itself closes later than it says.
            open.push(stream);
            sleep(Duration::from_millis(800)).await;
        }
    }
}
