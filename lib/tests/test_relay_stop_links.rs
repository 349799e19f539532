//! Requests of other nodes on the connections of a node whose planned stop ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsamfold::connection::BufferedRequest;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::PoolLimits;
use balsamfold::process::relay::ExchangeId;
use balsamfold::process::relay::Head;
use balsamfold::process::relay::encode_frame;
use balsamfold::version::Repeatability;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::task::JoinSet;

use crate::stopping_relays::callers_of;
use crate::stopping_relays::connect;
use crate::stopping_relays::set_grace;
use crate::stopping_relays::start;

/// A grace in which a stop without open requests ends long before its limit.
const LONG_GRACE: Duration = Duration::from_secs(4);
const CALLERS: usize = 24;
const ROUNDS: usize = 3;
/// Time for which callers go on after the end of the stopping node.
const SENT_AFTER_END: Duration = Duration::from_millis(100);
/// Only a hanging test reaches it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// A request that got a response.
#[derive(Debug)]
struct Answered {
    id: String,
    status: StatusCode,
}

fn request(id: &str, body: &Bytes) -> BufferedRequest {
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, HeaderValue::from_static("shop"));
    let id_name = HeaderName::from_static("request-id");
    headers.insert(id_name, HeaderValue::try_from(id).expect("valid header"));
    BufferedRequest {
        method: Method::POST,
        uri: format!("/stock/{id}").parse().expect("valid path"),
        headers,
        body: body.clone(),
    }
}

/// Sends one request after another until `is_over`.
async fn call_until(
    address: SocketAddr,
    caller: usize,
    body: Bytes,
    is_over: Arc<AtomicBool>,
) -> Vec<Answered> {
    let limits = PoolLimits {
        connections_max: 1,
        connect_timeout_ms: 1_000,
        idle_timeout_ms: 1_000,
        response_bytes_max: 1_048_576,
    };
    let pool = ConnectionPool::new(address, limits);
    let mut answered = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("r{caller}-{}", answered.len());
        let response = pool.exchange(request(&id, &body), RESPONSE_TIMEOUT).await;
        let status = response.expect("a response").status;
        answered.push(Answered { id, status });
    }
    answered
}

/// Stops the relay at index 1, of whose stop the first one does not learn, while callers of the first one
/// go on until it is gone. Returns their requests, and the ids of those that arrived at a server.
async fn call_during_stop(
    mut fleet: RelayFleet,
    body_bytes: usize,
) -> (Vec<Answered>, Vec<String>) {
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::Respond);
    }
    fleet.store.set_down(true);
    let address = callers_of(&fleet, 0);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    let body = Bytes::from(vec![b'x'; body_bytes]);
    for caller in 0..CALLERS {
        callers.spawn(call_until(
            address,
            caller,
            body.clone(),
            Arc::clone(&is_over),
        ));
    }
    let stopping = fleet.relays.remove(1);
    let stopped = stopping.stop().await;
    tokio::time::sleep(SENT_AFTER_END).await;
    is_over.store(true, Ordering::Relaxed);
    let answered = callers.join_all().await.into_iter().flatten().collect();
    let servers = fleet.relays.iter().map(|relay| &relay.server);
    let received = servers
        .chain([&stopped])
        .flat_map(|server| server.received());
    let ids = received.map(|request| request.uri.trim_start_matches("/stock/").to_owned());
    (answered, ids.collect())
}

/// Checks that requests which arrived at a server have its response, and that all others are called not
/// run.
async fn assert_requests_are_told_truly(
    repeatability: Repeatability,
    services: &[&'static str],
    body_bytes: usize,
) {
    for _ in 0..ROUNDS {
        let fleet = start(repeatability, services).await;
        let (answered, received) = call_during_stop(fleet, body_bytes).await;
        let arrivals = |id: &str| received.iter().filter(|received| *received == id).count();
        let is_true = |request: &Answered| match request.status {
            StatusCode::OK => arrivals(&request.id) == 1,
            StatusCode::SERVICE_UNAVAILABLE => arrivals(&request.id) == 0,
            _ => false,
        };
        let told_falsely: Vec<_> = answered
            .iter()
            .filter(|request| !is_true(request))
            .collect();
        assert!(
            told_falsely.is_empty(),
            "{} of {}: {told_falsely:?}",
            told_falsely.len(),
            answered.len()
        );
    }
}

// Guards against orders that a node drops unread as its process ends, so that their callers are told that
// they may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn order_that_is_sent_as_its_node_ends_is_refused_as_not_run() {
    assert_requests_are_told_truly(Repeatability::AtMostOnce, &["front", "stock"], 0).await;
}

