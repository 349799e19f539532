//! Relays whose callers, servers and other nodes send large bodies.

use std::net::SocketAddr;
use std::time::Duration;

use balsamfold::connection::BodyKind;
use balsamfold::connection::MemoryCharge;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Repeatability;
use futures::future::join_all;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::sample_open_plan;
use testutils::relay::sample_route;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LARGE_BYTES: usize = 1_000_000;
/// More than the buffers of a connection that is not read. Four have room.
const LARGE_RESPONSE_BYTES: usize = 20_000_000;
/// Large bodies for which [`fill`] leaves room.
const ROOM: usize = 4;
/// Too long for another node, but not for the own server.
const LONGEST_BYTES: usize = 20_000_000;
/// Time until the servers read a body.
const SERVICE_TIME: Duration = Duration::from_secs(2);
/// Only a hanging test reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts two relays; the server of the second one serves the route.
async fn start(behaviour: Behaviour) -> RelayFleet {
    let route = PlannedRoute {
        is_open: true,
        timeout_ms: 15_000,
        ..sample_route("stock", "stock", Repeatability::AtMostOnce)
    };
    let plan = StoredPlan {
        routes: vec![("shop".to_owned(), "/stock/".to_owned(), route)],
        ..sample_open_plan()
    };
    let fleet = RelayFleet::start(&plan, &["front", "stock"]).await;
    // A server runs one request at a time until its first response.
    let first = fleet.call(0, "first", "/stock/first", None).await;
    assert_eq!(first.status, 200);
    fleet.relays[1].server.set_behaviour(behaviour);
    fleet
}

fn callers_of(fleet: &RelayFleet, index: usize) -> SocketAddr {
    let node = fleet.relays[index].daemon.node();
    node.settings.raw.listen.callers
}

fn held_bytes(fleet: &RelayFleet, index: usize) -> usize {
    fleet.relays[index].daemon.node().memory.held_bytes()
}

/// Fills the memory for requests of the first relay, but for [`ROOM`] bodies.
fn fill(fleet: &RelayFleet) -> MemoryCharge {
    let memory = &fleet.relays[0].daemon.node().memory;
    let mut filling = memory.start(BodyKind::Request);
    assert!(filling.grow(memory.request_bytes_max() - ROOM * LARGE_BYTES));
    filling
}

async fn wait_until_nothing_is_held(fleet: &RelayFleet) {
    let is_empty = |fleet: &RelayFleet| (0..2).all(|index| held_bytes(fleet, index) == 0);
    fleet.wait_until(is_empty).await;
}

/// Connects and sends the head of a request.
async fn send_head(address: SocketAddr, id: &str, framing: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the relay listens");
    let head = format!(
        "POST /stock/x HTTP/1.1\r\nhost: shop\r\nrequest-id: {id}\r\nwait-ms: 15000\r\n{framing}\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is sent");
    stream
}

/// Reads the head of a response, in lower case.
async fn read_head(stream: &mut TcpStream) -> String {
    let reading = async {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(
                stream
                    .read_u8()
                    .await
                    .expect("the whole head of a response"),
            );
        }
        String::from_utf8(head).expect("text").to_lowercase()
    };
    let read = tokio::time::timeout(HANG_TIMEOUT, reading).await;
    read.expect("a response in time")
}

/// Sends a request with its whole body before the response is read. Returns the head of the response.
async fn upload(address: SocketAddr, id: &str, bytes: usize) -> String {
    let mut stream = send_head(address, id, &format!("content-length: {bytes}")).await;
    let body = vec![b'x'; bytes];
    stream.write_all(&body).await.expect("the body is taken");
    read_head(&mut stream).await
}

