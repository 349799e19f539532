//! Requests that are on a connection while its listener closes it.

use std::time::Duration;

use balsamfold::connection::Listener;
use balsamfold::connection::ListenerHandle;
use balsamfold::connection::ListenerLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use volo_http::body::Body;
use volo_http::response::Response;

const REQUEST: &[u8] = b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
const IDLE_TIMEOUT: Duration = Duration::from_millis(50);
const HEADER_TIMEOUT: Duration = Duration::from_secs(2);
const LONGER_THAN_IDLE: Duration = Duration::from_millis(200);
/// Longer than a stopping listener reads on connections without a request.
const LONGER_THAN_STOP_READ: Duration = Duration::from_millis(400);
/// Larger than the buffers of both ends of a connection.
const LARGE_BYTES: usize = 8 * 1_024 * 1_024;
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1_024;

fn limits(idle_timeout: Duration) -> ListenerLimits {
    ListenerLimits {
        connections_max: 100,
        header_timeout_ms: HEADER_TIMEOUT.as_millis() as u64,
        idle_timeout_ms: idle_timeout.as_millis() as u64,
        header_bytes_max: 64 * 1_024,
    }
}

/// Serves a large response to requests for `/large`, a late one to requests for `/slow`, and a short one to all others.
async fn serve(idle_timeout: Duration) -> (ListenerHandle, TcpStream) {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = listener.address();
    let serving = listener.serve(limits(idle_timeout), |request| async move {
        match request.uri().path() {
            "/large" => Response::new(Body::from(vec![b'x'; LARGE_BYTES])),
            "/slow" => {
                tokio::time::sleep(LONGER_THAN_STOP_READ).await;
                Response::new(Body::from("whole"))
            }
            _ => Response::new(Body::from("whole")),
        }
    });
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    (serving, socket.connect(address).await.unwrap())
}

/// Returns a connection on which a request was answered already.
async fn serve_kept(idle_timeout: Duration) -> (ListenerHandle, TcpStream) {
    let (serving, mut stream) = serve(idle_timeout).await;
    stream.write_all(REQUEST).await.unwrap();
    let mut received = vec![0; 1_024];
    let length = stream.read(&mut received).await.unwrap();
    assert!(received[..length].ends_with(b"whole"));
    (serving, stream)
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut received = Vec::new();
    // A reset ends the connection like a close: what arrived before it counts.
    let _ = stream.read_to_end(&mut received).await;
    String::from_utf8(received).unwrap()
}

async fn stop(serving: &ListenerHandle) -> tokio::task::JoinHandle<()> {
    let serving = serving.clone();
    let stopping = tokio::spawn(async move { serving.stop().await });
    tokio::task::yield_now().await;
    stopping
}

// Guards against a request that ends without a response because a stop began while its head arrived on a kept connection.
#[tokio::test]
async fn request_whose_head_arrives_around_a_stop_is_answered_on_a_kept_connection() {
    for split in [1, 10, REQUEST.len() - 1] {
        let (serving, mut stream) = serve_kept(Duration::from_secs(60)).await;
        let (first, rest) = REQUEST.split_at(split);
        stream.write_all(first).await.unwrap();
        let stopping = stop(&serving).await;
        tokio::time::sleep(LONGER_THAN_STOP_READ).await;
        stream.write_all(rest).await.unwrap();
        let received = read_to_end(stream).await;
        assert!(received.ends_with("whole"), "split {split}: {received:?}");
        assert!(received.contains("connection: close"), "{received:?}");
        stopping.await.unwrap();
    }
}

// Guards against a request that ends without a response because its head was still arriving at the idle timeout.
#[tokio::test]
async fn request_whose_head_arrives_around_the_idle_timeout_is_answered() {
    for split in [1, 10, REQUEST.len() - 1] {
        let (_serving, mut stream) = serve_kept(IDLE_TIMEOUT).await;
        let (first, rest) = REQUEST.split_at(split);
        stream.write_all(first).await.unwrap();
        tokio::time::sleep(LONGER_THAN_IDLE).await;
        stream.write_all(rest).await.unwrap();
        let received = read_to_end(stream).await;
        assert!(received.ends_with("whole"), "split {split}: {received:?}");
    }
}

// Guards against a request whose head gets less than its time because that of the idle connection counts.
#[tokio::test]
async fn head_that_begins_late_on_an_idle_connection_gets_its_whole_time() {
    let (_serving, mut stream) = serve_kept(HEADER_TIMEOUT).await;
    let (first, rest) = REQUEST.split_at(10);
    tokio::time::sleep(HEADER_TIMEOUT.mul_f64(0.9)).await;
    stream.write_all(first).await.unwrap();
    tokio::time::sleep(HEADER_TIMEOUT.mul_f64(0.5)).await;
    stream.write_all(rest).await.unwrap();
    let received = read_to_end(stream).await;
    assert!(received.ends_with("whole"), "{received:?}");
}

