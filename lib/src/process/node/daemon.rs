//! Starts a node's listeners and tasks, and stops them in a defined order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::Notify;
use tokio_util::task::AbortOnDropHandle;

use super::Node;
use super::NodeDump;
use super::ProbeSocket;
use super::announcement;
use super::configuration::ConfigurationTasks;
use super::egress::handle_local;
use super::ingress::handle_caller;
use super::once::OnceTasks;
use super::once::RenewalReply;
use super::once::RenewalRequest;
use super::once::transfer_all;
use super::once::wait_for_runs;
use super::rates::configure_rates;
use super::seed_lists::maintain_seed_lists;
use super::serve::handle_peer;
use super::shared::IDLE_TIMEOUT_MS;
use crate::connection::ListenError;
use crate::connection::Listener;
use crate::connection::ListenerHandle;
use crate::connection::ListenerLimits;
use crate::process::configuration::ConfigurationNotice;
use crate::process::control::ControlListener;
use crate::process::control::ControlServer;
use crate::process::control::ControlServerHandle;
use crate::process::control::DrainStarted;
use crate::process::events::process as events;
use crate::process::membership::NodeAddresses;
use crate::process::membership::NodeRecord;
use crate::process::metrics::Gauge;
use crate::process::metrics::Metrics;
use crate::process::once::Assignment;
use crate::process::once::ProcessSession;
use crate::process::once::RecordHandover;
use crate::process::once::SlotHandover;
use crate::process::rates::PeerStatus;
use crate::process::rates::RateTasks;
use crate::process::rates::SettlementReport;
use crate::process::rates::TokenReply;
use crate::process::rates::TokenRequest;
use crate::process::settings::NodeSettings;
use crate::process::suspects::SuspectEntry;
use crate::values::ConfigVersion;
use crate::version::Configuration;

/// Timeout for the headers of a request from another node or from the backend server.
///
/// It also closes idle connections. It is longer than the time for which the other side keeps an
/// idle connection: a request that is sent while its connection is being closed gets no response,
/// and may have run.
const INNER_HEADER_TIMEOUT_MS: u64 = 2 * IDLE_TIMEOUT_MS;
/// Maximum size in bytes of the headers of a request.
const HEADER_BYTES_MAX: usize = 64 * 1_024;
/// Maximum number of concurrent connections to the local or the peer listener.
const INNER_CONNECTIONS_MAX: u32 = 16_384;
/// Interval between rounds of housekeeping.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(200);