/// Sends a body in chunks before the response is read. Returns the head of the response.
async fn upload_in_chunks(address: SocketAddr, id: &str, chunks: usize) -> String {
    let mut stream = send_head(address, id, "transfer-encoding: chunked").await;
    let chunk = [&b"186a0\r\n"[..], &[b'x'; 100_000], b"\r\n"].concat();
    for _ in 0..chunks {
        stream.write_all(&chunk).await.expect("the body is taken");
    }
    stream
        .write_all(b"0\r\n\r\n")
        .await
        .expect("the body is taken");
    read_head(&mut stream).await
}

fn is_served(head: &str) -> bool {
    head.starts_with("http/1.1 200 ")
}

fn is_refused_for_now(head: &str) -> bool {
    head.starts_with("http/1.1 503 ") && head.contains("\r\nretry-after: ")
}

// Guards against relays that are killed for their memory, with all requests in flight, since nothing
// bounds the bodies of all callers together.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_beyond_the_memory_are_refused_and_small_requests_served() {
    let fleet = start(Behaviour::ReadAfter(SERVICE_TIME)).await;
    let filling = fill(&fleet);
    let address = callers_of(&fleet, 0);
    let ids: Vec<String> = (0..10).map(|number| format!("large-{number}")).collect();
    let uploads = join_all(ids.iter().enumerate().map(|(number, id)| async move {
        match number % 2 {
            0 => upload(address, id, LARGE_BYTES).await,
            _ => upload_in_chunks(address, id, 10).await,
        }
    }));
    let small = async {
        tokio::time::sleep(SERVICE_TIME / 2).await;
        let small = (0..3).map(async |number| {
            let id = format!("small-{number}");
            upload(address, &id, 20_000).await
        });
        join_all(small).await
    };
    let (uploads, small) = tokio::join!(uploads, small);
    assert!(
        small.iter().all(|head| is_served(head)),
        "{small:?} {uploads:?}"
    );
    let served = uploads.iter().filter(|head| is_served(head)).count();
    let refused = uploads
        .iter()
        .filter(|head| is_refused_for_now(head))
        .count();
    assert!((1..=ROOM).contains(&served), "{uploads:?}");
    assert_eq!(served + refused, uploads.len(), "{uploads:?}");
    let received = fleet.relays[1].server.received().len();
    assert_eq!(received, 1 + served + small.len());
    drop(filling);
    wait_until_nothing_is_held(&fleet).await;
    let later = upload(address, "later", LARGE_BYTES).await;
    assert!(is_served(&later), "{later}");
}

// Guards against bodies that are read whole although they cannot be sent to another node.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn body_that_no_node_can_get_is_refused_before_it_is_read() {
    let fleet = start(Behaviour::Respond).await;
    let address = callers_of(&fleet, 0);
    let mut unsent = send_head(address, "unsent", "content-length: 60000000").await;
    let head = read_head(&mut unsent).await;
    assert!(head.starts_with("http/1.1 413 "), "{head}");
    assert_eq!(held_bytes(&fleet, 0), 0);
    // The response reaches callers that send the whole body before they read it.
    let uploads = (0..8).map(|number| async move {
        let id = format!("sent-{number}");
        upload(address, &id, LONGEST_BYTES).await
    });
    for head in join_all(uploads).await {
        assert!(head.starts_with("http/1.1 413 "), "{head}");
        assert!(head.contains("\r\nconnection: close\r\n"), "{head}");
    }
    assert_eq!(fleet.relays[1].server.received().len(), 1);
}

// Guards against callers that lose the response since they need long to send a body that was refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_reaches_a_caller_that_goes_on_sending_for_seconds() {
    const PARTS: usize = 20;
    const PART_PERIOD: Duration = Duration::from_millis(350);
    let fleet = start(Behaviour::Respond).await;
    let framing = format!("content-length: {LONGEST_BYTES}");
    let mut stream = send_head(callers_of(&fleet, 0), "slow", &framing).await;
    let part = vec![b'x'; LONGEST_BYTES / PARTS];
    for _ in 0..PARTS {
        stream.write_all(&part).await.expect("the body is taken");
        tokio::time::sleep(PART_PERIOD).await;
    }
    let head = read_head(&mut stream).await;
    assert!(head.starts_with("http/1.1 413 "), "{head}");
}

