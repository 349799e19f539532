//! Rates of organisations on a node: finds the holders of zones and sends them messages.

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
use super::rate_role::RoleKeeper;
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

/// Longest time for a control call about rates.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Most nodes of a zone that are asked for its holder.
const TRIES_MAX: usize = 5;

/// Time between two rounds of reports of the holder, and of looks at the configuration.
const TICK: Duration = Duration::from_millis(20);

/// The rates of organisations as one node serves and uses them.
///
/// The locks are held for single steps only and never while another one is taken.
#[derive(Debug)]
pub(super) struct NodeRates {
    /// Admits requests of callers.
    pub client: Arc<RateClient>,
    /// Answers other nodes while this node holds the rates of its zone.
    pub service: Arc<HolderService>,
    holders: Mutex<BTreeMap<ZoneId, NodeId>>,
    callers: Mutex<HashMap<SocketAddr, ControlHttpClient>>,
}

/// The tasks of a node that keep rates going.
pub(super) struct RateTasks {
    _reports: AbortOnDropHandle<()>,
    _ticks: AbortOnDropHandle<()>,
    role: AbortOnDropHandle<()>,
}

impl NodeRates {
    /// Starts without tokens and without the role of a holder.
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
            callers: Mutex::default(),
        }
    }

    /// Returns a kept client of the control channel at `address`.
    pub fn caller(&self, node: &Node, address: SocketAddr) -> Option<ControlHttpClient> {
        let mut callers = self.callers.lock();
        if let Some(caller) = callers.get(&address) {
            return Some(caller.clone());
        }
        let caller = control::connect(address, &node.settings.fleet_secret, CALL_TIMEOUT).ok()?;
        callers.insert(address, caller.clone());
        Some(caller)
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
    /// Starts the tasks of `node`.
    pub fn start(node: &Arc<Node>) -> Self {
        let client = Arc::clone(&node.rates().client);
        let keeper = RoleKeeper::new(Arc::clone(node));
        Self {
            _reports: AbortOnDropHandle::new(tokio::spawn(client.run())),
            _ticks: AbortOnDropHandle::new(tokio::spawn(tick(Arc::clone(node)))),
            role: AbortOnDropHandle::new(tokio::spawn(keeper.run())),
        }
    }

    /// Gives tokens and loans back, at the end of a planned stop.
    pub async fn stop(self, node: &Arc<Node>) {
        self.role.abort();
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
            async move { ask_holder(node.upgrade()?, &target.zone, target.request).await }.boxed()
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
            async move { ask_holder(node.upgrade()?, &loan.lender, loan.request).await }.boxed()
        }),
        report: Box::new(move |target| {
            let node = reporter.clone();
            async move { report_to_holder(node.upgrade(), &target.lender, target.report).await }
                .boxed()
        }),
    }
}

/// Asks the nodes that may hold the rates of `zone`, one after another, until one does.
async fn ask_holder(node: Arc<Node>, zone: &ZoneId, ask: TokenRequest) -> Option<TokenReply> {
    let rates = node.rates();
    let mut likely = rates.likely_holders(&node, zone);
    let mut asked = Vec::new();
    while let Some(id) = likely.pop_front().filter(|_| asked.len() < TRIES_MAX) {
        if asked.contains(&id) {
            continue;
        }
        asked.push(id.clone());
        match ask_node(&node, &id, ask.clone()).await {
            Some(TokenReply::NotHolder(Some(hint))) => likely.push_front(hint),
            Some(TokenReply::NotHolder(None)) | None => {}
            Some(answer) => {
                rates.holders.lock().insert(zone.clone(), id);
                return Some(answer);
            }
        }
    }
    rates.holders.lock().remove(zone);
    None
}

async fn ask_node(node: &Arc<Node>, id: &NodeId, ask: TokenRequest) -> Option<TokenReply> {
    let rates = node.rates();
    if *id == node.settings.node {
        return Some(rates.service.handle_request(ask).await);
    }
    let address = node.members().node(id)?.addresses.control;
    rates.caller(node, address)?.ask_tokens(ask).await.ok()
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
            let caller = address.and_then(|address| rates.caller(&node, address));
            if let Some(caller) = caller {
                // A lost report loses tokens, never makes them.
                let _ = caller.report_tokens(report).await;
            }
        }
        None => {}
    }
}
