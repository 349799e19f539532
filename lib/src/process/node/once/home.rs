//! The home node of a key: runs its request under a record, or responds from the record.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::state::OutcomeReceiver;
use super::state::OutcomeSender;
use super::stored::replay;
use super::stored::to_stored;
use super::transfer::send_settlement;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::process::gate::FloorNotice;
use crate::process::node::Node;
use crate::process::node::forward::Outbound;
use crate::process::node::forward::forward_unkeyed;
use crate::process::node::forward::may_succeed_elsewhere;
use crate::process::node::load_control::Origin;
use crate::process::node::response::NodeReply;
use crate::process::node::serve::floor;
use crate::process::node::serve::serve;
use crate::process::once::AttemptOutcome;
use crate::process::once::ContentDigest;
use crate::process::once::KeyedDecision;
use crate::process::once::KeyedRequest;
use crate::process::once::MintTime;
use crate::process::once::RecordHandover;
use crate::process::once::RecordId;
use crate::process::once::SlotId;
use crate::request::AttemptBudget;
use crate::request::AttemptCount;
use crate::request::AttemptId;
use crate::request::Deadline;
use crate::request::KeyedContext;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::RequestContext;
use crate::request::Verdict;
use crate::version::Route;

/// Retry delay in a refusal because no further record can be stored.
const FULL_RETRY_MS: u64 = 1_000;
/// Retry delay in a refusal because no node holds the term of the key.
pub(super) const HOME_RETRY_MS: u64 = 1_000;

/// Handles a request with an idempotency key as the home node of the key.
///
/// The future is boxed because the call is recursive: a run may forward its request, and this node
/// may serve a forwarded request again.
pub(in crate::process::node) fn serve_keyed(
    node: &Arc<Node>,
    context: RequestContext,
    keyed: KeyedContext,
    request: BufferedRequest,
) -> BoxFuture<'_, NodeReply> {
    Box::pin(handle_keyed(node, context, keyed, request))
}

async fn handle_keyed(
    node: &Arc<Node>,
    context: RequestContext,
    keyed: KeyedContext,
    request: BufferedRequest,
) -> NodeReply {
    let lent = context.extra_attempts;
    let floor = own_floor(node, request.uri.path());
    let deadline = Deadline::starting(node.clock.now(), context.remaining_us);
    let (outcome, unspent_attempts) = match begin(node, &context, &keyed, &request) {
        Ok(BeginOutcome::Start(started, receiver)) => {
            let run = Run {
                started,
                context,
                request,
                deadline,
            };
            tokio::spawn(run_to_completion(Arc::clone(node), run));
            // Attempts that the run leaves unspent stay in the record, for resends of the same key.
            (
                wait_for_outcome(node, receiver, deadline).await,
                AttemptCount(0),
            )
        }
        Ok(BeginOutcome::Join(receiver)) => {
            (wait_for_outcome(node, receiver, deadline).await, lent)
        }
        Ok(BeginOutcome::Resolved(outcome)) => (outcome, lent),
        Err(refusal) => (Err(refusal), lent),
    };
    NodeReply {
        outcome,
        unspent_attempts,
        floor,
    }
}

/// Returns the admission floor for requests on `path` if the local backend server serves them.
fn own_floor(node: &Node, path: &str) -> Option<FloorNotice> {
    let configuration = node.configuration().ok()?;
    let route = configuration.route_of(path)?;
    let is_own = route.service == node.settings.service;
    is_own.then(|| floor(node, &route.path)).flatten()
}

/// What to do with a request according to the records.
enum BeginOutcome {
    Start(StartedRun, OutcomeReceiver),
    Join(OutcomeReceiver),
    Resolved(Result<BufferedResponse, Refusal>),
}

/// A run that has a record and is still to be executed.
struct StartedRun {
    record: RecordId,
    attempts: AttemptCount,
    route: Route,
    sender: OutcomeSender,
}

fn begin(
    node: &Node,
    context: &RequestContext,
    keyed: &KeyedContext,
    request: &BufferedRequest,
) -> Result<BeginOutcome, Refusal> {
    let configuration = node.configuration()?;
    let route = configuration
        .route_of(request.uri.path())
        .ok_or_else(|| Refusal::not_run(RefusalReason::NoRoute))?;
    let uri = request.uri.to_string();
    let keyed_request = KeyedRequest {
        key: keyed.key,
        organisation: keyed.organisation.clone(),
        slot: SlotId::of(&route.service, keyed.key),
        mint: keyed.mint,
        content: ContentDigest::of(request.method.as_str(), &uri, &request.body),
        extra_attempts: context.extra_attempts,
    };
    let wall = MintTime::from(node.clock.wall());
    let mut home = node.once.home.lock();
    let window = home.terms.window(&keyed_request.slot);
    let decision = home
        .records
        .begin(&keyed_request, window, wall, node.clock.now());
    Ok(match decision {
        KeyedDecision::Run { record, attempts } => {
            let (sender, receiver) = watch::channel(None);
            home.running.insert(record, receiver.clone());
            let started = StartedRun {
                record,
                attempts,
                route: route.clone(),
                sender,
            };
            BeginOutcome::Start(started, receiver)
        }
        KeyedDecision::Join(record) => match home.running.get(&record) {
            Some(receiver) => BeginOutcome::Join(receiver.clone()),
            None => {
                BeginOutcome::Resolved(Err(Refusal::may_have_run(RefusalReason::OutcomeUnknown)))
            }
        },
        resolved => BeginOutcome::Resolved(response_of(resolved)),
    })
}

