//! Requests of callers on the instance and of its backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::allowance::AllowanceDecision;
use super::borrow::borrow_tokens;
use super::forward::Outbound;
use super::forward::forward;
use super::frame::RequestTerms;
use super::node::RelayNode;
use super::runs::RunningRequest;
use crate::connection::BodyError;
use crate::connection::WholeAnswer;
use crate::connection::WholeRequest;
use crate::connection::read_body;
use crate::connection::strip_connection_headers;
use crate::process::events::relay as events;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::Verdict;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::RequestId;
use crate::version::CallerKey;
use crate::version::OrganisationTerms;
use crate::version::PlannedRoute;
use crate::version::TrafficPlan;

/// Age of a confirmation beyond which a key or route is not called unknown before the store was
/// asked again, as a part of the time in which a configuration must be in force.
const DENIAL_AGE_PART: f64 = 0.5;
/// Longest wait for the store's answer to that question.
const DENIAL_WAIT: Duration = Duration::from_millis(600);
/// Part of the time that a caller has left which it may be told to wait, below the third up to
/// which callers follow.
const RETRY_AFTER_PART: f64 = 0.3;
/// Bounds between which the wait is drawn when a refusal names none.
const RETRY_AFTER_MS: std::ops::Range<f64> = 50.0..400.0;

/// Name of the header that tells how long an idle connection may be used.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time for which callers may use an idle connection, in seconds: idle connections of callers that
/// come back on new ones would fill the memory.
const KEEP_ALIVE_VALUE: &str = "timeout=3";
/// Time after which an idle connection is closed, long enough that no request crosses the close.
/// It also bounds the time for the headers of a request.
pub(super) const IDLE_TIMEOUT_MS: u64 = 5_000;

/// What is known of a caller's request before it is forwarded.
struct Admitted {
    plan: Arc<TrafficPlan>,
    route: Arc<PlannedRoute>,
    organisation: Option<Arc<OrganisationTerms>>,
}

/// Answers a request of a caller.
pub(super) async fn handle_caller(node: &Arc<RelayNode>, request: Request) -> Response {
    let arrived_at = node.clock.now();
    let request_id = request
        .headers()
        .get(&node.protocol.headers.request_id)
        .cloned();
    let id_text = request_id
        .as_ref()
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
            refusal_response(node, &refusal, request_id, left)
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
) -> Result<WholeAnswer, Refusal> {
    let Admitted {
        plan,
        route,
        organisation,
    } = admit(node, &request).await?;
    let limit = Duration::from_millis(route.timeout_ms).min(client_left);
    let parent = node.runs.parent_of(request_id);
    let terms = terms_of(
        node,
        &route,
        organisation.as_deref(),
        parent.as_deref(),
        request_id,
    );
    if parent.is_none() {
        node.check_entry(&terms)?;
    }
    let own_deadline = arrived_at.after(limit);
    let deadline = match &parent {
        Some(parent) => own_deadline.min(parent.deadline),
        None => own_deadline,
    };
    let request = whole_request(node, &plan, request, limit).await?;
    let taken = match &organisation {
        Some(terms) => take_token(node, &terms.id).await?,
        None => TakenToken(None),
    };
    let service = node
        .splits
        .lock()
        .choose(&route)
        .ok_or_else(|| Refusal::not_run(RefusalReason::NoRoute))?;
    let outbound = Outbound {
        route: &route,
        service,
        request,
        terms,
        deadline,
        parent,
    };
    let _waiting = outbound
        .parent
        .as_deref()
        .map(|parent| OnwardWait::start(node, parent));
    let result = forward(node, &outbound).await;
    let is_failure = match &result {
        Ok(answer) => answer.status.is_server_error(),
        Err(_) => true,
    };
    if let (true, Some(parent)) = (is_failure, &outbound.parent) {
        parent.call_failed();
    }
    if let (Err(refusal), Some(organisation)) = (&result, &taken.0)
        && refusal.verdict == Verdict::NotRun
    {
        node.allowances.lock().give_back(organisation);
    }
    result
}

