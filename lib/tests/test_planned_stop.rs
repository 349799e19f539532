//! A planned stop interrupts no request.

use std::time::Duration;

use balsamfold::process::membership::NodeCondition;
use http::StatusCode;
use testutils::backend_server::ServerPlan;
use testutils::backend_server::is_complete_body;
use testutils::fleet::TestFleet;
use testutils::fleet::post;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;

const POLL_PERIOD: Duration = Duration::from_millis(5);
/// Only a hanging test reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_in_flight_finish_before_the_stop() {
    let plans = [
        ("zone-a", ServerPlan::small("order", &["/stock"])),
        ("zone-a", ServerPlan::small("stock", &[])),
    ];
    let configuration = sample_configuration(&["zone-a"], &["small"], &["order", "stock"]);
    let mut fleet = TestFleet::start(configuration, &plans).await;
    let stock = fleet.nodes.pop().unwrap();
    let order = fleet.nodes.pop().unwrap();
    stock
        .server
        .change(|behaviour| behaviour.service_time_ms = 600.0);
    let request = post("/order", Some(&sample_key("small")), &[], "long");
    let response = tokio::spawn(async move { order.caller.send(request).await });
    let running = async {
        while stock.daemon.node().in_flight.is_empty() || order.daemon.node().in_flight.is_empty() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    let running = tokio::time::timeout(HANG_TIMEOUT, running).await;
    assert!(running.is_ok(), "the request did not start to run");
    let node = std::sync::Arc::clone(order.daemon.node());
    tokio::join!(order.daemon.stop(), stock.daemon.stop());
    assert!(node.in_flight.is_empty());
    let response = response.await.unwrap().unwrap();
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert!(is_complete_body(&response.body));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_node_gets_no_new_work_from_others() {
    let plans = [
        ("zone-a", ServerPlan::small("stock", &[])),
        ("zone-a", ServerPlan::small("stock", &[])),
    ];
    let configuration = sample_configuration(&["zone-a"], &["small"], &["stock"]);
    let mut fleet = TestFleet::start(configuration, &plans).await;
    let leaving = fleet.nodes.pop().unwrap();
    let id = leaving.daemon.node().settings.node.clone();
    leaving.daemon.stop().await;
    let ingress = &fleet.nodes[0];
    let observed = async {
        loop {
            let members = ingress.daemon.node().members();
            match members.node(&id).map(|record| record.condition) {
                Some(NodeCondition::Leaving | NodeCondition::Dead) | None => break,
                Some(_) => tokio::time::sleep(POLL_PERIOD).await,
            }
        }
    };
    let observed = tokio::time::timeout(HANG_TIMEOUT, observed).await;
    assert!(
        observed.is_ok(),
        "the node did not learn that the other one leaves"
    );
    for number in 0..20 {
        let body = format!("after-{number}");
        let request = post("/stock", Some(&sample_key("small")), &[], &body);
        let response = ingress.caller.send(request).await.unwrap();
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
    assert_eq!(leaving.server.recorder().runs(), Vec::new());
}
