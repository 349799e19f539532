//! The local backend server: its gate, its connections, and the run of a request.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use parking_lot::Mutex;

use super::evacuation;
use super::frame::LoadNotice;
use super::frame::RequestMetadata;
use super::node::RelayNode;
use super::protocol::ServerReport;
use super::rate_notice::RateChange;
use super::rate_notice::RateNotice;
use super::registration_store::store_registration_until_done;
use super::runs::RunningRequest;
use super::server_health::ServerHealth;
use super::stop_limit::refusal_at_limit;
use super::suspects;
use super::waiter::Step;
use super::waiter::Waiter;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::connection::ConnectionPool;
use crate::connection::ExchangeError;
use crate::connection::MemoryBudget;
use crate::connection::PoolLimits;
use crate::connection::ResponseMatch;
use crate::process::events::relay as events;
use crate::process::gate::AdaptiveLimit;
use crate::process::gate::AdmissionRequest;
use crate::process::gate::CallTree;
use crate::process::gate::ColdStart;
use crate::process::gate::CompletionOutcome;
use crate::process::gate::Gate;
use crate::process::gate::GateState;
use crate::process::gate::TreePart;
use crate::process::suspects::Fingerprint;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::Verdict;
use crate::values::Clock;
use crate::values::Incarnation;
use crate::values::MonotonicTime;
use crate::values::ServerRate;
use crate::values::SlotCount;

/// Timeout for opening a connection to the server on the same instance.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which an idle connection is closed unless the server states a shorter one. It is
/// below the ten seconds after which common servers close theirs.
const IDLE_TIMEOUT_MS: u64 = 4_000;
/// Connections beyond the number of slots, to replace those that close after a cancelled exchange.
const SPARE_CONNECTIONS: u32 = 32;
/// Maximum size of a response body.
const RESPONSE_BYTES_MAX: usize = 64 * 1_024 * 1_024;
/// Consecutive failed connections after which the server counts as lost until it reports again.
const FAILED_CONNECTIONS_MAX: u32 = 3;
/// Attempts to send a request while none of its bytes was written.
const SEND_ATTEMPTS: u32 = 3;
/// Value of the header with which a server says that it leaves.
const LEAVING_VALUE: &str = "1";
/// Fraction of the slots that is used, because servers slow down when nearly all slots are taken.
const USED_SLOTS_RATIO: f64 = 0.95;

/// One incarnation of the local backend server.
#[derive(Debug)]
pub(super) struct Backend {
    /// Id of this incarnation, as the server reports it.
    pub(super) server_id: String,
    /// Number that distinguishes incarnations of the server in the node's store entry.
    pub(super) incarnation: Incarnation,
    /// Maximum number of requests that the server runs concurrently.
    pub(super) slots: SlotCount,
    /// Admits requests to the server.
    pub(super) gate: Gate,
    pool: ConnectionPool,
    is_draining: AtomicBool,
    failed_connections: AtomicU32,
    health: Mutex<ServerHealth>,
    rate_notice: Mutex<RateNotice>,
}

impl Backend {
    /// Creates the state of a server from the first report of its incarnation.
    pub(super) fn new(
        report: &ServerReport,
        incarnation: Incarnation,
        clock: Clock,
        memory: &MemoryBudget,
        admits_whole_trees: bool,
    ) -> Self {
        let used_slots = (f64::from(report.slots.0) * USED_SLOTS_RATIO)
            .floor()
            .max(1.0) as u32;
        let limit = AdaptiveLimit::fixed(SlotCount(used_slots), clock.now());
        // An earlier process may have sent requests until this one started.
        let unknown_until = MonotonicTime::default().after(ColdStart::WINDOW);
        let state =
            GateState::unproven(limit, clock.now()).with_unknown_starts_until(unknown_until);
        let state = match admits_whole_trees {
            true => state.with_whole_trees(clock.now()),
            false => state,
        };
        Self {
            server_id: report.server_id.clone(),
            incarnation,
            slots: report.slots,
            gate: Gate::with_state(state, clock),
            pool: ConnectionPool::with_budget(
                report.address,
                PoolLimits {
                    connections_max: report.slots.0.saturating_add(SPARE_CONNECTIONS),
                    connect_timeout_ms: CONNECT_TIMEOUT_MS,
                    idle_timeout_ms: IDLE_TIMEOUT_MS,
                    response_bytes_max: RESPONSE_BYTES_MAX,
                },
                memory.clone(),
            ),
            is_draining: AtomicBool::new(report.is_draining),
            failed_connections: AtomicU32::new(0),
            health: Mutex::default(),
            rate_notice: Mutex::default(),
        }
    }

