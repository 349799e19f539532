//! Rates of organisations over a fleet of relays.

use std::time::Duration;

use balsamfold::process::relay::RateSettings;
use balsamfold::process::relay::RawRelaySettings;
use balsamfold::process::relay::rate_plan;
use balsamfold::values::ConfigVersion;
use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::values::ZoneId;
use balsamfold::version::OrganisationLimits;
use balsamfold::version::PlannedRoute;
use balsamfold::version::Priority;
use balsamfold::version::Repeatability;
use balsamfold::version::TrafficPlan;
use balsamfold::version::WeightedService;
use bytes::Bytes;
use http::StatusCode;
use http::header;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::organisation_limits;
use testutils::relay::sample_organisation;

const KEY: &str = "key-of-a";
/// Attempts at one request, each after the retry delay of the refusal before it.
const ATTEMPTS_MAX: usize = 40;

fn plan(version: u64, rate_per_s: Option<u32>, burst_tokens: u64) -> StoredPlan {
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
        rate_per_s: rate_per_s.map(RatePerSecond),
        burst: TokenCount(burst_tokens),
        priority: Priority(1),
    };
    StoredPlan {
        version,
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
    let fleet = RelayFleet::start(&plan(1, Some(20), 2), &services).await;
    for request in 0..6 {
        let id = format!("request-{request}");
        let status = call_until_admitted(&fleet, request % 2, &id).await;
        assert_eq!(status, StatusCode::OK, "{id}");
    }
}

// Guards against a holder record of another writer for which requests with keys are refused for good.
#[tokio::test]
async fn corrupted_record_of_the_holder_is_replaced() {
    let fleet = RelayFleet::start(&plan(1, Some(1_000), 100), &["front", "stock"]).await;
    let key = "rates/zone-a";
    let stored = fleet.store.value(key).expect("a holder");
    let stored: serde_json::Value = serde_json::from_slice(&stored).expect("a record");
    let with = |field: &str, value: serde_json::Value| {
        let mut record = stored.clone();
        record[field] = value;
        record.to_string()
    };
    let corrupted = [
        "{".to_owned(),
        with("epoch", u64::MAX.into()),
        with("address", "127.0.0.1:70000".into()),
    ];
    for (number, value) in corrupted.into_iter().enumerate() {
        fleet.store.write(key, Bytes::from(value.clone()));
        let is_replaced = |fleet: &RelayFleet| {
            let stored = fleet.store.value(key).expect("a record");
            stored != value
                && fleet
                    .relays
                    .iter()
                    .any(|relay| relay.daemon.node().holds_rates())
        };
        fleet.wait_until(is_replaced).await;
        for index in 0..2 {
            let id = format!("request-{number}-{index}");
            let status = call_until_admitted(&fleet, index, &id).await;
            assert_eq!(status, StatusCode::OK, "{number}");
        }
    }
}

#[tokio::test]
async fn organisation_without_a_limit_needs_no_tokens() {
    let fleet = RelayFleet::start(&plan(1, None, 0), &["front", "stock"]).await;
    for request in 0..20 {
        let id = format!("request-{request}");
        let response = fleet.call(0, &id, "/stock/x", Some(KEY)).await;
        assert_eq!(response.status, StatusCode::OK, "{id}");
    }
}

#[tokio::test]
async fn relays_together_admit_no_more_than_the_burst() {
    const BURST_TOKENS: u64 = 6;
    let services = ["front", "front", "front", "stock"];
    let minting = plan(1, Some(10_000), BURST_TOKENS);
    let fleet = RelayFleet::start(&minting, &services).await;
    let status = call_until_admitted(&fleet, 0, "first").await;
    assert_eq!(status, StatusCode::OK);
    fleet.publish(&plan(2, Some(0), BURST_TOKENS));
    fleet
        .wait_until(|fleet| {
            let plans = fleet.relays.iter().map(|relay| relay.daemon.node().plan());
            plans.flatten().all(|plan| plan.version == ConfigVersion(2))
        })
        .await;
    let mut admitted = 0;
    for request in 0..30 {
        let id = format!("request-{request}");
        let index = request % services.len();
        let response = fleet.call(index, &id, "/stock/x", Some(KEY)).await;
        match response.status {
            StatusCode::OK => admitted += 1,
            status => {
                assert_eq!(status, StatusCode::TOO_MANY_REQUESTS, "{id}");
                assert!(response.headers.contains_key(header::RETRY_AFTER), "{id}");
            }
        }
    }
    assert!(
        admitted <= BURST_TOKENS,
        "{admitted} requests were admitted"
    );
}

