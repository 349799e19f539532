//! Ingress: requests of callers from outside the fleet.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header;
use parking_lot::Mutex;
use volo_http::request::Request;
use volo_http::response::Response;

use super::Node;
use super::forward::Outbound;
use super::forward::forward;
use super::load_control::Origin;
use super::response::response;
use crate::connection::BodyError;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::connection::ClientPresence;
use crate::connection::DEADLINE_HEADER;
use crate::connection::IDEMPOTENCY_KEY_HEADER;
use crate::connection::read_body;
use crate::connection::strip_connection_headers;
use crate::connection::strip_system_headers;
use crate::request::AttemptBudget;
use crate::request::AttemptCount;
use crate::request::ChainDepth;
use crate::request::Deadline;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::OrganisationId;
use crate::values::RequestId;
use crate::version::Access;
use crate::version::CallerKey;
use crate::version::Configuration;
use crate::version::IndexedConfiguration;
use crate::version::Repeatability;
use crate::version::Route;
use crate::version::has_dot_segment;

const BEARER_PREFIX: &str = "Bearer ";

/// Handles a request of a caller and returns the response.
pub(super) async fn handle_caller(node: &Arc<Node>, request: Request) -> Response {
    let started = node.clock.now();
    let outcome = admit_and_forward(node, request).await;
    match &outcome {
        Ok(_) => node
            .metrics
            .record_response(node.clock.now().since(started)),
        Err(refusal) => node.metrics.record_refusal(refusal),
    }
    response(node, outcome)
}

async fn admit_and_forward(
    node: &Arc<Node>,
    mut request: Request,
) -> Result<BufferedResponse, Refusal> {
    let client = request.extensions_mut().remove::<ClientPresence>();
    check_client(client.as_ref())?;
    let configuration = node.indexed_configuration()?;
    let route = find_route(configuration.configuration(), request.uri().path())?;
    let organisation = organisation(&configuration, route, request.headers())?;
    let deadline_ms = deadline_ms(route, request.headers())?;
    if node.is_draining() {
        return Err(Refusal::not_run(RefusalReason::Draining));
    }
    check_idempotency_key(route, request.headers())?;
    // Checked before the rate, so that a shed request consumes no token.
    let root = RequestId(rand::random());
    node.load
        .check_ingress(route, organisation.as_ref(), root, node.clock.now())?;
    if let Some(organisation) = &organisation {
        node.rates().client.admit(organisation).await?;
    }
    let limit = Duration::from_millis(deadline_ms);
    let deadline = Deadline::within(node.clock.now(), limit);
    let mut request = buffered_request(node, request).await?;
    request.headers.remove(header::AUTHORIZATION);
    strip_system_headers(&mut request.headers);
    let extra_attempts = Mutex::new(AttemptBudget::new(AttemptCount(route.extra_attempts)));
    let outbound = Outbound {
        route,
        request,
        root,
        organisation,
        importance: route.importance,
        deadline,
        depth: ChainDepth::default(),
        extra_attempts: &extra_attempts,
        origin: Origin::Caller,
        client,
    };
    forward(node, outbound).await
}

/// Refuses a request whose client has left.
pub(super) fn check_client(client: Option<&ClientPresence>) -> Result<(), Refusal> {
    match client.is_some_and(ClientPresence::has_left) {
        true => Err(Refusal::not_run(RefusalReason::Abandoned)),
        false => Ok(()),
    }
}

/// Returns the route of `path`; refuses a path without a route or with a dot segment.
pub(super) fn find_route<'a>(
    configuration: &'a Configuration,
    path: &str,
) -> Result<&'a Route, Refusal> {
    match configuration.route_of(path) {
        _ if has_dot_segment(path) => Err(Refusal::not_run(RefusalReason::BadRequest)),
        Some(route) => Ok(route),
        None => Err(Refusal::not_run(RefusalReason::NoRoute)),
    }
}

/// Reads a request with its whole body, and removes hop-by-hop headers.
pub(super) async fn buffered_request(
    node: &Node,
    request: Request,
) -> Result<BufferedRequest, Refusal> {
    let (mut parts, body) = request.into_parts();
    let limit = Duration::from_millis(node.settings.client_timeout_ms);
    let body = read_body(body, node.settings.body_bytes_max, limit)
        .await
        .map_err(|error| match error {
            BodyError::TooLarge { .. } => Refusal::not_run(RefusalReason::BodyTooLarge),
            BodyError::NoMemory => Refusal::not_run(RefusalReason::Overloaded),
            BodyError::TimedOut { .. } | BodyError::Malformed => {
                Refusal::not_run(RefusalReason::BadRequest)
            }
        })?;
    strip_connection_headers(&mut parts.headers);
    let uri = match parts.uri.path_and_query() {
        Some(path_and_query) => path_and_query.clone().into(),
        None => return Err(Refusal::not_run(RefusalReason::BadRequest)),
    };
    Ok(BufferedRequest {
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
    })
}

/// Returns the organisation of the request's key; none on an open route without a key.
fn organisation(
    configuration: &IndexedConfiguration,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<OrganisationId>, Refusal> {
    let key = match bearer_key(headers) {
        Some(key) => key,
        None if route.access == Access::Open => return Ok(None),
        None => return Err(Refusal::not_run(RefusalReason::KeyMissing)),
    };
    match configuration.organisation_of(&key) {
        Some(organisation) => Ok(Some(organisation.id.clone())),
        None => Err(Refusal::not_run(RefusalReason::KeyInvalid)),
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<CallerKey> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix(BEARER_PREFIX)?;
    Some(CallerKey::new(key.trim()))
}

/// Returns the caller's deadline in milliseconds, limited to the deadline of the route.
fn deadline_ms(route: &Route, headers: &HeaderMap) -> Result<u64, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(route.deadline_ms);
    };
    let requested_ms: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match requested_ms {
        Some(0) => Err(Refusal::not_run(RefusalReason::DeadlineExceeded)),
        Some(requested_ms) => Ok(requested_ms.min(route.deadline_ms)),
        None => Err(Refusal::not_run(RefusalReason::BadRequest)),
    }
}

fn check_idempotency_key(route: &Route, headers: &HeaderMap) -> Result<(), Refusal> {
    match route.repeatability {
        Repeatability::AtMostOnce if !headers.contains_key(IDEMPOTENCY_KEY_HEADER) => {
            Err(Refusal::not_run(RefusalReason::IdempotencyKeyMissing))
        }
        Repeatability::AtMostOnce | Repeatability::Idempotent => Ok(()),
    }
}
