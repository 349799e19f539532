//! Starts a relay's listeners and tasks, and stops them in order.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use rustix::process::Resource;
use rustix::process::getrlimit;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::task::AbortOnDropHandle;
use volo_http::body::Body;
use volo_http::response::Response;

use super::caller_responses::HEADER_TIMEOUT_MS;
use super::caller_responses::IDLE_TIMEOUT_MS;
use super::callers::handle_caller;
use super::node::RelayNode;
use super::peers::serve_peers;
use super::protocol::Protocol;
use super::quarantine::store_quarantines;
use super::registration_store::read_registration;
use super::reports::handle_ready;
use super::reports::handle_report;
use super::settings::ListenSettings;
use super::settings::RelaySettings;
use super::store::SharedStore;
use super::store_entry::maintain_store_entry;
use super::supervision::catch_panic;
use super::supervision::supervise;
use super::suspects::learn_suspects;
use super::tasks::clean_up_fleet;
use super::tasks::maintain_confirmation;
use super::views::follow_views;
use crate::connection::ListenError;
use crate::connection::Listener;
use crate::connection::ListenerHandle;
use crate::connection::ListenerLimits;
use crate::process::events::relay as events;
use crate::process::rates::RateTasks;
use crate::version::CallerLimits;

/// Maximum number of concurrent connections to each of the other listeners.
const AUXILIARY_CONNECTIONS_MAX: u32 = 64;
/// Time after which an idle connection to the other listeners is closed.
const AUXILIARY_IDLE_TIMEOUT_MS: u64 = 30_000;
/// Time between two checks for requests in flight during a planned stop.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(25);
/// Fraction of a planned stop in which new requests are still served, so that callers and other
/// nodes learn of the stop first.
const STOP_SERVING_FRACTION: f64 = 0.45;
/// Fraction of the time between the stop limit and the end of the grace in which the responses to ended
/// requests are written and tokens returned. The rest is left for the process to exit.
const STOP_WRITING_FRACTION: f64 = 0.5;
/// Checks without open requests after which a stop ends. Replies to other nodes are written between
/// them.
const STOP_IDLE_POLLS: u32 = 2;
/// Time by which the backend server is withdrawn before callers are no longer served, in mean times
/// for which a request runs. The calls of the last runs are served like those of callers.
const WITHDRAWAL_LEAD_RUNS: u32 = 4;
/// Least such time: other nodes learn of the withdrawal first.
const WITHDRAWAL_LEAD_MIN: Duration = Duration::from_millis(500);

/// A relay could not be started.
#[derive(Debug, Snafu)]
pub enum RelayStartError {
    /// A listener could not be bound.
    #[snafu(display("{source}"))]
    Bind {
        /// The cause.
        source: ListenError,
    },
    /// The address for other nodes could not be bound.
    #[snafu(display("cannot listen for other nodes: {source}"))]
    BindPeers {
        /// The cause.
        source: std::io::Error,
    },
}

/// A running relay.
pub struct RelayDaemon {
    node: Arc<RelayNode>,
    callers: ListenerHandle,
    _auxiliary: Vec<ListenerHandle>,
    tasks: Vec<AbortOnDropHandle<()>>,
    rate_tasks: RateTasks,
}

impl RelayDaemon {
    /// Binds all addresses of `settings` and starts to serve.
    pub async fn start(
        mut settings: RelaySettings,
        protocol: Protocol,
        store: Arc<dyn SharedStore>,
    ) -> Result<Self, RelayStartError> {
        let listen = settings.raw.listen.clone();
        let callers = Listener::bind(listen.callers).await.context(BindSnafu)?;
        let ready = Listener::bind(listen.ready).await.context(BindSnafu)?;
        let reports = Listener::bind(listen.reports).await.context(BindSnafu)?;
        let peers = TcpListener::bind(listen.peers)
            .await
            .context(BindPeersSnafu)?;
        let metrics = match listen.metrics {
            Some(address) => Some(Listener::bind(address).await.context(BindSnafu)?),
            None => None,
        };
        settings.raw.listen = ListenSettings {
            callers: callers.address(),
            peers: peers.local_addr().context(BindPeersSnafu)?,
            ready: ready.address(),
            reports: reports.address(),
            metrics: metrics.as_ref().map(Listener::address),
        };
        let node = RelayNode::new(settings, protocol, store);
        events::STARTED.log(format_args!(
            "node={} zone={} service={} callers={}",
            node.settings.raw.node,
            node.settings.raw.zone,
            node.settings.raw.service,
            node.settings.raw.listen.callers
        ));
        let mut auxiliary = vec![serve_ready(ready, &node), serve_reports(reports, &node)];
        auxiliary.extend(metrics.map(|listener| serve_metrics(listener, &node)));
        let tasks = vec![
            AbortOnDropHandle::new(tokio::spawn(serve_peers(Arc::clone(&node), peers))),
            spawn("follow_views", &node, follow_views),
            spawn("maintain_confirmation", &node, maintain_confirmation),
            spawn("clean_up_fleet", &node, clean_up_fleet),
            spawn("store_quarantines", &node, store_quarantines),
            spawn("learn_suspects", &node, learn_suspects),
            spawn("maintain_store_entry", &node, maintain_store_entry),
            spawn("read_registration", &node, read_registration),
        ];
        Ok(Self {
            callers: serve_callers(callers, &node),
            _auxiliary: auxiliary,
            rate_tasks: node.rates.start(),
            node,
            tasks,
        })
    }

    /// Returns the shared state.
    pub fn node(&self) -> &Arc<RelayNode> {
        &self.node
    }

