//! Rates of organisations on a node: finds the holders of zones and sends messages to them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use futures::FutureExt;
use parking_lot::Mutex;
use tokio_util::task::AbortOnDropHandle;

use super::Node;
use super::rate_lease::HolderLeaseTask;
use crate::process::control;
use crate::process::control::ControlClient;
use crate::process::control::ControlHttpClient;
use crate::process::rates::HolderCalls;
use crate::process::rates::HolderService;
use crate::process::rates::LenderCalls;
use crate::process::rates::RateClient;
use crate::process::rates::SettlementReport;
use crate::process::rates::TokenReply;
use crate::process::rates::TokenRequest;
use crate::process::rates::holder_candidates;
use crate::values::Incarnation;
use crate::values::NodeId;
use crate::values::ZoneId;

/// Timeout of a control call about rates.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of nodes of a zone that are tried to find its holder.
const TRIES_MAX: usize = 5;

/// Interval between reports of the holder, and between checks for a new configuration.
const TICK: Duration = Duration::from_millis(20);

/// The rate client and the holder service of a node.
///
/// Each lock is held for one short operation only, and never while another lock is acquired.
#[derive(Debug)]
pub(super) struct NodeRates {
    /// Admits requests of callers by the rates of their organisations.
    pub client: Arc<RateClient>,
    /// Serves other nodes while this node holds the rates of its zone.
    pub service: Arc<HolderService>,
    holders: Mutex<BTreeMap<ZoneId, NodeId>>,
    control_clients: Mutex<HashMap<SocketAddr, ControlHttpClient>>,
}

/// The background tasks of a node for rates. Dropping this stops them.
pub(super) struct RateTasks {
    _reports: AbortOnDropHandle<()>,
    _ticks: AbortOnDropHandle<()>,
    holder_lease: AbortOnDropHandle<()>,
}

impl NodeRates {
    /// Creates the state of a node without tokens, which is not the holder of its zone.
    pub fn new(node: &Arc<Node>) -> Self {
        let settings = &node.settings;
        let incarnation = Incarnation(node.clock.wall().0);
        let client = RateClient::new(
            settings.node.clone(),
            incarnation,
            settings.zone.clone(),
            node.clock,
            holder_calls(Arc::downgrade(node)),
        );
        let service = HolderService::new(
            settings.node.clone(),
            incarnation,
            settings.zone.clone(),
            node.clock,
            lender_calls(Arc::downgrade(node)),
        );
        Self {
            client: Arc::new(client),
            service: Arc::new(service),
            holders: Mutex::default(),
            control_clients: Mutex::default(),
        }
    }

    /// Returns a cached client of the control channel at `address`; none if it cannot be created.
    pub fn control_client(&self, node: &Node, address: SocketAddr) -> Option<ControlHttpClient> {
        let mut control_clients = self.control_clients.lock();
        if let Some(client) = control_clients.get(&address) {
            return Some(client.clone());
        }
        let client = control::connect(address, &node.settings.fleet_secret, CALL_TIMEOUT).ok()?;
        control_clients.insert(address, client.clone());
        Some(client)
    }

    fn likely_holders(&self, node: &Node, zone: &ZoneId) -> VecDeque<NodeId> {
        let known = self.holders.lock().get(zone).cloned();
        let candidates = holder_candidates(zone, &node.members());
        let others = candidates
            .into_iter()
            .filter(|id| Some(id) != known.as_ref());
        known.iter().cloned().chain(others).collect()
    }
}

impl RateTasks {
    pub fn start(node: &Arc<Node>) -> Self {
        let client = Arc::clone(&node.rates().client);
        let holder_lease = HolderLeaseTask::new(Arc::clone(node));
        Self {
            _reports: AbortOnDropHandle::new(tokio::spawn(client.run())),
            _ticks: AbortOnDropHandle::new(tokio::spawn(tick(Arc::clone(node)))),
            holder_lease: AbortOnDropHandle::new(tokio::spawn(holder_lease.run())),
        }
    }

