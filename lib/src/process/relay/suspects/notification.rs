//! Tells other nodes of suspects, and asks them for suspects.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection::BufferedRequest;
use crate::process::membership::NodeRecord;
use crate::process::relay::frame::ExchangeId;
use crate::process::relay::frame::Head;
use crate::process::relay::frame::encode_frame;
use crate::process::relay::link::LinkFailure;
use crate::process::relay::link_reply::PeerReply;
use crate::process::relay::node::RelayNode;
use crate::process::suspects::Fingerprint;
use crate::process::suspects::SuspectEntry;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::ServiceId;

/// Longest delay of the responses to failed requests until the other nodes are notified.
pub(super) const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which the notification of a node is retried: an instance that stands still for a moment
/// gets it afterwards.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between attempts to notify a node.
const DELIVERY_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after which a starting node asks again, and doubles it each time: the others notify it of
/// crashes only when they know its new address.
const LEARN_AGAIN_DELAY: Duration = Duration::from_millis(100);
/// Number of times that a starting node asks again, until 1.5 s after it started.
const LEARN_AGAIN_TIMES: u32 = 4;
/// Number of nodes that a starting node asks for suspects. One of them may have missed some.
const LEARN_NODES: usize = 3;

pub(super) fn spawn_notification(node: &Arc<RelayNode>, updates: Vec<SuspectEntry>) {
    if !updates.is_empty() {
        let node = Arc::clone(node);
        tokio::spawn(async move { notify(&node, updates).await });
    }
}

/// Notifies the other nodes, and again of what any of them knows beyond that. Waits a limited time
/// for nodes that do not respond; they are notified later.
///
/// All nodes are notified, because one whose backend server is down at the moment may get it back.
pub(super) async fn notify(node: &Arc<RelayNode>, updates: Vec<SuspectEntry>) {
    let delivery = tokio::spawn(deliver(Arc::clone(node), updates));
    // The task goes on after the timeout.
    let _ = timeout(NOTIFY_TIMEOUT, delivery).await;
}

async fn deliver(node: Arc<RelayNode>, updates: Vec<SuspectEntry>) {
    let mut replies = FuturesUnordered::new();
    let mut unsent = vec![updates];
    loop {
        let members = node.members();
        for entries in unsent.drain(..).map(Arc::<[_]>::from) {
            let others = members.nodes().map(|record| record.id.clone());
            let others = others.filter(|other| *other != node.settings.raw.node);
            let calls = others.map(|other| deliver_to(&node, other, Arc::clone(&entries)));
            replies.extend(calls);
        }
        match replies.next().await {
            Some(known) => unsent.extend(node.learn_more(&known)),
            None => return,
        }
    }
}

/// Notifies one node. Returns the entries of which it knows more.
async fn deliver_to(
    node: &RelayNode,
    other: NodeId,
    updates: Arc<[SuspectEntry]>,
) -> Vec<SuspectEntry> {
    let started_at = node.clock.now();
    while !updates.is_empty() && node.clock.now().since(started_at) < DELIVERY_TIMEOUT {
        let notification = |exchange| {
            let entries = updates.to_vec();
            suspects_frame(&Head::SuspectUpdates { exchange, entries })
        };
        // Its address changes when it is replaced or restarted.
        let members = node.members();
        let Some(record) = members.node(&other) else {
            break;
        };
        if let Some(known) = ask_for_suspects(node, record, notification).await {
            return known;
        }
        sleep(DELIVERY_RETRY_DELAY).await;
    }
    // Links log why a node cannot be reached. It learns of a quarantine from the store.
    Vec::new()
}

/// Asks other nodes for the suspects that they know, of which an earlier process of this node may
/// have known. Until then, no request runs on the local backend server.
pub(in crate::process::relay) async fn learn_suspects(node: Arc<RelayNode>) {
    node.wait_until_fleet_is_listed().await;
    ask_others(&node).await;
    node.suspects.is_learned.send_replace(true);
    for time in 0..LEARN_AGAIN_TIMES {
        sleep(LEARN_AGAIN_DELAY * 2_u32.pow(time)).await;
        ask_others(&node).await;
    }
}

async fn ask_others(node: &Arc<RelayNode>) {
    let members = node.members();
    let others: Vec<_> = members
        .nodes()
        .filter(|record| record.id != node.settings.raw.node && record.accepts_work())
        .collect();
    let asked = others.choose_multiple(&mut rand::rng(), LEARN_NODES);
    let replies = asked.map(|other| {
        let request = |exchange| suspects_frame(&Head::SuspectsRequest { exchange });
        timeout(NOTIFY_TIMEOUT, ask_for_suspects(node, other, request))
    });
    for reply in join_all(replies).await {
        // Links log why a node cannot be reached.
        if let Ok(Some(entries)) = reply {
            node.merge_suspects(&entries);
        }
    }
}

/// Asks the node at which a request failed whether its server crashed, unless a notification came
/// already. The node may not know the address of this one, if that was started lately.
pub(in crate::process::relay) async fn learn_of_failure(
    node: &RelayNode,
    service: &ServiceId,
    organisation: Option<&OrganisationId>,
    request: &BufferedRequest,
    failed_at: &NodeRecord,
) {
    let fingerprint = Fingerprint::of_request(service, organisation, request);
    let is_known = node
        .suspects
        .table
        .lock()
        .restriction(fingerprint)
        .is_some();
    if is_known || failed_at.id == node.settings.raw.node {
        return;
    }
    // The reply to an entry without crashes has those that its receiver knows.
    let question = |exchange| {
        let entries = vec![SuspectEntry::new(fingerprint)];
        suspects_frame(&Head::SuspectUpdates { exchange, entries })
    };
    let asking = ask_for_suspects(node, failed_at, question);
    // Links log why a node cannot be reached.
    if let Ok(Some(known)) = timeout(NOTIFY_TIMEOUT, asking).await {
        node.merge_suspects(&known);
    }
}

pub(super) async fn ask_for_suspects(
    node: &RelayNode,
    other: &NodeRecord,
    frame: impl FnOnce(ExchangeId) -> Result<bytes::Bytes, LinkFailure>,
) -> Option<Vec<SuspectEntry>> {
    let link = node.links.get(other).await.ok()?;
    match link.exchange(frame).await.ok()?.reply {
        PeerReply::KnownSuspects(entries) => Some(entries),
        _ => None,
    }
}

fn suspects_frame(head: &Head<'_>) -> Result<bytes::Bytes, LinkFailure> {
    encode_frame(head, &[]).map_err(|_| LinkFailure::NotSent)
}
