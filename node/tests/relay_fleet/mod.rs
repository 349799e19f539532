//! Relays as processes, with a store and backend servers in the test's process.

mod client;
mod machine;
mod server;

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use balsamfold_platform::protocol;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;

pub use self::client::Client;
pub use self::client::Ending;
pub use self::client::Sent;
pub use self::machine::Machine;
pub use self::machine::ProcessEvent;
pub use self::machine::Setup;
use crate::store_stand_in::StoreStandIn;

/// Time after a stop signal after which the platform kills a process, unless a test names another.
pub const GRACE: Duration = Duration::from_secs(6);
/// The machines of a fleet, unless a test names others.
pub const SETUP: Setup = Setup {
    grace: GRACE,
    memory_limit_mb: 160,
    slots: 64,
    descriptors_max: 4_000,
};
/// Longest wait for a condition of the fleet.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A store, and machines with a relay and a backend server each.
pub struct Fleet {
    pub store: StoreStandIn,
    pub machines: Vec<Machine>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a machine for each service, and waits until all relays are ready and serve.
    pub async fn start(name: &str, configuration: &Value, services: &[&'static str]) -> Self {
        Self::start_with(name, configuration, services, SETUP).await
    }

    /// Does the same with other limits of the machines.
    pub async fn start_with(
        name: &str,
        configuration: &Value,
        services: &[&'static str],
        setup: Setup,
    ) -> Self {
        let store = StoreStandIn::start().await;
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let mut fleet = Self {
            store,
            machines: Vec::new(),
            folder: folder.clone(),
        };
        fleet.publish(configuration);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder is created");
        for (index, service) in services.iter().enumerate() {
            let machine = Machine::start(&folder, index, service, fleet.store.address, setup).await;
            fleet.machines.push(machine);
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Removes the settings and logs of the relays.
    pub fn remove_files(&self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    pub fn publish(&self, configuration: &Value) {
        let stored = Bytes::from(configuration.to_string());
        self.store
            .content
            .write(protocol().configuration_key, stored);
    }

    async fn wait_until_ready(&self) {
        let started_at = Instant::now();
        while !self.is_ready().await {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "the fleet is not ready"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn is_ready(&self) -> bool {
        let entries = self.store.content.keys("nodes/");
        let entries = entries
            .iter()
            .filter_map(|key| self.store.content.value(key));
        let serving = entries.filter(|entry| String::from_utf8_lossy(entry).contains("\"slots\""));
        if serving.count() < self.machines.len() {
            return false;
        }
        for machine in &self.machines {
            if !machine.is_ready().await {
                return false;
            }
        }
        true
    }
}

/// Returns a configuration with open routes: name, path prefix, kind and service.
pub fn configuration(version: u64, routes: &[(&str, &str, &str, &str)]) -> Value {
    let paths = routes.iter().map(|(name, prefix, kind, service)| {
        json!({
            "name": name,
            "prefix": prefix,
            "kind": kind,
            "timeout-ms": 8_000,
            "max-attempts": 3,
            "priority": 0,
            "service": service,
            "public": true,
        })
    });
    let paths: Vec<Value> = paths.collect();
    json!({ "version": version, "hosts": [{ "host": "shop", "paths": paths }] })
}
