//! Requests from callers on the instance, including its backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::header;
use http::request::Parts;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::admission::Admitted;
use super::admission::admit;
use super::caller_responses::forwarded_response;
use super::caller_responses::refusal_response;
use super::caller_responses::with_connection_headers;
use super::forward::Outbound;
use super::forward::forward;
use super::frame::RequestMetadata;
use super::link::SENT_BODY_BYTES_MAX;
use super::node::RelayNode;
use super::returns::ReturningCaller;
use super::runs::Parent;
use super::runs::RunningRequest;
use super::runs::is_call;
use super::stop_limit::refusal_at_limit;
use super::tree_admission::hash_turn;
use super::unread_body::respond_before_body;
use super::waiter::Step;
use super::waiter::Waiter;
use crate::connection::BodyError;
use crate::connection::BodyKind;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::connection::ClientPresence;
use crate::connection::MemoryBudget;
use crate::connection::bytes_of;
use crate::connection::read_budgeted_body;
use crate::connection::strip_connection_headers;
use crate::process::events::relay as events;
use crate::process::gate::SpentTime;
use crate::process::rates::RateCaller;
use crate::process::rates::RateRefusal;
use crate::request::OnwardWait;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::Verdict;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::RequestId;
use crate::version::OrganisationLimits;
use crate::version::PlannedRoute;
use crate::version::TrafficPlan;
use crate::version::WeightedService;

/// Fraction of a request's time for which it may wait for a token. The rest is needed to run it, or to
/// try again after a refusal.
const TOKEN_WAIT_FRACTION: f64 = 0.25;

/// Handles a request of a caller. A refusal becomes a response with its code and status.
pub(super) async fn handle_caller(node: &Arc<RelayNode>, request: Request) -> Response {
    let arrived_at = node.clock.now();
    let (mut request, body) = request.into_parts();
    let mut unread_body = Some(body);
    let client = request.extensions.remove::<ClientPresence>();
    let request_id = request
        .headers
        .get(&node.protocol.headers.request_id)
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let guard = InFlightGuard::start(node, &request_id, arrived_at);
    let caller_remaining = remaining_from_headers(node, &request.headers);
    let expects_continue = request.headers.contains_key(header::EXPECT);
    let outcome = match node.stop_limit.is_reached() {
        true => Err(refusal_at_limit(false)),
        false => {
            let caller_request = CallerRequest {
                parts: request,
                body: &mut unread_body,
                id: &request_id,
                arrived_at,
                remaining: caller_remaining,
                waiter: Waiter {
                    client,
                    parent: parent_of(node, &request_id),
                },
            };
            admit_and_forward(node, caller_request).await
        }
    };
    guard.finish(&outcome);
    let response = match outcome {
        Ok(response) => forwarded_response(response),
        Err(refusal) => {
            let remaining = caller_remaining.saturating_sub(node.clock.now().since(arrived_at));
            refusal_response(node, &refusal, &request_id, remaining)
        }
    };
    let response = with_connection_headers(node, response);
    match unread_body {
        // The caller sends no body then.
        Some(body) if !expects_continue => respond_before_body(response, body),
        Some(_) | None => response,
    }
}

/// A request of a caller whose body has not been read.
struct CallerRequest<'a> {
    parts: Parts,
    /// `None` once the body was read completely.
    body: &'a mut Option<Body>,
    id: &'a str,
    arrived_at: MonotonicTime,
    /// How long the caller waits.
    remaining: Duration,
    waiter: Waiter,
}

/// Returns the request that made the call `request_id`.
fn parent_of(node: &RelayNode, request_id: &str) -> Parent {
    let parent = node.runs.parent_of(request_id);
    if matches!(parent, Parent::Unknown) && is_call(request_id) {
        events::NO_PARENT.log(format_args!("request={request_id}"));
    }
    parent
}

async fn admit_and_forward(
    node: &Arc<RelayNode>,
    request: CallerRequest<'_>,
) -> Result<BufferedResponse, Refusal> {
    // Boxed, so that a request in flight does not keep the memory of the preparation.
    let mut preparing = Box::pin(prepare(node, request));
    let prepared = node.stop_limit.bound(preparing.as_mut()).await;
    drop(preparing);
    let (outbound, taken) = prepared.unwrap_or_else(|| Err(refusal_at_limit(false)))?;
    let _waiting = outbound
        .waiter
        .parent()
        .map(|parent| OnwardWait::start(node.clock, &parent.onward));
    let result = forward(node, &outbound).await;
    let is_failure = match &result {
        Ok(response) => response.status.is_server_error(),
        Err(_) => true,
    };
    if let (true, Some(parent)) = (is_failure, outbound.waiter.parent()) {
        parent.record_call_failure();
    }
    if let (Err(refusal), Some(organisation)) = (&result, &taken.0)
        && refusal.verdict == Verdict::NotRun
    {
        node.rates.client.give_back(organisation);
    }
    result
}

