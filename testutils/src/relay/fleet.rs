//! Relays in one process, each with a stand-in for its backend server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsamfold::connection::BufferedRequest;
use balsamfold::connection::BufferedResponse;
use balsamfold::connection::ConnectionPool;
use balsamfold::connection::PoolLimits;
use balsamfold::process::relay::BoundSettings;
use balsamfold::process::relay::ListenSettings;
use balsamfold::process::relay::Protocol;
use balsamfold::process::relay::ProtocolHeaders;
use balsamfold::process::relay::RawRelaySettings;
use balsamfold::process::relay::RelayDaemon;
use balsamfold::process::relay::RelaySettings;
use balsamfold::process::relay::ServerCall;
use balsamfold::process::relay::ServerReport;
use balsamfold::values::ConfigVersion;
use balsamfold::values::ServerRate;
use balsamfold::values::ServiceId;
use balsamfold::values::SlotCount;
use balsamfold::version::CallerKey;
use balsamfold::version::HostRoutes;
use balsamfold::version::OrganisationLimits;
use balsamfold::version::PlannedRoute;
use balsamfold::version::TrafficPlan;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde::Serialize;

use super::server::LEAVING_HEADER;
use super::server::RATE_LIMIT_HEADER;
use super::server::RelayServer;
use super::store::MemoryStore;
use crate::own_runtime::OwnRuntime;

/// The store's key of the configuration.
pub const CONFIGURATION_KEY: &str = "desk/plan";
/// Prefix of the store's keys of evacuated zones.
pub const EVACUATION_PREFIX: &str = "desk/evacuated/";
/// Longest wait for a condition of the fleet.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Most attempts to report a server until the relay accepts the report.
const REPORT_ATTEMPTS_MAX: usize = 100;
/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// A configuration in the format that the tests store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredPlan {
    /// The version.
    pub version: u64,
    /// Host, path prefix and route of each entry.
    pub routes: Vec<(String, String, PlannedRoute)>,
    /// Organisations with their API keys.
    pub organisations: Vec<(OrganisationLimits, Vec<String>)>,
}

/// The part of a stored configuration that names the requests per second of cold servers.
#[derive(Deserialize)]
struct StoredColdRates {
    #[serde(default)]
    cold_rates: BTreeMap<ServiceId, f64>,
}

/// Returns the protocol that the stand-ins use.
pub fn relay_protocol() -> Protocol {
    Protocol {
        headers: ProtocolHeaders {
            request_id: HeaderName::from_static("request-id"),
            deadline_ms: HeaderName::from_static("wait-ms"),
            organisation: HeaderName::from_static("organisation"),
            expected_server: HeaderName::from_static("for-server"),
            not_run: HeaderName::from_static("not-run"),
            caller_service: HeaderName::from_static("from-service"),
            leaving: LEAVING_HEADER,
            rate_limit: RATE_LIMIT_HEADER,
        },
        key_scheme: "Key",
        ready_path: "/ready",
        configuration_key: CONFIGURATION_KEY,
        operator_prefix: "desk/",
        evacuation_prefix: EVACUATION_PREFIX,
        decode_configuration,
        decode_server_call: decode_call,
    }
}

/// Stored bytes, or the body of a report, on which the decoders of the tests panic.
pub const PANIC_BYTES: &[u8] = b"unexpected";

fn decode_configuration(stored: &[u8]) -> Result<TrafficPlan, String> {
    assert_ne!(stored, PANIC_BYTES, "a decoder with a fault");
    let cold: StoredColdRates =
        serde_json::from_slice(stored).map_err(|error| error.to_string())?;
    let stored: StoredPlan = serde_json::from_slice(stored).map_err(|error| error.to_string())?;
    let mut plan = TrafficPlan::new(ConfigVersion(stored.version));
    for (host, _, _) in &stored.routes {
        let host_routes = stored.routes.iter().filter(|route| route.0 == *host);
        let routes = host_routes.map(|(_, prefix, route)| (prefix.clone(), route.clone()));
        plan.hosts.insert(host.clone(), HostRoutes::new(routes));
    }
    for (service, per_s) in cold.cold_rates {
        let rate = ServerRate::try_from(per_s).map_err(|error| error.to_string())?;
        plan.cold_rates.insert(service, rate);
    }
    for (limits, keys) in stored.organisations {
        let keys = keys.iter().map(|key| CallerKey::new(key));
        plan.add_organisation(limits, keys);
    }
    Ok(plan)
}

#[derive(Serialize, Deserialize)]
struct StoredReport {
    service: String,
    address: SocketAddr,
    born_ms: u64,
    sequence: u64,
    slots: u32,
    is_draining: bool,
    cold_left_ms: u64,
}

