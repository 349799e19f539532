//! Tests of at-most-once requests on running nodes.

use std::time::Duration;

use balsamfold::connection::BufferedResponse;
use balsamfold::connection::IDEMPOTENCY_KEY_HEADER;
use balsamfold::connection::VERDICT_HEADER;
use balsamfold::process::once::SlotId;
use balsamfold::request::RefusalReason;
use balsamfold::request::Verdict;
use balsamfold::request::refusal_of;
use balsamfold::values::TokenCount;
use balsamfold::version::Configuration;
use balsamfold::version::Repeatability;
use http::StatusCode;
use testutils::backend_server::Fault;
use testutils::backend_server::ServerPlan;
use testutils::fleet::TestFleet;
use testutils::fleet::TestNode;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;
use uuid::Uuid;

const ZONE: &str = "zone-a";
/// More tokens than any test spends.
const TOKENS: TokenCount = TokenCount(1_000);
const POLL_PERIOD: Duration = Duration::from_millis(20);

fn configuration(zones: &[&str]) -> Configuration {
    let mut configuration = sample_configuration(zones, &["small"], &["order"]);
    configuration.routes[0].repeatability = Repeatability::AtMostOnce;
    configuration
}

/// Starts three nodes with servers of one service and waits until all its terms are held.
async fn order_fleet(zones: &[&str]) -> TestFleet {
    let plans = [(); 3].map(|()| (ZONE, ServerPlan::small("order", &[])));
    let fleet = TestFleet::start(configuration(zones), &plans).await;
    wait_for_terms(&fleet).await;
    fleet
        .wait_for_tokens(&"small".parse().unwrap(), TOKENS)
        .await;
    fleet
}

async fn wait_for_terms(fleet: &TestFleet) {
    let held = || -> usize {
        let dumps = fleet.nodes.iter().map(|node| node.daemon.node().dump());
        dumps.map(|dump| dump.once.held_slots.len()).sum()
    };
    let all_held = async {
        while held() < usize::from(SlotId::PER_SERVICE) {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(60), all_held).await;
    assert!(result.is_ok(), "not all terms of the service are held");
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

async fn order(fleet: &TestFleet, ingress: usize, key: &str, body: &str) -> BufferedResponse {
    let headers = [(IDEMPOTENCY_KEY_HEADER, key)];
    let request = post("/order", Some(&sample_key("small")), &headers, body);
    fleet.nodes[ingress].caller.send(request).await.unwrap()
}

fn run_count(fleet: &TestFleet, body: &str) -> usize {
    let runs = fleet
        .nodes
        .iter()
        .flat_map(|node| node.server.recorder().runs());
    runs.filter(|run| run.body == body).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resends_through_all_nodes_return_the_response_of_the_single_run() {
    let fleet = order_fleet(&[ZONE]).await;
    for number in 0..20 {
        let key = new_key();
        let body = format!("order-{number}");
        let first = order(&fleet, number % 3, &key, &body).await;
        assert_eq!(first.status, StatusCode::OK);
        for ingress in 0..3 {
            let resent = order(&fleet, ingress, &key, &body).await;
            assert_eq!(resent.status, StatusCode::OK, "{:?}", resent.body);
            assert_eq!(resent.body, first.body);
            assert_eq!(resent.headers[VERDICT_HEADER], "ran");
        }
        assert_eq!(run_count(&fleet, &body), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_resends_join_the_same_run() {
    let fleet = order_fleet(&[ZONE]).await;
    for node in &fleet.nodes {
        node.server
            .change(|behaviour| behaviour.service_time_ms = 50.0);
    }
    let key = new_key();
    let resends = (0..12).map(|number| order(&fleet, number % 3, &key, "order"));
    let responses = futures::future::join_all(resends).await;
    assert!(
        responses
            .iter()
            .all(|response| response.status == StatusCode::OK)
    );
    assert_eq!(run_count(&fleet, "order"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_response_does_not_cause_another_run() {
    let fleet = order_fleet(&[ZONE]).await;
    let key = new_key();
    for node in &fleet.nodes {
        node.server
            .change(|behaviour| behaviour.fault = Fault::LoseResponse);
    }
    let first = order(&fleet, 0, &key, "order").await;
    assert_eq!(refusal_of(&first).unwrap().verdict, Verdict::MayHaveRun);
    for node in &fleet.nodes {
        node.server
            .change(|behaviour| behaviour.fault = Fault::None);
    }
    for ingress in 0..3 {
        let resent = order(&fleet, ingress, &key, "order").await;
        let refusal = refusal_of(&resent).unwrap();
        assert_eq!(refusal.reason, RefusalReason::OutcomeUnknown);
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    }
    assert_eq!(run_count(&fleet, "order"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_reused_for_another_order_is_refused() {
    let fleet = order_fleet(&[ZONE]).await;
    let key = new_key();
    order(&fleet, 0, &key, "zips").await;
    let reused = order(&fleet, 1, &key, "buttons").await;
    let refusal = refusal_of(&reused).unwrap();
    assert_eq!(refusal.reason, RefusalReason::IdempotencyKeyReused);
    assert_eq!(run_count(&fleet, "buttons"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn home_node_transfers_its_records_on_planned_stop() {
    let mut fleet = order_fleet(&[ZONE]).await;
    let keys: Vec<_> = (0..20).map(|_| new_key()).collect();
    for key in &keys {
        order(&fleet, 0, key, key).await;
    }
    let held = |node: &TestNode| node.daemon.node().dump().once.held_slots.len();
    let holder = (0..3).max_by_key(|index| held(&fleet.nodes[*index]));
    let leaving = fleet.nodes.remove(holder.unwrap());
    assert!(held(&leaving) > 0);
    leaving.daemon.stop().await;
    let organisation = "small".parse().unwrap();
    fleet.wait_for_tokens(&organisation, TOKENS).await;
    wait_for_terms(&fleet).await;
    for key in &keys {
        let resent = order(&fleet, 1, key, key).await;
        assert_eq!(resent.status, StatusCode::OK, "{:?}", resent.body);
    }
    let leaving_runs = leaving.server.recorder().runs().len();
    let runs: usize = keys.iter().map(|key| run_count(&fleet, key)).sum();
    assert_eq!(leaving_runs + runs, keys.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_with_unreachable_home_zone_are_not_run() {
    let fleet = order_fleet(&[ZONE, "zone-cut-off"]).await;
    let mut refused = 0;
    for _ in 0..40 {
        let key = new_key();
        let response = order(&fleet, 0, &key, &key).await;
        if let Some(refusal) = refusal_of(&response) {
            assert_eq!(refusal.reason, RefusalReason::HomeUnreachable);
            assert_eq!(refusal.verdict, Verdict::NotRun);
            assert!(refusal.retry_after_ms.is_some());
            assert_eq!(run_count(&fleet, &key), 0);
            refused += 1;
        }
    }
    assert!((1..40).contains(&refused));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_without_a_time_run_once_and_keys_of_the_future_are_refused() {
    let fleet = order_fleet(&[ZONE]).await;
    for ingress in 0..3 {
        let response = order(&fleet, ingress, "order-number-7", "undated").await;
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(run_count(&fleet, "undated"), 1);
    let far_ahead = "7fffffff-ffff-7cc3-98c4-dc0c0c07398f";
    let response = order(&fleet, 0, far_ahead, "early").await;
    let refusal = refusal_of(&response).unwrap();
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(run_count(&fleet, "early"), 0);
}