/// Admits a request, reads its whole body, takes a token for it and chooses its service.
async fn prepare(
    node: &Arc<RelayNode>,
    request: CallerRequest<'_>,
) -> Result<(Outbound, TakenToken), Refusal> {
    request.waiter.check(request.id, Step::Admission)?;
    let Admitted {
        plan,
        route,
        organisation,
    } = admit(node, &request.parts).await?;
    let CallerRequest { id, arrived_at, .. } = request;
    let limit = Duration::from_millis(route.timeout_ms).min(request.remaining);
    let parent = request.waiter.parent().map(Arc::as_ref);
    let returning = match (&node.returns, &organisation) {
        (Some(returns), Some(limits)) if parent.is_none() => {
            let (parts, remaining) = (&request.parts, request.remaining);
            Some(returns.arrive(Some(&limits.id), parts, remaining, arrived_at))
        }
        _ => None,
    };
    let metadata = metadata_of(node, &route, organisation.as_deref(), parent, id);
    if parent.is_none() {
        node.check_ingress(&metadata)?;
    }
    let own_deadline = arrived_at.after(limit);
    let deadline = match parent {
        Some(parent) => own_deadline.min(parent.deadline),
        None => own_deadline,
    };
    if !node.stop_limit.permits(deadline, node.clock.now()) {
        return Err(refusal_at_limit(false));
    }
    let (request, waiter) = buffered_request(node, &plan, &route, request, limit).await?;
    if !request.body.is_empty() {
        waiter.check(id, Step::Token)?;
    }
    let taken = match &organisation {
        Some(limits) if limits.rate_per_s.is_some() => {
            let wait_max = limit.mul_f64(TOKEN_WAIT_FRACTION);
            take_token(node, &limits.id, id, wait_max, returning).await?
        }
        Some(_) | None => TakenToken(None),
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
        waiter,
    };
    Ok((outbound, taken))
}

/// Returns the metadata of a request. A call made by the local backend server takes the
/// organisation, the importance and the call tree of the request that made it.
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
        root: request_number(request_id, hash_turn(node)),
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
        spent: SpentTime::default(),
        may_turn_away: false,
    };
    match parent {
        Some(running) => RequestMetadata {
            root: running.metadata.root,
            is_repeat: running.metadata.is_repeat,
            organisation: running.metadata.organisation.clone(),
            names_organisation: false,
            rate: running.metadata.rate,
            importance: running.metadata.importance,
            spent: running.spent(node.clock.now()),
            ..own
        },
        None => own,
    }
}

/// Derives the id of a root request from the caller's request id and the turn of the hash. Admission
/// floors and retry delays depend on its hash.
fn request_number(request_id: &str, turn: u64) -> RequestId {
    let hash = blake3::hash(request_id.as_bytes());
    let mut first = [0; 16];
    first.copy_from_slice(&hash.as_bytes()[..16]);
    RequestId(u128::from_be_bytes(first).wrapping_add(turn.into()))
}

/// The organisation from whose allowance a token was taken, or none if no token was needed.
struct TakenToken(Option<OrganisationId>);

/// Returns how long the caller waits, or [`Duration::MAX`] without a valid deadline header. The
/// timeout of the route applies then.
fn remaining_from_headers(node: &RelayNode, headers: &HeaderMap) -> Duration {
    headers
        .get(&node.protocol.headers.deadline_ms)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().parse().ok())
        .map_or(Duration::MAX, Duration::from_millis)
}

/// Reads the whole body of a request, and removes the headers that are not forwarded.
///
/// A body for which there is no room, or which no server could get, is refused before it is read.
async fn buffered_request(
    node: &RelayNode,
    plan: &TrafficPlan,
    route: &PlannedRoute,
    request: CallerRequest<'_>,
    limit: Duration,
) -> Result<(BufferedRequest, Waiter), Refusal> {
    let mut parts = request.parts;
    let body = match request.body {
        Some(body) => {
            let limit_bytes = body_bytes_max(node, plan, route);
            let mut charge = node.memory.start(BodyKind::Request);
            let head_bytes = bytes_of(&parts.headers);
            if head_bytes > MemoryBudget::UNCOUNTED_BYTES && !charge.grow(head_bytes) {
                return Err(Refusal::not_run(RefusalReason::Overloaded));
            }
            read_budgeted_body(body, limit_bytes, limit, charge)
                .await
                .map_err(|error| match error {
                    BodyError::TooLarge { .. } => Refusal::not_run(RefusalReason::BodyTooLarge),
                    BodyError::TimedOut { .. } | BodyError::NoMemory => {
                        Refusal::not_run(RefusalReason::Overloaded)
                    }
                    BodyError::Malformed => Refusal::not_run(RefusalReason::BadRequest),
                })?
        }
        None => Bytes::new(),
    };
    *request.body = None;
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::AUTHORIZATION);
    for name in system_headers(node) {
        parts.headers.remove(name);
    }
    let uri = match parts.uri.path_and_query() {
        Some(path_and_query) => path_and_query.clone().into(),
        None => return Err(Refusal::not_run(RefusalReason::BadRequest)),
    };
    let buffered = BufferedRequest {
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
    };
    Ok((buffered.into_compact(), request.waiter))
}