/// A node failed to start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener for requests could not be bound.
    #[snafu(display("{source}"))]
    Listen {
        /// The cause.
        source: ListenError,
    },
    /// The address for membership datagrams could not be bound.
    #[snafu(display("cannot listen for membership datagrams: {source}"))]
    Probes {
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics socket could not be opened.
    #[snafu(display("cannot send metrics: {source}"))]
    Metrics {
        /// The cause.
        source: std::io::Error,
    },
    /// The control channel could not be served.
    #[snafu(display("cannot serve control calls: {source}"))]
    Control {
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

plain_data! {
    /// The addresses of a node that is ready, printed as one line on standard output.
    pub struct ReadyLine {
        /// Address of the listener for callers.
        pub caller: SocketAddr,
        /// Address of the listener for the local backend server.
        pub local: SocketAddr,
        /// Addresses of the listeners for other nodes.
        pub others: NodeAddresses,
    }
}

/// A running node.
pub struct NodeDaemon {
    node: Arc<Node>,
    caller_address: SocketAddr,
    local_address: SocketAddr,
    callers: ListenerHandle,
    local: ListenerHandle,
    peers: ListenerHandle,
    control: ControlServerHandle,
    drain_requested: Arc<Notify>,
    _housekeeping: AbortOnDropHandle<()>,
    _seed_lists: AbortOnDropHandle<()>,
    _configuration: ConfigurationTasks,
    _once: OnceTasks,
    _rate_plans: AbortOnDropHandle<()>,
    rate_tasks: RateTasks,
}

impl NodeDaemon {
    /// Binds all addresses of `settings` and starts serving.
    pub async fn start(settings: NodeSettings) -> Result<Self, StartError> {
        let callers = Listener::bind(settings.caller_listen)
            .await
            .context(ListenSnafu)?;
        let local = Listener::bind(settings.local_listen)
            .await
            .context(ListenSnafu)?;
        let peers = Listener::bind(settings.peer_listen)
            .await
            .context(ListenSnafu)?;
        let control = ControlListener::bind(settings.control_listen)
            .await
            .map_err(|error| StartError::Control {
                source: Box::new(error),
            })?;
        let probes = ProbeSocket::bind(settings.probe_listen)
            .await
            .context(ProbesSnafu)?;
        let addresses = NodeAddresses {
            peer: peers.address(),
            control: control.address(),
            probe: probes.address(),
        };
        let connections_max = settings.connections_max;
        let metrics = Metrics::start(settings.metrics).context(MetricsSnafu)?;
        let node = Arc::new(Node::new(settings, addresses, probes, metrics));
        let drain_requested = Arc::new(Notify::new());
        let caller_address = callers.address();
        let local_address = local.address();
        let control = control
            .serve(
                &node.settings.fleet_secret,
                NodeControl {
                    node: Arc::clone(&node),
                    drain_requested: Arc::clone(&drain_requested),
                },
            )
            .map_err(|error| StartError::Control {
                source: Box::new(error),
            })?;
        let housekeeping = tokio::spawn(run_housekeeping(Arc::clone(&node)));
        let seed_lists = tokio::spawn(maintain_seed_lists(Arc::clone(&node)));
        let configuration = ConfigurationTasks::start(&node);
        let once = OnceTasks::start(&node);
        let rate_plans = tokio::spawn(configure_rates(Arc::clone(&node)));
        let rate_tasks = node.rates().start();
        events::STARTED.log(format_args!("callers on {caller_address}"));
        Ok(Self {
            callers: serve_callers(callers, &node, connections_max),
            local: serve_local(local, &node),
            peers: serve_peers(peers, &node),
            node,
            caller_address,
            local_address,
            control,
            drain_requested,
            _housekeeping: AbortOnDropHandle::new(housekeeping),
            _seed_lists: AbortOnDropHandle::new(seed_lists),
            _configuration: configuration,
            _once: once,
            _rate_plans: AbortOnDropHandle::new(rate_plans),
            rate_tasks,
        })
    }

    /// Returns the shared state.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the address of the listener for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the listener for the local backend server.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Returns one line of JSON with the addresses, for the process that started the node.
    pub fn ready_line(&self) -> String {
        let ready = ReadyLine {
            caller: self.caller_address,
            local: self.local_address,
            others: self.node.addresses.clone(),
        };
        serde_json::to_string(&ready).unwrap_or_default()
    }

    /// Waits until a control call requests a planned stop.
    pub async fn drain_requested(&self) {
        self.drain_requested.notified().await;
    }

    /// Performs a planned stop: announces it to the fleet, accepts no new requests, and waits for
    /// all requests in flight.
    ///
    /// There is no time limit. The local listener stops after those of callers and peers, because
    /// requests in flight still make onward calls through it.
    pub async fn stop(self) {
        self.node.start_draining();
        events::DRAIN_STARTED.log(self.node.in_flight.len());
        let notice = Duration::from_millis(self.node.settings.leave_notice_ms);
        tokio::time::sleep(notice).await;
        transfer_all(&self.node).await;
        tokio::join!(self.callers.stop(), self.peers.stop());
        wait_for_runs(&self.node).await;
        self.local.stop().await;
        self.rate_tasks.stop().await;
        self.control.stop();
        events::STOPPED.log(&self.node.settings.node);
    }
}

fn inner_limits() -> ListenerLimits {
    ListenerLimits {
        connections_max: INNER_CONNECTIONS_MAX,
        header_timeout_ms: INNER_HEADER_TIMEOUT_MS,
        idle_timeout_ms: INNER_HEADER_TIMEOUT_MS,
        header_bytes_max: HEADER_BYTES_MAX,
    }
}

fn serve_callers(listener: Listener, node: &Arc<Node>, connections_max: u32) -> ListenerHandle {
    let limits = ListenerLimits {
        connections_max,
        header_timeout_ms: node.settings.client_timeout_ms,
        idle_timeout_ms: node.settings.client_timeout_ms,
        ..inner_limits()
    };
    let node = Arc::clone(node);
    listener.serve(limits, move |request| {
        let node = Arc::clone(&node);
        async move { handle_caller(&node, request).await }
    })
}

fn serve_local(listener: Listener, node: &Arc<Node>) -> ListenerHandle {
    let limits = inner_limits();
    let node = Arc::clone(node);
    listener.serve(limits, move |request| {
        let node = Arc::clone(&node);
        async move { handle_local(&node, request).await }
    })
}

fn serve_peers(listener: Listener, node: &Arc<Node>) -> ListenerHandle {
    let limits = inner_limits();
    let node = Arc::clone(node);
    listener.serve(limits, move |request| {
        let node = Arc::clone(&node);
        async move { handle_peer(&node, request).await }
    })
}

async fn run_housekeeping(node: Arc<Node>) {
    let mut period = tokio::time::interval(HOUSEKEEPING_PERIOD);
    loop {
        period.tick().await;
        announcement::expire(&node);
        report_gauges(&node);
    }
}

fn report_gauges(node: &Node) {
    let gate = node
        .server()
        .map(|server| (server.gate.waiting(), server.gate.slots()));
    if let Some((waiting, slots)) = gate {
        node.metrics.gauge(Gauge::Waiting, waiting as u64);
        node.metrics.gauge(Gauge::LimitSlots, slots.into());
    }
    let accepting_work = node
        .members()
        .nodes()
        .filter(|record| record.accepts_work())
        .count();
    node.metrics
        .gauge(Gauge::InFlight, node.in_flight.len() as u64);
    node.metrics.gauge(Gauge::Members, accepting_work as u64);
    node.metrics
        .gauge(Gauge::ConfigVersion, node.configuration.version().0);
}

/// Serves the control calls of a node.
struct NodeControl {
    node: Arc<Node>,
    drain_requested: Arc<Notify>,
}

#[async_trait]
impl ControlServer for NodeControl {
    async fn dump(&self) -> RpcResult<NodeDump> {
        Ok(self.node.dump())
    }

    async fn nodes(&self) -> RpcResult<Vec<NodeRecord>> {
        Ok(self.node.members().nodes().cloned().collect())
    }

    async fn drain(&self) -> RpcResult<DrainStarted> {
        self.drain_requested.notify_one();
        Ok(DrainStarted {
            in_flight_requests: self.node.in_flight.len(),
        })
    }

    async fn offer_configuration(&self, configuration: Configuration) -> RpcResult<ConfigVersion> {
        let offered = configuration.version;
        self.node.offer_configuration(configuration);
        let in_force = self.node.configuration().map(|current| current.version);
        Ok(in_force.unwrap_or(offered))
    }

    async fn configuration_news(&self, notice: ConfigurationNotice) -> RpcResult<()> {
        self.node.receive_configuration_notice(notice);
        Ok(())
    }

    async fn newer_configuration(&self, than: ConfigVersion) -> RpcResult<Option<Configuration>> {
        let current = self.node.configuration().ok();
        Ok(current
            .filter(|current| current.version > than)
            .map(|current| current.as_ref().clone()))
    }

    async fn once_renew(&self, request: RenewalRequest) -> RpcResult<RenewalReply> {
        Ok(self.node.renew_terms(&request))
    }

    async fn once_session(&self) -> RpcResult<Option<ProcessSession>> {
        Ok(self.node.once_session())
    }

    async fn once_assign(&self, assignment: Assignment) -> RpcResult<bool> {
        Ok(self.node.accept_assignment(assignment))
    }

    async fn once_hand_over(&self, handover: SlotHandover) -> RpcResult<bool> {
        Ok(self.node.accept_handover(handover))
    }

    async fn suspect_news(&self, updates: Vec<SuspectEntry>) -> RpcResult<Vec<SuspectEntry>> {
        Ok(self.node.merge_suspects(&updates))
    }

    async fn once_settle(&self, settled: RecordHandover) -> RpcResult<()> {
        self.node.apply_settlement(settled);
        Ok(())
    }

    async fn ask_tokens(&self, request: TokenRequest) -> RpcResult<TokenReply> {
        Ok(self.node.rates().service.handle_request(request).await)
    }

    async fn report_tokens(&self, report: SettlementReport) -> RpcResult<()> {
        self.node.rates().service.apply_report(&report);
        Ok(())
    }

    async fn rate_holder_released(&self) -> RpcResult<()> {
        let service = &self.node.rates().service;
        service.with_lease(|lease, now| lease.release_received(now));
        Ok(())
    }

    async fn rate_holder_standing(&self) -> RpcResult<PeerStatus> {
        Ok(self.node.rates().service.peer_status())
    }
}
