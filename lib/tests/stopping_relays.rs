//! Relays that stop as planned, with callers that keep using their connections.

use std::net::SocketAddr;
use std::time::Duration;

use balsamfold::process::relay::RelayDaemon;
use balsamfold::process::relay::RelaySettings;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Repeatability;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::sample_open_plan;
use testutils::relay::sample_route;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Stop grace of the relays: a planned stop takes 2.5 s.
pub const GRACE: Duration = Duration::from_secs(3);
/// Time for which a server works on a request: beyond every stop.
pub const SERVICE_TIME: Duration = Duration::from_secs(30);
pub const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Only a hanging test reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

fn plan(repeatability: Repeatability) -> StoredPlan {
    let route = PlannedRoute {
        is_open: true,
        timeout_ms: 30_000,
        ..sample_route("stock", "stock", repeatability)
    };
    StoredPlan {
        routes: vec![("shop".to_owned(), "/stock/".to_owned(), route)],
        ..sample_open_plan()
    }
}

/// Starts relays with [`GRACE`], whose servers take [`SERVICE_TIME`].
pub async fn start(repeatability: Repeatability, services: &[&'static str]) -> RelayFleet {
    let fleet = RelayFleet::start(&plan(repeatability), services).await;
    for relay in &fleet.relays {
        set_grace(&relay.daemon, GRACE);
        relay.server.set_behaviour(Behaviour::Slow(SERVICE_TIME));
    }
    fleet
}

pub fn set_grace(daemon: &RelayDaemon, grace: Duration) {
    let mut raw = daemon.node().settings.raw.clone();
    raw.bounds.stop_grace_s = grace.as_secs_f64();
    let settings = RelaySettings::try_from(raw).expect("valid settings");
    daemon.node().reload(settings);
}

pub fn callers_of(fleet: &RelayFleet, index: usize) -> SocketAddr {
    fleet.relays[index]
        .daemon
        .node()
        .settings
        .raw
        .listen
        .callers
}

pub fn get(id: &str) -> String {
    format!("GET /stock/{id} HTTP/1.1\r\nhost: shop\r\nrequest-id: {id}\r\n\r\n")
}

pub async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("a connection")
}

/// Writes `text` and reads, in a task of its own, until the connection ends.
pub async fn send(mut stream: TcpStream, text: &str) -> JoinHandle<String> {
    stream.write_all(text.as_bytes()).await.expect("it is sent");
    tokio::spawn(read_to_end(stream))
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut received = Vec::new();
    // A reset keeps what was read before.
    let reading = stream.read_to_end(&mut received);
    let _ = tokio::time::timeout(HANG_TIMEOUT, reading)
        .await
        .expect("the connection ends");
    String::from_utf8(received).expect("headers and bodies are text")
}

pub async fn finish(reading: JoinHandle<String>) -> String {
    reading.await.expect("the task ends")
}

pub async fn wait_for_run(fleet: &RelayFleet, index: usize) {
    fleet
        .wait_until(|fleet| !fleet.relays[index].server.received().is_empty())
        .await;
}

/// Checks that `received` is one complete response that does not say "not run", after which the
/// connection is closed.
pub fn assert_may_have_run(received: &str) {
    assert!(received.starts_with("HTTP/1.1 502 "), "{received:?}");
    assert!(received.contains("connection: close\r\n"), "{received:?}");
    assert!(!received.contains("retry-after"), "{received:?}");
    assert_is_complete(received);
}

pub fn assert_not_run(received: &str) {
    assert!(received.starts_with("HTTP/1.1 503 "), "{received:?}");
    assert!(received.contains("connection: close\r\n"), "{received:?}");
    assert!(received.contains("retry-after: "), "{received:?}");
    assert_is_complete(received);
}

fn assert_is_complete(received: &str) {
    let (head, body) = received.split_once("\r\n\r\n").expect("a whole head");
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .expect("a length");
    assert_eq!(length, body.len().to_string(), "{received:?}");
}