/// Returns the size of the largest body that can reach a server of the route.
fn body_bytes_max(node: &RelayNode, plan: &TrafficPlan, route: &PlannedRoute) -> usize {
    let own_service = &node.settings.raw.service;
    let may_run_here = |target: &WeightedService| target.service == *own_service;
    let sent_bytes_max = match route.targets.iter().any(may_run_here) {
        true => node.memory.request_bytes_max(),
        false => SENT_BODY_BYTES_MAX.min(node.memory.request_bytes_max()),
    };
    plan.limits.body_bytes_max.min(sent_bytes_max)
}

/// Returns the headers that only the node of the backend server sets.
fn system_headers(node: &RelayNode) -> [&HeaderName; 4] {
    let names = &node.protocol.headers;
    [
        &names.organisation,
        &names.expected_server,
        &names.caller_service,
        &names.deadline_ms,
    ]
}

/// Spends a token of the organisation's rate. Waits at most `wait_max` for the holder's reply.
async fn take_token(
    node: &Arc<RelayNode>,
    organisation: &OrganisationId,
    request_id: &str,
    wait_max: Duration,
    returning: Option<ReturningCaller>,
) -> Result<TakenToken, Refusal> {
    let caller = returning.map(|caller| caller.rate_caller());
    let caller = caller.unwrap_or(RateCaller::WITHOUT_PLACE);
    let admitted = node.rates.client.admit_caller(organisation, caller);
    let result = match tokio::time::timeout(wait_max, admitted).await {
        Ok(result) => result,
        Err(_) => Err(RateRefusal {
            refusal: Refusal::not_run(RefusalReason::RateHolderUnreachable),
            has_place: false,
        }),
    };
    if let Some(caller) = returning {
        caller.log_outcome(request_id, organisation, result.is_ok());
    }
    match result {
        Ok(()) => Ok(TakenToken(Some(organisation.clone()))),
        Err(RateRefusal { refusal, has_place }) => {
            if let (Some(returns), Some(caller)) = (&node.returns, returning) {
                let after = Duration::from_millis(refusal.retry_after_ms.unwrap_or(0));
                returns.expect(&caller, node.clock.now().after(after), has_place);
            }
            log_rate_refusal(node, organisation, request_id, &refusal);
            Err(refusal)
        }
    }
}

fn log_rate_refusal(
    node: &RelayNode,
    organisation: &OrganisationId,
    request_id: &str,
    refusal: &Refusal,
) {
    let known = node.rates.client.dump(organisation);
    let millis = |time: Option<Duration>| time.map_or(-1, |time| time.as_millis() as i64);
    let holder = node.rates.known_holder();
    events::RATE_REFUSED.log(format_args!(
        "request={request_id} organisation={organisation} reason={} holder={} tokens={} \
         empty_reply_age_ms={} next_token_ms={}",
        refusal.reason,
        holder.as_ref().map_or("unknown", NodeId::as_str),
        known.map_or(0, |known| known.available_tokens.0),
        millis(known.and_then(|known| known.empty_reply_age)),
        millis(known.and_then(|known| known.next_token_in)),
    ));
}

/// Counts a request in flight, and records a caller that disconnects before its response.
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
        let elapsed = self.node.clock.now().since(self.arrived_at);
        match outcome {
            Ok(response) => {
                self.node.metrics.record_response(response.status, elapsed);
                events::REQUEST_ANSWERED.log(format_args!(
                    "request={} status={} held_ms={}",
                    self.request_id,
                    response.status.as_u16(),
                    elapsed.as_millis()
                ));
            }
            Err(refusal) if refusal.reason == RefusalReason::Abandoned => self.record_departure(),
            Err(refusal) => {
                self.node.metrics.record_refusal(refusal, elapsed);
                if self.node.stop_limit.is_reached() {
                    events::ENDED_BY_STOP.log(format_args!(
                        "request={} verdict={} held_ms={}",
                        self.request_id,
                        refusal.verdict,
                        elapsed.as_millis()
                    ));
                }
                let age = self.node.confirmation_age();
                events::REQUEST_REFUSED.log(format_args!(
                    "request={} reason={} verdict={} held_ms={} version={} confirmed_ms={}",
                    self.request_id,
                    refusal.reason,
                    refusal.verdict,
                    elapsed.as_millis(),
                    self.node.confirmation_report().version,
                    age.map_or(-1, |age| age.as_millis() as i64),
                ));
            }
        }
    }

    fn record_departure(&self) {
        let elapsed = self.node.clock.now().since(self.arrived_at);
        self.node.metrics.record_caller_disconnect();
        events::CALLER_LEFT.log(format_args!(
            "request={} held_ms={}",
            self.request_id,
            elapsed.as_millis()
        ));
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.is_finished {
            self.record_departure();
        }
    }
}