fn decode_call(method: &Method, path: &str, body: &Bytes) -> Result<ServerCall, String> {
    assert_ne!(body, PANIC_BYTES, "a decoder with a fault");
    let server_id = path.trim_start_matches('/').to_owned();
    if *method == Method::DELETE {
        return Ok(ServerCall::Leave { server_id });
    }
    let report: StoredReport = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(ServerCall::Report(ServerReport {
        server_id,
        born_ms: report.born_ms,
        sequence: report.sequence,
        service: report.service.parse().map_err(|_| "service")?,
        address: report.address,
        slots: SlotCount(report.slots),
        is_draining: report.is_draining,
        cold_left_ms: report.cold_left_ms,
    }))
}

/// One relay and its backend server.
pub struct TestRelay {
    /// The relay.
    pub daemon: RelayDaemon,
    /// Its backend server.
    pub server: RelayServer,
    /// The service of the server.
    pub service: &'static str,
    /// The relay's client of the store.
    pub store: MemoryStore,
    /// Ends all tasks and connections of the relay when the relay is killed.
    runtime: OwnRuntime,
}

impl TestRelay {
    /// Performs a planned stop, and closes all sockets of the relay at its end, as the exit of a process
    /// does. Returns the backend server.
    pub async fn stop(self) -> RelayServer {
        self.daemon.stop().await;
        self.runtime.shut_down();
        self.server
    }
}

/// Starts a relay on a runtime of its own.
async fn start_relay(settings: RelaySettings, store: &MemoryStore) -> (RelayDaemon, OwnRuntime) {
    let runtime = OwnRuntime::default();
    let store = Arc::new(store.clone());
    let starting = runtime.start(RelayDaemon::start(settings, relay_protocol(), store));
    let starting = starting.expect("a runtime can be started");
    let started = starting.await.expect("the runtime runs");
    (started.expect("ports are free"), runtime)
}

/// Relays in one process, each with a stand-in for its backend server.
pub struct RelayFleet {
    /// The store that the relays share.
    pub store: MemoryStore,
    /// The relays.
    pub relays: Vec<TestRelay>,
    adjust: fn(&mut RawRelaySettings),
}