#[test]
fn zones_share_limits_equally_and_every_limit_has_room_for_a_token() {
    let mut plan = TrafficPlan::new(ConfigVersion(1));
    plan.add_organisation(organisation_limits(40, 0), []);
    let unlimited = OrganisationLimits {
        id: "unlimited".parse().expect("valid name"),
        rate_per_s: None,
        ..organisation_limits(0, 0)
    };
    plan.add_organisation(unlimited, []);
    let zones: Vec<ZoneId> = ["zone-a", "zone-b"]
        .iter()
        .map(|zone| zone.parse().expect("valid name"))
        .collect();
    let rates = rate_plan(&plan, zones.iter());
    assert_eq!(rates.layout.weights.values().collect::<Vec<_>>(), [&1, &1]);
    let limits: Vec<_> = rates.organisations.values().collect();
    assert_eq!(limits.len(), 1);
    assert_eq!(limits[0].id, sample_organisation());
    assert_eq!(limits[0].rate_per_s, RatePerSecond(40));
    assert_eq!(limits[0].burst_tokens, TokenCount(1));
}

/// Time after which a holder that cannot renew has lost its role, and before which no other node has it.
const WITHOUT_RENEWAL: Duration = Duration::from_millis(3_600);
/// Time after which another node has taken the role over.
const AFTER_TAKEOVER: Duration = Duration::from_millis(3_000);

/// Turns the holder's relay away from the store. Returns whether the fleet still grants tokens when its lease
/// has ended, and whether it is the holder after the time in which another node would have taken over.
async fn turn_holder_away(records_through_nodes: bool) -> (StatusCode, bool) {
    let services = ["front", "front", "front", "stock"];
    let adjust: fn(&mut RawRelaySettings) = match records_through_nodes {
        true => |raw| {
            raw.rates = Some(RateSettings {
                records_through_nodes: true,
            })
        },
        false => |raw| {
            raw.rates = Some(RateSettings {
                records_through_nodes: false,
            })
        },
    };
    let plan = plan(1, Some(100), 40);
    let fleet = RelayFleet::start_adjusted(&plan, &services, adjust).await;
    assert_eq!(
        call_until_admitted(&fleet, 0, "first").await,
        StatusCode::OK
    );
    let is_holder = |index: &usize| fleet.relays[*index].daemon.node().holds_rates();
    let holder = (0..services.len()).find(is_holder).expect("a holder");
    fleet.relays[holder].store.set_turned_away(true);
    tokio::time::sleep(WITHOUT_RENEWAL).await;
    let other = (holder + 1) % services.len();
    let response = fleet.call(other, "in-between", "/stock/x", Some(KEY)).await;
    tokio::time::sleep(AFTER_TAKEOVER).await;
    (response.status, is_holder(&holder))
}

/// Guards against a zone without tokens for three seconds when the store turns away the node that holds them:
/// all other nodes reach the store, so that none promises to leave the role alone, and the next holder starts
/// with empty buckets.
#[tokio::test]
async fn holder_that_the_store_turns_away_renews_through_other_nodes() {
    let (through_nodes, alone) = tokio::join!(turn_holder_away(true), turn_holder_away(false));
    assert_eq!(through_nodes, (StatusCode::OK, true));
    // 503 without a holder, 429 from the next one, whose buckets are empty.
    let refusals = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    assert!(refusals.contains(&alone.0), "{}", alone.0);
    assert!(!alone.1);
}
