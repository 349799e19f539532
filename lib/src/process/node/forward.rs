//! Forwards a request to a node of its service, and retries it where that is allowed.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use parking_lot::Mutex;

use super::Node;
use super::ingress::check_client;
use super::load_control::ObservedCall;
use super::load_control::Origin;
use super::load_control::choose;
use super::once::forward_keyed;
use super::peer_message;
use super::response::NodeReply;
use super::serve::serve_any;
use crate::connection::ATTEMPT_HEADER;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::connection::ClientPresence;
use crate::connection::FLOOR_HEADER;
use crate::connection::UNSPENT_HEADER;
use crate::process::membership::NodeRecord;
use crate::request::AttemptBudget;
use crate::request::AttemptCount;
use crate::request::AttemptId;
use crate::request::ChainDepth;
use crate::request::Deadline;
use crate::request::FailedAttempt;
use crate::request::KeyedContext;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::RequestContext;
use crate::request::Verdict;
use crate::request::refusal_of;
use crate::values::Importance;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::RequestId;
use crate::version::Repeatability;
use crate::version::Route;

/// Number of redirects to a node named by a refusal that do not count as retries: one, and a second
/// one for the case that the named node has just lost its backend server.
const REDIRECTS_MAX: u32 = 2;

/// A request to a service, as shared by its attempts.
pub(super) struct Outbound<'a> {
    pub(super) route: &'a Route,
    /// The request without the system's own headers.
    pub(super) request: BufferedRequest,
    /// The root request of the call tree.
    pub(super) root: RequestId,
    /// The organisation for which the request runs.
    pub(super) organisation: Option<OrganisationId>,
    /// Importance of the root request.
    pub(super) importance: Importance,
    /// Time by which the request must be complete.
    pub(super) deadline: Deadline,
    /// Number of upstream calls in the chain.
    pub(super) depth: ChainDepth,
    /// Attempts beyond the first, shared with the other calls of the same parent.
    pub(super) extra_attempts: &'a Mutex<AttemptBudget>,
    pub(super) origin: Origin<'a>,
    /// The connection of the client that waits for the response; none if the request goes on without it.
    pub(super) client: Option<ClientPresence>,
}

/// Forwards a request to nodes of its service until an attempt yields a final response.
pub(super) async fn forward(
    node: &Arc<Node>,
    outbound: Outbound<'_>,
) -> Result<BufferedResponse, Refusal> {
    match outbound.route.repeatability {
        Repeatability::AtMostOnce => forward_keyed(node, outbound).await,
        Repeatability::Idempotent => forward_unkeyed(node, outbound).await,
    }
}

