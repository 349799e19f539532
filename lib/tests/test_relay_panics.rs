//! Messages and items on which a part of a relay fails unexpectedly.

use balsamfold::values::ConfigVersion;
use bytes::Bytes;
use http::StatusCode;
use testutils::relay::CONFIGURATION_KEY;
use testutils::relay::PANIC_BYTES;
use testutils::relay::RelayFleet;
use testutils::relay::StoredPlan;
use testutils::relay::sample_open_plan;

// Guards against one item of the store that ends for good what keeps a relay up to date.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relays_go_on_after_a_stored_configuration_on_which_the_decoder_panics() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"; 3]).await;
    let version_before = sample_open_plan().version;
    fleet
        .store
        .write(CONFIGURATION_KEY, Bytes::from_static(PANIC_BYTES));
    fleet.publish(&StoredPlan {
        version: version_before + 1,
        ..sample_open_plan()
    });
    fleet
        .wait_until(|fleet| {
            let mut nodes = fleet.relays.iter().map(|relay| relay.daemon.node());
            nodes.all(|node| {
                let plan = node.plan();
                plan.is_some_and(|plan| plan.version == ConfigVersion(version_before + 1))
            })
        })
        .await;
    let response = fleet.call(0, "r1", "/stock/1", None).await;
    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn report_on_which_the_decoder_panics_gets_an_error_response() {
    let fleet = RelayFleet::start(&sample_open_plan(), &["stock"]).await;
    let status = fleet.report_bytes(0, PANIC_BYTES).await;
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(fleet.report(0, 2, false).await, StatusCode::OK);
    let malformed = fleet.report_bytes(0, b"{").await;
    assert_eq!(malformed, StatusCode::BAD_REQUEST);
}
