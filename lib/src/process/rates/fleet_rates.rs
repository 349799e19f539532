//! Rates of organisations on a node, with the tasks that keep them running.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::Weak;
use std::time::Duration;

use futures::FutureExt;
use parking_lot::Mutex;
use tokio_util::task::AbortOnDropHandle;

use super::HolderCalls;
use super::HolderLease;
use super::HolderService;
use super::LenderCalls;
use super::RateClient;
use super::RatePlan;
use super::SettlementReport;
use super::TokenReply;
use super::TokenRequest;
use super::holder_candidates;
use super::lease_task::HolderLeaseTask;
use super::transport::RateTransport;
use crate::values::Clock;
use crate::values::Incarnation;
use crate::values::NodeId;
use crate::values::ZoneId;

/// Maximum number of nodes of a zone that are tried to find its holder.
const TRIES_MAX: usize = 5;

/// Interval between reports of the holder.
const TICK: Duration = Duration::from_millis(20);

/// A node of a zone, in one run of its process.
#[derive(Clone, Debug)]
pub struct RateNode {
    /// The node.
    pub node: NodeId,
    /// Distinguishes runs of its process.
    pub incarnation: Incarnation,
    /// The zone.
    pub zone: ZoneId,
    /// The address that the process has bound for as long as it runs.
    pub address: SocketAddr,
}

/// Rates of organisations on a node: its own tokens, and the buckets of its zone while it holds
/// them.
#[derive(Debug)]
pub struct FleetRates {
    /// Admits requests of callers.
    pub client: Arc<RateClient>,
    /// Serves other nodes while this node is the holder of its zone.
    pub service: Arc<HolderService>,
    finder: Arc<HolderFinder>,
}

impl FleetRates {
    /// Creates the state of a node without tokens, which is not the holder of its zone.
    pub fn new(own: &RateNode, clock: Clock, transport: Arc<dyn RateTransport>) -> Self {
        let finder = Arc::new(HolderFinder {
            node: own.node.clone(),
            zone: own.zone.clone(),
            transport,
            service: OnceLock::new(),
            holders: Mutex::default(),
        });
        let (node, zone) = (own.node.clone(), own.zone.clone());
        let calls = holder_calls(&finder);
        let client = RateClient::new(node.clone(), own.incarnation, zone.clone(), clock, calls);
        let calls = lender_calls(&finder);
        let lease = HolderLease::new(node, own.incarnation).bound_to(own.address, clock.now());
        let service = HolderService::new(lease, zone, clock, calls);
        let service = Arc::new(service);
        finder.service.get_or_init(|| Arc::downgrade(&service));
        Self {
            client: Arc::new(client),
            service,
            finder,
        }
    }

    /// Puts the limits of a configuration in force. This creates no tokens.
    pub fn configure(&self, plan: &Arc<RatePlan>) {
        self.client.configure(plan);
        self.service.configure(plan);
    }

    /// Returns the node that last replied as the holder of this node's zone.
    pub fn known_holder(&self) -> Option<NodeId> {
        self.finder.holders.lock().get(&self.finder.zone).cloned()
    }

    /// Starts the tasks.
    pub fn start(&self) -> RateTasks {
        let service = Arc::clone(&self.service);
        let client = Arc::clone(&self.client);
        let lease = HolderLeaseTask::new(
            Arc::clone(&self.service),
            Arc::clone(&self.finder.transport),
            self.finder.node.clone(),
            self.finder.zone.clone(),
        );
        RateTasks {
            client: Arc::clone(&client),
            service: Arc::clone(&service),
            _reports: AbortOnDropHandle::new(tokio::spawn(client.run())),
            _ticks: AbortOnDropHandle::new(tokio::spawn(tick(service))),
            lease: AbortOnDropHandle::new(tokio::spawn(lease.run())),
        }
    }
}

/// The background tasks of a node for rates. Dropping this stops them.
pub struct RateTasks {
    client: Arc<RateClient>,
    service: Arc<HolderService>,
    _reports: AbortOnDropHandle<()>,
    _ticks: AbortOnDropHandle<()>,
    lease: AbortOnDropHandle<()>,
}

impl RateTasks {
    /// Longest wait for the release of the lease, which usually ended long before the last request
    /// in flight. A process must exit soon after that.
    const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

