//! A request of a caller through a chain of services.

use balsamfold::connection::VERDICT_HEADER;
use balsamfold::request::RefusalReason;
use balsamfold::request::refusal_of;
use http::StatusCode;
use http::header;
use testutils::backend_server::Fault;
use testutils::backend_server::ServerPlan;
use testutils::backend_server::is_complete_body;
use testutils::fleet::TestFleet;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;

const CHAIN: [&str; 4] = ["catalogue", "price", "order", "stock"];

async fn chain_fleet() -> TestFleet {
    let plans: Vec<_> = CHAIN
        .iter()
        .enumerate()
        .map(|(index, service)| {
            let next = CHAIN.get(index + 1).map(|next| format!("/{next}"));
            let calls: Vec<&str> = next.iter().map(String::as_str).collect();
            ("zone-a", ServerPlan::small(service, &calls))
        })
        .collect();
    let configuration = sample_configuration(&["zone-a"], &["small", "large"], &CHAIN);
    TestFleet::start(configuration, &plans).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chain_of_four_services_returns_a_complete_response() {
    let fleet = chain_fleet().await;
    let request = post("/catalogue", Some(&sample_key("small")), &[], "request-1");
    let response = fleet.nodes[0].caller.send(request).await.unwrap();
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert!(is_complete_body(&response.body));
    assert_eq!(response.headers[VERDICT_HEADER], "ran");
    for node in &fleet.nodes {
        let runs = node.server.recorder().runs();
        assert_eq!(runs.len(), 1);
        assert!(!runs[0].carried_key);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_node_accepts_requests_for_every_service() {
    let fleet = chain_fleet().await;
    for node in &fleet.nodes {
        let request = post("/stock", Some(&sample_key("large")), &[], "request");
        let response = node.caller.send(request).await.unwrap();
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_a_valid_key_do_not_run() {
    let fleet = chain_fleet().await;
    let caller = &fleet.nodes[0].caller;
    let missing = caller.send(post("/stock", None, &[], "a")).await.unwrap();
    let unknown = post("/stock", Some(&sample_key("nobody")), &[], "b");
    let unknown = caller.send(unknown).await.unwrap();
    assert_eq!(missing.status, StatusCode::UNAUTHORIZED);
    assert_eq!(
        refusal_of(&missing).unwrap().reason,
        RefusalReason::KeyMissing
    );
    assert_eq!(
        refusal_of(&unknown).unwrap().reason,
        RefusalReason::KeyInvalid
    );
    assert!(missing.headers.contains_key(header::WWW_AUTHENTICATE));
    assert!(
        fleet
            .nodes
            .iter()
            .all(|node| node.server.recorder().runs().is_empty())
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_cut_and_crossed_responses_are_refused() {
    let fleet = chain_fleet().await;
    for fault in [
        Fault::LoseResponse,
        Fault::TruncateResponse,
        Fault::WrongHandle,
    ] {
        fleet.nodes[3]
            .server
            .change(|behaviour| behaviour.fault = fault);
        let request = post("/stock", Some(&sample_key("small")), &[], "request");
        let response = fleet.nodes[0].caller.send(request).await.unwrap();
        let refusal = refusal_of(&response).expect("a refusal");
        assert_eq!(refusal.verdict.as_str(), "may-have-run", "{fault:?}");
    }
}
