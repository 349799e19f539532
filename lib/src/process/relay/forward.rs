//! Passes a request to a node of its service, and tries others where that is allowed.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

use super::backend::RunOutcome;
use super::backend::run;
use super::frame::ExchangeId;
use super::frame::Head;
use super::frame::LoadNotice;
use super::frame::RequestHead;
use super::frame::RequestMetadata;
use super::frame::encode_frame;
use super::frame::header_list;
use super::link::LinkFailure;
use super::link::PeerReply;
use super::node::RelayNode;
use super::runs::RunningRequest;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::process::events::relay as events;
use crate::process::membership::NodeRecord;
use crate::process::routing::CallOutcome;
use crate::process::routing::ChooseContext;
use crate::process::routing::Router;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::Verdict;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::ServiceId;
use crate::version::PlannedRoute;
use crate::version::Repeatability;

/// Nodes that refused a request before its server saw it, after which no other is asked: under
/// overload each question costs processor time that answers need.
const REFUSING_NODES_MAX: usize = 2;
/// Nodes that are tried in all.
const TRIED_NODES_MAX: usize = 6;
/// Part of the response-time objective that a node in another zone must save to be chosen.
const CROSS_ZONE_COST_PART: f64 = 0.05;
/// Shortest time left in which another attempt is worth its cost.
const ATTEMPT_USEFUL_MIN: Duration = Duration::from_millis(5);

/// A request on its way to a service.
pub(super) struct Outbound {
    /// The route that the request matched.
    pub(super) route: Arc<PlannedRoute>,
    /// The service that the split chose.
    pub(super) service: ServiceId,
    /// The request without the headers that the system sets.
    pub(super) request: BufferedRequest,
    /// What was decided about it; the time left is that of the first attempt.
    pub(super) metadata: RequestMetadata,
    /// When the caller stops to wait.
    pub(super) deadline: MonotonicTime,
    /// The request on this node's backend server that makes the call, if it is one.
    pub(super) parent: Option<Arc<RunningRequest>>,
}

/// What the attempts at a request have brought so far.
#[derive(Default)]
struct Progress {
    tried: Vec<NodeId>,
    /// Attempts that reached a backend server.
    arrivals: u32,
    refusing_nodes: usize,
    /// A node whose server was passed over, as it fails often.
    passed_over: Option<NodeRecord>,
    verdict: Option<Verdict>,
    /// A backend server's failure, to be passed on if nothing better comes.
    failed_answer: Option<BufferedResponse>,
    last_refusal: Option<Refusal>,
}

/// What to do after an attempt.
enum NextStep {
    Answer(BufferedResponse),
    TryAnother,
    GiveUp(GiveUpReason),
}

/// Why a request is not tried at another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GiveUpReason {
    /// It may have run, and may run once only.
    MayHaveRun,
    /// Too little time is left.
    Time,
    /// As many nodes were tried as may be.
    Nodes,
    /// As many nodes refused it as may be asked under overload.
    Overload,
    /// As many servers were tried as its route allows.
    Attempts,
    /// The retries that its service may get are used up.
    RetryBudget,
}

impl fmt::Display for GiveUpReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MayHaveRun => "none-may-have-run",
            Self::Time => "none-time",
            Self::Nodes => "none-nodes",
            Self::Overload => "none-overload",
            Self::Attempts => "none-attempts",
            Self::RetryBudget => "none-retry-budget",
        })
    }
}

