//! Membership of complete nodes over real sockets: planned stops, expired announcements, restarts.

use std::time::Duration;

use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::node::NodeDaemon;
use balsamfold::process::settings::NodeSettings;
use balsamfold::process::settings::RawNodeSettings;
use balsamfold::values::NodeId;
use http::StatusCode;
use testutils::backend_server::ServerPlan;
use testutils::fleet::TestFleet;
use testutils::fleet::TestNode;
use testutils::fleet::post;
use testutils::fleet::raw_settings;
use testutils::fleet::sample_configuration;
use testutils::fleet::sample_key;

const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Reached only by a test that hangs.
const TIMEOUT: Duration = Duration::from_secs(60);
const REQUEST_COUNT: usize = 40;

async fn stock_fleet() -> TestFleet {
    let plans = ["zone-a", "zone-a", "zone-b"].map(|zone| (zone, ServerPlan::small("stock", &[])));
    let configuration = sample_configuration(&["zone-a", "zone-b"], &["small"], &["stock"]);
    TestFleet::start(configuration, &plans).await
}

fn node_id(text: &str) -> NodeId {
    text.parse().expect("valid name")
}

async fn wait_until(reached: impl Fn() -> bool) {
    let reached = async {
        while !reached() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    let result = tokio::time::timeout(TIMEOUT, reached).await;
    assert!(result.is_ok(), "not reached in {TIMEOUT:?}");
}

fn all_see(nodes: &[TestNode], id: &NodeId, expected: impl Fn(&NodeRecord) -> bool) -> bool {
    nodes.iter().all(|node| {
        let members = node.daemon.node().members();
        members.node(id).is_some_and(&expected)
    })
}

async fn call_stock(node: &TestNode) {
    for number in 0..REQUEST_COUNT {
        let body = format!("request {number}");
        let request = post("/stock", Some(&sample_key("small")), &[], &body);
        let response = node.caller.send(request).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_in_a_planned_stop_gets_no_new_work() {
    let fleet = stock_fleet().await;
    call_stock(&fleet.nodes[0]).await;
    let leaving = node_id("node-1");
    assert!(!fleet.nodes[1].server.recorder().runs().is_empty());

    fleet.nodes[1].daemon.node().start_draining();
    wait_until(|| {
        all_see(&fleet.nodes, &leaving, |record| {
            record.condition == NodeCondition::Leaving
        })
    })
    .await;
    let runs_before = fleet.nodes[1].server.recorder().runs().len();
    call_stock(&fleet.nodes[0]).await;
    call_stock(&fleet.nodes[2]).await;
    let runs_after = fleet.nodes[1].server.recorder().runs().len();
    assert_eq!(runs_after, runs_before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_whose_server_stopped_stays_known_without_a_server() {
    let mut fleet = stock_fleet().await;
    let node = fleet.nodes.remove(1);
    node.server.stop().await;
    let id = node_id("node-1");
    wait_until(|| all_see(&fleet.nodes, &id, |record| record.server.is_none())).await;
    assert!(all_see(&fleet.nodes, &id, |record| {
        record.condition != NodeCondition::Dead
    }));
    call_stock(&fleet.nodes[0]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_node_is_a_new_incarnation_at_the_same_address() {
    let mut fleet = stock_fleet().await;
    let stopped = fleet.nodes.remove(2);
    let before = stopped.daemon.node().membership.own_record();
    stopped.server.stop().await;
    stopped.daemon.stop().await;

    let seed = fleet.nodes[0].daemon.node().addresses.probe;
    let settings = || {
        let raw = RawNodeSettings {
            probe_listen: before.addresses.probe.to_string(),
            seeds: vec![seed.to_string()],
            ..raw_settings(before.id.as_str(), "zone-b", "stock")
        };
        NodeSettings::try_from(raw).expect("settings of tests are valid")
    };
    let restarted = async {
        loop {
            match NodeDaemon::start(settings()).await {
                Ok(daemon) => return daemon,
                Err(_) => tokio::time::sleep(POLL_PERIOD).await,
            }
        }
    };
    let restarted = tokio::time::timeout(TIMEOUT, restarted)
        .await
        .expect("the address becomes free");
    wait_until(|| {
        all_see(&fleet.nodes, &before.id, |record| {
            record.condition == NodeCondition::Alive
                && record.incarnation.generation() > before.incarnation.generation()
        })
    })
    .await;
    let own = restarted.node().membership.own_record();
    assert_eq!(own.addresses.probe, before.addresses.probe);
}
