//! Requests that are still open at the end of a planned stop.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use balsamfold::process::relay::RelaySettings;
use balsamfold::version::Repeatability;
use bytes::Bytes;
use testutils::relay::Behaviour;
use testutils::relay::CONFIGURATION_KEY;
use testutils::relay::PANIC_BYTES;
use testutils::relay::RelayFleet;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::stopping_relays::GRACE;
use crate::stopping_relays::POLL_PERIOD;
use crate::stopping_relays::SERVICE_TIME;
use crate::stopping_relays::assert_may_have_run;
use crate::stopping_relays::assert_not_run;
use crate::stopping_relays::callers_of;
use crate::stopping_relays::connect;
use crate::stopping_relays::finish;
use crate::stopping_relays::get;
use crate::stopping_relays::send;
use crate::stopping_relays::start;
use crate::stopping_relays::wait_for_run;

// Guards against a request at the own server that a planned stop cuts without a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_at_the_own_server_gets_a_response_at_the_stop_limit() {
    for repeatability in [Repeatability::AtMostOnce, Repeatability::Idempotent] {
        let mut fleet = start(repeatability, &["stock"]).await;
        let caller = send(connect(callers_of(&fleet, 0)).await, &get("r1")).await;
        wait_for_run(&fleet, 0).await;
        let server = fleet.relays.remove(0).stop().await;
        assert_may_have_run(&finish(caller).await);
        assert_eq!(server.received().len(), 1);
    }
}

// Guards against a request at another node that a planned stop cuts without a response, and against a
// run that goes on after that response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_at_another_node_gets_a_response_at_the_stop_limit() {
    for repeatability in [Repeatability::AtMostOnce, Repeatability::Idempotent] {
        let mut fleet = start(repeatability, &["front", "stock", "stock"]).await;
        let caller = send(connect(callers_of(&fleet, 0)).await, &get("r1")).await;
        let received = |fleet: &RelayFleet| -> usize {
            let servers = fleet.relays.iter().map(|relay| &relay.server);
            servers.map(|server| server.received().len()).sum()
        };
        fleet.wait_until(|fleet| received(fleet) > 0).await;
        fleet.relays.remove(0).stop().await;
        assert_may_have_run(&finish(caller).await);
        fleet
            .wait_until(|fleet| {
                let servers = fleet.relays.iter().map(|relay| &relay.server);
                servers.map(|server| server.abandoned()).sum::<usize>() == 1
            })
            .await;
        assert_eq!(received(&fleet), 1);
    }
}

// Guards against a request of another node that ends with the connection between the nodes when the
// process exits, instead of with a reply before that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_of_another_node_gets_a_reply_before_the_process_exits() {
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock"]).await;
    let text = get("r1").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    let caller = send(connect(callers_of(&fleet, 0)).await, &text).await;
    wait_for_run(&fleet, 1).await;
    let stopping = fleet.relays.remove(1);
    stopping.daemon.stop().await;
    // The sockets of the process are still open.
    let received = tokio::time::timeout(Duration::from_secs(1), caller).await;
    let received = received
        .expect("a reply before the exit")
        .expect("the task ends");
    assert!(received.starts_with("HTTP/1.1 502 "), "{received:?}");
    assert_eq!(stopping.server.received().len(), 1);
}

// Guards against a stop that ends before the runs of a server that has left, which the node no longer
// knows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_at_a_server_that_has_left_is_finished() {
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock"]).await;
    let slow = Behaviour::Slow(Duration::from_millis(1_800));
    fleet.relays[1].server.set_behaviour(slow);
    let text = get("r1").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    let caller = send(connect(callers_of(&fleet, 0)).await, &text).await;
    wait_for_run(&fleet, 1).await;
    fleet.report_departure(1).await;
    fleet.relays.remove(1).stop().await;
    let received = finish(caller).await;
    assert!(received.starts_with("HTTP/1.1 200 "), "{received:?}");
}

