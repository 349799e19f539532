//! Idle timeout of the connections of a listener, and its stop.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use balsamfold::connection::Listener;
use balsamfold::connection::ListenerHandle;
use balsamfold::connection::ListenerLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use volo_http::body::Body;
use volo_http::response::Response;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const IDLE_TIMEOUT: Duration = Duration::from_millis(50);
const LONGER_THAN_IDLE: Duration = Duration::from_millis(200);
/// Connections of a test in which chance decides on each of them.
const CONNECTIONS: usize = 10;

fn limits() -> ListenerLimits {
    ListenerLimits {
        connections_max: 10,
        header_timeout_ms: 60_000,
        idle_timeout_ms: IDLE_TIMEOUT.as_millis() as u64,
        header_bytes_max: 64 * 1_024,
    }
}

/// Serves requests that take `duration` each.
async fn serve(duration: Duration) -> (ListenerHandle, TcpStream) {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = listener.address();
    let serving = listener.serve(limits(), move |_| async move {
        tokio::time::sleep(duration).await;
        Response::new(Body::from("whole"))
    });
    (serving, TcpStream::connect(address).await.unwrap())
}

#[tokio::test]
async fn connection_is_closed_after_idle_timeout() {
    let (_serving, mut stream) = serve(Duration::ZERO).await;
    stream.write_all(REQUEST).await.unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).await.unwrap();
    assert!(received.starts_with("HTTP/1.1 200 OK"), "{received}");
    assert!(received.ends_with("whole"), "{received}");
}

#[tokio::test]
async fn request_longer_than_idle_timeout_completes() {
    let (_serving, mut stream) = serve(LONGER_THAN_IDLE).await;
    for _ in 0..2 {
        stream.write_all(REQUEST).await.unwrap();
        let mut received = vec![0; 1_024];
        let bytes = stream.read(&mut received).await.unwrap();
        let received = String::from_utf8_lossy(&received[..bytes]);
        assert!(received.ends_with("whole"), "{received}");
    }
}

#[tokio::test]
async fn idle_timeout_does_not_apply_before_first_request() {
    let (_serving, mut stream) = serve(Duration::ZERO).await;
    let (first, second) = REQUEST.split_at(10);
    stream.write_all(first).await.unwrap();
    tokio::time::sleep(LONGER_THAN_IDLE).await;
    stream.write_all(second).await.unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).await.unwrap();
    assert!(received.ends_with("whole"), "{received}");
}

// Guards against a request that ends without an answer, because it arrived while the process stood still and
// the connection's idle time was over when it went on.
#[tokio::test]
async fn request_that_arrived_before_a_late_idle_timeout_is_answered() {
    let mut answered = 0;
    for _ in 0..CONNECTIONS {
        let (_serving, mut stream) = serve(Duration::ZERO).await;
        stream.write_all(REQUEST).await.unwrap();
        let bytes = stream.read(&mut [0; 1_024]).await.unwrap();
        assert_ne!(bytes, 0);
        assert_eq!(stream.try_write(REQUEST).unwrap(), REQUEST.len());
        // Blocks the only thread of the runtime.
        std::thread::sleep(LONGER_THAN_IDLE);
        let mut received = String::new();
        let read = stream.read_to_string(&mut received).await;
        answered += usize::from(read.is_ok() && received.ends_with("whole"));
    }
    assert_eq!(answered, CONNECTIONS);
}

// Guards against a stop that resets connections which the kernel has accepted and the process has not.
#[tokio::test]
async fn requests_on_connections_not_yet_accepted_are_answered_at_a_stop() {
    let (serving, first) = serve(Duration::ZERO).await;
    let address = first.peer_addr().unwrap();
    drop(first);
    // The runtime has one thread, so that nothing is accepted meanwhile.
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let mut client = std::net::TcpStream::connect(address).unwrap();
            std::io::Write::write_all(&mut client, REQUEST).unwrap();
            client.set_nonblocking(true).unwrap();
            TcpStream::from_std(client).unwrap()
        })
        .collect();
    serving.stop().await;
    for mut client in clients {
        let mut received = String::new();
        client.read_to_string(&mut received).await.unwrap();
        assert!(received.ends_with("whole"), "{received}");
    }
}

#[tokio::test]
async fn request_whose_head_is_half_read_is_answered_at_a_stop() {
    let (serving, mut stream) = serve(Duration::ZERO).await;
    let (first, second) = REQUEST.split_at(10);
    stream.write_all(first).await.unwrap();
    while serving.open_connections() == 0 {
        tokio::task::yield_now().await;
    }
    let stopping = tokio::spawn(async move { serving.stop().await });
    tokio::task::yield_now().await;
    stream.write_all(second).await.unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).await.unwrap();
    assert!(received.ends_with("whole"), "{received}");
    stopping.await.unwrap();
}

// Guards against runs that go on after their client has left, and further ones that begin, because bytes of another
// pipelined request hide the end of the connection.
#[tokio::test]
async fn request_is_cancelled_when_its_client_leaves_behind_pipelined_requests() {
    let (started, finished) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = listener.address();
    let (starts, ends) = (Arc::clone(&started), Arc::clone(&finished));
    let _serving = listener.serve(limits(), move |_| {
        let (starts, ends) = (Arc::clone(&starts), Arc::clone(&ends));
        async move {
            starts.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_secs(2)).await;
            ends.fetch_add(1, Ordering::Relaxed);
            Response::new(Body::from("whole"))
        }
    });
    for count in [1, 3, 2_000] {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(&REQUEST.repeat(count)).await.unwrap();
        tokio::time::sleep(LONGER_THAN_IDLE).await;
        drop(client);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(started.load(Ordering::Relaxed), 3);
    assert_eq!(finished.load(Ordering::Relaxed), 0);
}
