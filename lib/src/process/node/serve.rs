//! Admits requests through the gate and runs them on the local backend server.

use std::sync::Arc;

use http::HeaderValue;
use http::StatusCode;
use parking_lot::Mutex;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Node;
use super::ingress::buffered_request;
use super::ingress::check_client;
use super::once::serve_keyed;
use super::peer_message;
use super::response::NodeReply;
use super::response::plain_response;
use super::suspects;
use crate::connection::ATTEMPT_HEADER;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::connection::ClientPresence;
use crate::connection::ExchangeError;
use crate::connection::FLOOR_HEADER;
use crate::connection::HANDLE_HEADER;
use crate::connection::UNSPENT_HEADER;
use crate::connection::VERDICT_HEADER;
use crate::connection::strip_system_headers;
use crate::process::gate::AdmissionRequest;
use crate::process::gate::CompletionOutcome;
use crate::process::gate::FloorNotice;
use crate::request::AttemptBudget;
use crate::request::AttemptId;
use crate::request::Deadline;
use crate::request::Handle;
use crate::request::InFlight;
use crate::request::OnwardTime;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::RequestContext;
use crate::request::Verdict;
use crate::request::refusal_response;

/// Handles a request of another node and returns the response.
pub(super) async fn handle_peer(node: &Arc<Node>, mut request: Request) -> Response {
    let client = request.extensions_mut().remove::<ClientPresence>();
    let mut request = match buffered_request(node, request).await {
        Ok(request) => request,
        Err(refusal) => return plain_response(node, refusal_response(&refusal)),
    };
    let key = &node.peer_key;
    let context = match peer_message::verify(key, &node.settings.node, &mut request) {
        Ok(context) => context,
        Err(refusal) => return plain_response(node, refusal_response(&refusal)),
    };
    let attempt = context.attempt;
    let reply = serve_any(node, context, request, client.as_ref()).await;
    plain_response(node, peer_response(attempt, reply))
}

/// Serves a request that is addressed to this node: a keyed one as the home node of its key, any
/// other on the local backend server while `client` waits for the response.
///
/// A keyed request goes on without its client, which can ask for the outcome later.
pub(super) async fn serve_any(
    node: &Arc<Node>,
    mut context: RequestContext,
    request: BufferedRequest,
    client: Option<&ClientPresence>,
) -> NodeReply {
    match context.keyed.take() {
        Some(keyed) => serve_keyed(node, context, keyed, request).await,
        None => serve(node, context, request, client).await,
    }
}

/// Runs a request on the local backend server, unless `client` has left before.
pub(super) async fn serve(
    node: &Arc<Node>,
    context: RequestContext,
    request: BufferedRequest,
    client: Option<&ClientPresence>,
) -> NodeReply {
    let arrived = arrived(node, context, &request);
    let outcome = admit_and_run(node, &arrived, request, client).await;
    let unspent_attempts = arrived.extra_attempts.lock().remaining();
    NodeReply {
        outcome,
        unspent_attempts,
        floor: floor(node, &arrived.route),
    }
}

fn arrived(node: &Node, context: RequestContext, request: &BufferedRequest) -> Arc<InFlight> {
    let configuration = node.configuration().ok();
    let route = configuration
        .as_ref()
        .and_then(|configuration| configuration.route_of(request.uri.path()));
    let budget = AttemptBudget::new(context.extra_attempts);
    Arc::new(InFlight {
        route: route.map(|route| route.path.clone()).unwrap_or_default(),
        deadline: Deadline::starting(node.clock.now(), context.remaining_us),
        extra_attempts: Mutex::new(budget),
        onward: Mutex::default(),
        onward_calls: Mutex::default(),
        context,
    })
}

/// Returns the highest of the floor of this node's gate and the downstream floors; none without a
/// backend server.
pub(super) fn floor(node: &Node, route: &str) -> Option<FloorNotice> {
    let server = node.server()?;
    let downstream = node.load.downstream_floors(route, node.clock.now());
    Some(server.gate.floor().merge(downstream))
}