    /// Stops new requests to the server and refuses waiting ones.
    pub(super) fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.gate.drop_waiting(RefusalReason::Draining);
    }

    /// Allows new requests again, and resets the count of failed connections.
    pub(super) fn resume(&self) {
        self.is_draining.store(false, Ordering::Relaxed);
        self.failed_connections.store(0, Ordering::Relaxed);
    }

    /// Returns whether new requests may go to the server: it is neither draining nor lost.
    pub(super) fn accepts_work(&self) -> bool {
        !self.is_draining.load(Ordering::Relaxed)
            && self.failed_connections.load(Ordering::Relaxed) < FAILED_CONNECTIONS_MAX
    }

    /// Returns whether the server leaves as planned.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Resets the count of failed connections, after a report or a response of the server.
    pub(super) fn mark_reachable(&self) {
        self.failed_connections.store(0, Ordering::Relaxed);
    }

    /// Applies the limit that the server names in a response, if any.
    fn apply_rate_notice(&self, named: Option<ServerRate>, now: MonotonicTime) {
        let change = self.rate_notice.lock().observe(named, now);
        match change {
            Some(RateChange::Named(rate)) => {
                self.gate.set_rate(Some(rate));
                events::SERVER_THROTTLED
                    .log(format_args!("server={} per_s={rate}", self.server_id));
            }
            Some(RateChange::Ended) => {
                self.gate.set_rate(None);
                events::SERVER_THROTTLED
                    .log(format_args!("server={} per_s=unlimited", self.server_id));
            }
            None => {}
        }
    }

    /// Returns the part of the recent runs that failed, in percent.
    pub(super) fn failed_percent(&self, now: MonotonicTime) -> u32 {
        self.health.lock().failed_percent(now)
    }

    fn record_connection_failure(&self) {
        let failed = self.failed_connections.fetch_add(1, Ordering::Relaxed) + 1;
        if failed == FAILED_CONNECTIONS_MAX {
            events::SERVER_LOST.log(format_args!("server={}", self.server_id));
        }
    }
}

/// How a request ended at the node of its backend server.
#[derive(Debug)]
pub(super) struct RunOutcome {
    /// The response of the backend server, or a refusal.
    pub(super) result: Result<BufferedResponse, Refusal>,
    /// The load of this node and of the nodes downstream.
    pub(super) load: LoadNotice,
    /// The calls that the request needed.
    pub(super) calls: CallTree,
}

impl RunOutcome {
    /// Returns the outcome of a request whose run ended without one. It may have run.
    pub(super) fn unknown() -> Self {
        Self {
            result: Err(Refusal::may_have_run(RefusalReason::BadAnswer)),
            load: LoadNotice::default(),
            calls: CallTree::default(),
        }
    }
}

