//! Maintains the terms of this node: renews them with the zone's registrar, or takes that role.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::task::AbortOnDropHandle;

use super::messages::RenewalReply;
use super::messages::RenewalRequest;
use super::registrar;
use super::transfer;
use crate::process::control;
use crate::process::control::ControlClient;
use crate::process::control::ControlHttpClient;
use crate::process::membership::NodeRecord;
use crate::process::node::Node;
use crate::process::once::Assignment;
use crate::process::once::MintTime;
use crate::process::once::ProcessSession;
use crate::process::once::RecordHandover;
use crate::process::once::Registrar;
use crate::process::once::SlotHandover;
use crate::values::NodeId;

/// Interval between checks of terms and roles.
const TICK: Duration = Duration::from_millis(200);
/// Timeout of a control call to another node.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// The tasks that maintain terms and records. They stop when this is dropped.
#[derive(Debug)]
pub(in crate::process::node) struct OnceTasks {
    _maintenance: AbortOnDropHandle<()>,
}

impl OnceTasks {
    pub(in crate::process::node) fn start(node: &Arc<Node>) -> Self {
        let maintenance = tokio::spawn(maintain_terms(Arc::clone(node)));
        Self {
            _maintenance: AbortOnDropHandle::new(maintenance),
        }
    }
}

async fn maintain_terms(node: Arc<Node>) {
    let mut tick = tokio::time::interval(TICK);
    loop {
        tick.tick().await;
        if node.is_draining() {
            continue;
        }
        registrar::maintain_role(&node).await;
        if renewal_is_due(&node) {
            renew(&node).await;
            transfer::transfer_to_better_homes(&node).await;
        }
    }
}

fn renewal_is_due(node: &Node) -> bool {
    let since_last = node.clock.now().since(node.once.role.lock().renewed_at);
    let holds_terms = !node.once.held_slots().is_empty();
    holds_terms && since_last >= Registrar::RENEWAL_INTERVAL
}

async fn renew(node: &Arc<Node>) {
    let request = RenewalRequest {
        node: node.settings.node.clone(),
        renewal: node.once.home.lock().terms.renewal(),
    };
    let Some(registrar) = registrar::presumed(node) else {
        return;
    };
    let reply = match registrar.id == node.settings.node {
        true => Some(node.renew_terms(&request)),
        false => match connect(node, &registrar) {
            Some(control) => control.once_renew(request).await.ok(),
            None => None,
        },
    };
    match reply {
        Some(RenewalReply::Outcome(outcome)) => {
            let mut role = node.once.role.lock();
            let mut home = node.once.home.lock();
            let epoch_before = home.terms.renewal().epoch;
            // The first renewal under a new epoch only reports the terms: renew again at once.
            if outcome.epoch == epoch_before {
                role.renewed_at = node.clock.now();
            }
            home.terms.on_renewal_outcome(outcome);
        }
        Some(RenewalReply::NotRegistrar(other)) => registrar::on_not_registrar(node, other),
        None => registrar::on_unresponsive(node, &registrar.id),
    }
}

/// Creates a client for the control channel of another node.
pub(super) fn connect(node: &Node, other: &NodeRecord) -> Option<ControlHttpClient> {
    let secret = &node.settings.fleet_secret;
    control::connect(other.addresses.control, secret, CONTROL_TIMEOUT).ok()
}

impl Node {
    /// Handles a renewal request if this node is the registrar of its zone.
    pub fn renew_terms(&self, request: &RenewalRequest) -> RenewalReply {
        let wall = MintTime::from(self.clock.wall());
        let now = self.clock.now();
        let mut role = self.once.role.lock();
        match &mut role.own {
            Some(own) => {
                let outcome = own.registrar.renew(&request.renewal, wall, now);
                RenewalReply::Outcome(outcome)
            }
            None => RenewalReply::NotRegistrar(role.known_registrar.clone()),
        }
    }

    /// Returns the session to which terms for this node are addressed; `None` while it is draining.
    pub fn once_session(&self) -> Option<ProcessSession> {
        let session = self.once.home.lock().terms.session();
        (!self.is_draining()).then_some(session)
    }

    /// Accepts a new term from a registrar. Returns whether it was accepted.
    pub fn accept_assignment(&self, assignment: Assignment) -> bool {
        self.once.home.lock().terms.assign(assignment)
    }

    /// Accepts a term with its records from its holder. Returns whether it was accepted.
    pub fn accept_handover(&self, handover: SlotHandover) -> bool {
        let now = self.clock.now();
        let mut home = self.once.home.lock();
        let slot = handover.moved.held.slot.clone();
        let accepted = home.terms.adopt(handover.moved);
        if accepted {
            let expired_before = handover.expired_before;
            home.records
                .take_over(&slot, handover.records, expired_before, now);
        }
        accepted
    }

    /// Applies the outcome of an attempt whose record was handed over while it ran.
    pub fn apply_settlement(&self, settled: RecordHandover) {
        let now = self.clock.now();
        self.once.home.lock().records.settle(settled, now);
    }

    /// Returns the registrar of the zone if this node knows it.
    pub fn known_registrar(&self) -> Option<NodeId> {
        self.once.role.lock().known_registrar.clone()
    }
}