/// Forwards a request to nodes of its service, without an at-most-once record.
///
/// When there is no further node to try, the refusal of the last one tried is returned. A refusal
/// that names the only node that may run the request redirects it there without counting a retry,
/// because the request has not run.
pub(super) async fn forward_unkeyed(
    node: &Arc<Node>,
    outbound: Outbound<'_>,
) -> Result<BufferedResponse, Refusal> {
    let service = &outbound.route.service;
    let mut tried: Vec<NodeId> = Vec::new();
    let mut verdict = Verdict::NotRun;
    let mut earlier: Option<Refusal> = None;
    let mut redirects = 0;
    node.retries.on_first_attempt(service);
    loop {
        let tried_before = tried.len();
        let only_on = earlier.as_ref().and_then(|refusal| refusal.only_on.clone());
        let refusal = match attempt(node, &outbound, &mut tried, only_on).await {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        verdict = verdict.max(refusal.verdict);
        let refusal = match earlier {
            Some(earlier) if tried.len() == tried_before => earlier,
            _ => Refusal { verdict, ..refusal },
        };
        earlier = Some(refusal.clone());
        if tried.len() == tried_before || !may_succeed_elsewhere(refusal.reason) {
            return Err(refusal);
        }
        if verdict == Verdict::NotRun && refusal.only_on.is_some() && redirects < REDIRECTS_MAX {
            redirects += 1;
            continue;
        }
        let failed = FailedAttempt {
            verdict,
            repeatability: outbound.route.repeatability,
            earlier_retries: tried.len().saturating_sub(1) as u32,
            deadline: outbound.deadline,
        };
        let now = node.clock.now();
        match node
            .retries
            .retry(service, &failed, outbound.extra_attempts, now)
        {
            Ok(wait) => tokio::time::sleep(wait).await,
            Err(_) => return Err(refusal),
        }
    }
}

async fn attempt(
    node: &Arc<Node>,
    outbound: &Outbound<'_>,
    tried: &mut Vec<NodeId>,
    only_on: Option<NodeId>,
) -> Result<BufferedResponse, Refusal> {
    let destination = match only_on {
        Some(only_on) => named_node(node, outbound, tried, &only_on)?,
        None => choose(node, outbound, tried)?,
    };
    tried.push(destination.id.clone());
    attempt_at(node, outbound, &destination, None).await
}

/// Returns the record of a node that a refusal named, unless that node was already tried or does
/// not serve the service.
fn named_node(
    node: &Node,
    outbound: &Outbound<'_>,
    tried: &[NodeId],
    named: &NodeId,
) -> Result<NodeRecord, Refusal> {
    let members = node.members();
    let serving = members.serving(&outbound.route.service);
    serving
        .iter()
        .find(|record| record.id == *named && !tried.contains(named))
        .cloned()
        .ok_or_else(|| Refusal::not_run(RefusalReason::NoServer))
}

/// Sends one attempt to the node `destination`.
pub(super) async fn attempt_at(
    node: &Arc<Node>,
    outbound: &Outbound<'_>,
    destination: &NodeRecord,
    keyed: Option<KeyedContext>,
) -> Result<BufferedResponse, Refusal> {
    check_client(outbound.client.as_ref())?;
    let remaining_us = outbound
        .deadline
        .for_next_hop(node.clock.now())
        .map_err(Refusal::not_run)?;
    let loan = outbound.extra_attempts.lock().lend();
    let context = RequestContext {
        root: outbound.root,
        attempt: AttemptId::random(),
        organisation: outbound.organisation.clone(),
        importance: outbound.importance,
        remaining_us,
        extra_attempts: loan.lent(),
        depth: outbound.depth,
        keyed,
    };
    let request = outbound.request.clone();
    let call = ObservedCall::start(node, &destination.id);
    let reply = if destination.id == node.settings.node {
        let client = outbound.client.as_ref();
        Box::pin(serve_any(node, context, request, client)).await
    } else {
        send(node, destination, context, request).await
    };
    call.finish(outbound, &reply);
    let mut attempts = outbound.extra_attempts.lock();
    attempts.take_back(loan, reply.unspent_attempts);
    drop(attempts);
    reply.outcome
}

async fn send(
    node: &Node,
    destination: &NodeRecord,
    context: RequestContext,
    request: BufferedRequest,
) -> NodeReply {
    let attempt = context.attempt;
    let lent_attempts = context.extra_attempts;
    let limit = Duration::from_micros(context.remaining_us.0);
    let signed = match peer_message::sign(&node.peer_key, &destination.id, &context, request) {
        Ok(signed) => signed,
        Err(refusal) => return failed_reply(refusal, lent_attempts),
    };
    let pool = node.peer_pool(destination.addresses.peer);
    match pool.exchange(signed, limit).await {
        Ok(response) if header(&response, ATTEMPT_HEADER) == Some(attempt) => to_reply(response),
        Ok(response) => match refusal_of(&response) {
            Some(refusal) => failed_reply(refusal, lent_attempts),
            None => failed_reply(
                Refusal::may_have_run(RefusalReason::BadAnswer),
                AttemptCount(0),
            ),
        },
        Err(error) => {
            let refusal = Refusal {
                reason: RefusalReason::NoServer,
                verdict: error.verdict(),
                retry_after_ms: None,
                only_on: None,
            };
            let unspent = match refusal.verdict {
                Verdict::NotRun => lent_attempts,
                Verdict::MayHaveRun | Verdict::Ran => AttemptCount(0),
            };
            failed_reply(refusal, unspent)
        }
    }
}

fn to_reply(response: BufferedResponse) -> NodeReply {
    let unspent_attempts = header(&response, UNSPENT_HEADER).unwrap_or_default();
    let floor = header(&response, FLOOR_HEADER).unwrap_or_default();
    let outcome = match refusal_of(&response) {
        Some(refusal) => Err(refusal),
        None => Ok(response),
    };
    NodeReply {
        outcome,
        unspent_attempts,
        floor: Some(floor),
    }
}

fn failed_reply(refusal: Refusal, unspent_attempts: AttemptCount) -> NodeReply {
    NodeReply {
        outcome: Err(refusal),
        unspent_attempts,
        floor: None,
    }
}

fn header<T: FromStr>(response: &BufferedResponse, name: HeaderName) -> Option<T> {
    response.headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns whether an attempt at another node may succeed after a refusal with `reason`.
pub(super) fn may_succeed_elsewhere(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded
            | RefusalReason::Draining
            | RefusalReason::NoServer
            | RefusalReason::BadAnswer
    )
}
