//! Callers that leave before their requests have run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsamfold::process::relay::AbandonedRuns;
use balsamfold::process::relay::Frame;
use balsamfold::process::relay::Head;
use balsamfold::process::relay::encode_frame;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Repeatability;
use bytes::BytesMut;
use parking_lot::Mutex;
use testutils::relay::Behaviour;
use testutils::relay::PeerStandIn;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::at_ms;
use testutils::relay::sample_open_plan;
use testutils::relay::sample_route;
use testutils::relay::unconfirmed;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::time::sleep;

use crate::relays_apart::move_apart;
use crate::relays_apart::runtime;
use crate::stopping_relays::callers_of;
use crate::stopping_relays::connect;
use crate::stopping_relays::get;

const CALLERS: usize = 20;
/// Time for which the only thread of a relay is blocked, like that of an instance short of CPU time.
const STANDSTILL: Duration = Duration::from_millis(900);
/// Time after which a thread that was told to block does so.
const BLOCKING: Duration = Duration::from_millis(50);
const SERVICE_TIME: Duration = Duration::from_millis(300);
/// Longest time for which work may go on for a caller that has left.
const LEAVE_MAX: Duration = Duration::from_millis(500);

fn plan() -> StoredPlan {
    let route = |service: &str| PlannedRoute {
        is_open: true,
        timeout_ms: 10_000,
        ..sample_route(service, service, Repeatability::Idempotent)
    };
    let entry = |service: &str| {
        let path = format!("/{service}/");
        ("shop".to_owned(), path, route(service))
    };
    StoredPlan {
        routes: ["front", "stock"].map(entry).into(),
        ..sample_open_plan()
    }
}

/// Starts relays of which the one at `index` runs on `apart`.
async fn fleet_with(services: &[&'static str], index: usize, apart: &Runtime) -> RelayFleet {
    let mut fleet = RelayFleet::start(&plan(), services).await;
    move_apart(&mut fleet, index, apart).await;
    fleet
}

/// Blocks the only thread of a runtime for `time`.
async fn block(apart: &Runtime, time: Duration) {
    apart.spawn(async move { std::thread::sleep(time) });
    sleep(BLOCKING).await;
}

/// Sends bytes on a new connection.
async fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = connect(address).await;
    stream.write_all(text.as_bytes()).await.expect("it is sent");
    stream
}

/// Sends a request on each of [`CALLERS`] new connections.
async fn send_all(address: SocketAddr, name: &str) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for caller in 0..CALLERS {
        streams.push(send(address, &get(&format!("{name}{caller}"))).await);
    }
    streams
}

async fn read_response(stream: &mut TcpStream) {
    let mut part = [0; 1_024];
    let length = stream.read(&mut part).await.expect("a response");
    assert!(length > 0);
}

/// Returns the paths of the requests that servers received since `since`.
fn received_since(fleet: &RelayFleet, since: Instant) -> Vec<String> {
    let servers = fleet.relays.iter().map(|relay| relay.server.received());
    let received = servers.flatten();
    let later = received.filter(|request| request.received_at >= since);
    later.map(|request| request.uri).collect()
}

async fn assert_nothing_received_since(fleet: &RelayFleet, since: Instant) {
    sleep(STANDSTILL + LEAVE_MAX).await;
    let received = received_since(fleet, since);
    assert!(received.is_empty(), "{} sent: {received:?}", received.len());
}

// Guards against requests that are sent to servers although their callers left before they were accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_whose_callers_left_before_they_were_accepted_reach_no_server() {
    let apart = runtime();
    let fleet = fleet_with(&["front", "stock"], 0, &apart).await;
    block(&apart, STANDSTILL).await;
    let since = Instant::now();
    drop(send_all(callers_of(&fleet, 0), "r").await);
    assert_nothing_received_since(&fleet, since).await;
    apart.shutdown_background();
}

