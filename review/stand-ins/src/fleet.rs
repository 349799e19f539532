//! A small deployment: a store, and machines with a relay and an application server each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Setup;
use crate::proxy::Proxy;
use crate::relay::Relay;
use crate::relay::RelaySettings;
use crate::server::Behaviour;
use crate::server::Server;
use crate::store::Store;
use crate::store::Wiring;

pub const ZONE: &str = "centro";
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";

/// A machine: a relay and the application server beside it.
pub struct Machine {
    pub relay: Relay,
    pub server: Arc<Server>,
    /// The nodes that this machine reaches through a proxy.
    pub wiring: Wiring,
}

pub struct Fleet {
    pub store: Store,
    pub proxies: BTreeMap<String, Proxy>,
    wired: Vec<(SocketAddr, SocketAddr)>,
    pub machines: Vec<Machine>,
}

impl Fleet {
    pub fn new(configuration: &str) -> Self {
        let store = Store::start();
        store.write("op/config", configuration);
        Self {
            store,
            proxies: BTreeMap::new(),
            wired: Vec::new(),
            machines: Vec::new(),
        }
    }

    /// Adds a machine, and waits until its entry names its server.
    pub fn add(
        &mut self,
        setup: &Setup,
        node: &str,
        service: &str,
        behaviour: Behaviour,
    ) -> Result<(), String> {
        let server = Server::start(service, node, behaviour, &setup.record);
        let wiring = Wiring::default();
        for (peers, proxy) in &self.wired {
            wiring.lock().unwrap().push((*peers, *proxy));
        }
        let settings = RelaySettings {
            node,
            zone: ZONE,
            service,
            server: server.address,
            store: self.store.listen(Arc::clone(&wiring)),
        };
        let relay = Relay::start(&setup.relay_program, &setup.folder, &settings);
        server.report_to(relay.addresses.reports, ZONE, 64);
        relay.wait_until_ready()?;
        self.machines.push(Machine {
            relay,
            server,
            wiring,
        });
        self.wait_for_entry(node, 0)
    }

    /// Waits until the entry of a node was written after a revision and names its server.
    pub fn wait_for_entry(&self, node: &str, after: u64) -> Result<(), String> {
        let key = format!("nodes/{node}");
        for _ in 0..150 {
            let entry = self.store.value(&key).unwrap_or_default();
            if entry.contains("\"slots\"") && self.store.revision(&key) > after {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{node} wrote no entry with its server"))
    }

    /// Machines whose processes start from now on reach `node` through a proxy. Those that run reach
    /// it as they did, and its own entry stays as it is.
    pub fn wire(&mut self, node: &str) {
        let machine = self
            .machines
            .iter()
            .find(|machine| machine.relay.node == node);
        let peers = machine.expect("a known node").relay.addresses.peers;
        let proxy = Proxy::start(peers);
        self.wired.push((peers, proxy.address));
        for machine in self
            .machines
            .iter()
            .filter(|machine| machine.relay.node != node)
        {
            machine.wiring.lock().unwrap().push((peers, proxy.address));
        }
        self.proxies.insert(node.to_owned(), proxy);
    }

    /// Lets the open connections to the wired nodes go silent, if there is to be trouble. Returns
    /// how many connections each node had been given until then.
    pub fn silence(&self, setup: &Setup) -> BTreeMap<String, u64> {
        let mut opened = BTreeMap::new();
        for (node, proxy) in &self.proxies {
            let open = match setup.has_trouble {
                true => proxy.silence(),
                false => proxy.opened(),
            };
            opened.insert(node.clone(), open);
            let what = if setup.has_trouble {
                "go silent"
            } else {
                "stay"
            };
            setup
                .record
                .line(&format!("the {open} connections to {node} {what}"));
        }
        opened
    }
}

/// A key that later versions take away.
pub const OLD_KEY: &str = "8pjbvk9m68k7b2ex5wa5";

/// Returns a version with the keys of its only tenant.
pub fn version_with_keys(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let text = configuration("safe", false);
    let text = text.replace("\"version\":7", &format!("\"version\":{version}"));
    text.replace(&format!("[\"{KEY}\"]"), &format!("[{}]", keys.join(",")))
}

/// Returns a configuration with one route to the service `orders`.
pub fn configuration(kind: &str, is_public: bool) -> String {
    format!(
        "{{\"version\":7,\"services\":[],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"pulo780\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\"rate-per-s\":400,\"burst\":400}}],\
         \"hosts\":[{{\"host\":\"shop.example\",\"paths\":[{{\"name\":\"r-1\",\"prefix\":\"/shop/\",\"kind\":\"{kind}\",\
         \"timeout-ms\":5000,\"target-latency-ms\":1200,\"priority\":0,\"service\":\"orders\",\"max-attempts\":2,\
         \"public\":{is_public}}}]}}]}}"
    )
}
