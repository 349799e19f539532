//! Backend servers that send bytes without end, in the head or the body of a response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsamfold::connection::BodyKind;
use balsamfold::connection::BufferedRequest;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::ExchangeError;
use balsamfold::connection::MemoryBudget;
use balsamfold::connection::PoolLimits;
use balsamfold::connection::read_budgeted_body;
use bytes::Bytes;
use futures::future::join_all;
use http::HeaderMap;
use http::Method;
use http_body::Frame;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use volo_http::body::Body;

/// Longer than any of these exchanges may take.
const TIMEOUT: Duration = Duration::from_secs(60);
const BLOCK_BYTES: usize = 16 * 1_024;

/// Starts a server that answers its first connection with `head`, and then with `block` until the
/// caller closes the connection.
async fn endless_server(
    head: &'static str,
    block: &'static str,
) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let serving = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        send_until_closed(stream, head, block).await
    });
    (address, serving)
}

/// Returns how many bytes were sent.
async fn send_until_closed(mut stream: TcpStream, head: &str, block: &str) -> usize {
    let mut request = [0; 1_024];
    let received = stream.read(&mut request).await.expect("a request");
    assert!(received > 0);
    let repeated = block.repeat(BLOCK_BYTES / block.len());
    let mut sent = 0;
    if stream.write_all(head.as_bytes()).await.is_err() {
        return sent;
    }
    while stream.write_all(repeated.as_bytes()).await.is_ok() {
        sent += repeated.len();
    }
    sent
}

async fn exchange(address: SocketAddr) -> ExchangeError {
    let limits = PoolLimits {
        connections_max: 1,
        connect_timeout_ms: 1_000,
        idle_timeout_ms: 1_000,
        response_bytes_max: 1_024 * 1_024,
    };
    let request = BufferedRequest {
        method: Method::GET,
        uri: "/x".parse().expect("valid path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let pool = ConnectionPool::new(address, limits);
    pool.exchange(request, TIMEOUT)
        .await
        .expect_err("no response is complete")
}

/// Expects that the exchange fails before its timeout, and that the connection is closed.
async fn expect_early_failure(head: &'static str, block: &'static str) -> usize {
    let (address, serving) = endless_server(head, block).await;
    let error = exchange(address).await;
    assert!(!matches!(error, ExchangeError::TimedOut), "{error}");
    serving.await.expect("the server ends")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn headers_without_end_close_the_connection() {
    expect_early_failure("HTTP/1.1 200 OK\r\n", "x: y\r\n").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn header_line_without_end_closes_the_connection() {
    expect_early_failure("HTTP/1.1 200 OK\r\nx: ", "yyyyyyyy").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_that_are_no_response_close_the_connection() {
    expect_early_failure("", "zzzzzzzz").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn line_breaks_without_end_close_the_connection() {
    expect_early_failure("", "\r\n").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interim_responses_without_end_close_the_connection() {
    expect_early_failure("", "HTTP/1.1 100 Continue\r\n\r\n").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_without_end_closes_the_connection() {
    expect_early_failure("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "zzzzzzzz").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_without_end_close_the_connection() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    expect_early_failure(head, "4\r\nzzzz\r\n").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trailers_without_end_close_the_connection() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    expect_early_failure(head, "x: y\r\n").await;
}

/// Answers each request of a connection with a body of this size.
async fn send_bodies(mut stream: TcpStream, body_bytes: usize) {
    let mut request = [0; 1_024];
    while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n");
        let response = [head.into_bytes(), vec![b'z'; body_bytes]].concat();
        stream.write_all(&response).await.expect("the caller reads");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn body_that_is_larger_than_any_head_arrives_whole() {
    const BODY_BYTES: usize = 8 * 1_024 * 1_024;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        // The pool opens another connection if the last one is not ready again yet.
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_bodies(stream, BODY_BYTES));
        }
    });
    let limits = PoolLimits {
        connections_max: 1,
        connect_timeout_ms: 1_000,
        idle_timeout_ms: 10_000,
        response_bytes_max: BODY_BYTES,
    };
    let pool = ConnectionPool::new(address, limits);
    for _ in 0..10 {
        let request = BufferedRequest {
            method: Method::GET,
            uri: "/x".parse().expect("valid path"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let response = pool.exchange(request, TIMEOUT).await;
        assert_eq!(response.expect("a response").body.len(), BODY_BYTES);
    }
}

/// Counts the bytes that all bodies without end hold, and the most that they held at a time.
#[derive(Default)]
struct Held {
    bytes: AtomicUsize,
    bytes_max: AtomicUsize,
}

/// The blocks that were taken from one body; dropped with the body.
struct TakenBlocks {
    held: Arc<Held>,
    bytes: usize,
}

impl TakenBlocks {
    fn take(&mut self) -> Bytes {
        self.bytes += BLOCK_BYTES;
        let held = self.held.bytes.fetch_add(BLOCK_BYTES, Ordering::Relaxed) + BLOCK_BYTES;
        self.held.bytes_max.fetch_max(held, Ordering::Relaxed);
        Bytes::from_static(&[b'z'; BLOCK_BYTES])
    }
}

impl Drop for TakenBlocks {
    fn drop(&mut self) {
        self.held.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Returns a body without end that lets others go on after each block.
fn endless_body(held: &Arc<Held>) -> Body {
    let taken = TakenBlocks {
        held: Arc::clone(held),
        bytes: 0,
    };
    let blocks = futures::stream::unfold(taken, |mut taken| async move {
        tokio::task::yield_now().await;
        let block = Frame::data(taken.take());
        Some((Ok(block), taken))
    });
    Body::from_stream(blocks)
}

// Guards against bodies without end that fill the memory together, each of them below the limit of one.
#[tokio::test]
async fn bodies_without_end_hold_no_more_than_one_body_together() {
    const LIMIT_BYTES: usize = 8 * 1_024 * 1_024;
    const BODIES: usize = 50;
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let held = Arc::new(Held::default());
    let bodies = (0..BODIES).map(|_| {
        let charge = budget.start(BodyKind::Response);
        read_budgeted_body(endless_body(&held), LIMIT_BYTES, TIMEOUT, charge)
    });
    let results = join_all(bodies).await;
    assert!(results.iter().all(Result::is_err));
    let uncounted = BODIES * (MemoryBudget::SMALL_BYTES + BLOCK_BYTES);
    assert!(held.bytes_max.load(Ordering::Relaxed) <= LIMIT_BYTES + uncounted);
}

#[tokio::test]
async fn small_bodies_arrive_beside_bodies_without_end() {
    let budget = MemoryBudget::new(0);
    let small = Body::from("small");
    let charge = budget.start(BodyKind::Response);
    let read = read_budgeted_body(small, 1_024, TIMEOUT, charge).await;
    assert_eq!(read.expect("a body"), "small");
}