// Guards against a request that is sent to a server although its caller left a kept connection before it was read.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_on_kept_connections_whose_callers_left_reach_no_server() {
    let apart = runtime();
    let fleet = fleet_with(&["front", "stock"], 0, &apart).await;
    let mut streams = send_all(callers_of(&fleet, 0), "first").await;
    for stream in &mut streams {
        read_response(stream).await;
    }
    block(&apart, STANDSTILL).await;
    let since = Instant::now();
    for (caller, stream) in streams.iter_mut().enumerate() {
        let next = get(&format!("next{caller}"));
        stream.write_all(next.as_bytes()).await.expect("it is sent");
    }
    drop(streams);
    assert_nothing_received_since(&fleet, since).await;
    apart.shutdown_background();
}

// Guards against a caller whose departure is hidden behind further requests that are unread.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn pipelined_requests_whose_callers_left_reach_no_server() {
    let apart = runtime();
    let fleet = fleet_with(&["front", "stock"], 0, &apart).await;
    block(&apart, STANDSTILL).await;
    let since = Instant::now();
    for caller in 0..CALLERS {
        // More than one read of the relay.
        let text = (0..200).map(|request| get(&format!("r{caller}-{request}")));
        let text: String = text.collect();
        drop(send(callers_of(&fleet, 0), &text).await);
    }
    assert_nothing_received_since(&fleet, since).await;
    apart.shutdown_background();
}

// Guards against a request that is sent to a server although its caller left while its body was read.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_whose_callers_left_during_their_bodies_reach_no_server() {
    let apart = runtime();
    let fleet = fleet_with(&["front", "stock"], 0, &apart).await;
    let mut streams = Vec::new();
    for caller in 0..CALLERS {
        let head = format!(
            "POST /stock/{caller} HTTP/1.1\r\nhost: shop\r\nrequest-id: r{caller}\r\n\
             content-length: 2000\r\n\r\n"
        );
        let text = head + &"x".repeat(1_000);
        streams.push(send(callers_of(&fleet, 0), &text).await);
    }
    sleep(BLOCKING).await;
    block(&apart, STANDSTILL).await;
    let since = Instant::now();
    for stream in &mut streams {
        let rest = [b'x'; 1_000];
        stream.write_all(&rest).await.expect("it is sent");
    }
    drop(streams);
    assert_nothing_received_since(&fleet, since).await;
    apart.shutdown_background();
}

// Guards against a request that is sent on a link that was opened after its caller had left.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_whose_callers_left_while_a_link_was_opened_are_not_sent() {
    let apart = runtime();
    let fleet = fleet_with(&["front"], 0, &apart).await;
    let peer = PeerStandIn::start().await;
    peer.set_pong_delay(Duration::from_millis(200));
    fleet.write_entry("node-9", "stock", peer.address);
    fleet
        .wait_until(|fleet| fleet.relays[0].daemon.node().members().nodes().count() == 2)
        .await;
    let streams = send_all(callers_of(&fleet, 0), "r").await;
    sleep(Duration::from_millis(20)).await;
    block(&apart, Duration::from_millis(220)).await;
    drop(streams);
    sleep(STANDSTILL).await;
    assert_eq!(peer.received(), Vec::<String>::new());
    apart.shutdown_background();
}

// Guards against a request that is sent to another server although its caller left during the first attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_whose_callers_left_during_an_attempt_are_not_tried_again() {
    let apart = runtime();
    let fleet = fleet_with(&["front", "stock", "stock"], 0, &apart).await;
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::Slow(2 * STANDSTILL));
    }
    let streams = send_all(callers_of(&fleet, 0), "r").await;
    fleet
        .wait_until(|fleet| !fleet.relays[1].server.received().is_empty())
        .await;
    block(&apart, STANDSTILL).await;
    let since = Instant::now();
    fleet.relays[1].server.crash();
    drop(streams);
    assert_nothing_received_since(&fleet, since).await;
    apart.shutdown_background();
}

// Guards against requests that wait for a slot and get one although their callers have left.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_that_wait_at_the_ingress_node_get_no_slot_after_their_callers_left() {
    let apart = runtime();
    let fleet = fleet_with(&["stock"], 0, &apart).await;
    assert_waiting_requests_get_no_slot(&fleet, &apart).await;
    apart.shutdown_background();
}