/// Returns the response or refusal of a decision that neither runs nor joins.
fn response_of(decision: KeyedDecision) -> Result<BufferedResponse, Refusal> {
    let not_run = |reason, retry_after_ms| {
        let refusal = Refusal::not_run(reason);
        Err(refusal.retry_after_ms(retry_after_ms))
    };
    match decision {
        KeyedDecision::Answered(response) => Ok(replay(response)),
        KeyedDecision::ResponseNotKept => Err(Refusal {
            reason: RefusalReason::OutcomeUnknown,
            verdict: Verdict::Ran,
            retry_after_ms: None,
            only_on: None,
        }),
        KeyedDecision::MayHaveRun | KeyedDecision::Run { .. } | KeyedDecision::Join(_) => {
            Err(Refusal::may_have_run(RefusalReason::OutcomeUnknown))
        }
        KeyedDecision::Conflict => Err(Refusal::not_run(RefusalReason::IdempotencyKeyReused)),
        KeyedDecision::NotHome => not_run(RefusalReason::HomeUnreachable, HOME_RETRY_MS),
        KeyedDecision::BeyondWindow { retry_after_ms } => {
            not_run(RefusalReason::HomeUnreachable, retry_after_ms)
        }
        KeyedDecision::Full => not_run(RefusalReason::Overloaded, FULL_RETRY_MS),
        KeyedDecision::AttemptsExhausted => Err(Refusal::not_run(RefusalReason::AttemptsExhausted)),
    }
}

/// A run under a record.
struct Run {
    started: StartedRun,
    context: RequestContext,
    request: BufferedRequest,
    deadline: Deadline,
}

/// The outcome of a run whose record was handed over while it ran.
struct Settlement {
    record: RecordHandover,
    next_home: SocketAddr,
}

/// Executes a run. It continues if the caller that started it disconnects.
async fn run_to_completion(node: Arc<Node>, run: Run) {
    let attempts = Mutex::new(AttemptBudget::new(run.started.attempts));
    let outcome = attempt_all(&node, &run, &attempts).await;
    let unspent = attempts.into_inner().remaining();
    let recorded = match &outcome {
        Ok(response) => AttemptOutcome::Answered(to_stored(response)),
        Err(refusal) if refusal.verdict == Verdict::NotRun => AttemptOutcome::NotRun { unspent },
        Err(_) => AttemptOutcome::MayHaveRun,
    };
    let settlement = finish(&node, run.started.record, recorded);
    run.started.sender.send_replace(Some(Arc::new(outcome)));
    if let Some(settlement) = settlement {
        send_settlement(&node, settlement.next_home, settlement.record).await;
    }
}

/// Finishes a record. Returns it with its next home node if it was handed over during the run.
fn finish(node: &Node, record: RecordId, outcome: AttemptOutcome) -> Option<Settlement> {
    let mut home = node.once.home.lock();
    home.running.remove(&record);
    let handover = home.records.finish(record, outcome, node.clock.now())?;
    let next_home = home.handover_addresses.remove(&handover.key)?;
    Some(Settlement {
        record: handover,
        next_home,
    })
}

/// Tries the local backend server first, then others as long as no attempt may have run.
async fn attempt_all(
    node: &Arc<Node>,
    run: &Run,
    attempts: &Mutex<AttemptBudget>,
) -> Result<BufferedResponse, Refusal> {
    let route = &run.started.route;
    let is_own = node.settings.service == route.service && node.server().is_some();
    if is_own {
        let refusal = match attempt_locally(node, run, attempts).await {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        let is_final = refusal.verdict != Verdict::NotRun;
        if is_final || !may_succeed_elsewhere(refusal.reason) || attempts.lock().spend().is_err() {
            return Err(refusal);
        }
    }
    let outbound = Outbound {
        route,
        request: run.request.clone(),
        root: run.context.root,
        organisation: run.context.organisation.clone(),
        importance: run.context.importance,
        deadline: run.deadline,
        depth: run.context.depth,
        extra_attempts: attempts,
        origin: Origin::Caller,
        client: None,
    };
    Box::pin(forward_unkeyed(node, outbound)).await
}

async fn attempt_locally(
    node: &Arc<Node>,
    run: &Run,
    attempts: &Mutex<AttemptBudget>,
) -> Result<BufferedResponse, Refusal> {
    let remaining_us = run
        .deadline
        .for_next_hop(node.clock.now())
        .map_err(Refusal::not_run)?;
    let loan = attempts.lock().lend();
    let context = RequestContext {
        attempt: AttemptId::random(),
        remaining_us,
        extra_attempts: loan.lent(),
        keyed: None,
        ..run.context.clone()
    };
    let reply = serve(node, context, run.request.clone(), None).await;
    attempts.lock().take_back(loan, reply.unspent_attempts);
    reply.outcome
}

async fn wait_for_outcome(
    node: &Node,
    mut receiver: OutcomeReceiver,
    deadline: Deadline,
) -> Result<BufferedResponse, Refusal> {
    let limit: Duration = deadline.remaining(node.clock.now());
    let ended = tokio::time::timeout(limit, receiver.wait_for(Option::is_some)).await;
    match ended {
        Ok(Ok(outcome)) => match outcome.as_deref() {
            Some(outcome) => outcome.clone(),
            None => Err(Refusal::may_have_run(RefusalReason::OutcomeUnknown)),
        },
        Ok(Err(_)) => Err(Refusal::may_have_run(RefusalReason::OutcomeUnknown)),
        Err(_) => Err(Refusal::may_have_run(RefusalReason::DeadlineExceeded)),
    }
}
