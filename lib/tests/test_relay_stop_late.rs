//! Requests that come late in a planned stop, on connections that callers keep using.

use std::time::Duration;
use std::time::Instant;

use balsamfold::version::Repeatability;
use testutils::relay::Behaviour;
use testutils::relay::RelayFleet;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::stopping_relays::GRACE;
use crate::stopping_relays::assert_not_run;
use crate::stopping_relays::callers_of;
use crate::stopping_relays::connect;
use crate::stopping_relays::finish;
use crate::stopping_relays::get;
use crate::stopping_relays::send;
use crate::stopping_relays::set_grace;
use crate::stopping_relays::start;

/// Grace whose second half begins later than requests that may outlast the stop are taken.
const LONG_GRACE: Duration = Duration::from_secs(10);
/// Time in which a response that waits for no server arrives.
const PROMPT: Duration = Duration::from_millis(500);

/// Opens a connection and sends the first bytes of `text`, which keeps it open during a stop. Returns it
/// with the rest.
async fn begin<'a>(fleet: &RelayFleet, index: usize, text: &'a str) -> (TcpStream, &'a str) {
    let (first, rest) = text.split_at(20);
    let mut stream = connect(callers_of(fleet, index)).await;
    stream
        .write_all(first.as_bytes())
        .await
        .expect("it is sent");
    (stream, rest)
}

/// Starts the planned stop of a relay with `grace`. Its server goes on running until the task is joined.
fn stop(fleet: &mut RelayFleet, index: usize, grace: Duration) -> JoinHandle<()> {
    let stopping = fleet.relays.remove(index);
    set_grace(&stopping.daemon, grace);
    tokio::spawn(async move { drop(stopping.stop().await) })
}

fn within(id: &str, wait: Duration) -> String {
    let wait_ms = wait.as_millis();
    get(id).replace("\r\n\r\n", &format!("\r\nwait-ms: {wait_ms}\r\n\r\n"))
}

fn received(fleet: &RelayFleet, index: usize) -> usize {
    fleet.relays[index].server.received().len()
}

// Guards against requests that are taken more than three seconds after the start of a stop with a long
// grace, and broken off at its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_may_outlast_a_long_grace_is_refused_as_not_run() {
    for repeatability in [Repeatability::AtMostOnce, Repeatability::Idempotent] {
        let mut fleet = start(repeatability, &["front", "stock"]).await;
        let text = get("r1");
        let (stream, rest) = begin(&fleet, 0, &text).await;
        let stop = stop(&mut fleet, 0, LONG_GRACE);
        sleep(Duration::from_millis(3_100)).await;
        let sent_at = Instant::now();
        let caller = send(stream, rest).await;
        assert_not_run(&finish(caller).await);
        assert!(sent_at.elapsed() < PROMPT, "{:?}", sent_at.elapsed());
        assert_eq!(received(&fleet, 0), 0);
        stop.await.expect("the stop ends");
    }
}

// Guards against a request that is refused late in a stop although its deadline is before the end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_whose_deadline_is_before_the_stop_limit_is_served() {
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock"]).await;
    let works = Behaviour::Slow(Duration::from_millis(200));
    fleet.relays[1].server.set_behaviour(works);
    let text = within("r1", Duration::from_millis(400));
    let (stream, rest) = begin(&fleet, 0, &text).await;
    let stop = stop(&mut fleet, 0, GRACE);
    sleep(GRACE.mul_f64(0.6)).await;
    let received = finish(send(stream, rest).await).await;
    assert!(received.starts_with("HTTP/1.1 200 "), "{received:?}");
    stop.await.expect("the stop ends");
}

// Guards against a request that is passed on late in a stop because its body comes long after its head.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_whose_body_comes_late_is_refused_as_not_run() {
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock"]).await;
    let head =
        "POST /stock/x HTTP/1.1\r\nhost: shop\r\nrequest-id: r1\r\ncontent-length: 9\r\n\r\nabc";
    let mut stream = connect(callers_of(&fleet, 0)).await;
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    let stop = stop(&mut fleet, 0, GRACE);
    sleep(GRACE.mul_f64(0.6)).await;
    let sent_at = Instant::now();
    assert_not_run(&finish(send(stream, "defghi").await).await);
    assert!(sent_at.elapsed() < PROMPT, "{:?}", sent_at.elapsed());
    assert_eq!(received(&fleet, 0), 0);
    stop.await.expect("the stop ends");
}