// Guards against the same at another node, which reads late that they were cancelled.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_that_wait_at_another_node_get_no_slot_after_their_callers_left() {
    let apart = runtime();
    let fleet = fleet_with(&["front", "stock"], 1, &apart).await;
    assert_waiting_requests_get_no_slot(&fleet, &apart).await;
    apart.shutdown_background();
}

/// Lets callers leave while the relay at which their requests wait for a slot stands still.
async fn assert_waiting_requests_get_no_slot(fleet: &RelayFleet, apart: &Runtime) {
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::Slow(SERVICE_TIME));
    }
    let streams = send_all(callers_of(fleet, 0), "r").await;
    fleet
        .wait_until(|fleet| {
            let mut relays = fleet.relays.iter();
            relays.any(|relay| !relay.server.received().is_empty())
        })
        .await;
    sleep(BLOCKING).await;
    block(apart, STANDSTILL).await;
    let since = Instant::now();
    drop(streams);
    assert_nothing_received_since(fleet, since).await;
}

/// Starts a relay whose server makes calls to that of another one, also after its connection has closed.
async fn calling_fleet(behaviour: Behaviour) -> RelayFleet {
    let fleet = RelayFleet::start(&plan(), &["front", "stock"]).await;
    fleet.relays[0].server.set_behaviour(behaviour);
    fleet
}

fn front_request(id: &str) -> String {
    format!("GET /front/{id} HTTP/1.1\r\nhost: shop\r\nrequest-id: {id}\r\n\r\n")
}

fn keep_calling() -> Behaviour {
    Behaviour::KeepCalling {
        host: "shop",
        path: "/stock/call",
        period: Duration::from_millis(100),
        calls: 20,
    }
}

// Guards against calls of a server for a caller that has left, which are taken for requests of their own.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_for_a_caller_that_left_reach_no_server() {
    let fleet = calling_fleet(keep_calling()).await;
    let stream = send(callers_of(&fleet, 0), &front_request("r1")).await;
    let stock = &fleet.relays[1].server;
    fleet.wait_until(|_| !stock.received().is_empty()).await;
    drop(stream);
    sleep(LEAVE_MAX).await;
    let since = Instant::now();
    assert_nothing_received_since(&fleet, since).await;
}

// Guards against calls in flight that go on for a caller that has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_in_flight_end_when_their_caller_leaves() {
    let fleet = calling_fleet(keep_calling()).await;
    let stock = &fleet.relays[1].server;
    stock.set_behaviour(Behaviour::Slow(4 * STANDSTILL));
    let stream = send(callers_of(&fleet, 0), &front_request("r1")).await;
    fleet.wait_until(|_| !stock.received().is_empty()).await;
    drop(stream);
    sleep(LEAVE_MAX).await;
    assert_eq!(stock.abandoned(), stock.received().len());
}

// Guards against calls that are refused because an earlier request of the same id was cancelled.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_of_a_request_that_runs_again_are_served() {
    let fleet = calling_fleet(Behaviour::CallOnward {
        host: "shop",
        path: "/stock/call",
    })
    .await;
    let stock = &fleet.relays[1].server;
    stock.set_behaviour(Behaviour::Slow(SERVICE_TIME));
    let stream = send(callers_of(&fleet, 0), &front_request("r1")).await;
    fleet.wait_until(|_| !stock.received().is_empty()).await;
    drop(stream);
    sleep(LEAVE_MAX).await;
    let response = fleet.call(0, "r1", "/front/r1", None).await;
    assert_eq!(response.status, http::StatusCode::OK);
}

// Guards against memory that grows with the callers that leave.
#[test]
fn abandoned_runs_are_forgotten_in_time_and_beyond_a_number() {
    let mut abandoned = AbandonedRuns::default();
    for number in 0..=AbandonedRuns::MAX {
        abandoned.add(&format!("r{number}"), at_ms(0));
    }
    assert!(!abandoned.contains("r0", at_ms(1)));
    assert!(abandoned.contains("r1", at_ms(1)));
    let end = at_ms(0).after(AbandonedRuns::REMEMBERED);
    assert!(!abandoned.contains("r1", end));
}