/// Decides how a request is treated. A call of the backend server counts as a part of the request
/// that it is made for.
fn terms_of(
    node: &RelayNode,
    route: &PlannedRoute,
    organisation: Option<&OrganisationTerms>,
    parent: Option<&RunningRequest>,
    request_id: &str,
) -> RequestTerms {
    let own = RequestTerms {
        request_id: request_id.to_owned(),
        route: route.name.clone(),
        root: request_number(request_id),
        is_repeat: false,
        is_last_resort: false,
        caller_service: node.settings.raw.service.to_string(),
        organisation: organisation.map(|terms| terms.id.clone()),
        names_organisation: organisation.is_some(),
        rate: organisation
            .and_then(|terms| terms.rate_per_s)
            .unwrap_or_default(),
        importance: route.importance_for(organisation),
        remaining_us: 0,
    };
    match parent.map(|parent| &parent.terms) {
        Some(parent) => RequestTerms {
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

/// Measures the time in which a request waits for one of its calls, until it is dropped.
struct OnwardWait<'a> {
    node: &'a RelayNode,
    parent: &'a RunningRequest,
}

impl<'a> OnwardWait<'a> {
    fn start(node: &'a RelayNode, parent: &'a RunningRequest) -> Self {
        parent.onward.lock().started(node.clock.now());
        Self { node, parent }
    }
}

impl Drop for OnwardWait<'_> {
    fn drop(&mut self) {
        self.parent.onward.lock().ended(self.node.clock.now());
    }
}

/// The organisation from whose allowance a token was taken.
struct TakenToken(Option<OrganisationId>);

/// Finds the route and the organisation of a request.
async fn admit(node: &Arc<RelayNode>, request: &Request) -> Result<Admitted, Refusal> {
    match try_admit(node, request) {
        Err(refusal) if is_denial(refusal.reason) && !is_fresh(node) => {
            if !ask_store(node).await {
                return Err(Refusal::not_run(RefusalReason::Unconfirmed));
            }
            try_admit(node, request)
        }
        result => result,
    }
}

fn is_denial(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NoRoute | RefusalReason::KeyInvalid | RefusalReason::KeyMissing
    )
}

/// Returns whether the configuration is fresh enough to call a route or key unknown.
fn is_fresh(node: &RelayNode) -> bool {
    let apply = node.bounds().configuration_apply();
    node.confirmation_age()
        .is_some_and(|age| age < apply.mul_f64(DENIAL_AGE_PART))
}

/// Waits until the store was asked for the newest configuration. Returns whether it answered.
async fn ask_store(node: &Arc<RelayNode>) -> bool {
    let asked = super::tasks::read_configuration(node);
    matches!(tokio::time::timeout(DENIAL_WAIT, asked).await, Ok(true))
}

fn try_admit(node: &Arc<RelayNode>, request: &Request) -> Result<Admitted, Refusal> {
    let plan = node
        .plan()
        .ok_or_else(|| Refusal::not_run(RefusalReason::NotReady))?;
    let route = plan
        .route_of(host_of(request), request.uri().path())
        .ok_or_else(|| Refusal::not_run(RefusalReason::NoRoute))?;
    let organisation = match route.is_open || !plan.needs_keys() {
        true => None,
        false => Some(organisation_of(node, &plan, request.headers())?),
    };
    Ok(Admitted {
        route: Arc::clone(route),
        organisation,
        plan,
    })
}

fn organisation_of(
    node: &RelayNode,
    plan: &TrafficPlan,
    headers: &HeaderMap,
) -> Result<Arc<OrganisationTerms>, Refusal> {
    let key = key_of(node, headers).ok_or_else(|| Refusal::not_run(RefusalReason::KeyMissing))?;
    if !node.accepts_keys() {
        return Err(Refusal::not_run(RefusalReason::Unconfirmed));
    }
    plan.organisation_of(&key)
        .cloned()
        .ok_or_else(|| Refusal::not_run(RefusalReason::KeyInvalid))
}

