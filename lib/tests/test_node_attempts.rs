//! Attempts of one request through a chain of running nodes.

use http::StatusCode;
use testutils::backend_server::Fault;
use testutils::backend_server::ServerPlan;
use testutils::fleet::TestFleet;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;

const SERVICES: [&str; 3] = ["order", "price", "stock"];
const EXTRA_ATTEMPTS: usize = 6;

/// Starts a chain of services with two servers each.
async fn doubled_chain() -> TestFleet {
    let mut plans = Vec::new();
    for _ in 0..2 {
        plans.push(("zone-a", ServerPlan::small("order", &["/price"])));
        plans.push(("zone-a", ServerPlan::small("price", &["/stock"])));
        plans.push(("zone-a", ServerPlan::small("stock", &[])));
    }
    let configuration = sample_configuration(&["zone-a"], &["small"], &SERVICES);
    TestFleet::start(configuration, &plans).await
}

fn runs_of(fleet: &TestFleet, path: &str) -> usize {
    fleet
        .nodes
        .iter()
        .flat_map(|node| node.server.recorder().runs())
        .filter(|run| run.path == path)
        .count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_responses_in_a_chain_cost_at_most_the_attempts_of_the_root() {
    let fleet = doubled_chain().await;
    for node in &fleet.nodes {
        node.server
            .change(|behaviour| behaviour.fault = Fault::LoseResponse);
    }
    let request = post("/order", Some(&sample_key("small")), &[], "request");
    let response = fleet.nodes[0].caller.send(request).await.unwrap();
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    let first_attempts = 1;
    assert!(runs_of(&fleet, "/order") <= first_attempts + EXTRA_ATTEMPTS);
    assert!(runs_of(&fleet, "/stock") <= first_attempts + EXTRA_ATTEMPTS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_response_in_a_chain_is_retried_at_its_own_hop() {
    let fleet = doubled_chain().await;
    let stocks: Vec<_> = fleet
        .nodes
        .iter()
        .filter(|node| serves(node, "stock"))
        .collect();
    stocks[0]
        .server
        .change(|behaviour| behaviour.fault = Fault::LoseResponse);
    for number in 0..10 {
        let body = format!("request-{number}");
        let request = post("/order", Some(&sample_key("small")), &[], &body);
        let response = fleet.nodes[0].caller.send(request).await.unwrap();
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(runs_of(&fleet, "/order"), 10);
    assert_eq!(runs_of(&fleet, "/price"), 10);
}

fn serves(node: &testutils::fleet::TestNode, service: &str) -> bool {
    let settings = &node.daemon.node().settings;
    settings.service.as_str() == service
}