/// Runs a request on the local backend server, at the longest until the limit of a planned stop.
///
/// Those who wait for its response are unknown if it comes from another node, which cancels it.
pub(super) async fn run_request(
    node: &Arc<RelayNode>,
    metadata: &RequestMetadata,
    request: BufferedRequest,
    waiter: Option<&Waiter>,
) -> RunOutcome {
    let arrived_at = node.clock.now();
    let deadline = arrived_at.after(Duration::from_micros(metadata.remaining_us));
    let _count = node.stop_limit.count_run();
    let running = RunningRequest::new(metadata.clone(), arrived_at, deadline);
    let cancelled = CancelledRun(&running);
    let result = {
        let run = pin!(admit_and_send(node, &running, request, waiter));
        node.stop_limit.bound(run).await
    };
    std::mem::forget(cancelled);
    let result = result.unwrap_or_else(|| Err(refusal_at_limit(running.is_sent())));
    if let Err(refusal) = &result {
        node.metrics.record_run_refusal(refusal.reason);
    }
    RunOutcome {
        result,
        load: LoadNotice {
            floor: node.floor(&metadata.route).filter(|floor| !floor.is_open()),
            call_failed: running.has_failed_call(),
        },
        calls: running.calls(),
    }
}

/// Logs a request that is cancelled before it has ended.
struct CancelledRun<'a>(&'a RunningRequest);

impl Drop for CancelledRun<'_> {
    fn drop(&mut self) {
        events::RUN_CANCELLED.log(format_args!(
            "request={} is_sent={}",
            self.0.metadata.request_id,
            self.0.is_sent()
        ));
    }
}

async fn admit_and_send(
    node: &Arc<RelayNode>,
    running: &Arc<RunningRequest>,
    mut request: BufferedRequest,
    waiter: Option<&Waiter>,
) -> Result<BufferedResponse, Refusal> {
    let metadata = &running.metadata;
    let deadline = running.deadline;
    let backend = match node.backend() {
        Some(backend) if backend.accepts_work() => backend,
        Some(_) | None => {
            suspects::reassign_trials(node).await;
            return Err(Refusal::not_run(RefusalReason::NoServer));
        }
    };
    if let Err(refusal) = evacuation::check(node) {
        suspects::reassign_trials(node).await;
        return Err(refusal);
    }
    let may_begin = || node.offers_server() && node.stop_limit.permits(deadline, node.clock.now());
    if !may_begin() {
        return Err(Refusal::not_run(RefusalReason::Draining));
    }
    let admission_request = AdmissionRequest {
        importance: metadata.importance,
        organisation: metadata.organisation.clone(),
        rate: metadata.rate,
        root: metadata.root,
        remaining: Duration::from_micros(metadata.remaining_us),
    };
    let now = node.clock.now();
    if !metadata.is_last_resort && backend.health.lock().should_divert(now) {
        return Err(Refusal::not_run(RefusalReason::ServerFailing));
    }
    node.check_load(metadata)?;
    let suspect_permit = suspects::admit(
        node,
        metadata.organisation.as_ref(),
        &request,
        Duration::from_micros(metadata.remaining_us),
    )
    .await?;
    node.check_onward(metadata)?;
    let part = TreePart {
        route: &metadata.route,
        spent: metadata.spent,
    };
    let permit = match backend.gate.acquire_part(admission_request, part).await {
        Ok(permit) => permit,
        Err(refusal) => {
            suspect_permit.refuse(refusal.reason).await;
            return Err(refusal);
        }
    };
    if !backend.accepts_work() || !may_begin() {
        permit.release_unused();
        return Err(Refusal::not_run(RefusalReason::Draining));
    }
    if let Err(refusal) = evacuation::check(node) {
        permit.release_unused();
        suspect_permit.refuse(refusal.reason).await;
        return Err(refusal);
    }
    if let Some(Err(refusal)) =
        waiter.map(|waiter| waiter.check(&metadata.request_id, Step::Server))
    {
        permit.release_unused();
        return Err(refusal);
    }
    let suspect_run = match suspect_permit.start() {
        Ok(suspect_run) => suspect_run,
        Err(refusal) => {
            permit.release_unused();
            return Err(refusal);
        }
    };
    let remaining = deadline.since(node.clock.now());
    set_headers(node, &backend, metadata, &mut request, remaining);
    let _guard = node.runs.add(Arc::clone(running));
    running.record_sending();
    let result = send(node, &backend, metadata, request, remaining).await;
    if !matches!(&result, Err(refusal) if refusal.verdict == Verdict::MayHaveRun) {
        running.finish();
    }
    record_health(node, &backend, running, &result);
    let waited = running.onward.lock().waited();
    permit.finish(gate_outcome(&result), waited);
    match &result {
        Ok(response) => suspect_run.finish(response.status),
        Err(refusal) if refusal.reason == RefusalReason::BadAnswer => {
            suspect_run.fail(backend.pool.address()).await;
        }
        Err(refusal)
            if refusal.reason == RefusalReason::NoServer && refusal.verdict == Verdict::NotRun =>
        {
            suspect_run.end();
            suspects::report_crash_after_give_up(node).await;
            suspects::reassign_trials(node).await;
        }
        Err(refusal) if refusal.verdict == Verdict::NotRun => suspect_run.end(),
        Err(_) => {}
    }
    result
}