async fn admit_and_run(
    node: &Arc<Node>,
    arrived: &Arc<InFlight>,
    request: BufferedRequest,
    client: Option<&ClientPresence>,
) -> Result<BufferedResponse, Refusal> {
    let Some(server) = node.server() else {
        suspects::reassign_trials(node).await;
        return Err(Refusal::not_run(RefusalReason::NoServer));
    };
    node.load.check_onward(arrived, node.clock.now())?;
    let permit = server
        .gate
        .acquire(admission_request(node, arrived))
        .await?;
    if let Err(refusal) = check_client(client) {
        permit.release_unused();
        return Err(refusal);
    }
    let organisation = arrived.context.organisation.as_ref();
    let run = suspects::admit(node, organisation, &request).await?;
    let guard = node.in_flight.add(Arc::clone(arrived));
    let handle = guard.handle();
    let remaining = arrived.deadline.remaining(node.clock.now());
    let request = with_handle(request, &handle);
    let result = server.pool.exchange(request, remaining).await;
    let onward = *arrived.onward.lock();
    permit.finish(gate_outcome(&result, &onward), onward.waited());
    match result {
        Ok(response) => {
            run.finish(response.status);
            checked_response(response, &handle)
        }
        Err(error) => {
            let verdict = error.verdict();
            if matches!(error, ExchangeError::Sent | ExchangeError::InvalidResponse) {
                run.fail(&server).await;
            } else if matches!(error, ExchangeError::NotConnected) {
                suspects::reassign_trials(node).await;
            }
            Err(Refusal {
                reason: RefusalReason::BadAnswer,
                verdict,
                retry_after_ms: None,
                only_on: None,
            })
        }
    }
}

fn admission_request(node: &Node, arrived: &InFlight) -> AdmissionRequest {
    let organisation = arrived.context.organisation.clone();
    let configuration = node.configuration().ok();
    let rate = match (&configuration, &organisation) {
        (Some(configuration), Some(id)) => configuration.organisations.get(id),
        _ => None,
    };
    AdmissionRequest {
        importance: arrived.context.importance,
        rate: rate.map(|known| known.rate_per_s).unwrap_or_default(),
        organisation,
        root: arrived.context.root,
        remaining: arrived.deadline.remaining(node.clock.now()),
    }
}

/// Returns the outcome of a run for the gate. A server that passes on the refusal of an onward call
/// did not refuse the request itself.
fn gate_outcome(
    result: &Result<BufferedResponse, ExchangeError>,
    onward: &OnwardTime,
) -> CompletionOutcome {
    match result.as_ref().map(|response| response.status) {
        Ok(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
            if !onward.has_failed() =>
        {
            CompletionOutcome::ServerRefused
        }
        Ok(status) if !status.is_server_error() => CompletionOutcome::Answered,
        Ok(_) | Err(_) => CompletionOutcome::Failed,
    }
}

fn with_handle(mut request: BufferedRequest, handle: &Handle) -> BufferedRequest {
    strip_system_headers(&mut request.headers);
    if let Ok(value) = HeaderValue::try_from(handle.to_string()) {
        request.headers.insert(HANDLE_HEADER, value);
    }
    request
}

/// Accepts a response only if it carries the handle of its own request.
fn checked_response(
    mut response: BufferedResponse,
    handle: &Handle,
) -> Result<BufferedResponse, Refusal> {
    let echoed = response
        .headers
        .get(HANDLE_HEADER)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|text| text == handle.to_string());
    if !echoed {
        return Err(Refusal::may_have_run(RefusalReason::BadAnswer));
    }
    strip_system_headers(&mut response.headers);
    let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
    response.headers.insert(VERDICT_HEADER, verdict);
    Ok(response)
}

fn peer_response(attempt: AttemptId, reply: NodeReply) -> BufferedResponse {
    let mut response = match reply.outcome {
        Ok(response) => response,
        Err(refusal) => refusal_response(&refusal),
    };
    let unspent = HeaderValue::from(reply.unspent_attempts.0);
    response.headers.insert(UNSPENT_HEADER, unspent);
    if let Some(floor) = reply.floor.filter(|floor| !floor.is_open())
        && let Ok(value) = HeaderValue::try_from(floor.to_string())
    {
        response.headers.insert(FLOOR_HEADER, value);
    }
    if let Ok(value) = HeaderValue::try_from(attempt.to_string()) {
        response.headers.insert(ATTEMPT_HEADER, value);
    }
    response
}