// Guards against a half-closed caller that gets no response, or one that says it may come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn half_closed_caller_is_told_that_its_request_was_given_up() {
    let apart = runtime();
    let fleet = fleet_with(&["front", "stock"], 0, &apart).await;
    block(&apart, SERVICE_TIME).await;
    let since = Instant::now();
    let mut stream = send(callers_of(&fleet, 0), &get("r1")).await;
    stream.shutdown().await.expect("the writing side is closed");
    let mut received = String::new();
    let reading = stream.read_to_string(&mut received).await;
    reading.expect("a whole response");
    assert!(received.starts_with("HTTP/1.1 502 "), "{received:?}");
    assert_nothing_received_since(&fleet, since).await;
    apart.shutdown_background();
}

/// A node that answers pings, reads slowly behind the start of a large frame until it is told to go on, and
/// records what it receives.
struct SlowPeer {
    address: SocketAddr,
    state: Arc<SlowPeerState>,
}

#[derive(Default)]
struct SlowPeerState {
    has_large: AtomicBool,
    goes_on: AtomicBool,
    requests: Mutex<Vec<String>>,
}

impl SlowPeer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let state = Arc::<SlowPeerState>::default();
        let accepting = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_slowly(stream, Arc::clone(&accepting)));
            }
        });
        Self { address, state }
    }
}

async fn serve_slowly(mut stream: TcpStream, state: Arc<SlowPeerState>) {
    let mut received = BytesMut::new();
    let mut part = [0; 16 * 1_024];
    while let Ok(bytes @ 1..) = stream.read(&mut part).await {
        received.extend_from_slice(&part[..bytes]);
        if received.len() > 2 * part.len() && !state.goes_on.load(Ordering::Relaxed) {
            state.has_large.store(true, Ordering::Relaxed);
            // Slow, but not silent.
            sleep(Duration::from_millis(20)).await;
        }
        while let Some(frame) = Frame::split_from(&mut received).expect("frames are valid") {
            match frame.head().expect("heads are valid") {
                Head::Ping { exchange } => {
                    let confirmation = unconfirmed();
                    let pong = Head::Pong {
                        exchange,
                        confirmation,
                        loads: Vec::new(),
                    };
                    let pong = encode_frame(&pong, &[]).expect("a short frame");
                    stream.write_all(&pong).await.expect("it is sent");
                }
                Head::Request(request) => state.requests.lock().push(request.metadata.request_id),
                _ => {}
            }
        }
    }
}

fn callers_left(fleet: &RelayFleet) -> String {
    let metrics = fleet.relays[0].daemon.node().metrics.text(0, None);
    let mut lines = metrics.lines();
    let line = lines.find(|line| line.starts_with("balsamfold_callers_left_total"));
    line.unwrap_or_default().to_owned()
}

// Guards against a request that is written to another node although its caller left while it was queued.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_whose_callers_left_while_they_were_queued_are_not_written() {
    const BODY_BYTES: usize = 8 * 1_024 * 1_024;
    let fleet = RelayFleet::start(&plan(), &["front"]).await;
    let peer = SlowPeer::start().await;
    fleet.write_entry("node-9", "stock", peer.address);
    fleet
        .wait_until(|fleet| fleet.relays[0].daemon.node().members().nodes().count() == 2)
        .await;
    let head = format!(
        "POST /stock/large HTTP/1.1\r\nhost: shop\r\nrequest-id: large\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    let mut large = send(callers_of(&fleet, 0), &head).await;
    let sent = large.write_all(&vec![b'x'; BODY_BYTES]).await;
    sent.expect("it is sent");
    let state = &peer.state;
    fleet
        .wait_until(|_| state.has_large.load(Ordering::Relaxed))
        .await;
    let streams = send_all(callers_of(&fleet, 0), "r").await;
    sleep(BLOCKING).await;
    drop(streams);
    let all_left = format!("balsamfold_callers_left_total {CALLERS}");
    fleet
        .wait_until(|fleet| callers_left(fleet) == all_left)
        .await;
    state.goes_on.store(true, Ordering::Relaxed);
    fleet
        .wait_until(|_| !state.requests.lock().is_empty())
        .await;
    sleep(LEAVE_MAX).await;
    assert_eq!(*state.requests.lock(), ["large"]);
    drop(large);
}