/// Passes a request to nodes of its service until one gives a final answer.
pub(super) async fn forward(
    node: &Arc<RelayNode>,
    outbound: &Outbound,
) -> Result<BufferedResponse, Refusal> {
    match outbound.metadata.is_repeat {
        true => node.count_repeat(&outbound.service),
        false => node.count_first_attempt(&outbound.service),
    }
    let mut progress = Progress::default();
    while let Some(destination) = choose(node, outbound, &progress.tried) {
        progress.tried.push(destination.id.clone());
        let kind = AttemptKind {
            is_repeat: progress.arrivals > 0,
            is_last_resort: false,
        };
        let outcome = Box::pin(attempt(node, outbound, &destination, kind)).await;
        learn_floor(node, outbound, &destination, &outcome);
        match judge(node, outbound, &destination, &mut progress, outcome) {
            NextStep::Answer(answer) => return Ok(answer),
            NextStep::TryAnother => {}
            NextStep::GiveUp(_) => break,
        }
    }
    if progress.arrivals == 0
        && let Some(destination) = progress.passed_over.take()
    {
        let kind = AttemptKind {
            is_repeat: false,
            is_last_resort: true,
        };
        let outcome = Box::pin(attempt(node, outbound, &destination, kind)).await;
        if let NextStep::Answer(answer) =
            judge(node, outbound, &destination, &mut progress, outcome)
        {
            return Ok(answer);
        }
    }
    progress.finish()
}

/// What a node is told of an attempt.
#[derive(Clone, Copy)]
struct AttemptKind {
    /// An earlier attempt reached a server.
    is_repeat: bool,
    /// No other server took the request.
    is_last_resort: bool,
}

impl Progress {
    fn finish(self) -> Result<BufferedResponse, Refusal> {
        if let Some(answer) = self.failed_answer {
            return Ok(answer);
        }
        let refusal = self
            .last_refusal
            .unwrap_or_else(|| Refusal::not_run(RefusalReason::NoServer));
        let verdict = self.verdict.unwrap_or(Verdict::NotRun).max(refusal.verdict);
        let reason = match (refusal.reason, verdict) {
            (RefusalReason::DeadlineExceeded, Verdict::NotRun) => RefusalReason::Overloaded,
            (RefusalReason::DeadlineExceeded, _) => RefusalReason::DeadlineExceeded,
            (reason, Verdict::NotRun) => reason,
            _ => RefusalReason::BadAnswer,
        };
        Err(Refusal {
            reason,
            verdict,
            ..refusal
        })
    }
}

/// Decides what follows an attempt.
fn judge(
    node: &RelayNode,
    outbound: &Outbound,
    destination: &NodeRecord,
    progress: &mut Progress,
    outcome: RunOutcome,
) -> NextStep {
    let RunOutcome { result, load } = outcome;
    let refusal = match result {
        Ok(answer) if is_final(&outbound.route, &answer, &load) => {
            return NextStep::Answer(answer);
        }
        Ok(answer) => {
            progress.arrivals += 1;
            progress.failed_answer = Some(answer);
            Refusal {
                reason: RefusalReason::BadAnswer,
                verdict: Verdict::Ran,
                retry_after_ms: None,
                only_on: None,
            }
        }
        Err(refusal) => {
            let arrived = refusal.verdict != Verdict::NotRun
                || refusal.reason == RefusalReason::RefusedByServer;
            progress.arrivals += u32::from(arrived);
            refusal
        }
    };
    progress.verdict = progress.verdict.max(Some(refusal.verdict));
    if refusal.reason == RefusalReason::ServerFailing {
        progress.passed_over.get_or_insert(destination.clone());
    }
    progress.refusing_nodes += usize::from(refusal.reason == RefusalReason::Overloaded);
    let step = next_step(node, outbound, progress, &refusal);
    events::ATTEMPT_FAILED.log(format_args!(
        "request={} route={} peer={} reason={} verdict={} attempt={} next={}",
        outbound.metadata.request_id,
        outbound.route.name,
        destination.id,
        refusal.reason,
        refusal.verdict,
        progress.tried.len(),
        match &step {
            NextStep::GiveUp(reason) => reason.to_string(),
            NextStep::TryAnother | NextStep::Answer(_) => "another".to_owned(),
        }
    ));
    progress.last_refusal = Some(refusal);
    step
}

