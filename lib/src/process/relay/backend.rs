//! The backend server beside the node: its gate, its connections, and one run of a request.

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

use super::frame::LoadNotice;
use super::frame::RequestMetadata;
use super::node::RelayNode;
use super::protocol::ServerReport;
use super::runs::RunningRequest;
use super::server_health::ServerHealth;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::connection::ConnectionPool;
use crate::connection::ExchangeError;
use crate::connection::PoolLimits;
use crate::process::events::relay as events;
use crate::process::gate::AdaptiveLimit;
use crate::process::gate::AdmissionRequest;
use crate::process::gate::CompletionOutcome;
use crate::process::gate::Gate;
use crate::process::gate::GateState;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::Verdict;
use crate::values::Clock;
use crate::values::Incarnation;
use crate::values::SlotCount;

/// Longest time to open a connection to the server on the same instance.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which an idle connection is closed if the server names no shorter one: below the
/// ten seconds after which common servers close theirs.
const IDLE_TIMEOUT_MS: u64 = 4_000;
/// Connections beyond the slots, for those whose exchange was given up and that are closing.
const SPARE_CONNECTIONS: u32 = 32;
/// Most bytes in the body of an answer.
const RESPONSE_BYTES_MAX: usize = 64 * 1_024 * 1_024;
/// Failed connections in a row after which the server counts as lost until it reports again.
const FAILED_CONNECTIONS_MAX: u32 = 3;
/// Attempts to send a request of which no byte has left.
const SEND_ATTEMPTS: u32 = 3;
/// Part of the slots that is used: servers slow down when they are nearly full.
const USED_SLOTS: f64 = 0.95;

/// One life of the backend server beside the node.
#[derive(Debug)]
pub(super) struct Backend {
    /// Names this life of the server.
    pub(super) server_id: String,
    /// Tells the lives of the server apart in the node's entry.
    pub(super) incarnation: Incarnation,
    /// Requests that the server runs at the same time.
    pub(super) slots: SlotCount,
    /// Admits requests to the server.
    pub(super) gate: Gate,
    pool: ConnectionPool,
    is_draining: AtomicBool,
    failed_connections: AtomicU32,
    health: Mutex<ServerHealth>,
}

impl Backend {
    /// Makes the state of a server that has just reported.
    pub(super) fn new(report: &ServerReport, incarnation: Incarnation, clock: Clock) -> Self {
        let used = (f64::from(report.slots.0) * USED_SLOTS).floor().max(1.0) as u32;
        let limit = AdaptiveLimit::fixed(SlotCount(used), clock.now());
        let state = GateState::new(limit, clock.now());
        Self {
            server_id: report.server_id.clone(),
            incarnation,
            slots: report.slots,
            gate: Gate::with_state(state, clock),
            pool: ConnectionPool::new(
                report.address,
                PoolLimits {
                    connections_max: report.slots.0 + SPARE_CONNECTIONS,
                    connect_timeout_ms: CONNECT_TIMEOUT_MS,
                    idle_timeout_ms: IDLE_TIMEOUT_MS,
                    response_bytes_max: RESPONSE_BYTES_MAX,
                },
            ),
            is_draining: AtomicBool::new(report.is_draining),
            failed_connections: AtomicU32::new(0),
            health: Mutex::default(),
        }
    }

    /// Takes no new work any more, and refuses what waits.
    pub(super) fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.gate.drop_waiting(RefusalReason::Draining);
    }

    /// Takes new work again.
    pub(super) fn resume(&self) {
        self.is_draining.store(false, Ordering::Relaxed);
        self.failed_connections.store(0, Ordering::Relaxed);
    }

    /// Returns whether the server wants new work and takes connections, as far as is known.
    pub(super) fn takes_work(&self) -> bool {
        !self.is_draining.load(Ordering::Relaxed)
            && self.failed_connections.load(Ordering::Relaxed) < FAILED_CONNECTIONS_MAX
    }

    /// Takes that the server reported: it lives.
    pub(super) fn heard(&self) {
        self.failed_connections.store(0, Ordering::Relaxed);
    }

    fn connection_failed(&self) {
        let failed = self.failed_connections.fetch_add(1, Ordering::Relaxed) + 1;
        if failed == FAILED_CONNECTIONS_MAX {
            events::SERVER_LOST.log(format_args!("server={}", self.server_id));
        }
    }
}

/// How a request ended at the node beside its backend server.
#[derive(Debug)]
pub(super) struct RunOutcome {
    /// The answer of the backend server, or why there is none.
    pub(super) result: Result<BufferedResponse, Refusal>,
    /// The load of this node and those below it.
    pub(super) load: LoadNotice,
}