impl RelayFleet {
    /// Starts a relay with a server of 8 slots for each entry of `services`, and waits until the
    /// fleet is ready.
    pub async fn start(plan: &StoredPlan, services: &[&'static str]) -> Self {
        let store = MemoryStore::default();
        let fleet = Self::start_with_store(store, plan, services, |_| {}).await;
        fleet.wait_until_ready().await;
        fleet
    }

    /// Starts relays whose settings `adjust` changes.
    pub async fn start_adjusted(
        plan: &StoredPlan,
        services: &[&'static str],
        adjust: fn(&mut RawRelaySettings),
    ) -> Self {
        let store = MemoryStore::default();
        let fleet = Self::start_with_store(store, plan, services, adjust).await;
        fleet.wait_until_ready().await;
        fleet
    }

    async fn start_with_store(
        store: MemoryStore,
        plan: &StoredPlan,
        services: &[&'static str],
        adjust: fn(&mut RawRelaySettings),
    ) -> Self {
        let mut fleet = Self {
            store,
            relays: Vec::new(),
            adjust,
        };
        fleet.publish(plan);
        for (index, service) in services.iter().enumerate() {
            let server = RelayServer::start().await;
            let settings = fleet.settings(index, service, server.address);
            let store = fleet.store.for_client();
            let (daemon, runtime) = start_relay(settings, &store).await;
            server.set_onward_address(daemon.node().settings.raw.listen.callers);
            fleet.relays.push(TestRelay {
                daemon,
                server,
                service,
                store,
                runtime,
            });
            fleet.report(index, 1, false).await;
        }
        fleet
    }

    fn settings(&self, index: usize, service: &str, server_address: SocketAddr) -> RelaySettings {
        let mut raw = settings(&format!("node-{index}"), service, server_address);
        (self.adjust)(&mut raw);
        RelaySettings::try_from(raw).expect("valid settings")
    }

    /// Kills the relay at `index` and starts another for the same server, which has not reported to
    /// it yet.
    pub async fn restart(&mut self, index: usize) {
        let relay = self.relays.remove(index);
        let settings = self.settings(index, relay.service, relay.server.address);
        drop(relay.daemon);
        relay.runtime.shut_down();
        let (daemon, runtime) = start_relay(settings, &relay.store).await;
        let callers = daemon.node().settings.raw.listen.callers;
        relay.server.set_onward_address(callers);
        let restarted = TestRelay {
            daemon,
            runtime,
            ..relay
        };
        self.relays.insert(index, restarted);
    }

    /// Restarts the relay at `index` on another runtime, which may stand still.
    pub async fn restart_on(&mut self, index: usize, runtime: &tokio::runtime::Handle) {
        let relay = self.relays.remove(index);
        let settings = self.settings(index, relay.service, relay.server.address);
        drop(relay.daemon);
        relay.runtime.shut_down();
        let store = Arc::new(relay.store.clone());
        let starting = runtime.spawn(RelayDaemon::start(settings, relay_protocol(), store));
        let started = starting.await.expect("the runtime runs");
        let daemon = started.expect("ports are free");
        self.relays.insert(index, TestRelay { daemon, ..relay });
    }

    /// Writes the store entry of a former node whose address the relay at `index` now has.
    pub fn write_stale_entry(&self, name: &str, service: &str, index: usize) {
        let node = self.relays[index].daemon.node();
        let address = node.settings.raw.listen.peers;
        self.write_entry(name, service, address);
    }

    /// Writes the store entry of a node with a server of `service`, at another address.
    pub fn write_entry(&self, name: &str, service: &str, peer_address: SocketAddr) {
        let node = self.relays[0].daemon.node();
        let members = node.members();
        let own_record = members.node(&node.settings.raw.node);
        let mut entry = own_record.expect("the relay has its own record").clone();
        entry.id = name.parse().expect("valid name");
        entry.addresses.peer = peer_address;
        if let Some(server) = &mut entry.server {
            server.service = service.parse().expect("valid name");
        }
        let stored = serde_json::to_vec(&entry).expect("entries can be encoded");
        self.store
            .write(&format!("nodes/{name}"), Bytes::from(stored));
    }

    /// Stores a configuration.
    pub fn publish(&self, plan: &StoredPlan) {
        let stored = serde_json::to_vec(plan).expect("plans can be encoded");
        self.store.write(CONFIGURATION_KEY, Bytes::from(stored));
    }

    /// Stores a configuration with the requests per second that cold servers of `service` take.
    pub fn publish_with_cold_rate(&self, plan: &StoredPlan, service: &str, per_s: f64) {
        let mut stored = serde_json::to_value(plan).expect("plans can be encoded");
        stored["cold_rates"] = serde_json::json!({ service: per_s });
        self.store
            .write(CONFIGURATION_KEY, Bytes::from(stored.to_string()));
    }

    /// Reports that the server of a relay stays cold for a time. Returns the status of the response.
    pub async fn report_cold(&self, index: usize, sequence: u64, cold_left_ms: u64) -> StatusCode {
        self.send_report(index, sequence, false, cold_left_ms).await
    }

    /// Reports to a relay that its server leaves. Returns the status of the response.
    pub async fn report_departure(&self, index: usize) -> StatusCode {
        let request = BufferedRequest {
            method: Method::DELETE,
            uri: format!("/server-{index}").parse().expect("valid path"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let address = self.relays[index].daemon.node().settings.raw.listen.reports;
        exchange(address, request).await.status
    }

    /// Sends the body of a report that is not one. Returns the status of the response.
    pub async fn report_bytes(&self, index: usize, body: impl AsRef<[u8]>) -> StatusCode {
        let request = BufferedRequest {
            method: Method::PUT,
            uri: "/server-x".parse().expect("valid path"),
            headers: HeaderMap::new(),
            body: Bytes::copy_from_slice(body.as_ref()),
        };
        let address = self.relays[index].daemon.node().settings.raw.listen.reports;
        exchange(address, request).await.status
    }

    /// Reports the server of a relay, and repeats the report while the relay responds with 503.
    /// Returns the last status.
    pub async fn report(&self, index: usize, sequence: u64, is_draining: bool) -> StatusCode {
        for _ in 0..REPORT_ATTEMPTS_MAX {
            let status = self.report_once(index, sequence, is_draining).await;
            if status != StatusCode::SERVICE_UNAVAILABLE {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        StatusCode::SERVICE_UNAVAILABLE
    }

    /// Reports the server of a relay once. Returns the status of the response.
    pub async fn report_once(&self, index: usize, sequence: u64, is_draining: bool) -> StatusCode {
        self.send_report(index, sequence, is_draining, 0).await
    }

    async fn send_report(
        &self,
        index: usize,
        sequence: u64,
        is_draining: bool,
        cold_left_ms: u64,
    ) -> StatusCode {
        let relay = &self.relays[index];
        let report = StoredReport {
            service: relay.service.to_owned(),
            address: relay.server.address,
            born_ms: 1,
            sequence,
            slots: 8,
            is_draining,
            cold_left_ms,
        };
        let body = serde_json::to_vec(&report).expect("reports can be encoded");
        let request = BufferedRequest {
            method: Method::PUT,
            uri: format!("/server-{index}").parse().expect("valid path"),
            headers: HeaderMap::new(),
            body: Bytes::from(body),
        };
        let address = relay.daemon.node().settings.raw.listen.reports;
        exchange(address, request).await.status
    }

    /// Waits until every relay lists every server and has a confirmed configuration.
    pub async fn wait_until_ready(&self) {
        self.wait_until_ready_with_servers(self.relays.len()).await;
    }

    /// Waits until every relay lists `count` servers and has a confirmed configuration.
    pub async fn wait_until_ready_with_servers(&self, count: usize) {
        self.wait_until(|fleet| {
            // Requests with keys are refused until the zone has a holder of its rates.
            let mut nodes = fleet.relays.iter().map(|relay| relay.daemon.node());
            let needs_holder = nodes.clone().any(|node| {
                let plan = node.plan();
                plan.is_some_and(|plan| plan.needs_keys())
            });
            let has_holder = !needs_holder || nodes.any(|node| node.holds_rates());
            has_holder
                && fleet.relays.iter().all(|relay| {
                    let node = relay.daemon.node();
                    let members = node.members();
                    let serving = members.nodes().filter(|record| record.server.is_some());
                    serving.count() == count && node.is_ready()
                })
        })
        .await;
    }

    /// Waits until `reached` holds; fails the test after a timeout of 20 s.
    pub async fn wait_until(&self, reached: impl Fn(&Self) -> bool) {
        let waiting = async {
            while !reached(self) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect("the condition holds before the timeout");
    }

    /// Sends a caller's request to a relay and waits for the response.
    pub async fn call(
        &self,
        index: usize,
        id: &str,
        path: &str,
        key: Option<&str>,
    ) -> BufferedResponse {
        let mut headers = HeaderMap::new();
        if let Some(key) = key {
            headers.insert(header::AUTHORIZATION, header_value(&format!("Key {key}")));
        }
        self.call_with(index, id, path, headers).await
    }

    /// Sends the request of a caller that waits for `wait`, and waits for the response.
    pub async fn call_within(
        &self,
        index: usize,
        id: &str,
        path: &str,
        wait: Duration,
    ) -> BufferedResponse {
        let mut headers = HeaderMap::new();
        let wait_ms = header_value(&wait.as_millis().to_string());
        headers.insert(relay_protocol().headers.deadline_ms, wait_ms);
        self.call_with(index, id, path, headers).await
    }

    async fn call_with(
        &self,
        index: usize,
        id: &str,
        path: &str,
        mut headers: HeaderMap,
    ) -> BufferedResponse {
        headers.insert(header::HOST, header_value("shop"));
        headers.insert(relay_protocol().headers.request_id, header_value(id));
        let request = BufferedRequest {
            method: Method::GET,
            uri: path.parse().expect("valid path"),
            headers,
            body: Bytes::new(),
        };
        let address = self.relays[index].daemon.node().settings.raw.listen.callers;
        exchange(address, request).await
    }
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::try_from(text).expect("valid header")
}

async fn exchange(address: SocketAddr, request: BufferedRequest) -> BufferedResponse {
    let limits = PoolLimits {
        connections_max: 1,
        connect_timeout_ms: 1_000,
        idle_timeout_ms: 1_000,
        response_bytes_max: 1_048_576,
    };
    ConnectionPool::new(address, limits)
        .exchange(request, RESPONSE_TIMEOUT)
        .await
        .expect("the exchange returns a response")
}

fn settings(node: &str, service: &str, server_address: SocketAddr) -> RawRelaySettings {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("valid address");
    let zone = "zone-a".parse().expect("valid name");
    let region = "north".parse().expect("valid name");
    RawRelaySettings {
        node: node.parse().expect("valid name"),
        zone: "zone-a".parse().expect("valid name"),
        service: service.parse().expect("valid name"),
        server_address,
        store_address: any,
        memory_limit_mb: None,
        caller_connections_max: None,
        listen: ListenSettings {
            callers: any,
            peers: any,
            ready: any,
            reports: any,
            metrics: None,
        },
        zones: [(zone, region)].into(),
        returns: None,
        rates: None,
        bounds: BoundSettings {
            configuration_apply_ms: 2_000,
            key_withdrawal_ms: 5_000,
            key_withdrawal_is_strict: true,
            stop_grace_s: 6.0,
            retry_ratio: 0.2,
            retry_slack: 48,
            retry_window_s: 10.0,
            cold_ratio: None,
            cold_slack: None,
            evacuation_ms: None,
        },
        load_reports: None,
    }
}