    /// Performs a planned stop: marks the node as leaving, finishes requests in flight within the
    /// stop limit, responds to those that are open then, and ends the tasks.
    pub async fn stop(self) {
        let bounds = self.node.bounds();
        let limit = bounds.stop_limit();
        let writing_time = (bounds.stop_grace() - limit).mul_f64(STOP_WRITING_FRACTION);
        let started_at = self.node.clock.now();
        self.node.begin_stop(limit);
        events::STOPPING.log(format_args!(
            "in_flight={} limit_ms={}",
            self.node.in_flight.load(Ordering::Relaxed),
            limit.as_millis()
        ));
        let serving = limit.mul_f64(STOP_SERVING_FRACTION);
        let lead = self.node.withdrawal_lead().min(serving);
        tokio::time::sleep(serving - lead).await;
        self.node.withdraw_server();
        tokio::time::sleep(lead).await;
        let callers = self.callers.clone();
        let closing = tokio::spawn(async move { callers.stop().await });
        let remaining = |end: Duration| end.saturating_sub(self.node.clock.now().since(started_at));
        tokio::select! {
            () = self.node.wait_until_idle(&closing) => {}
            () = tokio::time::sleep(remaining(limit)) => {}
        }
        self.node.stop_limit.reach();
        let writing = self.node.wait_until_idle(&closing);
        let closing_peers = self.node.peer_connections.close();
        // The store or other nodes may not respond.
        let ending = futures::future::join3(writing, closing_peers, self.rate_tasks.stop());
        let _ = tokio::time::timeout(remaining(limit + writing_time), ending).await;
        events::STOPPED.log(format_args!(
            "in_flight={}",
            self.node.in_flight.load(Ordering::Relaxed)
        ));
        drop(self.tasks);
    }
}

impl RelayNode {
    /// Returns how long before the end of service to callers the backend server is withdrawn.
    fn withdrawal_lead(&self) -> Duration {
        let backend = self.backend();
        let run_time = backend.map(|backend| backend.gate.service_time());
        let runs = run_time.unwrap_or_default() * WITHDRAWAL_LEAD_RUNS;
        runs.max(WITHDRAWAL_LEAD_MIN)
    }

    /// Returns whether no request of a caller or of another node is in flight here.
    fn is_idle(&self) -> bool {
        self.stop_limit.runs() == 0 && self.in_flight.load(Ordering::Relaxed) == 0
    }

    /// Waits until the connections of callers are closed and no request is in flight.
    async fn wait_until_idle(&self, closing: &JoinHandle<()>) {
        let mut idle_polls = 0;
        while idle_polls < STOP_IDLE_POLLS {
            tokio::time::sleep(STOP_POLL_PERIOD).await;
            idle_polls = match closing.is_finished() && self.is_idle() {
                true => idle_polls + 1,
                false => 0,
            };
        }
    }
}

/// Starts a task that is started again if it panics.
fn spawn<F>(
    name: &'static str,
    node: &Arc<RelayNode>,
    task: impl Fn(Arc<RelayNode>) -> F + Send + Sync + 'static,
) -> AbortOnDropHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let node = Arc::clone(node);
    let supervised = async move { supervise(name, || task(Arc::clone(&node))).await };
    AbortOnDropHandle::new(tokio::spawn(supervised))
}

fn serve_callers(listener: Listener, node: &Arc<RelayNode>) -> ListenerHandle {
    let defaults = CallerLimits::default();
    let descriptors_max = getrlimit(Resource::Nofile).current;
    let limits = ListenerLimits {
        connections_max: node.settings.caller_connections_max(descriptors_max),
        header_timeout_ms: HEADER_TIMEOUT_MS,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        header_bytes_max: defaults.header_bytes_max,
    };
    let node = Arc::clone(node);
    listener.serve_within(limits, node.memory.clone(), move |request| {
        let node = Arc::clone(&node);
        // Boxed, so that idle connections do not hold memory for a request.
        Box::pin(async move {
            let response = catch_panic("request", handle_caller(&node, request)).await;
            response.unwrap_or_else(|| status_only(StatusCode::BAD_GATEWAY))
        })
    })
}

fn status_only(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn auxiliary_limits() -> ListenerLimits {
    ListenerLimits {
        connections_max: AUXILIARY_CONNECTIONS_MAX,
        header_timeout_ms: AUXILIARY_IDLE_TIMEOUT_MS,
        idle_timeout_ms: AUXILIARY_IDLE_TIMEOUT_MS,
        header_bytes_max: CallerLimits::default().header_bytes_max,
    }
}

fn serve_ready(listener: Listener, node: &Arc<RelayNode>) -> ListenerHandle {
    let node = Arc::clone(node);
    listener.serve(auxiliary_limits(), move |request| {
        let node = Arc::clone(&node);
        async move { handle_ready(&node, request).await }
    })
}

fn serve_reports(listener: Listener, node: &Arc<RelayNode>) -> ListenerHandle {
    let node = Arc::clone(node);
    listener.serve(auxiliary_limits(), move |request| {
        let node = Arc::clone(&node);
        async move {
            let response = catch_panic("report", handle_report(&node, request)).await;
            response.unwrap_or_else(|| status_only(StatusCode::INTERNAL_SERVER_ERROR))
        }
    })
}

fn serve_metrics(listener: Listener, node: &Arc<RelayNode>) -> ListenerHandle {
    let node = Arc::clone(node);
    listener.serve(auxiliary_limits(), move |_| {
        let in_flight = node.in_flight.load(Ordering::Relaxed);
        node.update_load_gauges();
        let text = node.metrics.text(in_flight, node.confirmation_age());
        let mut response = Response::new(Body::from(text));
        *response.status_mut() = StatusCode::OK;
        std::future::ready(response)
    })
}