// Guards against an attempt at another server that begins late in a stop and is broken off at its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_fails_late_is_not_tried_at_another_server() {
    let mut fleet = start(Repeatability::Idempotent, &["front", "stock", "stock"]).await;
    let text = get("r1");
    let caller = send(connect(callers_of(&fleet, 0)).await, &text).await;
    let runs_on = |fleet: &RelayFleet| {
        let mut relays = fleet.relays.iter();
        relays.position(|relay| !relay.server.received().is_empty())
    };
    fleet.wait_until(|fleet| runs_on(fleet).is_some()).await;
    let index = runs_on(&fleet).expect("a server runs it");
    let other = 3 - index;
    let stop = stop(&mut fleet, 0, GRACE);
    sleep(GRACE.mul_f64(0.6)).await;
    let failed_at = Instant::now();
    fleet.relays[index - 1].server.crash();
    let response = finish(caller).await;
    assert!(response.starts_with("HTTP/1.1 502 "), "{response:?}");
    assert!(failed_at.elapsed() < PROMPT, "{:?}", failed_at.elapsed());
    assert_eq!(received(&fleet, other - 1), 0);
    stop.await.expect("the stop ends");
}

// Guards against a request of another node that a stopping node takes late, and breaks off at its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_request_of_another_node_that_may_outlast_the_stop_is_refused_as_not_run() {
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock"]).await;
    let stopping = fleet.relays.remove(1);
    set_grace(&stopping.daemon, LONG_GRACE);
    let stopped = tokio::spawn(stopping.stop());
    sleep(Duration::from_millis(3_050)).await;
    let text = get("r1").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    let caller = send(connect(callers_of(&fleet, 0)).await, &text).await;
    let response = finish(caller).await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
    let server = stopped.await.expect("the stop ends");
    assert_eq!(server.received().len(), 0);
}

// Guards against a request on an open connection that ends without a response, as it comes between the
// end of a stop and that of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_comes_after_the_stop_limit_is_refused_as_not_run() {
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock"]).await;
    let texts = [get("r1"), within("r2", Duration::from_millis(50))];
    let mut begun = Vec::new();
    for text in &texts {
        begun.push(begin(&fleet, 0, text).await);
    }
    let stop = stop(&mut fleet, 0, GRACE);
    sleep(GRACE.mul_f64(5.2 / 6.0)).await;
    for (stream, rest) in begun {
        assert_not_run(&finish(send(stream, rest).await).await);
    }
    assert_eq!(received(&fleet, 0), 0);
    stop.await.expect("the stop ends");
}

// Guards against a request behind a long response that a slow caller still reads: it is not begun, and
// the response is complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_behind_a_response_that_is_read_slowly_is_not_begun() {
    const BODY_BYTES: usize = 24 * 1_024 * 1_024;
    let mut fleet = start(Repeatability::Idempotent, &["front", "stock"]).await;
    fleet.relays[1]
        .server
        .set_behaviour(Behaviour::Large(BODY_BYTES));
    let mut stream = connect(callers_of(&fleet, 0)).await;
    let text = get("r1") + &get("r2");
    stream.write_all(text.as_bytes()).await.expect("it is sent");
    fleet.wait_until(|fleet| received(fleet, 1) == 1).await;
    let stop = stop(&mut fleet, 0, GRACE);
    sleep(GRACE.mul_f64(0.7)).await;
    let mut response = Vec::new();
    stream
        .read_to_end(&mut response)
        .await
        .expect("the connection is closed, not reset");
    assert!(response.starts_with(b"HTTP/1.1 200 "));
    assert!(response.ends_with(b"z"));
    assert!(response.len() > BODY_BYTES && response.len() < BODY_BYTES + 1_024);
    assert_eq!(received(&fleet, 0), 1);
    stop.await.expect("the stop ends");
}

// Guards against a refusal that a caller loses because the stop closes its connection while it sends the
// body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_reaches_a_caller_that_sends_its_body_during_the_stop() {
    const PARTS: usize = 20;

    let part = vec![b'x'; 1_000_000];
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock"]).await;
    let length = PARTS * part.len();
    let head = format!(
        "POST /stock/x HTTP/1.1\r\nhost: shop\r\nrequest-id: r1\r\ncontent-length: {length}\r\n\r\n"
    );
    let mut stream = connect(callers_of(&fleet, 0)).await;
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    let stop = stop(&mut fleet, 0, GRACE);
    for _ in 0..PARTS {
        sleep(GRACE.mul_f64(0.7) / PARTS as u32).await;
        stream.write_all(&part).await.expect("the body is taken");
    }
    let mut response = [0; 13];
    stream.read_exact(&mut response).await.expect("a response");
    assert_eq!(&response, b"HTTP/1.1 413 ");
    stop.await.expect("the stop ends");
}
