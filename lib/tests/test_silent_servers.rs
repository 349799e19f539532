//! Servers whose connections go silent without a reset, and servers that are only slow.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balsamfold::connection::BufferedRequest;
use balsamfold::connection::BufferedResponse;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::ExchangeError;
use balsamfold::connection::PoolLimits;
use bytes::Bytes;
use futures::future::join_all;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use testutils::relay::deafen;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
/// Longer than any of these exchanges may take.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The time in which a silent connection must be given up.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(2);
/// Longer than a silent connection is kept.
const SLOW: Duration = Duration::from_secs(3);

/// Starts a server whose accepted connections the test handles itself.
async fn server() -> (ConnectionPool, UnboundedReceiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let (accepted, streams) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if accepted.send(stream).is_err() {
                break;
            }
        }
    });
    (pool(address), streams)
}

fn pool(address: SocketAddr) -> ConnectionPool {
    let limits = PoolLimits {
        connections_max: 8,
        connect_timeout_ms: 500,
        idle_timeout_ms: 20_000,
        response_bytes_max: 1_024 * 1_024,
    };
    ConnectionPool::new(address, limits)
}

fn request(body: Bytes) -> BufferedRequest {
    BufferedRequest {
        method: Method::POST,
        uri: "/x".parse().expect("valid path"),
        headers: HeaderMap::new(),
        body,
    }
}

async fn call(pool: &ConnectionPool) -> Result<BufferedResponse, ExchangeError> {
    pool.exchange(request(Bytes::new()), TIMEOUT).await
}

/// Reads until `bytes` have arrived.
async fn read(stream: &mut TcpStream, bytes: usize) {
    let mut received = 0;
    let mut buffer = vec![0; 64 * 1_024];
    while received < bytes {
        let read = stream.read(&mut buffer).await.expect("a request");
        assert!(read > 0, "closed after {received} bytes");
        received += read;
    }
}

/// Answers requests on each of the next connections.
fn answer_on_new_connections(mut streams: UnboundedReceiver<TcpStream>) {
    tokio::spawn(async move {
        while let Some(mut stream) = streams.recv().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    stream.write_all(RESPONSE).await.expect("the pool reads");
                }
            });
        }
    });
}

/// Makes exchanges at the same time, and returns the connections that are kept after them.
async fn keep_connections(
    pool: &ConnectionPool,
    streams: &mut UnboundedReceiver<TcpStream>,
    count: usize,
) -> Vec<TcpStream> {
    let calls = join_all((0..count).map(|_| call(pool)));
    let serving = async {
        let mut accepted = Vec::new();
        for _ in 0..count {
            accepted.push(streams.recv().await.expect("a connection"));
        }
        for stream in &mut accepted {
            read(stream, 1).await;
            stream.write_all(RESPONSE).await.expect("the pool reads");
        }
        accepted
    };
    let (responses, accepted) = tokio::join!(calls, serving);
    assert!(responses.iter().all(Result::is_ok), "{responses:?}");
    accepted
}

// Guards against requests that wait for their own time limits on one silent connection after the other.
#[tokio::test]
async fn silent_connection_is_given_up_and_the_other_kept_ones_with_it() {
    let (pool, mut streams) = server().await;
    let kept = keep_connections(&pool, &mut streams, 4).await;
    kept.iter().for_each(deafen);
    answer_on_new_connections(streams);
    let started = Instant::now();
    let first = call(&pool).await;
    assert!(matches!(first, Err(ExchangeError::Silent)), "{first:?}");
    let second = call(&pool).await;
    assert!(second.is_ok(), "{second:?}");
    assert!(
        started.elapsed() < GIVEN_UP_WITHIN,
        "{:?}",
        started.elapsed()
    );
}

// Guards against a request that the server acknowledged, and whose connection went silent then.
#[tokio::test]
async fn connection_that_goes_silent_during_a_run_is_given_up() {
    let (pool, mut streams) = server().await;
    let run = async {
        let mut stream = streams.recv().await.expect("a connection");
        read(&mut stream, 1).await;
        // The acknowledgement may be delayed.
        tokio::time::sleep(Duration::from_millis(100)).await;
        deafen(&stream);
        stream
    };
    let started = Instant::now();
    let (response, _stream) = tokio::join!(call(&pool), run);
    assert!(
        matches!(response, Err(ExchangeError::Silent)),
        "{response:?}"
    );
    // One probe after a second, which has another second.
    assert!(
        started.elapsed() < GIVEN_UP_WITHIN + Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
}

// Guards against a slow server that is taken for a silent connection.
#[tokio::test]
async fn slow_server_keeps_its_connection() {
    let (pool, mut streams) = server().await;
    let serving = async {
        let mut stream = streams.recv().await.expect("a connection");
        for delay in [SLOW, Duration::ZERO] {
            read(&mut stream, 1).await;
            tokio::time::sleep(delay).await;
            stream.write_all(RESPONSE).await.expect("the pool reads");
        }
        stream
    };
    let calls = async { [call(&pool).await, call(&pool).await] };
    let (responses, _stream) = tokio::join!(calls, serving);
    for response in responses {
        assert_eq!(response.expect("a response").status, StatusCode::OK);
    }
    assert!(streams.try_recv().is_err());
}

// Guards against a server that reads a large body late, whose closed window is taken for silence.
#[tokio::test]
async fn server_that_reads_a_large_body_late_gets_it_once() {
    const BODY_BYTES: usize = 16 * 1_024 * 1_024;
    let (pool, mut streams) = server().await;
    let serving = async {
        let mut stream = streams.recv().await.expect("a connection");
        tokio::time::sleep(SLOW).await;
        read(&mut stream, BODY_BYTES).await;
        stream.write_all(RESPONSE).await.expect("the pool reads");
        stream
    };
    let large = request(Bytes::from(vec![0; BODY_BYTES]));
    let (response, _stream) = tokio::join!(pool.exchange(large, TIMEOUT), serving);
    assert_eq!(response.expect("a response").status, StatusCode::OK);
    assert!(streams.try_recv().is_err());
}
