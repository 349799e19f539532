//! Connections that close or stay open at the edges of HTTP/1.1.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsamfold::connection::Listener;
use balsamfold::connection::ListenerHandle;
use balsamfold::connection::ListenerLimits;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::StreamBody;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use volo_http::body::Body;
use volo_http::response::Response;

const REQUEST: &[u8] = b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
const LARGE_REQUEST: &[u8] = b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
const IDLE_TIMEOUT: Duration = Duration::from_millis(50);
const LONG_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const HEADER_TIMEOUT: Duration = Duration::from_secs(1);
/// Larger than the buffers of both ends of a connection.
const LARGE_BYTES: usize = 8 * 1_024 * 1_024;
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1_024;
/// Time within which a run ends after its client has left.
const LEAVE_MAX: Duration = Duration::from_millis(500);

fn limits(idle_timeout: Duration, connections_max: u32) -> ListenerLimits {
    ListenerLimits {
        connections_max,
        header_timeout_ms: HEADER_TIMEOUT.as_millis() as u64,
        idle_timeout_ms: idle_timeout.as_millis() as u64,
        header_bytes_max: 64 * 1_024,
    }
}

/// Counts runs that are still in progress.
struct Running(Arc<AtomicUsize>);

impl Running {
    fn start(running: &Arc<AtomicUsize>) -> Self {
        running.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(running))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

struct Served {
    handle: ListenerHandle,
    stream: TcpStream,
    running: Arc<AtomicUsize>,
    begun: Arc<AtomicUsize>,
}

/// Serves responses by path: `/large`, `/slow` (a second), `/stream` (its body begins and never ends), `/unread`
/// (its request body is dropped), and a short one to all others.
async fn serve(idle_timeout: Duration, connections_max: u32) -> Served {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = listener.address();
    let (running, begun) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let (running_ref, begun_ref) = (Arc::clone(&running), Arc::clone(&begun));
    let handle = listener.serve(limits(idle_timeout, connections_max), move |request| {
        let running = Running::start(&running_ref);
        begun_ref.fetch_add(1, Ordering::SeqCst);
        async move {
            match request.uri().path() {
                "/large" => Response::new(Body::from(vec![b'x'; LARGE_BYTES])),
                "/slow" => {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                    Response::new(Body::from("whole"))
                }
                "/stream" => {
                    let frames =
                        futures::stream::unfold((running, false), async |(running, begun)| {
                            if begun {
                                tokio::time::sleep(Duration::from_secs(60)).await;
                            }
                            let frame = Frame::data(Bytes::from_static(b"part"));
                            Some((Ok::<_, Infallible>(frame), (running, true)))
                        });
                    Response::new(Body::from_body(StreamBody::new(frames)))
                }
                path => Response::new(Body::from(format!("whole {path}"))),
            }
        }
    });
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let stream = socket.connect(address).await.unwrap();
    Served {
        handle,
        stream,
        running,
        begun,
    }
}

async fn read_part(stream: &mut TcpStream) -> String {
    let mut received = vec![0; 4_096];
    let length = stream.read(&mut received).await.unwrap();
    String::from_utf8_lossy(&received[..length]).into_owned()
}

async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    // A reset ends the connection like a close: what arrived before it counts.
    let _ = stream.read_to_end(&mut received).await;
    received
}

fn body_start(received: &[u8]) -> usize {
    let mut windows = received.windows(4);
    windows.position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4
}

async fn assert_ends(running: &AtomicUsize) {
    tokio::time::sleep(LEAVE_MAX).await;
    assert_eq!(running.load(Ordering::SeqCst), 0);
}

// Guards against a response that is cut, and goes on with the head of the next one, because its caller reads for longer
// than a head may take and has begun its next request.
#[tokio::test]
async fn response_is_whole_if_it_is_read_for_longer_than_a_head_may_take() {
    let Served { mut stream, .. } = serve(LONG_IDLE_TIMEOUT, 10).await;
    let (first, rest) = REQUEST.split_at(10);
    stream
        .write_all(&[LARGE_REQUEST, first].concat())
        .await
        .unwrap();
    tokio::time::sleep(HEADER_TIMEOUT * 3 / 2).await;
    let _ = stream.write_all(rest).await;
    let received = read_to_end(&mut stream).await;
    let body = &received[body_start(&received)..];
    let whole = body.iter().take_while(|byte| **byte == b'x').count();
    let behind = String::from_utf8_lossy(&body[whole..]);
    assert_eq!(whole, LARGE_BYTES, "followed by {behind:?}");
}

