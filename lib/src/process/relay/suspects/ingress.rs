//! What the ingress node of a request knows of it as a suspect.

use std::sync::Arc;

use super::admission::refusal_of;
use super::notification::notify;
use crate::connection::BufferedRequest;
use crate::process::membership::NodeRecord;
use crate::process::relay::node::RelayNode;
use crate::process::suspects::Fingerprint;
use crate::process::suspects::SuspectAdmission;
use crate::request::Refusal;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::ServiceId;

/// Returns the only node that may run a request, as far as this node knows, or a refusal if none
/// may. Any node may run a request that is not suspected.
///
/// The node of the backend server decides itself, but may have missed a notification.
pub(in crate::process::relay) async fn trial_node_of(
    node: &Arc<RelayNode>,
    service: &ServiceId,
    organisation: Option<&OrganisationId>,
    request: &BufferedRequest,
) -> Result<Option<NodeId>, Refusal> {
    if node.suspects.table.lock().is_empty() {
        return Ok(None);
    }
    let fingerprint = Fingerprint::of_request(service, organisation, request);
    let Some(trial) = known_trial_node(node, fingerprint)? else {
        return Ok(None);
    };
    let members = node.members();
    let serving = members.serving(service);
    match serving.iter().find(|record| record.id == trial) {
        Some(record) if node.links.is_unresponsive(record) => {
            replace_unresponsive_trial_node(node, serving, &trial).await;
            known_trial_node(node, fingerprint)
        }
        Some(_) => Ok(Some(trial)),
        // The node that gets the request assigns the trial to another one.
        None => Ok(None),
    }
}

fn known_trial_node(node: &RelayNode, fingerprint: Fingerprint) -> Result<Option<NodeId>, Refusal> {
    let restriction = node.suspects.table.lock().restriction(fingerprint);
    match restriction {
        Some(SuspectAdmission::OnlyOn(trial)) => Ok(Some(trial)),
        Some(SuspectAdmission::Quarantined) => Err(refusal_of(SuspectAdmission::Quarantined)),
        Some(_) | None => Ok(None),
    }
}

/// Reassigns the trials of a node that is listed but sends nothing. Returns once the others know.
async fn replace_unresponsive_trial_node(
    node: &Arc<RelayNode>,
    serving: &[NodeRecord],
    trial: &NodeId,
) {
    let responsive = serving.iter();
    let responsive = responsive.filter(|record| !node.links.is_unresponsive(record));
    let responsive: Vec<NodeRecord> = responsive.cloned().collect();
    let moved = node
        .suspects
        .table
        .lock()
        .reassign_trials_of(trial, &responsive);
    notify(node, moved).await;
}