// Guards against a connection that is closed, and may be reset, while the short body of a refused request
// is on its way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connection_is_kept_when_a_short_body_comes_after_the_refusal() {
    let fleet = start(Behaviour::Respond).await;
    let address = callers_of(&fleet, 0);
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the relay listens");
    let refused =
        "POST /nowhere HTTP/1.1\r\nhost: shop\r\nrequest-id: r1\r\ncontent-length: 3\r\n\r\n";
    stream
        .write_all(refused.as_bytes())
        .await
        .expect("the head is sent");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let head = read_head(&mut stream).await;
    assert!(head.starts_with("http/1.1 404 "), "{head}");
    let mut code = vec![0; "no-route".len()];
    stream.read_exact(&mut code).await.expect("a whole body");
    let later = "GET /stock/x HTTP/1.1\r\nhost: shop\r\nrequest-id: r2\r\n\r\n";
    stream
        .write_all(format!("abc{later}").as_bytes())
        .await
        .expect("the body is taken");
    let head = read_head(&mut stream).await;
    assert!(is_served(&head), "{head}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn largest_body_reaches_the_server_beside_the_node() {
    let fleet = start(Behaviour::ReadAfter(Duration::ZERO)).await;
    let head = upload(callers_of(&fleet, 1), "largest", LONGEST_BYTES).await;
    assert!(is_served(&head), "{head}");
    wait_until_nothing_is_held(&fleet).await;
}

// Guards against memory that stays counted for callers that leave while they send.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_that_leave_hold_nothing() {
    let fleet = start(Behaviour::ReadAfter(SERVICE_TIME)).await;
    let filling = fill(&fleet);
    let held_before = held_bytes(&fleet, 0);
    let address = callers_of(&fleet, 0);
    let length = format!("content-length: {LARGE_BYTES}");
    let mut callers = Vec::new();
    for number in 0..ROOM {
        let mut stream = send_head(address, &format!("leaving-{number}"), &length).await;
        let part = vec![b'x'; LARGE_BYTES * number / 3];
        stream.write_all(&part).await.expect("the body is taken");
        callers.push(stream);
    }
    let is_counted = |fleet: &RelayFleet| held_bytes(fleet, 0) == held_before + ROOM * LARGE_BYTES;
    fleet.wait_until(is_counted).await;
    let refused = upload(address, "refused", LARGE_BYTES).await;
    assert!(is_refused_for_now(&refused), "{refused}");
    drop(callers);
    fleet
        .wait_until(|fleet| held_bytes(fleet, 0) == held_before)
        .await;
    drop(filling);
    wait_until_nothing_is_held(&fleet).await;
}

// Guards against responses that fill the memory while their callers do not read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn responses_for_slow_readers_keep_to_the_memory() {
    let fleet = start(Behaviour::Large(LARGE_RESPONSE_BYTES)).await;
    let address = callers_of(&fleet, 0);
    let callers = (0..7).map(async |number| {
        let id = format!("reader-{number}");
        let mut stream = send_head(address, &id, "content-length: 0").await;
        let head = read_head(&mut stream).await;
        (stream, head)
    });
    let callers = join_all(callers).await;
    let served = callers.iter().filter(|(_, head)| is_served(head)).count();
    assert!((1..=4).contains(&served), "{served} responses are held");
    assert!(held_bytes(&fleet, 0) <= 4 * LARGE_RESPONSE_BYTES);
    assert!(held_bytes(&fleet, 0) > 0);
    drop(callers);
    wait_until_nothing_is_held(&fleet).await;
    let mut later = send_head(address, "later", "content-length: 0").await;
    let head = read_head(&mut later).await;
    assert!(is_served(&head), "{head}");
}