/// Records whether the server failed. A failure caused by a failed onward call does not count.
fn record_health(
    node: &RelayNode,
    backend: &Backend,
    running: &RunningRequest,
    result: &Result<BufferedResponse, Refusal>,
) {
    let succeeded = match result {
        Ok(response) => response.status != StatusCode::INTERNAL_SERVER_ERROR,
        Err(refusal) => !matches!(
            refusal.reason,
            RefusalReason::BadAnswer | RefusalReason::RefusedByServer
        ),
    };
    if succeeded || !running.has_failed_call() {
        let now = node.clock.now();
        backend.health.lock().record_end(succeeded, now);
    }
}

fn set_headers(
    node: &RelayNode,
    backend: &Backend,
    metadata: &RequestMetadata,
    request: &mut BufferedRequest,
    remaining: Duration,
) {
    let names = &node.protocol.headers;
    let headers = &mut request.headers;
    set_header(headers, &names.caller_service, &metadata.caller_service);
    set_header(headers, &names.expected_server, &backend.server_id);
    let remaining_ms = remaining.as_millis().max(1).to_string();
    set_header(headers, &names.deadline_ms, &remaining_ms);
    headers.remove(&names.organisation);
    if let (true, Some(organisation)) = (metadata.names_organisation, &metadata.organisation) {
        set_header(headers, &names.organisation, organisation.as_str());
    }
}

fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(_) => {
            headers.remove(name);
        }
    }
}

/// Sends a request, and retries while none of its bytes was written.
async fn send(
    node: &Arc<RelayNode>,
    backend: &Backend,
    metadata: &RequestMetadata,
    request: BufferedRequest,
    remaining: Duration,
) -> Result<BufferedResponse, Refusal> {
    let names = &node.protocol.headers;
    let match_response = |status: StatusCode, headers: &HeaderMap| {
        let echoed = headers.get(&names.request_id).map(HeaderValue::as_bytes);
        let is_rejection =
            status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&names.not_run);
        let matched = match echoed {
            Some(echoed) if echoed != metadata.request_id.as_bytes() => ResponseMatch::Foreign,
            Some(_) if is_rejection => ResponseMatch::OwnRejection,
            Some(_) => ResponseMatch::Own,
            // Servers that reject a request without reading it do not echo its id.
            None if is_rejection => ResponseMatch::Unidentified,
            None => ResponseMatch::Foreign,
        };
        // A misdirected request reached another server.
        if matched != ResponseMatch::Foreign && status != StatusCode::MISDIRECTED_REQUEST {
            apply_notices(node, backend, headers);
            backend.gate.record_response();
        }
        matched
    };
    let mut failure = ExchangeError::NotSent;
    for _ in 0..SEND_ATTEMPTS {
        let sent = backend
            .pool
            .exchange_checked(
                request.clone(),
                metadata.request_id.as_bytes(),
                remaining,
                match_response,
            )
            .await;
        match sent {
            Ok(response) => {
                backend.mark_reachable();
                return check_response(node, backend, metadata, response);
            }
            Err(ExchangeError::NotSent) => {}
            Err(error) => {
                failure = error;
                break;
            }
        }
    }
    if matches!(failure, ExchangeError::NotConnected) {
        backend.record_connection_failure();
    }
    let verdict = failure.verdict();
    let service = &node.settings.raw.service;
    let content = Fingerprint::of_request(service, metadata.organisation.as_ref(), &request);
    events::RUN_FAILED.log(format_args!(
        "request={} content={content} server={} reason=\"{failure}\" verdict={verdict}",
        metadata.request_id, backend.server_id
    ));
    let reason = match (&failure, verdict) {
        (ExchangeError::TimedOut, _) => RefusalReason::DeadlineExceeded,
        // The server lives, as its kernel closes the connections of one that crashed.
        (ExchangeError::Silent, _) | (_, Verdict::NotRun) => RefusalReason::NoServer,
        _ => RefusalReason::BadAnswer,
    };
    Err(Refusal {
        reason,
        verdict,
        retry_after_ms: None,
        only_on: None,
    })
}