fn key_of(node: &RelayNode, headers: &HeaderMap) -> Option<CallerKey> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let is_known = scheme.eq_ignore_ascii_case(node.protocol.key_scheme);
    is_known.then(|| CallerKey::new(key.trim()))
}

fn host_of(request: &Request) -> &str {
    let host = request.headers().get(header::HOST);
    host.and_then(|host| host.to_str().ok()).unwrap_or_default()
}

/// Returns how long the caller waits; a caller that says nothing waits as long as its route allows.
fn remaining_of(node: &RelayNode, headers: &HeaderMap) -> Duration {
    headers
        .get(&node.protocol.headers.deadline_ms)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().parse().ok())
        .map_or(Duration::MAX, Duration::from_millis)
}

/// Reads a request whole, without the headers that end here.
async fn whole_request(
    node: &RelayNode,
    plan: &TrafficPlan,
    request: Request,
    limit: Duration,
) -> Result<WholeRequest, Refusal> {
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
    Ok(WholeRequest {
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
    })
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
        AllowanceDecision::Short { next_token_in } => next_token_in,
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

fn answer_response(answer: WholeAnswer) -> Response {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// Makes the answer to a request that the system refuses.
fn refusal_response(
    node: &RelayNode,
    refusal: &Refusal,
    request_id: Option<HeaderValue>,
    left: Duration,
) -> Response {
    let mut response = Response::new(Body::from(refusal.reason.code()));
    *response.status_mut() = refusal.reason.status();
    let headers = response.headers_mut();
    if let Some(request_id) = request_id {
        headers.insert(node.protocol.headers.request_id.clone(), request_id);
    }
    let comes_back =
        refusal.verdict == Verdict::NotRun && matches!(response.status().as_u16(), 429 | 503);
    if comes_back {
        let retry_after_s = retry_after(refusal, left).as_secs_f64();
        if let Ok(value) = HeaderValue::try_from(format!("{retry_after_s:.3}")) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Returns when a caller shall come back: as the refusal says, within the time it has.
fn retry_after(refusal: &Refusal, left: Duration) -> Duration {
    let wanted_ms = match refusal.retry_after_ms {
        Some(wanted_ms) => wanted_ms as f64,
        None => rand::random_range(RETRY_AFTER_MS),
    };
    let limit = match left {
        Duration::MAX => Duration::from_secs(1),
        left => left.mul_f64(RETRY_AFTER_PART),
    };
    Duration::from_secs_f64(wanted_ms / 1e3).min(limit)
}

/// Tells the caller how long its connection may be used: no more if the node is stopping.
fn with_connection_headers(node: &RelayNode, mut response: Response) -> Response {
    let (name, value) = match node.is_stopping() {
        true => (header::CONNECTION, HeaderValue::from_static("close")),
        false => (KEEP_ALIVE, HeaderValue::from_static(KEEP_ALIVE_VALUE)),
    };
    response.headers_mut().insert(name, value);
    response
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

    fn finish(mut self, outcome: &Result<WholeAnswer, Refusal>) {
        self.is_finished = true;
        let held = self.node.clock.now().since(self.arrived_at);
        match outcome {
            Ok(answer) => {
                self.node.metrics.answered(answer.status, held);
                events::REQUEST_ANSWERED.log(format_args!(
                    "request={} status={} held_ms={}",
                    self.request_id,
                    answer.status.as_u16(),
                    held.as_millis()
                ));
            }
            Err(refusal) => {
                self.node.metrics.refused(refusal, held);
                let age = self.node.confirmation_age();
                events::REQUEST_REFUSED.log(format_args!(
                    "request={} reason={} verdict={} held_ms={} version={} confirmed_ms={}",
                    self.request_id,
                    refusal.reason,
                    refusal.verdict,
                    held.as_millis(),
                    self.node.voucher().version,
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
            self.node.metrics.caller_left();
            events::CALLER_LEFT.log(format_args!(
                "request={} held_ms={}",
                self.request_id,
                held.as_millis()
            ));
        }
    }
}
