//! Requests are admitted while the platform is down.

use std::time::Duration;

use http::StatusCode;
use testutils::backend_server::ServerPlan;
use testutils::fleet::TestFleet;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;
use testutils::platform::Faults;

const NODES: usize = 6;
/// Longer than a holder's lease and the time after which another node may take over.
const OUTAGE: Duration = Duration::from_millis(5_500);
const PAUSE: Duration = Duration::from_millis(100);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_admitted_through_an_outage_longer_than_the_lease() {
    let plans = vec![("zone-a", ServerPlan::small("stock", &[])); NODES];
    let configuration = sample_configuration(&["zone-a"], &["small"], &["stock"]);
    let fleet = TestFleet::start(configuration, &plans).await;
    fleet.platform.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let mut refused = Vec::new();
    for number in 0..OUTAGE.as_millis() / PAUSE.as_millis() {
        let caller = &fleet.nodes[number as usize % NODES].caller;
        let body = format!("request-{number}");
        let request = post("/stock", Some(&sample_key("small")), &[], &body);
        let response = caller.send(request).await.unwrap();
        if response.status != StatusCode::OK {
            refused.push(response);
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert!(
        refused.is_empty(),
        "{} refused, first {:?}",
        refused.len(),
        refused[0]
    );
}
