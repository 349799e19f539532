//! Passes a request to a node of its service, and tries again where that is allowed.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use parking_lot::Mutex;

use super::Node;
use super::answer::NodeAnswer;
use super::load_control::ObservedCall;
use super::load_control::Origin;
use super::load_control::choose;
use super::peer_message;
use super::serve::serve;
use crate::connection::ATTEMPT_HEADER;
use crate::connection::FLOOR_HEADER;
use crate::connection::UNSPENT_HEADER;
use crate::connection::WholeAnswer;
use crate::connection::WholeRequest;
use crate::process::membership::NodeRecord;
use crate::request::AttemptId;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::RequestContext;
use crate::request::Verdict;
use crate::request::refusal_of;
use crate::values::Importance;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::RequestId;
use crate::version::Repeatability;
use crate::version::Route;

/// A request on its way to a service.
pub(super) struct Outbound<'a> {
    /// The route that the request matched.
    pub(super) route: &'a Route,
    /// The request without headers of the system.
    pub(super) request: WholeRequest,
    /// The root request of the call tree.
    pub(super) root: RequestId,
    /// The organisation for which the request runs.
    pub(super) organisation: Option<OrganisationId>,
    /// Rank of the root request.
    pub(super) importance: Importance,
    /// When the request runs out of time.
    pub(super) deadline_at: MonotonicTime,
    /// Calls in the chain above this one.
    pub(super) depth: u8,
    /// Attempts beyond the first, shared with the other calls of the same parent.
    pub(super) extra_attempts: &'a Mutex<u32>,
    /// For whom the request is made.
    pub(super) origin: Origin<'a>,
}

/// Passes a request to a node of its service until an attempt gives a final answer.
pub(super) async fn forward(
    node: &Arc<Node>,
    outbound: Outbound<'_>,
) -> Result<WholeAnswer, Refusal> {
    let mut tried: Vec<NodeId> = Vec::new();
    let mut verdict = Verdict::NotRun;
    let mut last: Option<Refusal> = None;
    loop {
        let refusal = match (attempt(node, &outbound, &mut tried).await, last.take()) {
            (Ok(answer), _) => return Ok(answer),
            // That no other node is left tells the caller less than the refusal before.
            (Err(refusal), Some(last)) if refusal.reason == RefusalReason::NoServer => {
                return Err(Refusal { verdict, ..last });
            }
            (Err(refusal), _) => refusal,
        };
        verdict = verdict.max(refusal.verdict);
        if !may_try_again(&outbound, &refusal) || !spend_attempt(outbound.extra_attempts) {
            return Err(Refusal { verdict, ..refusal });
        }
        last = Some(refusal);
    }
}

async fn attempt(
    node: &Arc<Node>,
    outbound: &Outbound<'_>,
    tried: &mut Vec<NodeId>,
) -> Result<WholeAnswer, Refusal> {
    let remaining = outbound.deadline_at.since(node.clock.now());
    if remaining.is_zero() {
        return Err(Refusal::not_run(RefusalReason::DeadlineExceeded));
    }
    let destination = choose(node, outbound, tried)?;
    tried.push(destination.id.clone());
    let lent_attempts = lend_attempts(outbound.extra_attempts);
    let context = RequestContext {
        root: outbound.root,
        attempt: AttemptId::random(),
        organisation: outbound.organisation.clone(),
        importance: outbound.importance,
        remaining_us: remaining.as_micros() as u64,
        extra_attempts: lent_attempts,
        depth: outbound.depth,
    };
    let request = outbound.request.clone();
    let call = ObservedCall::start(node, &destination.id);
    let answer = if destination.id == node.settings.node {
        Box::pin(serve(node, context, request)).await
    } else {
        send(node, &destination, context, request).await
    };
    call.finish(outbound, &answer);
    *outbound.extra_attempts.lock() += answer.unspent_attempts.min(lent_attempts);
    answer.outcome
}

async fn send(
    node: &Node,
    destination: &NodeRecord,
    context: RequestContext,
    request: WholeRequest,
) -> NodeAnswer {
    let attempt = context.attempt;
    let lent_attempts = context.extra_attempts;
    let limit = Duration::from_micros(context.remaining_us);
    let signed = match peer_message::sign(&node.peer_key, &destination.id, &context, request) {
        Ok(signed) => signed,
        Err(refusal) => return lost(refusal, lent_attempts),
    };
    let pool = node.peer_pool(destination.addresses.peer);
    match pool.exchange(signed, limit).await {
        Ok(answer) if header(&answer, ATTEMPT_HEADER) == Some(attempt) => received(answer),
        Ok(answer) => match refusal_of(&answer) {
            Some(refusal) => lost(refusal, lent_attempts),
            None => lost(Refusal::may_have_run(RefusalReason::BadAnswer), 0),
        },
        Err(error) => {
            let refusal = Refusal {
                reason: RefusalReason::NoServer,
                verdict: error.verdict(),
                retry_after_ms: None,
            };
            let unspent = match refusal.verdict {
                Verdict::NotRun => lent_attempts,
                Verdict::MayHaveRun | Verdict::Ran => 0,
            };
            lost(refusal, unspent)
        }
    }
}

fn received(answer: WholeAnswer) -> NodeAnswer {
    let unspent_attempts = header(&answer, UNSPENT_HEADER).unwrap_or(0);
    let floor = header(&answer, FLOOR_HEADER).unwrap_or_default();
    let outcome = match refusal_of(&answer) {
        Some(refusal) => Err(refusal),
        None => Ok(answer),
    };
    NodeAnswer {
        outcome,
        unspent_attempts,
        floor: Some(floor),
    }
}

fn lost(refusal: Refusal, unspent_attempts: u32) -> NodeAnswer {
    NodeAnswer {
        outcome: Err(refusal),
        unspent_attempts,
        floor: None,
    }
}

fn header<T: FromStr>(answer: &WholeAnswer, name: HeaderName) -> Option<T> {
    answer.headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Takes half of the extra attempts for one call.
fn lend_attempts(extra_attempts: &Mutex<u32>) -> u32 {
    let mut extra_attempts = extra_attempts.lock();
    let lent = *extra_attempts / 2;
    *extra_attempts -= lent;
    lent
}

fn spend_attempt(extra_attempts: &Mutex<u32>) -> bool {
    let mut extra_attempts = extra_attempts.lock();
    let left = extra_attempts.checked_sub(1);
    *extra_attempts = left.unwrap_or(0);
    left.is_some()
}

/// Returns whether another attempt is allowed after `refusal` and can help.
fn may_try_again(outbound: &Outbound<'_>, refusal: &Refusal) -> bool {
    let can_help = matches!(
        refusal.reason,
        RefusalReason::Overloaded
            | RefusalReason::Draining
            | RefusalReason::NoServer
            | RefusalReason::BadAnswer
    );
    match refusal.verdict {
        Verdict::NotRun => can_help,
        Verdict::MayHaveRun => {
            can_help && outbound.route.repeatability == Repeatability::Idempotent
        }
        Verdict::Ran => false,
    }
}