// Guards against a response that is cut because its caller reads for longer than a head may take.
#[tokio::test]
async fn response_without_a_request_behind_it_is_whole_if_it_is_read_slowly() {
    let Served { mut stream, .. } = serve(LONG_IDLE_TIMEOUT, 10).await;
    stream.write_all(LARGE_REQUEST).await.unwrap();
    tokio::time::sleep(HEADER_TIMEOUT * 3 / 2).await;
    let received = read_to_end(&mut stream).await;
    assert_eq!(received.len() - body_start(&received), LARGE_BYTES);
}

// Guards against runs that go on after their client has left a resumed connection.
#[tokio::test]
async fn request_on_a_resumed_connection_is_cancelled_when_its_client_leaves() {
    for end in [b"".as_slice(), b"GET /next HTTP/1.1\r\n", REQUEST] {
        let Served {
            mut stream,
            running,
            begun,
            ..
        } = serve(IDLE_TIMEOUT, 10).await;
        stream.write_all(REQUEST).await.unwrap();
        read_part(&mut stream).await;
        stream
            .write_all(&[b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n", end].concat())
            .await
            .unwrap();
        std::thread::sleep(IDLE_TIMEOUT * 3);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(running.load(Ordering::SeqCst), 1);
        drop(stream);
        assert_ends(&running).await;
        assert_eq!(begun.load(Ordering::SeqCst), 2);
    }
}

// Guards against requests that are handled twice, or answered out of order, as their connection is resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_around_the_idle_timeout_are_handled_once_and_in_order() {
    let mut unanswered = 0;
    for round in 0..60_u64 {
        let Served {
            mut stream, begun, ..
        } = serve(IDLE_TIMEOUT, 10).await;
        stream.write_all(REQUEST).await.unwrap();
        read_part(&mut stream).await;
        tokio::time::sleep(
            IDLE_TIMEOUT - Duration::from_millis(1) + Duration::from_micros(50 * round),
        )
        .await;
        let batch = "POST /0 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
                     HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\n";
        let _ = stream.write_all(batch.as_bytes()).await;
        tokio::time::sleep(IDLE_TIMEOUT * 2).await;
        let _ = stream.write_all(b"Host: a\r\n\r\n").await;
        let received = String::from_utf8(read_to_end(&mut stream).await).unwrap();
        let handled = begun.load(Ordering::SeqCst) - 1;
        if received.is_empty() {
            assert_eq!(handled, 0, "round {round}");
            unanswered += 1;
            continue;
        }
        let heads = received.matches("HTTP/1.1 200").count();
        assert_eq!(heads, handled, "round {round}: {received:?}");
        assert_eq!(handled, 4, "round {round}: {received:?}");
        let places: Vec<_> = ["/0", "/2", "/3"]
            .iter()
            .map(|path| received.find(path))
            .collect();
        assert!(places.is_sorted() && places[0].is_some(), "{received:?}");
    }
    eprintln!("crossed the close: {unanswered} of 60");
}

// Guards against runs that go on after their client has left while it sent a body.
#[tokio::test]
async fn request_whose_body_was_not_read_is_cancelled_when_its_client_leaves() {
    for length in ["Content-Length: 10000000", "Transfer-Encoding: chunked"] {
        let Served {
            mut stream,
            running,
            ..
        } = serve(LONG_IDLE_TIMEOUT, 10).await;
        let head = format!("POST /slow HTTP/1.1\r\nHost: a\r\n{length}\r\n\r\n100000\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let sending = stream.write_all(&[b'a'; 30_000]);
        let _ = tokio::time::timeout(Duration::from_millis(100), sending).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(running.load(Ordering::SeqCst), 1);
        drop(stream);
        assert_ends(&running).await;
    }
}

// Guards against a run that goes on, and further ones that begin, because a client closed its writing side behind them.
#[tokio::test]
async fn requests_of_a_half_closed_client_are_answered_in_order_up_to_one_that_takes_long() {
    let Served {
        mut stream,
        running,
        begun,
        ..
    } = serve(LONG_IDLE_TIMEOUT, 10).await;
    let slow = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
    stream
        .write_all(&[REQUEST, slow, REQUEST].concat())
        .await
        .unwrap();
    stream.shutdown().await.unwrap();
    assert_ends(&running).await;
    let received = String::from_utf8(read_to_end(&mut stream).await).unwrap();
    assert!(
        received.find(" 200 ") < received.find(" 502 "),
        "{received:?}"
    );
    assert_eq!(received.matches("HTTP/1.1 ").count(), 2, "{received:?}");
    assert_eq!(begun.load(Ordering::SeqCst), 2);
}

// Guards against requests that end without a response because they arrive in parts around a stop.
#[tokio::test]
async fn requests_of_all_forms_that_arrive_around_a_stop_are_answered() {
    let forms = [
        "POST /f HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
        "POST /f HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "HEAD /f HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /f HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n",
        "GET /f HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    ];
    for form in forms {
        for split in [1, form.len() / 2] {
            let Served {
                handle,
                mut stream,
                begun,
                ..
            } = serve(LONG_IDLE_TIMEOUT, 10).await;
            stream.write_all(REQUEST).await.unwrap();
            read_part(&mut stream).await;
            let (first, rest) = form.split_at(split);
            stream.write_all(first.as_bytes()).await.unwrap();
            let stopping = tokio::spawn(async move { handle.stop().await });
            tokio::time::sleep(Duration::from_millis(400)).await;
            let _ = stream.write_all(rest.as_bytes()).await;
            let received = String::from_utf8(read_to_end(&mut stream).await).unwrap();
            assert_eq!(
                received.matches(" 200 OK").count(),
                1,
                "{form:?} {split} {received:?}"
            );
            assert!(
                received.contains("connection: close"),
                "{form:?} {received:?}"
            );
            assert_eq!(begun.load(Ordering::SeqCst), 2, "{form:?} {split}");
            drop(stream);
            stopping.await.unwrap();
        }
    }
}

// Guards against requests that are handled and not answered as a stop closes their connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_that_cross_the_close_of_a_stop_are_answered_if_they_are_handled() {
    let mut crossed = 0;
    for _ in 0..20 {
        let Served {
            handle,
            stream,
            begun,
            ..
        } = serve(LONG_IDLE_TIMEOUT, 100).await;
        let address = stream.peer_addr().unwrap();
        drop(stream);
        let mut clients = Vec::new();
        for _ in 0..50 {
            let mut client = TcpStream::connect(address).await.unwrap();
            client.write_all(REQUEST).await.unwrap();
            read_part(&mut client).await;
            clients.push(client);
        }
        let before = begun.load(Ordering::SeqCst);
        let stopping = tokio::spawn(async move { handle.stop().await });
        let sending = clients.into_iter().enumerate().map(|(index, mut client)| {
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_micros(195_000 + 200 * index as u64)).await;
                let _ = client.write_all(REQUEST).await;
                let received = read_to_end(&mut client).await;
                usize::from(received.ends_with(b"whole /next"))
            })
        });
        let answered: usize = futures::future::join_all(sending)
            .await
            .into_iter()
            .map(Result::unwrap)
            .sum();
        stopping.await.unwrap();
        assert_eq!(begun.load(Ordering::SeqCst) - before, answered);
        crossed += 50 - answered;
    }
    eprintln!("crossed the close: {crossed} of 1000");
}

