//! The gate: runs a request on the backend server beside this node.

use std::sync::Arc;

use http::HeaderValue;
use parking_lot::Mutex;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Node;
use super::answer::NodeAnswer;
use super::answer::plain_response;
use super::entry::whole_request;
use super::once::serve_keyed;
use super::peer_message;
use crate::connection::ATTEMPT_HEADER;
use crate::connection::HANDLE_HEADER;
use crate::connection::UNSPENT_HEADER;
use crate::connection::VERDICT_HEADER;
use crate::connection::WholeAnswer;
use crate::connection::WholeRequest;
use crate::connection::strip_system_headers;
use crate::request::AttemptBudget;
use crate::request::AttemptId;
use crate::request::Deadline;
use crate::request::Handle;
use crate::request::InFlight;
use crate::request::OnwardCalls;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::RequestContext;
use crate::request::Verdict;
use crate::request::refusal_response;

/// Answers a request of another node.
pub(super) async fn handle_peer(node: &Arc<Node>, request: Request) -> Response {
    let mut request = match whole_request(node, request).await {
        Ok(request) => request,
        Err(refusal) => return plain_response(node, refusal_response(&refusal)),
    };
    let key = &node.peer_key;
    let context = match peer_message::verify(key, &node.settings.node, &mut request) {
        Ok(context) => context,
        Err(refusal) => return plain_response(node, refusal_response(&refusal)),
    };
    let attempt = context.attempt;
    let answer = serve_any(node, context, request).await;
    plain_response(node, peer_answer(attempt, answer))
}

/// Answers a request that came for this node: as the home of its key, or by its backend server.
pub(super) async fn serve_any(
    node: &Arc<Node>,
    mut context: RequestContext,
    request: WholeRequest,
) -> NodeAnswer {
    match context.keyed.take() {
        Some(keyed) => serve_keyed(node, context, keyed, request).await,
        None => serve(node, context, request).await,
    }
}

/// Runs a request on the backend server beside this node.
pub(super) async fn serve(
    node: &Node,
    context: RequestContext,
    request: WholeRequest,
) -> NodeAnswer {
    let lent_attempts = context.extra_attempts;
    let refused = |refusal| NodeAnswer {
        outcome: Err(refusal),
        unspent_attempts: lent_attempts,
    };
    let Some(server) = node.server() else {
        return refused(Refusal::not_run(RefusalReason::NoServer));
    };
    let permit = match server.enter() {
        Ok(permit) => permit,
        Err(refusal) => return refused(refusal),
    };
    let now = node.clock.now();
    let deadline = Deadline::starting(now, context.remaining_us);
    let guard = node.in_flight.add(InFlight {
        deadline,
        extra_attempts: Mutex::new(AttemptBudget::new(lent_attempts)),
        onward_calls: Mutex::new(OnwardCalls::default()),
        context,
    });
    let handle = guard.handle();
    let request = with_handle(request, &handle);
    let result = server.pool.exchange(request, deadline.remaining(now)).await;
    drop(permit);
    let outcome = match result {
        Ok(answer) => checked_answer(answer, &handle),
        Err(error) => Err(Refusal {
            reason: RefusalReason::BadAnswer,
            verdict: error.verdict(),
            retry_after_ms: None,
        }),
    };
    let unspent_attempts = guard.request().extra_attempts.lock().remaining();
    NodeAnswer {
        outcome,
        unspent_attempts,
    }
}

fn with_handle(mut request: WholeRequest, handle: &Handle) -> WholeRequest {
    strip_system_headers(&mut request.headers);
    if let Ok(value) = HeaderValue::try_from(handle.to_string()) {
        request.headers.insert(HANDLE_HEADER, value);
    }
    request
}

/// Accepts an answer only if it carries the handle of its own request.
fn checked_answer(mut answer: WholeAnswer, handle: &Handle) -> Result<WholeAnswer, Refusal> {
    let echoed = answer
        .headers
        .get(HANDLE_HEADER)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|text| text == handle.to_string());
    if !echoed {
        return Err(Refusal::may_have_run(RefusalReason::BadAnswer));
    }
    strip_system_headers(&mut answer.headers);
    let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
    answer.headers.insert(VERDICT_HEADER, verdict);
    Ok(answer)
}

fn peer_answer(attempt: AttemptId, answer: NodeAnswer) -> WholeAnswer {
    let mut whole = match answer.outcome {
        Ok(whole) => whole,
        Err(refusal) => refusal_response(&refusal),
    };
    let unspent = HeaderValue::from(answer.unspent_attempts.0);
    whole.headers.insert(UNSPENT_HEADER, unspent);
    if let Ok(value) = HeaderValue::try_from(attempt.to_string()) {
        whole.headers.insert(ATTEMPT_HEADER, value);
    }
    whole
}