fn next_step(
    node: &RelayNode,
    outbound: &Outbound,
    progress: &Progress,
    refusal: &Refusal,
) -> NextStep {
    let remaining = outbound.deadline.since(node.clock.now());
    let may_repeat = outbound.route.repeatability == Repeatability::Idempotent
        || progress.verdict == Some(Verdict::NotRun);
    let reason = match refusal.reason {
        _ if !may_repeat => GiveUpReason::MayHaveRun,
        RefusalReason::DeadlineExceeded => GiveUpReason::Time,
        _ if remaining < ATTEMPT_USEFUL_MIN => GiveUpReason::Time,
        _ if progress.tried.len() >= TRIED_NODES_MAX => GiveUpReason::Nodes,
        RefusalReason::Overloaded if progress.refusing_nodes >= REFUSING_NODES_MAX => {
            GiveUpReason::Overload
        }
        _ if progress.arrivals == 0 => return NextStep::TryAnother,
        _ if progress.arrivals >= outbound.route.attempts_max => GiveUpReason::Attempts,
        _ if !node.try_retry(&outbound.service) => GiveUpReason::RetryBudget,
        _ => return NextStep::TryAnother,
    };
    NextStep::GiveUp(reason)
}

/// Returns whether an answer goes to the caller without another attempt.
///
/// A server that failed because a call of its own failed would fail again.
fn is_final(route: &PlannedRoute, answer: &BufferedResponse, load: &LoadNotice) -> bool {
    let failed = answer.status.is_server_error() && answer.status != StatusCode::GATEWAY_TIMEOUT;
    !failed || load.call_failed || route.repeatability == Repeatability::AtMostOnce
}

/// Learns the admission floor that came with an answer.
fn learn_floor(
    node: &RelayNode,
    outbound: &Outbound,
    destination: &NodeRecord,
    outcome: &RunOutcome,
) {
    let refused = outcome.result.as_ref().err().map(|refusal| refusal.reason);
    let Some(notice) = outcome.load.heard_floor(refused) else {
        return;
    };
    let (floors, route) = match &outbound.parent {
        Some(parent) => (&node.onward_floors, &parent.metadata.route),
        None => (&node.ingress_floors, &outbound.metadata.route),
    };
    let now = node.clock.now();
    floors
        .lock()
        .learn(route, &outbound.service, &destination.id, notice, now);
}

/// Chooses a node of the service that was not tried yet.
fn choose(node: &RelayNode, outbound: &Outbound, tried: &[NodeId]) -> Option<NodeRecord> {
    let members = node.members();
    let unreachable = members
        .serving(&outbound.service)
        .iter()
        .filter(|record| node.links.is_unresponsive(record.addresses.peer))
        .map(|record| record.id.clone());
    let excluded: Vec<NodeId> = tried.iter().cloned().chain(unreachable).collect();
    let context = ChooseContext {
        members: &members,
        zones: &node.zones,
        excluded: &excluded,
        cross_zone_cost: cross_zone_cost(&outbound.route),
        now: node.clock.now(),
    };
    node.router.lock().choose(&outbound.service, &context)
}

/// Returns what a node in another zone must save to be chosen: bytes between zones cost money, and
/// a caller hardly notices a small part of the time within which an answer has its full worth.
fn cross_zone_cost(route: &PlannedRoute) -> Duration {
    let objective = Duration::from_millis(route.latency_objective_ms);
    Router::CROSS_ZONE_COST.max(objective.mul_f64(CROSS_ZONE_COST_PART))
}

async fn attempt(
    node: &Arc<RelayNode>,
    outbound: &Outbound,
    destination: &NodeRecord,
    kind: AttemptKind,
) -> RunOutcome {
    let started_at = node.clock.now();
    let remaining = outbound.deadline.since(started_at);
    if remaining < ATTEMPT_USEFUL_MIN {
        return without_load(Err(Refusal::not_run(RefusalReason::DeadlineExceeded)));
    }
    let mut observed = ObservedCall::start(node, &destination.id, started_at);
    let metadata = RequestMetadata {
        remaining_us: remaining.as_micros() as u64,
        is_repeat: kind.is_repeat || outbound.metadata.is_repeat,
        is_last_resort: kind.is_last_resort,
        ..outbound.metadata.clone()
    };
    let exchange = async {
        match destination.id == node.settings.raw.node {
            // Boxed, so that a request at another node does not hold room for a run at this one.
            true => Box::pin(run(node, &metadata, outbound.request.clone())).await,
            false => match send(node, outbound, destination, &metadata).await {
                Ok(outcome) => outcome,
                Err(refusal) => without_load(Err(refusal)),
            },
        }
    };
    let outcome = match tokio::time::timeout(remaining, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => without_load(Err(Refusal::may_have_run(RefusalReason::DeadlineExceeded))),
    };
    observed.finish(call_outcome(&outcome));
    outcome
}