// Guards against a head that may take any time, byte by byte.
#[tokio::test]
async fn head_that_takes_too_long_on_a_kept_connection_ends_it() {
    let (_serving, mut stream) = serve_kept(IDLE_TIMEOUT).await;
    let sending = async {
        for byte in REQUEST.iter().cycle().take(200) {
            if stream.write_all(&[*byte]).await.is_err() {
                return;
            }
            tokio::time::sleep(HEADER_TIMEOUT / 10).await;
        }
    };
    let limit = IDLE_TIMEOUT + HEADER_TIMEOUT * 2;
    assert!(tokio::time::timeout(limit, sending).await.is_ok());
}

// Guards against a request that ends without a response because its first bytes came together with the request before it.
#[tokio::test]
async fn request_that_begins_behind_another_one_is_answered_after_the_idle_timeout() {
    let (_serving, mut stream) = serve(IDLE_TIMEOUT).await;
    let (first, rest) = REQUEST.split_at(10);
    stream.write_all(&[REQUEST, first].concat()).await.unwrap();
    tokio::time::sleep(LONGER_THAN_IDLE).await;
    stream.write_all(rest).await.unwrap();
    let received = read_to_end(stream).await;
    assert_eq!(received.matches("whole").count(), 2, "{received:?}");
}

// Guards against a request that ends without a response because the process was held up beyond the idle timeout while
// the request waited in the socket.
#[tokio::test]
async fn request_that_waits_while_the_process_is_held_up_is_answered() {
    for round in 0..40 {
        let (_serving, mut stream) = serve_kept(IDLE_TIMEOUT).await;
        stream.write_all(REQUEST).await.unwrap();
        // The runtime has one thread.
        std::thread::sleep(IDLE_TIMEOUT * 3);
        let received = read_to_end(stream).await;
        assert!(received.ends_with("whole"), "round {round}: {received:?}");
    }
}

// Guards against a request that ends without a response because it waited in the socket while a stop was held up.
#[tokio::test]
async fn request_that_waits_while_a_stop_is_held_up_is_answered() {
    for round in 0..10 {
        let (serving, mut stream) = serve_kept(Duration::from_secs(60)).await;
        let stopping = stop(&serving).await;
        stream.write_all(REQUEST).await.unwrap();
        std::thread::sleep(LONGER_THAN_STOP_READ);
        let received = read_to_end(stream).await;
        assert!(received.ends_with("whole"), "round {round}: {received:?}");
        stopping.await.unwrap();
    }
}

// Guards against a response that its caller loses because the connection is reset when a further request is unread.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_of_a_stop_is_received_whole_by_a_caller_that_sends_further_requests() {
    let (serving, mut stream) = serve_kept(Duration::from_secs(60)).await;
    let large = b"GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(large).await.unwrap();
    let stopping = stop(&serving).await;
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::spawn(async move {
        // Writes fail once the connection has ended.
        while writer.write_all(REQUEST).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    let mut received = 0;
    let mut part = vec![0; 64 * 1_024];
    while let Ok(bytes @ 1..) = reader.read(&mut part).await {
        received += bytes;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    drop(reader);
    assert!(received > LARGE_BYTES, "{received} of {LARGE_BYTES} bytes");
    writing.await.unwrap();
    stopping.await.unwrap();
}

// Guards against a connection that ends without notice right behind a response which its caller reads slowly.
#[tokio::test]
async fn request_behind_a_slowly_read_response_is_answered_at_the_idle_timeout() {
    // The kernel holds the end of the response for a caller that has no CPU time.
    let idle_timeout = Duration::from_secs(1);
    let (_serving, mut stream) = serve(idle_timeout).await;
    stream
        .write_all(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    tokio::time::sleep(idle_timeout * 2).await;
    let (mut reader, mut writer) = stream.into_split();
    let mut received = 0;
    let mut part = vec![0; 64 * 1_024];
    while received < LARGE_BYTES {
        received += reader.read(&mut part).await.unwrap();
    }
    writer.write_all(REQUEST).await.unwrap();
    let received = read_to_end(reader.reunite(writer).unwrap()).await;
    assert!(received.ends_with("whole"), "{received:?}");
}

// Guards against a caller that gets no response because it closes its writing side behind its request.
#[tokio::test]
async fn caller_that_closes_its_writing_side_is_told_that_its_request_was_given_up() {
    let (_serving, mut stream) = serve(Duration::from_secs(60)).await;
    stream
        .write_all(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    stream.shutdown().await.unwrap();
    let received = read_to_end(stream).await;
    assert!(received.starts_with("HTTP/1.1 502 "), "{received:?}");
    assert!(received.contains("connection: close"), "{received:?}");
}

// Guards against a stop that waits for callers which do not close their idle connections.
#[tokio::test]
async fn stop_does_not_wait_for_callers_that_keep_idle_connections_open() {
    let (serving, stream) = serve_kept(Duration::from_secs(60)).await;
    let stopped = tokio::time::timeout(Duration::from_secs(2), serving.stop()).await;
    assert!(stopped.is_ok());
    drop(stream);
}
