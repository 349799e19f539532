//! Servers that send a response again, late, on a connection that is in use again, or break one off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use testutils::relay::RelayFleet;
use testutils::relay::sample_open_plan;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Returns the text of the next request, or none when the connection ends.
async fn next_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !text.contains("\r\n\r\n") {
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    Some(text)
}

fn response(status: &str, id: Option<&str>, headers: &str, body: &str) -> String {
    let id = id.map_or(String::new(), |id| format!("request-id: {id}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{id}{headers}content-length: {length}\r\n\r\n{body}")
}

fn id_of(request: &str) -> String {
    let mut lines = request.lines();
    let id = lines.find_map(|line| line.strip_prefix("request-id: "));
    id.expect("an id").to_owned()
}

/// Takes the place of the server at `address`. The first response on each connection is
/// `first(id)`; a second request there runs, and gets a copy of that response before its own. If
/// `idle_copy_after` is given, another copy follows the first response after that time.
async fn serve_copies(
    address: SocketAddr,
    idle_copy_after: Option<Duration>,
    first: impl Fn(usize, &str) -> String + Send + Sync + 'static,
) -> Arc<AtomicUsize> {
    // The sockets of the crashed server are closed in the background.
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    let first = Arc::new(first);
    tokio::spawn(async move {
        let mut connections = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let (first, runs) = (Arc::clone(&first), Arc::clone(&counted));
            let connection = connections;
            connections += 1;
            tokio::spawn(async move {
                let request = next_request(&mut stream).await?;
                let copy = first(connection, &id_of(&request));
                stream.write_all(copy.as_bytes()).await.ok()?;
                if let Some(delay) = idle_copy_after {
                    tokio::time::sleep(delay).await;
                    stream.write_all(copy.as_bytes()).await.ok()?;
                }
                let second = next_request(&mut stream).await?;
                runs.fetch_add(1, Ordering::Relaxed);
                let own = response("200 OK", Some(&id_of(&second)), "", "own");
                let both = format!("{copy}{own}");
                stream.write_all(both.as_bytes()).await.ok()
            });
        }
    });
    runs
}

async fn fleet_with_copies(
    first: impl Fn(usize, &str) -> String + Send + Sync + 'static,
) -> (RelayFleet, Arc<AtomicUsize>) {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"]).await;
    let server = &fleet.relays[0].server;
    server.crash();
    let runs = serve_copies(server.address, None, first).await;
    (fleet, runs)
}

// Guards against a refusal without an id that is taken for the answer to the next request, which runs.
#[tokio::test]
async fn copy_of_a_rejection_without_an_id_does_not_refuse_the_next_request() {
    let (fleet, runs) = fleet_with_copies(|connection, id| match connection {
        0 => response("503 Service Unavailable", None, "not-run: 1\r\n", ""),
        _ => response("200 OK", Some(id), "", "own"),
    })
    .await;
    fleet.call(0, "r1", "/stock/1", None).await;
    let response = fleet.call(0, "r2", "/stock/2", None).await;
    assert_eq!(
        (response.status, &response.body[..]),
        (StatusCode::OK, &b"own"[..])
    );
    assert_eq!(runs.load(Ordering::Relaxed), 0);
}

// Guards against a late copy of a refusal that is taken for the answer to the same request, sent once
// more on the same connection (REFUSED, TWICE).
#[tokio::test]
async fn copy_of_a_refusal_does_not_refuse_a_later_request_with_the_same_id() {
    let (fleet, runs) = fleet_with_copies(|connection, id| match connection {
        0 => response("503 Service Unavailable", Some(id), "not-run: 1\r\n", ""),
        _ => response("200 OK", Some(id), "", "own"),
    })
    .await;
    let refused = fleet.call(0, "r1", "/stock/1", None).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let response = fleet.call(0, "r1", "/stock/1", None).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(runs.load(Ordering::Relaxed), 0);
}

