//! A small deployment: a store, and machines with a relay and an application server each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
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
}

pub struct Fleet {
    pub store: Store,
    pub wiring: Wiring,
    pub proxies: BTreeMap<String, Proxy>,
    pub machines: Vec<Machine>,
}

impl Fleet {
    pub fn new(configuration: &str) -> Self {
        let store = Store::start();
        store.write("op/config", configuration);
        Self {
            store,
            wiring: Wiring::default(),
            proxies: BTreeMap::new(),
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
        let settings = RelaySettings {
            node,
            zone: ZONE,
            service,
            server: server.address,
            store: self.store.listen(Arc::clone(&self.wiring)),
        };
        let relay = Relay::start(&setup.relay_program, &setup.folder, &settings);
        server.report_to(relay.addresses.reports, ZONE, 64);
        relay.wait_until_ready()?;
        self.machines.push(Machine { relay, server });
        let key = format!("nodes/{node}");
        for _ in 0..100 {
            let entry = self.store.value(&key).unwrap_or_default();
            if entry.contains("\"slots\"") {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{node} wrote no entry with its server"))
    }

    /// From now on, machines that are added reach `node` through a proxy. The machines before reach
    /// it as they did, and its own entry stays as it is.
    pub fn wire(&mut self, node: &str) {
        let machine = self
            .machines
            .iter()
            .find(|machine| machine.relay.node == node);
        let peers = machine.expect("a known node").relay.addresses.peers;
        let proxy = Proxy::start(peers);
        // A machine has the wiring that was in force when it was added.
        let mut known = self.wiring.lock().unwrap().clone();
        known.push((peers, proxy.address));
        self.wiring = Arc::new(Mutex::new(known));
        self.proxies.insert(node.to_owned(), proxy);
    }
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