// Guards against the same while a node has read a part of an order.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn order_that_is_read_in_part_as_its_node_ends_is_refused_as_not_run() {
    assert_requests_are_told_truly(Repeatability::AtMostOnce, &["front", "stock"], 200_000).await;
}

// Guards against repeatable requests that fail, or use up the retries of their service, because a node ends
// before it has read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn repeatable_request_that_is_sent_as_its_node_ends_is_run_once_or_refused_as_not_run() {
    let services = ["front", "stock", "stock"];
    assert_requests_are_told_truly(Repeatability::Idempotent, &services, 0).await;
}

// Guards against a response that is still queued for a node which reads it slowly, and is lost as the
// process ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn response_that_is_queued_as_its_node_ends_is_delivered() {
    const BODY_BYTES: usize = 24 * 1_024 * 1_024;
    /// Until after the time at which a stop without open requests ends.
    const STANDSTILL: Duration = Duration::from_millis(1_900);

    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let apart = builder.worker_threads(1).enable_all().build();
    let apart = apart.expect("a runtime can be started");
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock"]).await;
    fleet.restart_on(0, apart.handle()).await;
    fleet.report(0, 2, false).await;
    fleet.wait_until_ready().await;
    fleet.relays[1]
        .server
        .set_behaviour(Behaviour::Large(BODY_BYTES));
    let caller = tokio::spawn(call_once(callers_of(&fleet, 0), BODY_BYTES));
    fleet
        .wait_until(|fleet| !fleet.relays[1].server.received().is_empty())
        .await;
    // Blocks the only thread of the node that reads, like a suspended instance.
    apart.spawn(async { std::thread::sleep(STANDSTILL) });
    let stopping = fleet.relays.remove(1);
    set_grace(&stopping.daemon, LONG_GRACE);
    stopping.stop().await;
    let response_bytes = caller.await.expect("the task ends");
    assert_eq!(response_bytes, Ok(BODY_BYTES));
    drop(fleet);
    apart.shutdown_background();
}

/// Sends a request, and returns the length of the body of its response, or the status if it failed.
async fn call_once(address: SocketAddr, body_bytes_max: usize) -> Result<usize, StatusCode> {
    let limits = PoolLimits {
        connections_max: 1,
        connect_timeout_ms: 1_000,
        idle_timeout_ms: 1_000,
        response_bytes_max: body_bytes_max,
    };
    let pool = ConnectionPool::new(address, limits);
    let request = request("r1", &Bytes::new());
    let response = pool.exchange(request, RESPONSE_TIMEOUT).await;
    let response = response.expect("a response");
    match response.status {
        StatusCode::OK => Ok(response.body.len()),
        status => Err(status),
    }
}

// Guards against a stop that waits until its limit for a node which went silent and closes no connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn stop_does_not_wait_long_for_a_silent_node() {
    let mut fleet = start(Repeatability::AtMostOnce, &["stock"]).await;
    let stopping = fleet.relays.remove(0);
    set_grace(&stopping.daemon, LONG_GRACE);
    let raw = stopping.daemon.node().settings.raw.clone();
    let mut silent = connect(raw.listen.peers).await;
    let hello = Head::Hello {
        from: "node-9".parse().expect("valid name"),
        to: raw.node,
    };
    let exchange = ExchangeId(0);
    for head in [hello, Head::Ping { exchange }] {
        let frame = encode_frame(&head, &[]).expect("a short frame");
        silent.write_all(&frame).await.expect("it is sent");
    }
    silent.read_u8().await.expect("a reply");
    let started_at = Instant::now();
    stopping.stop().await;
    let limit = LONG_GRACE.mul_f64(5.0 / 6.0);
    assert!(started_at.elapsed() < limit, "{:?}", started_at.elapsed());
}
