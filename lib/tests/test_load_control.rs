//! Gates, floors and routing in running nodes, checked by counts of the requests that ran.

use std::time::Duration;

use balsamfold::connection::BufferedResponse;
use balsamfold::process::node::ServerDump;
use balsamfold::request::RefusalReason;
use balsamfold::request::Verdict;
use balsamfold::request::refusal_of;
use balsamfold::values::Importance;
use balsamfold::version::Configuration;
use futures::future::join_all;
use http::StatusCode;
use http::header;
use testutils::backend_server::Fault;
use testutils::backend_server::ServerPlan;
use testutils::fleet::TestFleet;
use testutils::fleet::TestNode;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;
use testutils::fleet::sample_route;

const IMPORTANT: Importance = Importance(200);
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Maximum wait; only a failing test reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// A configuration in which `/stock` is important and `/browse` leads to the same service.
fn configuration() -> Configuration {
    let mut configuration = sample_configuration(&["zone-a"], &["small"], &["stock"]);
    configuration.routes[0].importance = IMPORTANT;
    let mut browse = sample_route("browse");
    browse.service = configuration.routes[0].service.clone();
    configuration.routes.push(browse);
    configuration
}

fn stock(slots: u32) -> ServerPlan {
    ServerPlan {
        slots,
        connections: 256,
        ..ServerPlan::small("stock", &[])
    }
}

async fn send(node: &TestNode, path: &str, body: &str) -> BufferedResponse {
    let request = post(path, Some(&sample_key("small")), &[], body);
    node.caller.send(request).await.expect("a response")
}

fn server(node: &TestNode) -> ServerDump {
    node.daemon.node().dump().server.expect("a server")
}

/// Waits until `condition` holds; panics after `HANG_TIMEOUT`.
async fn wait_until(condition: impl AsyncFn() -> bool) {
    let holds = async {
        while !condition().await {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    let result = tokio::time::timeout(HANG_TIMEOUT, holds).await;
    assert!(result.is_ok(), "the condition did not hold in time");
}

fn served(responses: &[BufferedResponse]) -> usize {
    responses
        .iter()
        .filter(|response| response.status == StatusCode::OK)
        .count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_requests_do_not_run_and_carry_retry_after() {
    let fleet = TestFleet::start(configuration(), &[("zone-a", stock(2))]).await;
    let node = &fleet.nodes[0];
    node.server
        .change(|behaviour| behaviour.service_time_ms = 100.0);
    let responses = join_all((0..40).map(|_| send(node, "/browse", "body"))).await;
    let refused: Vec<_> = responses.iter().filter_map(refusal_of).collect();
    assert_eq!(served(&responses) + refused.len(), 40);
    assert!(refused.len() > 20, "{} refused", refused.len());
    assert_eq!(node.server.recorder().runs().len(), served(&responses));
    for response in responses
        .iter()
        .filter(|response| response.status != StatusCode::OK)
    {
        assert!(response.headers.contains_key(header::RETRY_AFTER));
    }
    for refusal in refused {
        assert_eq!(refusal.reason, RefusalReason::Overloaded);
        assert_eq!(refusal.verdict, Verdict::NotRun);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn important_requests_displace_others() {
    let fleet = TestFleet::start(configuration(), &[("zone-a", stock(2))]).await;
    let node = &fleet.nodes[0];
    node.server
        .change(|behaviour| behaviour.service_time_ms = 50.0);
    let low = join_all((0..40).map(|_| send(node, "/browse", "low")));
    let high = async {
        wait_until(async || server(node).waiting_requests >= 4).await;
        join_all((0..4).map(|_| send(node, "/stock", "high"))).await
    };
    let (low, high) = tokio::join!(low, high);
    assert_eq!(served(&high), 4);
    assert!(served(&low) < 40);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_by_the_server_lower_the_limit_until_it_recovers() {
    let fleet = TestFleet::start(configuration(), &[("zone-a", stock(8))]).await;
    let node = &fleet.nodes[0];
    let send_some = async || {
        join_all((0..8).map(|_| send(node, "/stock", "body"))).await;
    };
    wait_until(async || {
        send_some().await;
        server(node).limit_slots == 8
    })
    .await;
    node.server
        .change(|behaviour| behaviour.fault = Fault::Shed);
    wait_until(async || {
        send_some().await;
        server(node).limit_slots <= 2
    })
    .await;
    node.server
        .change(|behaviour| behaviour.fault = Fault::None);
    wait_until(async || {
        send_some().await;
        server(node).limit_slots == 8
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_disconnect_neither_wait_nor_hold_slots() {
    let fleet = TestFleet::start(configuration(), &[("zone-a", stock(1))]).await;
    let node = &fleet.nodes[0];
    node.server
        .change(|behaviour| behaviour.service_time_ms = 60_000.0);
    let timeout = Duration::from_millis(50);
    let send_and_disconnect = |_| tokio::time::timeout(timeout, send(node, "/stock", "body"));
    join_all((0..4).map(send_and_disconnect)).await;
    wait_until(async || {
        let server = server(node);
        server.waiting_requests == 0 && server.held_slots == 0
    })
    .await;
}

/// The ingress node learns from responses that a service behind the first one is overloaded, and
/// refuses immediately what would be refused there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ingress_node_refuses_what_a_downstream_service_would_refuse() {
    let mut configuration = sample_configuration(&["zone-a"], &["small"], &["price", "stock"]);
    let mut important = sample_route("quote");
    important.service = configuration.routes[0].service.clone();
    important.importance = IMPORTANT;
    configuration.routes.push(important);
    let price = ServerPlan {
        slots: 64,
        connections: 256,
        ..ServerPlan::small("price", &["/stock"])
    };
    let plans = [("zone-a", price), ("zone-a", stock(1))];
    let fleet = TestFleet::start(configuration, &plans).await;
    let stock = &fleet.nodes[1];
    stock
        .server
        .change(|behaviour| behaviour.service_time_ms = 20.0);
    let refused_at_ingress = || stock.daemon.node().dump().refused_at_entry;
    wait_until(async || {
        join_all((0..32).map(|_| send(stock, "/price", "low"))).await;
        refused_at_ingress() >= 32
    })
    .await;
    let response = send(stock, "/quote", "high").await;
    assert_eq!(response.status, StatusCode::OK);
}
