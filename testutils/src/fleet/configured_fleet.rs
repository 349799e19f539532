//! Nodes without backend servers that read their configuration from the platform stand-in.

use std::time::Duration;

use balsamfold::process::configuration::ConfigurationStore;
use balsamfold::process::configuration::StoredConfiguration;
use balsamfold::process::configuration::WriteOutcome;
use balsamfold::process::node::NodeDaemon;
use balsamfold::process::platform::PlatformClient;
use balsamfold::process::platform::PlatformSettings;
use balsamfold::process::settings::NodeSettings;
use balsamfold::process::settings::RawNodeSettings;
use balsamfold::values::ConfigVersion;
use balsamfold::version::ChangeId;
use balsamfold::version::Configuration;

use super::raw_settings;
use crate::platform::PlatformStandIn;

const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Longest wait for a condition; only a hanging test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Nodes without backend servers that read their configuration from the platform stand-in.
pub struct ConfiguredFleet {
    /// The platform stand-in.
    pub platform: PlatformStandIn,
    /// The running nodes.
    pub nodes: Vec<NodeDaemon>,
    operator: PlatformClient,
}

impl ConfiguredFleet {
    /// Writes `configuration` to a new stand-in, starts one node for each entry of `zones`, and waits
    /// until all nodes have the configuration and list one another as members.
    pub async fn start(configuration: &Configuration, zones: &[&str]) -> Self {
        let platform = PlatformStandIn::start_local().await;
        let platform = platform.expect("the stand-in starts");
        let settings = PlatformSettings {
            calls_per_s: 1_000,
            ..PlatformSettings::new(platform.address())
        };
        let mut fleet = Self {
            platform,
            nodes: Vec::new(),
            operator: PlatformClient::new(&settings),
        };
        fleet.write(None, configuration).await;
        for zone in zones {
            fleet.add_node(zone).await;
        }
        let count = zones.len();
        wait_until(|| {
            let known = |daemon: &NodeDaemon| daemon.node().members().nodes().count();
            fleet.nodes.iter().all(|daemon| known(daemon) == count)
        })
        .await;
        fleet.wait_for_version(configuration.version).await;
        fleet
    }

    /// Starts one more node, without waiting until it has joined the fleet.
    pub async fn add_node(&mut self, zone: &str) {
        let name = format!("node-{}", self.nodes.len());
        let seeds = self.nodes.iter().take(2);
        let seeds = seeds.map(|daemon| daemon.node().addresses.probe.to_string());
        let raw = RawNodeSettings {
            platform: self.platform.address().to_string(),
            seeds: seeds.collect(),
            ..raw_settings(&name, zone, "stock")
        };
        let settings = NodeSettings::try_from(raw).expect("settings of tests are valid");
        let daemon = NodeDaemon::start(settings).await;
        self.nodes.push(daemon.expect("the node starts"));
    }

    /// Reads the configuration from the platform stand-in.
    pub async fn read(&self) -> StoredConfiguration {
        let stored = self.store().read().await.expect("the stand-in replies");
        stored.expect("a configuration is stored")
    }

    /// Applies `change` to the stored configuration and writes the result; returns its version.
    pub async fn change(
        &self,
        change: impl Fn(&Configuration, ChangeId) -> Configuration,
    ) -> ConfigVersion {
        let base = self.read().await;
        let next = change(&base.configuration, ChangeId::generate());
        self.write(Some(&base), &next).await;
        next.version
    }

    /// Waits until all nodes have `version` or a newer one in force.
    pub async fn wait_for_version(&self, version: ConfigVersion) {
        wait_until(|| {
            let mut nodes = self.nodes.iter();
            nodes.all(|daemon| daemon.node().configuration.version() >= version)
        })
        .await;
    }

    async fn write(&self, base: Option<&StoredConfiguration>, next: &Configuration) {
        let revision = base.map(|base| base.revision);
        let outcome = self.store().write(revision, next).await;
        assert!(matches!(outcome, Ok(WriteOutcome::Done)), "{outcome:?}");
    }

    fn store(&self) -> ConfigurationStore<'_> {
        ConfigurationStore::new(&self.operator, 1)
    }
}

impl Drop for ConfiguredFleet {
    fn drop(&mut self) {
        let calls = self.platform.status().calls;
        println!("calls to the platform, including those of the operator: {calls:?}");
    }
}

/// Waits until `condition` holds; fails the test after a timeout of 60 s.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, holds).await;
    assert!(
        result.is_ok(),
        "the condition did not hold before the timeout"
    );
}
