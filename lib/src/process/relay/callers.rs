//! Requests of callers on the instance and of its backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::header;
use volo_http::request::Request;
use volo_http::response::Response;

use super::admission::Admitted;
use super::admission::admit;
use super::allowance::AllowanceDecision;
use super::borrow::borrow_tokens;
use super::caller_answers::answer_response;
use super::caller_answers::refusal_response;
use super::caller_answers::with_connection_headers;
use super::forward::Outbound;
use super::forward::forward;
use super::frame::RequestMetadata;
use super::node::RelayNode;
use super::runs::RunningRequest;
use crate::connection::BodyError;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::connection::read_body;
use crate::connection::strip_connection_headers;
use crate::process::events::relay as events;
use crate::request::OnwardWait;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::Verdict;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::RequestId;
use crate::version::OrganisationLimits;
use crate::version::PlannedRoute;
use crate::version::TrafficPlan;

/// Answers a request of a caller.
pub(super) async fn handle_caller(node: &Arc<RelayNode>, request: Request) -> Response {
    let arrived_at = node.clock.now();
    let id_text = request
        .headers()
        .get(&node.protocol.headers.request_id)
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let guard = InFlightGuard::start(node, &id_text, arrived_at);
    let client_left = remaining_of(node, request.headers());
    let outcome = enter(node, request, &id_text, arrived_at, client_left).await;
    guard.finish(&outcome);
    let response = match outcome {
        Ok(answer) => answer_response(answer),
        Err(refusal) => {
            let left = client_left.saturating_sub(node.clock.now().since(arrived_at));
            refusal_response(node, &refusal, &id_text, left)
        }
    };
    with_connection_headers(node, response)
}

async fn enter(
    node: &Arc<RelayNode>,
    request: Request,
    request_id: &str,
    arrived_at: MonotonicTime,
    client_left: Duration,
) -> Result<BufferedResponse, Refusal> {
    // Boxed, so that a request in flight does not hold room for the steps before.
    let preparing = Box::pin(prepare(node, request, request_id, arrived_at, client_left));
    let (outbound, taken) = preparing.await?;
    let _waiting = outbound
        .parent
        .as_deref()
        .map(|parent| OnwardWait::start(node.clock, &parent.onward));
    let result = forward(node, &outbound).await;
    let is_failure = match &result {
        Ok(answer) => answer.status.is_server_error(),
        Err(_) => true,
    };
    if let (true, Some(parent)) = (is_failure, &outbound.parent) {
        parent.record_call_failure();
    }
    if let (Err(refusal), Some(organisation)) = (&result, &taken.0)
        && refusal.verdict == Verdict::NotRun
    {
        node.allowances.lock().give_back(organisation);
    }
    result
}

/// Decides whether and how a request is passed on, and reads it whole.
async fn prepare(
    node: &Arc<RelayNode>,
    request: Request,
    request_id: &str,
    arrived_at: MonotonicTime,
    client_left: Duration,
) -> Result<(Outbound, TakenToken), Refusal> {
    let Admitted {
        plan,
        route,
        organisation,
    } = admit(node, &request).await?;
    let limit = Duration::from_millis(route.timeout_ms).min(client_left);
    let parent = node.runs.parent_of(request_id);
    let metadata = metadata_of(
        node,
        &route,
        organisation.as_deref(),
        parent.as_deref(),
        request_id,
    );
    if parent.is_none() {
        node.check_ingress(&metadata)?;
    }
    let own_deadline = arrived_at.after(limit);
    let deadline = match &parent {
        Some(parent) => own_deadline.min(parent.deadline),
        None => own_deadline,
    };
    let request = buffered_request(node, &plan, request, limit).await?;
    let taken = match &organisation {
        Some(limits) => take_token(node, &limits.id).await?,
        None => TakenToken(None),
    };
    let service = node
        .splits
        .lock()
        .choose(&route)
        .ok_or_else(|| Refusal::not_run(RefusalReason::NoRoute))?;
    let outbound = Outbound {
        route,
        service,
        request,
        metadata,
        deadline,
        parent,
    };
    Ok((outbound, taken))
}

/// Decides how a request is treated. A call of the backend server counts as a part of the request
/// that it is made for.
fn metadata_of(
    node: &RelayNode,
    route: &PlannedRoute,
    organisation: Option<&OrganisationLimits>,
    parent: Option<&RunningRequest>,
    request_id: &str,
) -> RequestMetadata {
    let own = RequestMetadata {
        request_id: request_id.to_owned(),
        route: route.name.clone(),
        root: request_number(request_id),
        is_repeat: false,
        is_last_resort: false,
        caller_service: node.settings.raw.service.to_string(),
        organisation: organisation.map(|limits| limits.id.clone()),
        names_organisation: organisation.is_some(),
        rate: organisation
            .and_then(|limits| limits.rate_per_s)
            .unwrap_or_default(),
        importance: route.importance_for(organisation),
        remaining_us: 0,
    };
    match parent.map(|parent| &parent.metadata) {
        Some(parent) => RequestMetadata {
            root: parent.root,
            is_repeat: parent.is_repeat,
            organisation: parent.organisation.clone(),
            names_organisation: false,
            rate: parent.rate,
            importance: parent.importance,
            ..own
        },
        None => own,
    }
}