// Guards against the body of a response that goes on after its client has left.
#[tokio::test]
async fn streamed_response_ends_when_its_client_leaves() {
    let Served {
        mut stream,
        running,
        ..
    } = serve(LONG_IDLE_TIMEOUT, 10).await;
    stream
        .write_all(b"GET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    let head = read_part(&mut stream).await;
    assert!(head.contains("200 OK"), "{head:?}");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(running.load(Ordering::SeqCst), 1);
    drop(stream);
    assert_ends(&running).await;
}

// Guards against a connection that stays open for ever because its client has closed its writing side and does not read.
#[tokio::test]
async fn connection_of_a_half_closed_client_that_never_reads_ends() {
    let Served {
        handle, mut stream, ..
    } = serve(IDLE_TIMEOUT, 10).await;
    stream.write_all(LARGE_REQUEST).await.unwrap();
    stream.shutdown().await.unwrap();
    tokio::time::sleep(HEADER_TIMEOUT * 3).await;
    assert_eq!(handle.open_connections(), 0);
}

// Guards against a stop that waits for ten seconds because an idle caller once read slowly.
#[tokio::test]
async fn stop_does_not_wait_for_an_idle_caller_that_once_read_slowly() {
    let Served {
        handle, mut stream, ..
    } = serve(LONG_IDLE_TIMEOUT, 10).await;
    stream.write_all(LARGE_REQUEST).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut received = 0;
    let mut part = vec![0; 64 * 1_024];
    while received < LARGE_BYTES {
        received += stream.read(&mut part).await.unwrap();
    }
    stream.write_all(REQUEST).await.unwrap();
    read_part(&mut stream).await;
    let started_at = Instant::now();
    handle.stop().await;
    let seconds = started_at.elapsed().as_secs_f64();
    assert!(seconds < 2.0, "{seconds}");
}

// Guards against a stop that gives a head which does not arrive its whole time a second time.
#[tokio::test]
async fn stop_waits_for_a_head_no_longer_than_it_may_take() {
    let mut late = Vec::new();
    for partial in [b"GET /".as_slice(), b"\r\n"] {
        let Served {
            handle, mut stream, ..
        } = serve(LONG_IDLE_TIMEOUT, 10).await;
        stream.write_all(REQUEST).await.unwrap();
        read_part(&mut stream).await;
        stream.write_all(partial).await.unwrap();
        let started_at = Instant::now();
        handle.stop().await;
        let time = started_at.elapsed();
        if time > HEADER_TIMEOUT * 3 / 2 {
            late.push((String::from_utf8_lossy(partial), time));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

// Guards against a connection that waits for a place for a second because an idle one is closed and its caller does not
// close it.
#[tokio::test]
async fn closed_idle_connection_gives_its_place_to_another() {
    let Served { mut stream, .. } = serve(IDLE_TIMEOUT, 1).await;
    stream.write_all(REQUEST).await.unwrap();
    read_part(&mut stream).await;
    let started_at = Instant::now();
    let mut waiting = TcpStream::connect(stream.peer_addr().unwrap())
        .await
        .unwrap();
    waiting.write_all(REQUEST).await.unwrap();
    let received = read_part(&mut waiting).await;
    assert!(received.ends_with("whole /next"), "{received:?}");
    assert!(
        started_at.elapsed() < LEAVE_MAX,
        "{:?}",
        started_at.elapsed()
    );
}

// Guards against a kept connection of an HTTP/1.0 caller that is taken for one that was told to close.
#[tokio::test]
async fn request_of_an_old_caller_that_waits_while_the_process_is_held_up_is_answered() {
    const OLD: &[u8] = b"GET /old HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n";
    let mut unanswered = 0;
    for _ in 0..20 {
        let Served { mut stream, .. } = serve(IDLE_TIMEOUT, 10).await;
        stream.write_all(OLD).await.unwrap();
        let first = read_part(&mut stream).await;
        assert!(first.contains("connection: keep-alive"), "{first:?}");
        stream.write_all(OLD).await.unwrap();
        std::thread::sleep(IDLE_TIMEOUT * 3);
        unanswered += usize::from(read_to_end(&mut stream).await.is_empty());
    }
    assert_eq!(unanswered, 0);
}

// Guards against a stop that resets connections which wait to be accepted because there are as many as allowed.
#[tokio::test]
async fn request_on_a_connection_that_waits_for_another_is_answered_at_a_stop() {
    let Served {
        handle, mut stream, ..
    } = serve(LONG_IDLE_TIMEOUT, 1).await;
    stream
        .write_all(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    while handle.open_connections() == 0 {
        tokio::task::yield_now().await;
    }
    let mut waiting = TcpStream::connect(stream.peer_addr().unwrap())
        .await
        .unwrap();
    waiting.write_all(REQUEST).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let stopping = tokio::spawn(async move { handle.stop().await });
    let first = read_to_end(&mut stream).await;
    assert!(first.ends_with(b"whole"));
    drop(stream);
    let received = read_to_end(&mut waiting).await;
    assert!(
        received.ends_with(b"whole /next"),
        "{} bytes",
        received.len()
    );
    stopping.await.unwrap();
}

// Guards against a connection that closes without a notice behind the refusal of a body.
#[tokio::test]
async fn request_behind_a_body_that_was_not_wanted_is_answered_or_its_connection_is_said_to_close()
{
    for extra in [
        "Expect: 100-continue\r\nContent-Length: 100000",
        "Transfer-Encoding: chunked\r\nExpect: 100-continue",
    ] {
        let Served { mut stream, .. } = serve(LONG_IDLE_TIMEOUT, 10).await;
        let head = format!("POST /unread HTTP/1.1\r\nHost: a\r\n{extra}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let first = read_part(&mut stream).await;
        assert!(first.ends_with("whole /unread"), "{first:?}");
        if first.contains("connection: close") {
            continue;
        }
        let _ = stream.write_all(REQUEST).await;
        let second = String::from_utf8(read_to_end(&mut stream).await).unwrap();
        assert!(
            second.contains("whole /next"),
            "{extra} {first:?} {second:?}"
        );
    }
}