fn without_load(result: Result<BufferedResponse, Refusal>) -> RunOutcome {
    RunOutcome {
        result,
        load: LoadNotice::default(),
    }
}

async fn send(
    node: &Arc<RelayNode>,
    outbound: &Outbound,
    destination: &NodeRecord,
    metadata: &RequestMetadata,
) -> Result<RunOutcome, Refusal> {
    let address = destination.addresses.peer;
    let not_sent = || Refusal::not_run(RefusalReason::NoServer);
    let link = node
        .links
        .get(&destination.id, address)
        .await
        .map_err(|_| not_sent())?;
    let asked_at = node.clock.now();
    let reply = link
        .exchange(|exchange| request_frame(exchange, &outbound.request, metadata))
        .await;
    let link_reply = match reply {
        Ok(link_reply) => link_reply,
        Err(LinkFailure::NotSent) => return Err(not_sent()),
        Err(LinkFailure::Lost) => return Err(Refusal::may_have_run(RefusalReason::NoServer)),
    };
    if let Some(report) = link_reply.confirmation {
        node.apply_confirmation_report(report, asked_at);
    }
    let result = match link_reply.reply {
        PeerReply::Answer(answer) => Ok(answer),
        PeerReply::Refused(refusal) => Err(refusal),
        PeerReply::Pong | PeerReply::Lent(_) => {
            Err(Refusal::may_have_run(RefusalReason::BadAnswer))
        }
    };
    Ok(RunOutcome {
        result,
        load: link_reply.load,
    })
}

fn request_frame(
    exchange: ExchangeId,
    request: &BufferedRequest,
    metadata: &RequestMetadata,
) -> Result<Bytes, LinkFailure> {
    let uri = request.uri.to_string();
    let head = Head::Request(RequestHead {
        exchange,
        method: request.method.as_str(),
        uri: &uri,
        headers: header_list(&request.headers),
        metadata: metadata.clone(),
    });
    encode_frame(&head, &request.body).map_err(|_| LinkFailure::NotSent)
}

fn call_outcome(outcome: &RunOutcome) -> CallOutcome {
    let failed_itself = !outcome.load.call_failed;
    match &outcome.result {
        Ok(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR && failed_itself => {
            CallOutcome::Failed
        }
        Ok(_) => CallOutcome::Answered,
        Err(refusal) => match refusal.reason {
            RefusalReason::Overloaded | RefusalReason::Draining | RefusalReason::ServerFailing => {
                CallOutcome::Refused
            }
            RefusalReason::DeadlineExceeded => CallOutcome::Cancelled,
            _ => CallOutcome::Failed,
        },
    }
}

/// A call to another node; when it is dropped before its answer, the call counts as cancelled.
struct ObservedCall<'a> {
    node: &'a RelayNode,
    destination: NodeId,
    started_at: MonotonicTime,
    is_finished: bool,
}

impl<'a> ObservedCall<'a> {
    fn start(node: &'a RelayNode, destination: &NodeId, started_at: MonotonicTime) -> Self {
        node.router.lock().record_start(destination);
        Self {
            node,
            destination: destination.clone(),
            started_at,
            is_finished: false,
        }
    }

    fn finish(&mut self, outcome: CallOutcome) {
        self.is_finished = true;
        let now = self.node.clock.now();
        let latency = now.since(self.started_at);
        let mut router = self.node.router.lock();
        router.record_end(&self.destination, outcome, latency, now);
    }
}

impl Drop for ObservedCall<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(CallOutcome::Cancelled);
        }
    }
}
