//! Invalid, slow and unusual HTTP from callers gets a clear response and does not affect others.

use balsamfold::version::Access;
use balsamfold::version::Route;
use http::Method;
use http::StatusCode;
use http::header;
use testutils::backend_server::ServerPlan;
use testutils::backend_server::is_complete_body;
use testutils::fleet::AfterSend;
use testutils::fleet::TestFleet;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;
use testutils::fleet::sample_route;
use testutils::fleet::send_raw;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const BODY_BYTES_MAX: usize = 1_048_576;

async fn small_fleet() -> TestFleet {
    let plans = [("zone-a", ServerPlan::small("stock", &[]))];
    TestFleet::start(
        sample_configuration(&["zone-a"], &["small"], &["stock"]),
        &plans,
    )
    .await
}

fn head(method: &str, more: &str) -> String {
    let key = sample_key("small");
    format!(
        "{method} /stock HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {}\r\n{more}\r\n",
        key.reveal()
    )
}

async fn expect_healthy(fleet: &TestFleet) {
    let request = post("/stock", Some(&sample_key("small")), &[], "healthy");
    let response = fleet.nodes[0].caller.send(request).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert!(is_complete_body(&response.body));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_headers_and_bodies_time_out() {
    let fleet = small_fleet().await;
    let address = fleet.nodes[0].daemon.caller_address();
    let slow_head = send_raw(
        address,
        b"POST /stock HTTP/1.1\r\nhost:",
        AfterSend::KeepOpen,
    );
    let unfinished = head("POST", "content-length: 100\r\n") + "only a part";
    let slow_body = send_raw(address, unfinished.as_bytes(), AfterSend::KeepOpen);
    let (slow_head, slow_body, ()) = tokio::join!(slow_head, slow_body, expect_healthy(&fleet));
    assert_eq!(slow_head.unwrap(), "");
    let slow_body = slow_body.unwrap();
    assert!(slow_body.starts_with("HTTP/1.1 400"), "{slow_body}");
    assert!(slow_body.contains("balsamfold-verdict: not-run"));
    assert_eq!(fleet.nodes[0].server.recorder().runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_bodies_do_not_run() {
    let fleet = small_fleet().await;
    let address = fleet.nodes[0].daemon.caller_address();
    let short = head("POST", "content-length: 100\r\n") + "only a part";
    let chunk = head("POST", "transfer-encoding: chunked\r\n") + "5\r\nhello\r\n";
    let garbage = head("POST", "transfer-encoding: chunked\r\n") + "zz\r\nhello\r\n0\r\n\r\n";
    for request in [short, chunk, garbage] {
        send_raw(address, request.as_bytes(), AfterSend::Close)
            .await
            .unwrap();
    }
    assert_eq!(fleet.nodes[0].server.recorder().runs(), Vec::new());
    expect_healthy(&fleet).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_arrive_whole() {
    let fleet = small_fleet().await;
    let address = fleet.nodes[0].daemon.caller_address();
    let more = "transfer-encoding: chunked\r\nconnection: close\r\n";
    let request = head("POST", more) + "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    let response = send_raw(address, request.as_bytes(), AfterSend::KeepOpen)
        .await
        .unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(
        fleet.nodes[0].server.recorder().runs()[0].body,
        "hello world"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn too_large_bodies_and_headers_are_refused() {
    let fleet = small_fleet().await;
    let caller = &fleet.nodes[0].caller;
    let body = "x".repeat(BODY_BYTES_MAX + 1);
    let large = post("/stock", Some(&sample_key("small")), &[], &body);
    let large = caller.send(large).await.unwrap();
    assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
    let padding = "x".repeat(200_000);
    let address = fleet.nodes[0].daemon.caller_address();
    let request = head("POST", &format!("padding: {padding}\r\n"));
    let huge = send_raw(address, request.as_bytes(), AfterSend::KeepOpen)
        .await
        .unwrap();
    assert!(
        huge.starts_with("HTTP/1.1 431") || huge.is_empty(),
        "{huge}"
    );
    assert_eq!(fleet.nodes[0].server.recorder().runs(), Vec::new());
    expect_healthy(&fleet).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn head_responses_keep_content_length_without_body() {
    let fleet = small_fleet().await;
    let mut request = post("/stock", Some(&sample_key("small")), &[], "");
    request.method = Method::HEAD;
    let response = fleet.nodes[0].caller.send(request).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert!(response.body.is_empty());
    assert!(response.headers.contains_key(header::CONTENT_LENGTH));
    expect_healthy(&fleet).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hop_by_hop_headers_are_not_forwarded() {
    let fleet = small_fleet().await;
    let address = fleet.nodes[0].daemon.caller_address();
    let more = "connection: close, x-one-hop\r\nx-one-hop: 1\r\nx-kept: 2\r\n\
        balsamfold-handle: forged\r\nkeep-alive: 5\r\ncontent-length: 2\r\n";
    let request = head("POST", more) + "ok";
    send_raw(address, request.as_bytes(), AfterSend::KeepOpen)
        .await
        .unwrap();
    let names = &fleet.nodes[0].server.recorder().runs()[0].header_names;
    let seen = |name: &str| names.iter().any(|found| found == name);
    assert!(seen("x-kept"));
    for removed in ["x-one-hop", "keep-alive", "connection", "authorization"] {
        assert!(!seen(removed), "{removed} reached the backend server");
    }
    assert_eq!(
        names
            .iter()
            .filter(|name| *name == "balsamfold-handle")
            .count(),
        1
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dot_segments_do_not_bypass_key_check() {
    let plans = [("zone-a", ServerPlan::small("stock", &[]))];
    let mut configuration = sample_configuration(&["zone-a"], &["small"], &["stock"]);
    let open = Route {
        path: "/stock/open".to_owned(),
        access: Access::Open,
        ..sample_route("stock")
    };
    configuration.routes.push(open);
    let fleet = TestFleet::start(configuration, &plans).await;
    let caller = &fleet.nodes[0].caller;
    let good = caller
        .send(post("/stock/open", None, &[], "good"))
        .await
        .unwrap();
    assert_eq!(good.status, StatusCode::OK);
    for path in [
        "/stock/open/../keyed",
        "/stock/open/%2E%2e/keyed",
        "/stock/open/./x",
        "/stock/open/.%2e",
    ] {
        let response = caller.send(post(path, None, &[], "bad")).await.unwrap();
        assert_eq!(response.status, StatusCode::BAD_REQUEST, "{path}");
    }
    assert_eq!(fleet.nodes[0].server.recorder().runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_connections_ignore_caller_idle_timeout() {
    let fleet = small_fleet().await;
    let daemon = &fleet.nodes[0].daemon;
    let mut peer = TcpStream::connect(daemon.node().addresses.peer)
        .await
        .unwrap();
    let mut caller = TcpStream::connect(daemon.caller_address()).await.unwrap();
    // Returns when the node has closed the caller's idle connection.
    let _ = caller.read(&mut [0]).await;
    let request = b"POST /stock HTTP/1.1\r\nhost: test\r\ncontent-length: 0\r\n\r\n";
    peer.write_all(request).await.unwrap();
    let mut response = [0; 12];
    peer.read_exact(&mut response).await.unwrap();
    assert_eq!(&response, b"HTTP/1.1 401");
}