/// Applies what the server says about itself in the head of a response.
fn apply_notices(node: &Arc<RelayNode>, backend: &Backend, headers: &HeaderMap) {
    let leaving = headers.get(&node.protocol.headers.leaving);
    if leaving.is_some_and(|value| value == LEAVING_VALUE) {
        apply_leaving(node, backend);
    }
    let named = match headers.get(&node.protocol.headers.rate_limit) {
        None => None,
        Some(value) => match value.to_str().unwrap_or_default().parse::<ServerRate>() {
            Ok(rate) => Some(rate),
            Err(error) => {
                events::SERVER_REPORT_REFUSED.log(format_args!(
                    "server={} reason=\"{error}\"",
                    backend.server_id
                ));
                return;
            }
        },
    };
    backend.apply_rate_notice(named, node.clock.now());
}

/// Stops new requests to a server that said that it leaves, also for later processes of this node.
fn apply_leaving(node: &Arc<RelayNode>, backend: &Backend) {
    let is_new = node
        .registration
        .lock()
        .announce_leaving(&backend.server_id);
    if is_new {
        backend.drain();
        events::SERVER_REPORTED.log(format_args!(
            "server={} effect=AnnouncedLeaving",
            backend.server_id
        ));
        node.store_entry_changed.notify_one();
        tokio::spawn(store_registration_until_done(Arc::clone(node)));
    }
}

/// Returns the response, or a refusal if the response shows that the request did not run.
fn check_response(
    node: &RelayNode,
    backend: &Backend,
    metadata: &RequestMetadata,
    response: BufferedResponse,
) -> Result<BufferedResponse, Refusal> {
    let is_not_run = response
        .headers
        .contains_key(&node.protocol.headers.not_run);
    match response.status {
        StatusCode::MISDIRECTED_REQUEST => {
            backend.record_connection_failure();
            events::RUN_FAILED.log(format_args!(
                "request={} server={} reason=\"another server uses the address\" verdict=not-run",
                metadata.request_id, backend.server_id
            ));
            Err(Refusal::not_run(RefusalReason::NoServer))
        }
        _ if is_not_run => Err(Refusal::not_run(RefusalReason::RefusedByServer)),
        // To callers these say that the request did not run, which the server did not say.
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => {
            events::RUN_FAILED.log(format_args!(
                "request={} server={} reason=\"status {} without the header of a rejection\" \
                 verdict=may-have-run",
                metadata.request_id, backend.server_id, response.status
            ));
            Err(Refusal::may_have_run(RefusalReason::BadAnswer))
        }
        _ => Ok(response),
    }
}

fn gate_outcome(result: &Result<BufferedResponse, Refusal>) -> CompletionOutcome {
    match result {
        Ok(response) if response.status.is_server_error() => CompletionOutcome::Failed,
        Ok(_) => CompletionOutcome::Answered,
        Err(refusal) if refusal.reason == RefusalReason::RefusedByServer => {
            CompletionOutcome::ServerRefused
        }
        Err(refusal) if refusal.verdict == Verdict::NotRun => CompletionOutcome::NotSent,
        Err(_) => CompletionOutcome::Failed,
    }
}
