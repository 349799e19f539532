//! The internal listeners of a node refuse processes without the fleet secret. No dump and no debug
//! output, as a log line might contain it, shows a caller's key or the fleet secret.

use std::time::Duration;

use balsamfold::connection::CONTEXT_HEADER;
use balsamfold::connection::HANDLE_HEADER;
use balsamfold::connection::MAC_HEADER;
use balsamfold::process::control;
use balsamfold::process::control::ControlClient;
use balsamfold::request::RefusalReason;
use balsamfold::request::refusal_of;
use http::StatusCode;
use testutils::backend_server::ServerPlan;
use testutils::fleet::Caller;
use testutils::fleet::TestFleet;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;

async fn small_fleet() -> TestFleet {
    let plans = [("zone-a", ServerPlan::small("stock", &[]))];
    TestFleet::start(
        sample_configuration(&["zone-a"], &["small"], &["stock"]),
        &plans,
    )
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_listener_refuses_requests_without_proof() {
    let fleet = small_fleet().await;
    let peer = Caller::new(fleet.nodes[0].daemon.node().addresses.peer);
    let forged = "0".repeat(64);
    let proofs: [&[_]; 2] = [
        &[],
        &[(CONTEXT_HEADER, "{}"), (MAC_HEADER, forged.as_str())],
    ];
    for headers in proofs {
        let response = peer.send(post("/stock", None, headers, "x")).await.unwrap();
        assert_eq!(
            refusal_of(&response).unwrap().reason,
            RefusalReason::NotAPeer
        );
    }
    assert_eq!(fleet.nodes[0].server.recorder().runs(), Vec::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_channel_refuses_calls_with_another_secret() {
    let fleet = small_fleet().await;
    let address = fleet.nodes[0].daemon.node().addresses.control;
    let other_secret = "another-secret-for-tests-only".parse().unwrap();
    let caller = control::connect(address, &other_secret, Duration::from_secs(5)).unwrap();
    assert!(caller.dump().await.is_err());
    assert!(caller.drain().await.is_err());
    assert!(!fleet.nodes[0].daemon.node().is_draining());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn local_listener_refuses_unknown_handles() {
    let fleet = small_fleet().await;
    let local = Caller::new(fleet.nodes[0].daemon.local_address());
    let forged = "0".repeat(48);
    let handles: [&[_]; 3] = [
        &[],
        &[(HANDLE_HEADER, "none")],
        &[(HANDLE_HEADER, forged.as_str())],
    ];
    for headers in handles {
        let response = local
            .send(post("/stock", None, headers, "x"))
            .await
            .unwrap();
        assert_eq!(response.status, StatusCode::FORBIDDEN);
    }
    assert_eq!(fleet.nodes[0].server.recorder().runs(), Vec::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dumps_show_no_key_and_no_secret() {
    let fleet = small_fleet().await;
    let key = sample_key("small");
    let request = post("/stock", Some(&key), &[], "request");
    fleet.nodes[0].caller.send(request).await.unwrap();
    let dump = serde_json::to_string(&fleet.nodes[0].daemon.node().dump()).unwrap();
    let debug = format!("{:?}", fleet.nodes[0].daemon.node());
    for text in [dump, debug] {
        assert!(!text.contains(key.reveal()));
        assert!(!text.contains(testutils::fleet::FLEET_SECRET));
    }
}
