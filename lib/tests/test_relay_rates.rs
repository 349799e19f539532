//! Rates of organisations over a fleet of relays.

use std::time::Duration;

use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::version::OrganisationLimits;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Priority;
use balsamfold::version::Repeatability;
use balsamfold::version::WeightedService;
use http::StatusCode;
use http::header;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;

const KEY: &str = "key-of-a";
/// Attempts at one request, each after the retry delay of the refusal before it.
const ATTEMPTS_MAX: usize = 40;

fn plan(rate_per_s: u32, burst_tokens: u64) -> StoredPlan {
    let route = PlannedRoute {
        name: "stock".to_owned(),
        targets: vec![WeightedService {
            service: "stock".parse().expect("valid name"),
            weight: 1,
        }],
        repeatability: Repeatability::Idempotent,
        timeout_ms: 5_000,
        latency_objective_ms: 100,
        attempts_max: 3,
        priority: Priority(1),
        is_open: false,
    };
    let organisation = OrganisationLimits {
        id: "org-a".parse().expect("valid name"),
        rate_per_s: Some(RatePerSecond(rate_per_s)),
        burst: TokenCount(burst_tokens),
        priority: Priority(1),
    };
    StoredPlan {
        version: 1,
        routes: vec![("shop".to_owned(), "/stock/".to_owned(), route)],
        organisations: vec![(organisation, vec![KEY.to_owned()])],
    }
}

/// Sends a request, and sends it again after the retry delay while it is refused for the rate.
/// Returns the last status.
async fn call_until_admitted(fleet: &RelayFleet, index: usize, id: &str) -> StatusCode {
    let mut status = StatusCode::TOO_MANY_REQUESTS;
    for attempt in 0..ATTEMPTS_MAX {
        let id = format!("{id}-{attempt}");
        let response = fleet.call(index, &id, "/stock/x", Some(KEY)).await;
        status = response.status;
        let delay = response.headers.get(header::RETRY_AFTER);
        let delay_s = delay.and_then(|delay| delay.to_str().ok()?.parse().ok());
        match delay_s {
            Some(delay_s) => tokio::time::sleep(Duration::from_secs_f64(delay_s)).await,
            None => break,
        }
    }
    status
}

/// Guards against rates that are divided by the number of nodes: a node whose part of the burst was
/// below one token never had a token to spend or to lend.
#[tokio::test]
async fn organisation_with_fewer_tokens_than_nodes_is_served() {
    let services = ["front", "front", "front", "front", "front", "stock"];
    let fleet = RelayFleet::start(&plan(20, 2), &services).await;
    for request in 0..6 {
        let id = format!("request-{request}");
        let status = call_until_admitted(&fleet, request % 2, &id).await;
        assert_eq!(status, StatusCode::OK, "{id}");
    }
}
