//! Egress: announcements and onward calls of the local backend server.

use std::sync::Arc;

use http::HeaderMap;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Node;
use super::announcement;
use super::announcement::ANNOUNCE_PATH;
use super::announcement::LEAVE_PATH;
use super::forward::Outbound;
use super::forward::forward;
use super::ingress::buffered_request;
use super::ingress::check_client;
use super::ingress::find_route;
use super::load_control::Origin;
use super::response::response;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::connection::ClientPresence;
use crate::connection::HANDLE_HEADER;
use crate::connection::strip_system_headers;
use crate::request::CallEnd;
use crate::request::CallHash;
use crate::request::Handle;
use crate::request::InFlight;
use crate::request::OnwardWait;
use crate::request::Refusal;
use crate::request::RefusalReason;

/// Handles a request of the local backend server and returns the response.
pub(super) async fn handle_local(node: &Arc<Node>, request: Request) -> Response {
    let outcome = match request.uri().path() {
        ANNOUNCE_PATH => announce(node, request).await,
        LEAVE_PATH => Ok(announcement::leave(node)),
        _ => call_onward(node, request).await,
    };
    response(node, outcome)
}

async fn announce(node: &Node, request: Request) -> Result<BufferedResponse, Refusal> {
    let request = buffered_request(node, request).await?;
    announcement::announce(node, &request.body)
}

async fn call_onward(node: &Arc<Node>, mut request: Request) -> Result<BufferedResponse, Refusal> {
    let client = request.extensions_mut().remove::<ClientPresence>();
    check_client(client.as_ref())?;
    let parent = parent(node, request.headers())
        .ok_or_else(|| Refusal::not_run(RefusalReason::HandleUnknown))?;
    let configuration = node.configuration()?;
    let route = find_route(&configuration, request.uri().path())?;
    let mut request = buffered_request(node, request).await?;
    strip_system_headers(&mut request.headers);
    let depth = parent.context.depth.onward().map_err(Refusal::not_run)?;
    let call = begin_onward(&parent, &request)?;
    let outbound = Outbound {
        route,
        request,
        root: parent.context.root,
        organisation: parent.context.organisation.clone(),
        importance: parent.context.importance,
        deadline: parent.deadline,
        depth,
        extra_attempts: &parent.extra_attempts,
        origin: Origin::Parent(&parent),
        client,
    };
    let _waiting = OnwardWait::start(node.clock, &parent.onward);
    let outcome = forward(node, outbound).await;
    let end = match &outcome {
        Ok(_) => CallEnd::Answered,
        Err(_) => CallEnd::Failed,
    };
    if end == CallEnd::Failed {
        parent.onward.lock().record_failure();
    }
    parent.onward_calls.lock().end(call, end);
    outcome
}

/// Admits an onward call; a call that repeats a failed or running one costs an extra attempt.
fn begin_onward(parent: &InFlight, request: &BufferedRequest) -> Result<CallHash, Refusal> {
    let uri = request.uri.to_string();
    let call = CallHash::of(request.method.as_str(), &uri, &request.body);
    let mut onward_calls = parent.onward_calls.lock();
    let mut attempts = parent.extra_attempts.lock();
    onward_calls
        .begin(call, &mut attempts)
        .map_err(Refusal::not_run)?;
    Ok(call)
}

fn parent(node: &Node, headers: &HeaderMap) -> Option<Arc<InFlight>> {
    let handle: Handle = headers.get(HANDLE_HEADER)?.to_str().ok()?.parse().ok()?;
    node.in_flight.resolve(&handle)
}