// Guards against a copy of a refusal that is taken for the answer to a later request (REFUSED).
#[tokio::test]
async fn copy_of_a_refusal_does_not_refuse_a_later_request() {
    let statuses = [
        ("503 Service Unavailable", "not-run: 1\r\n"),
        ("429 Too Many Requests", "not-run: 1\r\n"),
        ("400 Bad Request", "not-run: 1\r\n"),
        ("421 Misdirected Request", ""),
        ("408 Request Timeout", "not-run: 1\r\n"),
    ];
    for (status, headers) in statuses {
        // The copy comes before the answer to the later request, or right behind the refusal.
        for copies in [1, 2] {
            let (fleet, runs) = fleet_with_copies(move |connection, id| match connection {
                0 => response(status, Some(id), headers, "").repeat(copies),
                _ => response("200 OK", Some(id), "", "own"),
            })
            .await;
            fleet.call(0, "r1", "/stock/1", None).await;
            let later = fleet.call(0, "r2", "/stock/2", None).await;
            let expected = match runs.load(Ordering::Relaxed) {
                0 => StatusCode::OK,
                _ => StatusCode::BAD_GATEWAY,
            };
            assert_eq!(later.status, expected, "{status} {copies}");
        }
    }
}

// Guards against bytes that arrive while no request waits, and count as the answer to the next one.
#[tokio::test]
async fn copy_of_a_refusal_on_an_idle_connection_closes_it() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"]).await;
    let server = &fleet.relays[0].server;
    server.crash();
    let delay = Duration::from_millis(20);
    let runs = serve_copies(
        server.address,
        Some(delay),
        |connection, id| match connection {
            0 => response("503 Service Unavailable", Some(id), "not-run: 1\r\n", ""),
            _ => response("200 OK", Some(id), "", "own"),
        },
    )
    .await;
    fleet.call(0, "r1", "/stock/1", None).await;
    tokio::time::sleep(delay * 10).await;
    let later = fleet.call(0, "r2", "/stock/2", None).await;
    assert_eq!(later.status, StatusCode::OK);
    assert_eq!(runs.load(Ordering::Relaxed), 0);
}

// Guards against a status that tells callers "not run" from a server that did not say so (REFUSED).
#[tokio::test]
async fn refusal_without_its_header_says_nothing_about_a_run() {
    let statuses = [
        "408 Request Timeout",
        "429 Too Many Requests",
        "503 Service Unavailable",
    ];
    for status in statuses {
        let (fleet, _) = fleet_with_copies(|_, id| response(status, Some(id), "", "")).await;
        let response = fleet.call(0, "r1", "/stock/1", None).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{status}");
    }
}

#[tokio::test]
async fn copy_of_an_answer_does_not_reach_the_next_caller() {
    let (fleet, runs) =
        fleet_with_copies(|_, id| response("200 OK", Some(id), "", &format!("of {id}"))).await;
    let first = fleet.call(0, "r1", "/stock/1", None).await;
    assert_eq!(first.body, "of r1");
    let second = fleet.call(0, "r2", "/stock/2", None).await;
    assert_eq!(runs.load(Ordering::Relaxed), 1);
    assert_ne!(second.body, "of r1");
    // The connection with the copy is not used again.
    let third = fleet.call(0, "r3", "/stock/3", None).await;
    assert_eq!(
        (third.status, &third.body[..]),
        (StatusCode::OK, &b"of r3"[..])
    );
}

/// Takes the place of the server at `address`, sends `partial` to each request and ends the connection.
async fn serve_broken(address: SocketAddr, partial: &'static str, is_reset: bool) {
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let request = next_request(&mut stream).await?;
                let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {}\r\n", id_of(&request));
                stream.write_all(head.as_bytes()).await.ok()?;
                stream.write_all(partial.as_bytes()).await.ok()?;
                if is_reset {
                    // The bytes are on their way before the reset.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    stream.set_zero_linger().ok()?;
                }
                Some(())
            });
        }
    });
}

async fn expect_no_success(partial: &'static str, is_reset: bool) {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"]).await;
    let server = &fleet.relays[0].server;
    server.crash();
    serve_broken(server.address, partial, is_reset).await;
    let response = fleet.call(0, "r1", "/stock/1", None).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{partial:?}");
}

// Guards against an answer that broke off halfway and reaches the caller as a complete success.
#[tokio::test]
async fn answer_that_is_shorter_than_its_length_is_no_success() {
    expect_no_success("content-length: 10\r\n\r\nhalf", false).await;
}

#[tokio::test]
async fn chunked_answer_without_its_end_is_no_success() {
    expect_no_success("transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n", false).await;
}

#[tokio::test]
async fn answer_without_a_length_that_is_reset_is_no_success() {
    expect_no_success("connection: close\r\n\r\nhalf", true).await;
}

#[tokio::test]
async fn answer_that_breaks_off_in_its_head_is_no_success() {
    expect_no_success("content-len", false).await;
}