    /// Stops the lease task, and returns tokens and loans at the end of a planned stop.
    pub async fn stop(self, node: &Arc<Node>) {
        self.holder_lease.abort();
        let rates = node.rates();
        rates.client.return_tokens().await;
        rates.service.return_loans().await;
    }
}

async fn tick(node: Arc<Node>) {
    let mut period = tokio::time::interval(TICK);
    let mut version = None;
    loop {
        period.tick().await;
        let rates = node.rates();
        match node.configuration() {
            Ok(configuration) if Some(configuration.version) > version => {
                version = Some(configuration.version);
                rates.client.configure(&configuration);
                rates.service.configure(&configuration);
            }
            _ => {}
        }
        rates.service.tick();
    }
}

fn holder_calls(node: Weak<Node>) -> HolderCalls {
    let reporter = node.clone();
    HolderCalls {
        request: Box::new(move |target| {
            let node = node.clone();
            async move { request_from_holder(node.upgrade()?, &target.zone, target.request).await }
                .boxed()
        }),
        report: Box::new(move |target| {
            let node = reporter.clone();
            async move { report_to_holder(node.upgrade(), &target.zone, target.report).await }
                .boxed()
        }),
    }
}

fn lender_calls(node: Weak<Node>) -> LenderCalls {
    let reporter = node.clone();
    LenderCalls {
        request: Box::new(move |loan| {
            let node = node.clone();
            async move { request_from_holder(node.upgrade()?, &loan.lender, loan.request).await }
                .boxed()
        }),
        report: Box::new(move |target| {
            let node = reporter.clone();
            async move { report_to_holder(node.upgrade(), &target.lender, target.report).await }
                .boxed()
        }),
    }
}

/// Sends `request` to the nodes that may hold the rates of `zone`, one after another, until one
/// does; none if no tried node does.
async fn request_from_holder(
    node: Arc<Node>,
    zone: &ZoneId,
    request: TokenRequest,
) -> Option<TokenReply> {
    let rates = node.rates();
    let mut likely = rates.likely_holders(&node, zone);
    let mut tried = Vec::new();
    while let Some(id) = likely.pop_front().filter(|_| tried.len() < TRIES_MAX) {
        if tried.contains(&id) {
            continue;
        }
        tried.push(id.clone());
        match request_from_node(&node, &id, request.clone()).await {
            Some(TokenReply::NotHolder(Some(hint))) => likely.push_front(hint),
            Some(TokenReply::NotHolder(None)) | None => {}
            Some(reply) => {
                rates.holders.lock().insert(zone.clone(), id);
                return Some(reply);
            }
        }
    }
    rates.holders.lock().remove(zone);
    None
}

async fn request_from_node(
    node: &Arc<Node>,
    id: &NodeId,
    request: TokenRequest,
) -> Option<TokenReply> {
    let rates = node.rates();
    if *id == node.settings.node {
        return Some(rates.service.handle_request(request).await);
    }
    let address = node.members().node(id)?.addresses.control;
    rates
        .control_client(node, address)?
        .ask_tokens(request)
        .await
        .ok()
}

async fn report_to_holder(node: Option<Arc<Node>>, zone: &ZoneId, report: SettlementReport) {
    let Some(node) = node else {
        return;
    };
    let rates = node.rates();
    let holder = rates.holders.lock().get(zone).cloned();
    match holder {
        Some(id) if id == node.settings.node => rates.service.apply_report(&report),
        Some(id) => {
            let address = node
                .members()
                .node(&id)
                .map(|record| record.addresses.control);
            let client = address.and_then(|address| rates.control_client(&node, address));
            if let Some(client) = client {
                // A lost report can only lose tokens, never create them.
                let _ = client.report_tokens(report).await;
            }
        }
        None => {}
    }
}
