//! Rate limits of organisations over a fleet of nodes in the test process.

use balsamfold::request::RefusalReason;
use balsamfold::request::refusal_of;
use balsamfold::values::ConfigVersion;
use balsamfold::values::OrganisationId;
use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::version::Configuration;
use futures::future::join_all;
use http::StatusCode;
use testutils::backend_server::ServerPlan;
use testutils::fleet::TestFleet;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const BURST_TOKENS: u64 = 30;

/// Rate that fills the burst within milliseconds.
const FAST_PER_S: u32 = 10_000;

fn small() -> OrganisationId {
    "small".parse().expect("the name is valid")
}

fn configuration(version: u64, rate_per_s: u32) -> Configuration {
    let mut configuration = sample_configuration(&ZONES, &["small", "large"], &["stock"]);
    configuration.version = ConfigVersion(version);
    let small = configuration.organisations.get_mut(&small());
    let small = small.expect("the organisation is there");
    small.rate_per_s = RatePerSecond(rate_per_s);
    small.burst_tokens = TokenCount(BURST_TOKENS);
    configuration
}

/// Starts two nodes in each zone, fills the buckets, and then stops minting.
async fn fleet_with_a_full_burst() -> TestFleet {
    let plans: Vec<_> = ZONES
        .iter()
        .flat_map(|zone| [*zone, *zone])
        .map(|zone| (zone, ServerPlan::small("stock", &[])))
        .collect();
    let fleet = TestFleet::start(configuration(1, FAST_PER_S), &plans).await;
    fleet
        .wait_for_tokens(&small(), TokenCount(BURST_TOKENS))
        .await;
    for node in &fleet.nodes {
        node.daemon.node().offer_configuration(configuration(2, 0));
    }
    fleet.wait_for_rate(&small(), RatePerSecond(0)).await;
    fleet
}

/// Sends `count` requests at once to `ingress_nodes` in turn. Returns how many were admitted.
async fn admitted(fleet: &TestFleet, ingress_nodes: &[usize], count: usize) -> usize {
    let sent = (0..count).map(|index| {
        let ingress_node = ingress_nodes[index % ingress_nodes.len()];
        let request = post("/stock", Some(&sample_key("small")), &[], "request");
        fleet.nodes[ingress_node].caller.send(request)
    });
    let responses = join_all(sent).await;
    let responses = responses
        .into_iter()
        .map(|response| response.expect("a response"));
    let mut admitted = 0;
    for response in responses {
        match response.status {
            StatusCode::OK => admitted += 1,
            _ => {
                let refusal = refusal_of(&response).expect("a refusal");
                assert_eq!(refusal.reason, RefusalReason::RateExceeded);
                assert!(refusal.retry_after_ms.is_some());
            }
        }
    }
    admitted
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_nodes_together_admit_no_more_than_the_burst() {
    let fleet = fleet_with_a_full_burst().await;
    let all_nodes: Vec<_> = (0..fleet.nodes.len()).collect();
    let mut total = 0;
    for _ in 0..5 {
        total += admitted(&fleet, &all_nodes, 24).await;
    }
    assert!(total as u64 <= BURST_TOKENS, "{total}");
    assert!(total as u64 >= BURST_TOKENS / 2, "{total}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_node_gets_the_tokens_of_all_zones() {
    let fleet = fleet_with_a_full_burst().await;
    let mut total = 0;
    for _ in 0..BURST_TOKENS {
        total += admitted(&fleet, &[0], 1).await;
    }
    assert_eq!(total as u64, BURST_TOKENS);
    assert_eq!(admitted(&fleet, &[0, 2, 4], 6).await, 0);
}
