//! Servers that are only slow, and must not be taken for silent ones.

use std::net::SocketAddr;
use std::time::Duration;

use balsamfold::connection::BufferedRequest;
use balsamfold::connection::BufferedResponse;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::ExchangeError;
use balsamfold::connection::PoolLimits;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
/// Longer than any of these exchanges may take.
const TIMEOUT: Duration = Duration::from_secs(20);
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