/// Derives a number from a caller's id, by which ties between requests are broken.
fn request_number(request_id: &str) -> RequestId {
    let hash = blake3::hash(request_id.as_bytes());
    let mut first = [0; 16];
    first.copy_from_slice(&hash.as_bytes()[..16]);
    RequestId(u128::from_be_bytes(first))
}

/// The organisation from whose allowance a token was taken.
struct TakenToken(Option<OrganisationId>);

/// Returns how long the caller waits; a caller that says nothing waits as long as its route allows.
fn remaining_of(node: &RelayNode, headers: &HeaderMap) -> Duration {
    headers
        .get(&node.protocol.headers.deadline_ms)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().parse().ok())
        .map_or(Duration::MAX, Duration::from_millis)
}

/// Reads a request whole, without the headers that end here.
async fn buffered_request(
    node: &RelayNode,
    plan: &TrafficPlan,
    request: Request,
    limit: Duration,
) -> Result<BufferedRequest, Refusal> {
    let (mut parts, body) = request.into_parts();
    let body = read_body(body, plan.limits.body_bytes_max, limit)
        .await
        .map_err(|error| match error {
            BodyError::TooLarge { .. } => Refusal::not_run(RefusalReason::BodyTooLarge),
            BodyError::TooSlow { .. } => Refusal::not_run(RefusalReason::Overloaded),
            BodyError::Broken => Refusal::not_run(RefusalReason::BadRequest),
        })?;
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::AUTHORIZATION);
    for name in system_headers(node) {
        parts.headers.remove(name);
    }
    let uri = match parts.uri.path_and_query() {
        Some(path_and_query) => path_and_query.clone().into(),
        None => return Err(Refusal::not_run(RefusalReason::BadRequest)),
    };
    let request = BufferedRequest {
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
    };
    Ok(request.into_compact())
}

/// Returns the headers that only the node beside the backend server sets.
fn system_headers(node: &RelayNode) -> [&HeaderName; 4] {
    let names = &node.protocol.headers;
    [
        &names.organisation,
        &names.expected_server,
        &names.caller_service,
        &names.deadline_ms,
    ]
}

/// Takes a token of the organisation's allowance, borrowed from another node if need be.
async fn take_token(
    node: &Arc<RelayNode>,
    organisation: &OrganisationId,
) -> Result<TakenToken, Refusal> {
    let now = node.clock.now();
    let first = node.allowances.lock().take(organisation, now);
    let borrows = node.allowances.lock().begin_borrowing(organisation, now);
    let next_token_in = match first {
        AllowanceDecision::Granted => {
            if borrows {
                let node = Arc::clone(node);
                let organisation = organisation.clone();
                tokio::spawn(async move { borrow_tokens(&node, &organisation).await });
            }
            return Ok(TakenToken(Some(organisation.clone())));
        }
        AllowanceDecision::Exhausted { next_token_in } => next_token_in,
    };
    if borrows {
        borrow_tokens(node, organisation).await;
        let now = node.clock.now();
        let second = node.allowances.lock().take(organisation, now);
        if second == AllowanceDecision::Granted {
            return Ok(TakenToken(Some(organisation.clone())));
        }
    }
    let retry_after_ms = next_token_in.as_millis() as u64 + 1;
    Err(Refusal::not_run(RefusalReason::RateExceeded).retry_after_ms(retry_after_ms))
}

/// Counts a request in flight, and notes a caller that leaves before its answer.
struct InFlightGuard<'a> {
    node: &'a RelayNode,
    request_id: &'a str,
    arrived_at: MonotonicTime,
    is_finished: bool,
}

impl<'a> InFlightGuard<'a> {
    fn start(node: &'a RelayNode, request_id: &'a str, arrived_at: MonotonicTime) -> Self {
        node.in_flight.fetch_add(1, Ordering::Relaxed);
        Self {
            node,
            request_id,
            arrived_at,
            is_finished: false,
        }
    }

    fn finish(mut self, outcome: &Result<BufferedResponse, Refusal>) {
        self.is_finished = true;
        let held = self.node.clock.now().since(self.arrived_at);
        match outcome {
            Ok(answer) => {
                self.node.metrics.record_response(answer.status, held);
                events::REQUEST_ANSWERED.log(format_args!(
                    "request={} status={} held_ms={}",
                    self.request_id,
                    answer.status.as_u16(),
                    held.as_millis()
                ));
            }
            Err(refusal) => {
                self.node.metrics.record_refusal(refusal, held);
                let age = self.node.confirmation_age();
                events::REQUEST_REFUSED.log(format_args!(
                    "request={} reason={} verdict={} held_ms={} version={} confirmed_ms={}",
                    self.request_id,
                    refusal.reason,
                    refusal.verdict,
                    held.as_millis(),
                    self.node.confirmation_report().version,
                    age.map_or(-1, |age| age.as_millis() as i64),
                ));
            }
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.is_finished {
            let held = self.node.clock.now().since(self.arrived_at);
            self.node.metrics.record_caller_disconnect();
            events::CALLER_LEFT.log(format_args!(
                "request={} held_ms={}",
                self.request_id,
                held.as_millis()
            ));
        }
    }
}