// Guards against an idempotent request that is given up because the node that ran it stopped, although
// another server has time for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_request_goes_to_another_server_when_its_node_ends() {
    let mut fleet = start(Repeatability::Idempotent, &["front", "stock", "stock"]).await;
    let text = get("r1").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    let caller = send(connect(callers_of(&fleet, 0)).await, &text).await;
    let runs_on = |fleet: &RelayFleet| {
        let mut relays = fleet.relays.iter();
        relays.position(|relay| !relay.server.received().is_empty())
    };
    fleet.wait_until(|fleet| runs_on(fleet).is_some()).await;
    let index = runs_on(&fleet).expect("a server runs it");
    fleet.relays[3 - index]
        .server
        .set_behaviour(Behaviour::Respond);
    fleet.relays.remove(index).stop().await;
    let received = finish(caller).await;
    assert!(received.starts_with("HTTP/1.1 200 "), "{received:?}");
}

// Guards against requests whose body is on its way and that a planned stop cuts without a response, or
// with one that calls them run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_with_a_part_of_its_body_is_refused_as_not_run_at_the_stop_limit() {
    let mut fleet = start(Repeatability::AtMostOnce, &["stock"]).await;
    let head = "POST /stock/x HTTP/1.1\r\nhost: shop\r\nrequest-id: r1\r\ncontent-length: 9\r\n\
                expect: 100-continue\r\n\r\n";
    let mut stream = connect(callers_of(&fleet, 0)).await;
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.expect("a response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    let caller = send(stream, "abc").await;
    let stopping = fleet.relays.remove(0);
    let server = stopping.stop().await;
    assert_not_run(&finish(caller).await);
    assert_eq!(server.received().len(), 0);
}

// Guards against requests that are passed on so late in a planned stop that their servers cannot finish
// them, and are then broken off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_arrives_in_the_second_half_of_the_grace_is_refused_as_not_run() {
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock"]).await;
    let text = get("r1");
    let (first, rest) = text.split_at(20);
    let mut stream = connect(callers_of(&fleet, 0)).await;
    stream
        .write_all(first.as_bytes())
        .await
        .expect("it is sent");
    let stopping = fleet.relays.remove(0);
    let stop = tokio::spawn(stopping.stop());
    tokio::time::sleep(GRACE.mul_f64(0.6)).await;
    let caller = send(stream, rest).await;
    assert_not_run(&finish(caller).await);
    stop.await.expect("the stop ends");
    assert_eq!(fleet.relays[0].server.received().len(), 0);
}

// Guards against a stop that cuts requests of kept connections, or runs a request that waits behind one
// which the stop has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_request_behind_an_ended_one_is_not_begun() {
    let mut fleet = start(Repeatability::AtMostOnce, &["stock"]).await;
    fleet.relays[0].server.set_behaviour(Behaviour::Respond);
    let mut stream = connect(callers_of(&fleet, 0)).await;
    stream
        .write_all(get("r0").as_bytes())
        .await
        .expect("it is sent");
    let mut first = vec![0; 4_096];
    let length = stream.read(&mut first).await.expect("a response");
    assert!(first[..length].starts_with(b"HTTP/1.1 200 "));
    fleet.relays[0]
        .server
        .set_behaviour(Behaviour::Slow(SERVICE_TIME));
    let caller = send(stream, &(get("r1") + &get("r2"))).await;
    fleet
        .wait_until(|fleet| fleet.relays[0].server.received().len() == 2)
        .await;
    let server = fleet.relays.remove(0).stop().await;
    assert_may_have_run(&finish(caller).await);
    assert_eq!(server.received().len(), 2);
}

