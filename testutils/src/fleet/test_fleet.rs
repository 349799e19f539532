//! Starts nodes with their backend servers and waits until they know one another.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use balsamfold::process::node::NodeDaemon;
use balsamfold::process::settings::NodeSettings;
use balsamfold::process::settings::RawNodeSettings;
use balsamfold::version::Configuration;

use super::Caller;
use crate::backend_server::BackendServer;
use crate::backend_server::Behaviour;
use crate::backend_server::ServerPlan;
use crate::backend_server::Upstream;
use crate::platform::PlatformStandIn;

/// The fleet secret of all tests.
pub const FLEET_SECRET: &str = "a-fleet-secret-for-tests-only";

const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Longest time that a fleet may take to start; only a hanging test reaches it.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// One node with its backend server.
pub struct TestNode {
    /// The node.
    pub daemon: NodeDaemon,
    /// The backend server beside it.
    pub server: BackendServer,
    /// A caller connected to the node.
    pub caller: Caller,
}

/// Nodes with their backend servers inside the test's own process.
pub struct TestFleet {
    /// The nodes in the order of their plans.
    pub nodes: Vec<TestNode>,
    /// The platform's stand-in.
    pub platform: PlatformStandIn,
}

impl TestFleet {
    /// Starts one node with its backend server for each zone and plan, and waits until every node
    /// has `configuration` and knows all backend servers.
    pub async fn start(configuration: Configuration, plans: &[(&str, ServerPlan)]) -> Self {
        let mut nodes: Vec<TestNode> = Vec::new();
        let mut seeds: Vec<String> = Vec::new();
        let platform = PlatformStandIn::start_local().await;
        let platform = platform.expect("the stand-in starts");
        for (index, (zone, plan)) in plans.iter().enumerate() {
            let raw = RawNodeSettings {
                seeds: seeds.clone(),
                platform: platform.address().to_string(),
                ..raw_settings(&format!("node-{index}"), zone, plan.service.as_str())
            };
            let settings = NodeSettings::try_from(raw).expect("settings of tests are valid");
            let daemon = NodeDaemon::start(settings).await.expect("the node starts");
            let node = daemon.node();
            node.offer_configuration(configuration.clone());
            seeds.push(node.addresses.probe.to_string());
            let behaviour = Behaviour {
                service_time_ms: 1.0,
                ..Behaviour::default()
            };
            let server = BackendServer::start(
                plan.clone(),
                behaviour,
                Upstream::Node(daemon.local_address()),
            )
            .await
            .expect("the backend server starts");
            let caller = Caller::new(daemon.caller_address());
            nodes.push(TestNode {
                daemon,
                server,
                caller,
            });
        }
        let fleet = Self { nodes, platform };
        fleet.wait_until_known(plans.len()).await;
        fleet
    }

    /// Waits until every node knows `count` nodes with an announced backend server.
    pub async fn wait_until_known(&self, count: usize) {
        let all_known = async {
            while !self.nodes.iter().all(|node| known_servers(node) == count) {
                tokio::time::sleep(POLL_PERIOD).await;
            }
        };
        let result = tokio::time::timeout(START_TIMEOUT, all_known).await;
        assert!(result.is_ok(), "the nodes do not know one another");
    }
}

fn known_servers(node: &TestNode) -> usize {
    let members = node.daemon.node().members();
    members
        .nodes()
        .filter(|record| record.takes_work() && record.server.is_some())
        .count()
}

/// Returns settings that listen on free ports of the loopback interface.
pub fn raw_settings(node: &str, zone: &str, service: &str) -> RawNodeSettings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0)).to_string();
    RawNodeSettings {
        node: node.to_owned(),
        zone: zone.to_owned(),
        service: service.to_owned(),
        caller_listen: any_port.clone(),
        local_listen: any_port.clone(),
        peer_listen: any_port.clone(),
        control_listen: any_port.clone(),
        probe_listen: any_port,
        platform: "127.0.0.1:1".to_owned(),
        seeds: Vec::new(),
        fleet_secret: FLEET_SECRET.to_owned(),
        body_bytes_max: "1048576".to_owned(),
        connections_max: "4096".to_owned(),
        leave_notice_ms: "100".to_owned(),
        announcement_ms: "3000".to_owned(),
    }
}

/// Reads a checked value that tests write down.
pub(super) fn name<T>(text: &str) -> T
where
    T: FromStr,
    T::Err: Debug,
{
    text.parse().expect("names of tests are valid")
}