    /// Waits for the release of the lease, which a planned stop begins, and returns tokens and
    /// loans.
    pub async fn stop(self) {
        // Without a release, another node takes over when the lease has expired.
        let _ = tokio::time::timeout(Self::RELEASE_TIMEOUT, self.lease).await;
        self.client.return_tokens().await;
        self.service.return_loans().await;
    }
}

async fn tick(service: Arc<HolderService>) {
    let mut period = tokio::time::interval(TICK);
    loop {
        period.tick().await;
        service.tick();
    }
}

/// Finds the holders of zones and sends messages to them.
struct HolderFinder {
    node: NodeId,
    zone: ZoneId,
    transport: Arc<dyn RateTransport>,
    /// The service of this node, which may be the holder itself.
    service: OnceLock<Weak<HolderService>>,
    holders: Mutex<BTreeMap<ZoneId, NodeId>>,
}

impl fmt::Debug for HolderFinder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HolderFinder")
            .field("holders", &*self.holders.lock())
            .finish_non_exhaustive()
    }
}

impl HolderFinder {
    fn service(&self) -> Option<Arc<HolderService>> {
        self.service.get()?.upgrade()
    }

    /// Sends `request` to the nodes that may hold the rates of `zone`, one after another, until one
    /// does; none if no tried node does.
    async fn request_from_holder(
        &self,
        zone: &ZoneId,
        request: TokenRequest,
    ) -> Option<TokenReply> {
        let known = self.holders.lock().get(zone).cloned();
        let mut likely: VecDeque<NodeId> = known.into_iter().collect();
        let mut has_candidates = false;
        let mut tried = Vec::new();
        while tried.len() < TRIES_MAX {
            let id = match likely.pop_front() {
                Some(id) if tried.contains(&id) => continue,
                Some(id) => id,
                None if has_candidates => break,
                None => {
                    has_candidates = true;
                    likely.extend(holder_candidates(zone, &self.transport.members()));
                    continue;
                }
            };
            tried.push(id.clone());
            match self.request_from_node(&id, request.clone()).await {
                Some(TokenReply::NotHolder(Some(hint))) => likely.push_front(hint),
                Some(TokenReply::NotHolder(None)) | None => {}
                Some(reply) => {
                    self.holders.lock().insert(zone.clone(), id);
                    return Some(reply);
                }
            }
        }
        self.holders.lock().remove(zone);
        None
    }

    async fn request_from_node(&self, id: &NodeId, request: TokenRequest) -> Option<TokenReply> {
        if *id == self.node {
            return Some(self.service()?.handle_request(request).await);
        }
        let record = self.transport.members().node(id)?.clone();
        self.transport.request_tokens(&record, request).await
    }

    async fn report_to_holder(&self, zone: &ZoneId, report: SettlementReport) {
        let holder = self.holders.lock().get(zone).cloned();
        match holder {
            Some(id) if id == self.node => {
                if let Some(service) = self.service() {
                    service.apply_report(&report);
                }
            }
            Some(id) => {
                let record = self.transport.members().node(&id).cloned();
                if let Some(record) = record {
                    // A lost report can only lose tokens, never create them.
                    self.transport.report_tokens(&record, report).await;
                }
            }
            None => {}
        }
    }
}

fn holder_calls(finder: &Arc<HolderFinder>) -> HolderCalls {
    let requester = Arc::clone(finder);
    let reporter = Arc::clone(finder);
    HolderCalls {
        request: Box::new(move |target| {
            let finder = Arc::clone(&requester);
            async move {
                finder
                    .request_from_holder(&target.zone, target.request)
                    .await
            }
            .boxed()
        }),
        report: Box::new(move |target| {
            let finder = Arc::clone(&reporter);
            async move { finder.report_to_holder(&target.zone, target.report).await }.boxed()
        }),
    }
}

fn lender_calls(finder: &Arc<HolderFinder>) -> LenderCalls {
    let requester = Arc::clone(finder);
    let reporter = Arc::clone(finder);
    LenderCalls {
        request: Box::new(move |loan| {
            let finder = Arc::clone(&requester);
            async move { finder.request_from_holder(&loan.lender, loan.request).await }.boxed()
        }),
        report: Box::new(move |target| {
            let finder = Arc::clone(&reporter);
            async move { finder.report_to_holder(&target.lender, target.report).await }.boxed()
        }),
    }
}