// Guards against a stop that waits for the store and is killed before its requests have responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_ends_within_the_grace_while_the_store_is_down() {
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock"]).await;
    let caller = send(connect(callers_of(&fleet, 0)).await, &get("r1")).await;
    wait_for_run(&fleet, 1).await;
    fleet.store.set_down(true);
    let started_at = Instant::now();
    fleet.relays.remove(0).stop().await;
    assert!(started_at.elapsed() < GRACE, "{:?}", started_at.elapsed());
    assert_may_have_run(&finish(caller).await);
}

// Guards against a task that panics during a stop and takes open requests with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn panic_of_a_task_during_a_stop_cuts_no_request() {
    let mut fleet = start(Repeatability::AtMostOnce, &["stock"]).await;
    let slow = Behaviour::Slow(Duration::from_millis(1_500));
    fleet.relays[0].server.set_behaviour(slow);
    let caller = send(connect(callers_of(&fleet, 0)).await, &get("r1")).await;
    wait_for_run(&fleet, 0).await;
    let stopping = fleet.relays.remove(0);
    let broken = Bytes::from_static(PANIC_BYTES);
    fleet.store.write(CONFIGURATION_KEY, broken);
    stopping.stop().await;
    let received = finish(caller).await;
    assert!(received.starts_with("HTTP/1.1 200 "), "{received:?}");
}

// Guards against a change of the settings that ends requests, or a stop that has begun.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_during_a_stop_cuts_no_request() {
    let mut fleet = start(Repeatability::AtMostOnce, &["stock"]).await;
    let slow = Behaviour::Slow(Duration::from_millis(1_500));
    fleet.relays[0].server.set_behaviour(slow);
    let caller = send(connect(callers_of(&fleet, 0)).await, &get("r1")).await;
    wait_for_run(&fleet, 0).await;
    let node = fleet.relays[0].daemon.node().clone();
    let stop = tokio::spawn(fleet.relays.remove(0).stop());
    tokio::time::sleep(POLL_PERIOD).await;
    let mut raw = node.settings.raw.clone();
    raw.bounds.stop_grace_s = 1.0;
    node.reload(RelaySettings::try_from(raw).expect("valid settings"));
    stop.await.expect("the stop ends");
    let received = finish(caller).await;
    assert!(received.starts_with("HTTP/1.1 200 "), "{received:?}");
}

// Guards against orders that are reported as run although nothing read them, because they reach a node at its
// exit: other nodes do not know that it stops, as its store entry could not be changed.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn orders_that_reach_a_node_at_its_exit_are_not_reported_as_run() {
    let mut fleet = start(Repeatability::AtMostOnce, &["front", "stock", "stock"]).await;
    for relay in &fleet.relays {
        relay.server.set_behaviour(Behaviour::Respond);
    }
    let address = callers_of(&fleet, 0);
    let stopping = fleet.relays.remove(1);
    stopping.store.set_turned_away(true);
    let has_stopped = Arc::new(AtomicBool::new(false));
    let callers = (0..32).map(|number| {
        let has_stopped = Arc::clone(&has_stopped);
        tokio::spawn(async move {
            let mut statuses = Vec::new();
            let mut stream = connect(address).await;
            for order in 0.. {
                let text = get(&format!("r{number}-{order}"));
                stream.write_all(text.as_bytes()).await.expect("it is sent");
                let mut response = vec![0; 4_096];
                let length = stream.read(&mut response).await.expect("a response");
                let response = String::from_utf8_lossy(&response[..length]).into_owned();
                statuses.push(response.split(' ').nth(1).unwrap_or("none").to_owned());
                if has_stopped.load(Ordering::Relaxed) {
                    break;
                }
            }
            statuses
        })
    });
    let callers: Vec<_> = callers.collect();
    stopping.stop().await;
    tokio::time::sleep(POLL_PERIOD).await;
    has_stopped.store(true, Ordering::Relaxed);
    let mut counts = HashMap::<String, usize>::new();
    for caller in callers {
        for status in caller.await.expect("the task ends") {
            *counts.entry(status).or_default() += 1;
        }
    }
    assert_eq!(counts.get("502"), None, "{counts:?}");
}