/// Runs a request on the backend server beside this node.
pub(super) async fn run(
    node: &Arc<RelayNode>,
    metadata: &RequestMetadata,
    request: BufferedRequest,
) -> RunOutcome {
    let deadline = node
        .clock
        .now()
        .after(Duration::from_micros(metadata.remaining_us));
    let running = RunningRequest::new(metadata.clone(), deadline);
    let result = admit_and_send(node, &running, request).await;
    RunOutcome {
        result,
        load: LoadNotice {
            floor: node.floor(&metadata.route).filter(|floor| !floor.is_open()),
            call_failed: running.has_failed_call(),
        },
    }
}

async fn admit_and_send(
    node: &Arc<RelayNode>,
    running: &Arc<RunningRequest>,
    mut request: BufferedRequest,
) -> Result<BufferedResponse, Refusal> {
    let metadata = &running.metadata;
    let deadline = running.deadline;
    let backend = match node.backend() {
        Some(backend) if backend.takes_work() => backend,
        Some(_) | None => return Err(Refusal::not_run(RefusalReason::NoServer)),
    };
    let enter = AdmissionRequest {
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
    node.check_onward(metadata)?;
    let permit = backend.gate.acquire(enter).await?;
    if !backend.takes_work() {
        return Err(Refusal::not_run(RefusalReason::Draining));
    }
    let remaining = deadline.since(node.clock.now());
    set_headers(node, &backend, metadata, &mut request, remaining);
    let _guard = node.runs.add(Arc::clone(running));
    let result = send(node, &backend, metadata, request, remaining).await;
    note_health(node, &backend, running, &result);
    let waited = running.onward.lock().waited();
    permit.finish(gate_outcome(&result), waited);
    result
}

/// Notes whether the server itself failed; a failure that follows from a failed call is not its own.
fn note_health(
    node: &RelayNode,
    backend: &Backend,
    running: &RunningRequest,
    result: &Result<BufferedResponse, Refusal>,
) {
    let succeeded = match result {
        Ok(answer) => answer.status != StatusCode::INTERNAL_SERVER_ERROR,
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

/// Sends a request; again, as long as no byte of it has left.
async fn send(
    node: &RelayNode,
    backend: &Backend,
    metadata: &RequestMetadata,
    request: BufferedRequest,
    remaining: Duration,
) -> Result<BufferedResponse, Refusal> {
    let names = &node.protocol.headers;
    let is_own_answer = |status: StatusCode, headers: &HeaderMap| {
        let echoed = headers.get(&names.request_id).map(HeaderValue::as_bytes);
        match echoed {
            Some(echoed) => echoed == metadata.request_id.as_bytes(),
            // Servers that reject a request unseen do not echo its id.
            None => {
                status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&names.not_run)
            }
        }
    };
    let mut failure = ExchangeError::NotSent;
    for _ in 0..SEND_ATTEMPTS {
        let sent = backend
            .pool
            .exchange_checked(request.clone(), remaining, is_own_answer)
            .await;
        match sent {
            Ok(answer) => {
                backend.heard();
                return checked_answer(node, backend, metadata, answer);
            }
            Err(ExchangeError::NotSent) => {}
            Err(error) => {
                failure = error;
                break;
            }
        }
    }
    if matches!(failure, ExchangeError::NotConnected) {
        backend.connection_failed();
    }
    let verdict = failure.verdict();
    events::RUN_FAILED.log(format_args!(
        "request={} server={} reason=\"{failure}\" verdict={verdict}",
        metadata.request_id, backend.server_id
    ));
    let reason = match (&failure, verdict) {
        (ExchangeError::TimedOut, _) => RefusalReason::DeadlineExceeded,
        (_, Verdict::NotRun) => RefusalReason::NoServer,
        _ => RefusalReason::BadAnswer,
    };
    Err(Refusal {
        reason,
        verdict,
        retry_after_ms: None,
        only_on: None,
    })
}

/// Turns an answer that says "not run" into a refusal.
fn checked_answer(
    node: &RelayNode,
    backend: &Backend,
    metadata: &RequestMetadata,
    answer: BufferedResponse,
) -> Result<BufferedResponse, Refusal> {
    let says_not_run = answer.headers.contains_key(&node.protocol.headers.not_run);
    match answer.status {
        StatusCode::MISDIRECTED_REQUEST => {
            backend.connection_failed();
            events::RUN_FAILED.log(format_args!(
                "request={} server={} reason=\"another server has the address\" verdict=not-run",
                metadata.request_id, backend.server_id
            ));
            Err(Refusal::not_run(RefusalReason::NoServer))
        }
        _ if says_not_run => Err(Refusal::not_run(RefusalReason::RefusedByServer)),
        _ => Ok(answer),
    }
}

fn gate_outcome(result: &Result<BufferedResponse, Refusal>) -> CompletionOutcome {
    match result {
        Ok(answer) if answer.status.is_server_error() => CompletionOutcome::Failed,
        Ok(_) => CompletionOutcome::Answered,
        Err(refusal) if refusal.reason == RefusalReason::RefusedByServer => {
            CompletionOutcome::ServerRefused
        }
        Err(_) => CompletionOutcome::Failed,
    }
}
