//! Forwards a request to a node of its service, and retries at other nodes where permitted.

use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;

use super::attempt_limits::FAILING_NODES_MAX;
use super::attempt_limits::TRIED_NODES_MAX;
use super::attempt_limits::TURNED_AWAY_MAX;
use super::attempt_limits::refusing_nodes_max;
use super::backend::RunOutcome;
use super::backend::run_request;
use super::evacuation;
use super::frame::EncodedFrame;
use super::frame::ExchangeId;
use super::frame::Head;
use super::frame::LoadNotice;
use super::frame::RequestHead;
use super::frame::RequestMetadata;
use super::frame::encode_shared;
use super::frame::header_list;
use super::link::LinkFailure;
use super::link::Patience;
use super::link_reply::PeerReply;
use super::node::RelayNode;
use super::observed_call::ObservedCall;
use super::observed_call::call_outcome;
use super::stop_limit::refusal_at_limit;
use super::suspects::learn_of_failure;
use super::suspects::trial_node_of;
use super::tree_admission::learn_tree;
use super::waiter::Step;
use super::waiter::Waiter;
use crate::connection::BufferedRequest;
use crate::connection::BufferedResponse;
use crate::process::events::relay as events;
use crate::process::gate::CallTree;
use crate::process::load::LoadReport;
use crate::process::load::NodeKey;
use crate::process::membership::NodeRecord;
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

/// Fraction of the latency objective by which a node in another zone must be faster to be chosen.
const CROSS_ZONE_COST_RATIO: f64 = 0.05;
/// Minimum remaining time for an attempt. An attempt with less time is not worth its cost.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(5);

/// A request on its way to a service.
pub(super) struct Outbound {
    /// The route that the request matched.
    pub(super) route: Arc<PlannedRoute>,
    /// The service chosen by the traffic split.
    pub(super) service: ServiceId,
    /// The request without the headers that the system sets.
    pub(super) request: BufferedRequest,
    /// What the ingress node decided about the request. Its remaining time is set at each attempt.
    pub(super) metadata: RequestMetadata,
    /// When the caller stops waiting.
    pub(super) deadline: MonotonicTime,
    /// Those who wait for the response.
    pub(super) waiter: Waiter,
}

/// The results of the attempts at a request so far.
#[derive(Default)]
struct Progress {
    tried: Vec<NodeId>,
    /// Whether the present attempt may have reached a backend server.
    is_sent: bool,
    /// Attempts that reached a backend server.
    server_attempts: u32,
    refusing_nodes: usize,
    /// Nodes that refused the request because their servers fail often.
    failing_nodes: usize,
    /// The only node that may run the request, named by the latest refusal.
    only_on: Option<NodeId>,
    /// Nodes that turned the request away because their servers are busier than others.
    turned_away: usize,
    /// The node that did so last, which must take the request if there is no other.
    busy_node: Option<NodeRecord>,
    /// The first node that refused the request because its server fails often.
    skipped_node: Option<NodeRecord>,
    verdict: Option<Verdict>,
    /// The latest error response of a backend server, returned if no attempt succeeds.
    failed_response: Option<BufferedResponse>,
    last_refusal: Option<Refusal>,
}

/// What to do after an attempt.
enum NextStep {
    Respond(BufferedResponse),
    TryAnother,
    GiveUp(GiveUpReason),
}

/// Why a request is not tried at another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GiveUpReason {
    /// It may have run, and its route is at-most-once.
    MayHaveRun,
    /// Too little time remains.
    Time,
    /// The maximum number of nodes was tried.
    Nodes,
    /// The maximum number of nodes refused it as overloaded.
    Overload,
    /// The maximum number of attempts for its route reached a server.
    Attempts,
    /// The retry budget of its service is exhausted.
    RetryBudget,
    /// It crashed several backend servers.
    Quarantined,
    /// Another attempt might outlast a planned stop.
    StopLimit,
    /// Nobody waits for the response any more.
    Abandoned,
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
            Self::Quarantined => "none-quarantined",
            Self::StopLimit => "none-stop-limit",
            Self::Abandoned => "none-abandoned",
        })
    }
}

/// Forwards a request to nodes of its service until one returns a final response, or until the limit of
/// a planned stop is reached.
pub(super) async fn forward(
    node: &Arc<RelayNode>,
    outbound: &Outbound,
) -> Result<BufferedResponse, Refusal> {
    match outbound.metadata.is_repeat {
        true => node.count_repeat(&outbound.service),
        false => node.count_first_attempt(&outbound.service),
    }
    let mut progress = Progress::default();
    let ended = {
        let trying = pin!(try_nodes(node, outbound, &mut progress));
        let trying = node.stop_limit.bound(trying);
        tokio::select! {
            // A response that is there goes before the end of the request that made this one.
            biased;
            ended = trying => ended.ok_or(RefusalReason::Draining),
            () = outbound.waiter.until_parent_abandoned() => Err(RefusalReason::Abandoned),
        }
    };
    match ended {
        Ok(Some(response)) => Ok(response),
        Ok(None) => progress.finish(),
        Err(reason) => progress.end(reason),
    }
}

/// Tries nodes until one returns a final response.
///
/// If no server received the request, and a node refused it because its server fails often, that
/// node is tried again as a last resort.
async fn try_nodes(
    node: &Arc<RelayNode>,
    outbound: &Outbound,
    progress: &mut Progress,
) -> Option<BufferedResponse> {
    while let Some(destination) = next_destination(node, outbound, progress).await {
        progress.tried.push(destination.id.clone());
        let kind = AttemptKind {
            is_repeat: progress.server_attempts > 0,
            is_last_resort: progress.failing_nodes >= FAILING_NODES_MAX
                || servers_fail_alike(node, outbound),
            may_turn_away: may_turn_away(node, outbound, progress),
        };
        let sent = &mut progress.is_sent;
        let outcome = Box::pin(attempt(node, outbound, &destination, kind, sent)).await;
        observe_failing_server(node, &destination, &outcome);
        learn_floor(node, outbound, &destination, &outcome);
        learn_tree(node, outbound, &outcome);
        match evaluate_outcome(node, outbound, &destination, progress, outcome) {
            NextStep::Respond(response) => return Some(response),
            NextStep::TryAnother => learn_of_crash(node, outbound, &destination, progress).await,
            NextStep::GiveUp(_) => break,
        }
    }
    if progress.server_attempts == 0
        && is_permitted(node, outbound)
        && let Some(destination) = progress.skipped_node.take()
    {
        let kind = AttemptKind {
            is_repeat: false,
            is_last_resort: true,
            may_turn_away: false,
        };
        let sent = &mut progress.is_sent;
        let outcome = Box::pin(attempt(node, outbound, &destination, kind, sent)).await;
        if let NextStep::Respond(response) =
            evaluate_outcome(node, outbound, &destination, progress, outcome)
        {
            return Some(response);
        }
    }
    None
}

/// Returns whether an attempt may begin, as far as a planned stop is concerned.
fn is_permitted(node: &RelayNode, outbound: &Outbound) -> bool {
    node.stop_limit.permits(outbound.deadline, node.clock.now())
}

/// Finds out before the next attempt whether the last one crashed a backend server.
async fn learn_of_crash(
    node: &RelayNode,
    outbound: &Outbound,
    destination: &NodeRecord,
    progress: &Progress,
) {
    let refusal = progress.last_refusal.as_ref();
    let may_be_crash = refusal.is_some_and(|refusal| {
        refusal.reason == RefusalReason::BadAnswer && refusal.verdict == Verdict::MayHaveRun
    });
    if may_be_crash {
        let organisation = outbound.metadata.organisation.as_ref();
        let (service, request) = (&outbound.service, &outbound.request);
        learn_of_failure(node, service, organisation, request, destination).await;
    }
}

/// Properties of an attempt that its node receives.
#[derive(Clone, Copy)]
struct AttemptKind {
    /// An earlier attempt reached a backend server.
    is_repeat: bool,
    /// No other server accepted the request.
    is_last_resort: bool,
    /// The node may turn the request away because its server is busier than others.
    may_turn_away: bool,
}

impl Progress {
    /// Ends the present attempt, whose outcome is unknown.
    fn end(mut self, reason: RefusalReason) -> Result<BufferedResponse, Refusal> {
        let refusal = Refusal::unanswered(reason, self.is_sent);
        self.verdict = self.verdict.max(Some(refusal.verdict));
        self.last_refusal = Some(refusal);
        self.finish()
    }

    fn finish(self) -> Result<BufferedResponse, Refusal> {
        if let Some(response) = self.failed_response {
            return Ok(response);
        }
        let refusal = self
            .last_refusal
            .unwrap_or_else(|| Refusal::not_run(RefusalReason::NoServer));
        let verdict = self.verdict.unwrap_or(Verdict::NotRun).max(refusal.verdict);
        let reason = match (refusal.reason, verdict) {
            (RefusalReason::DeadlineExceeded, Verdict::NotRun) => RefusalReason::Overloaded,
            (RefusalReason::DeadlineExceeded, _) => RefusalReason::DeadlineExceeded,
            (RefusalReason::BusierThanOthers, Verdict::NotRun) => RefusalReason::Overloaded,
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

/// Records the outcome of an attempt and decides what follows.
fn evaluate_outcome(
    node: &RelayNode,
    outbound: &Outbound,
    destination: &NodeRecord,
    progress: &mut Progress,
    outcome: RunOutcome,
) -> NextStep {
    let RunOutcome { result, load, .. } = outcome;
    let refusal = match result {
        Ok(response) if is_final(&outbound.route, &response, &load) => {
            return NextStep::Respond(response);
        }
        Ok(response) => {
            progress.server_attempts += 1;
            progress.failed_response = Some(response);
            Refusal {
                reason: RefusalReason::BadAnswer,
                verdict: Verdict::Ran,
                retry_after_ms: None,
                only_on: None,
            }
        }
        Err(refusal) => {
            let reached_server = refusal.verdict != Verdict::NotRun
                || refusal.reason == RefusalReason::RefusedByServer;
            progress.server_attempts += u32::from(reached_server);
            refusal
        }
    };
    progress.verdict = progress.verdict.max(Some(refusal.verdict));
    progress.is_sent = false;
    if refusal.reason == RefusalReason::ServerFailing {
        progress.failing_nodes += 1;
        progress.skipped_node.get_or_insert(destination.clone());
    }
    if refusal.reason == RefusalReason::BusierThanOthers {
        progress.turned_away += 1;
        progress.busy_node = Some(destination.clone());
    }
    progress.only_on.clone_from(&refusal.only_on);
    let is_overloaded = refusal.reason == RefusalReason::Overloaded && refusal.only_on.is_none();
    progress.refusing_nodes += usize::from(is_overloaded);
    let step = next_step(node, outbound, progress, &refusal);
    if refusal.reason == RefusalReason::BusierThanOthers {
        progress.last_refusal = Some(refusal);
        return step;
    }
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
            NextStep::TryAnother | NextStep::Respond(_) => "another".to_owned(),
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
    let refusing_nodes_max = refusing_nodes_max(outbound.waiter.parent().is_some());
    let reason = match refusal.reason {
        _ if !may_repeat => GiveUpReason::MayHaveRun,
        _ if !is_permitted(node, outbound) => GiveUpReason::StopLimit,
        RefusalReason::Abandoned => GiveUpReason::Abandoned,
        RefusalReason::DeadlineExceeded => GiveUpReason::Time,
        RefusalReason::Quarantined => GiveUpReason::Quarantined,
        _ if remaining < ATTEMPT_TIME_MIN => GiveUpReason::Time,
        _ if progress.tried.len() >= TRIED_NODES_MAX => GiveUpReason::Nodes,
        RefusalReason::Overloaded if progress.refusing_nodes >= refusing_nodes_max => {
            GiveUpReason::Overload
        }
        // The request did not reach a server this time, so the redirect is no retry.
        _ if refusal.only_on.is_some() => return NextStep::TryAnother,
        RefusalReason::BusierThanOthers => return NextStep::TryAnother,
        _ if progress.server_attempts == 0 => return NextStep::TryAnother,
        _ if progress.server_attempts >= outbound.route.attempts_max => GiveUpReason::Attempts,
        _ if !node.try_retry(&outbound.service) => GiveUpReason::RetryBudget,
        _ => return NextStep::TryAnother,
    };
    NextStep::GiveUp(reason)
}

/// Returns whether a response goes to the caller without another attempt.
///
/// An error response caused by a failed onward call is final, because a retry would fail again.
fn is_final(route: &PlannedRoute, response: &BufferedResponse, load: &LoadNotice) -> bool {
    let failed =
        response.status.is_server_error() && response.status != StatusCode::GATEWAY_TIMEOUT;
    !failed || load.call_failed || route.repeatability == Repeatability::AtMostOnce
}

/// Records the admission floor that came with a response or a refusal.
fn learn_floor(
    node: &RelayNode,
    outbound: &Outbound,
    destination: &NodeRecord,
    outcome: &RunOutcome,
) {
    let refused = outcome.result.as_ref().err().map(|refusal| refusal.reason);
    let Some(notice) = outcome.load.observed_floor(refused) else {
        return;
    };
    let (floors, route) = match outbound.waiter.parent() {
        Some(parent) => (&node.onward_floors, &parent.metadata.route),
        None => (&node.ingress_floors, &outbound.metadata.route),
    };
    let now = node.clock.now();
    floors
        .lock()
        .learn(route, &outbound.service, &destination.id, notice, now);
}

/// Returns whether most servers of the service fail, so that no other one would be better.
fn servers_fail_alike(node: &RelayNode, outbound: &Outbound) -> bool {
    let members = node.members();
    let serving = members.serving(&outbound.service).iter();
    let ids = serving.map(|record| &record.id);
    let now = node.clock.now();
    node.failing_servers.lock().are_most(ids, now)
}

fn observe_failing_server(node: &RelayNode, destination: &NodeRecord, outcome: &RunOutcome) {
    let now = node.clock.now();
    let mut failing = node.failing_servers.lock();
    match outcome.result.as_ref().err().map(|refusal| refusal.reason) {
        Some(RefusalReason::ServerFailing) => failing.record_refusal(&destination.id, now),
        Some(RefusalReason::RefusedByServer | RefusalReason::BadAnswer) => {
            failing.record_failure(&destination.id, now);
        }
        Some(_) | None => {}
    }
}

/// Returns the node for the next attempt: the only one that may run the request, or one that was
/// not tried yet.
async fn next_destination(
    node: &Arc<RelayNode>,
    outbound: &Outbound,
    progress: &mut Progress,
) -> Option<NodeRecord> {
    if !is_permitted(node, outbound) {
        progress.last_refusal = Some(refusal_at_limit(false));
        return None;
    }
    let organisation = outbound.metadata.organisation.as_ref();
    let known = trial_node_of(node, &outbound.service, organisation, &outbound.request).await;
    let known = match known {
        Ok(known) => known,
        Err(refusal) => {
            progress.last_refusal = Some(refusal);
            return None;
        }
    };
    let members = node.members();
    let evacuated = evacuation::evacuated_zones(node);
    let is_usable = |record: &NodeRecord| {
        !evacuated.contains(&record.zone) && !node.links.is_unresponsive(record)
    };
    let usable = |id: &NodeId| {
        let mut serving = members.serving(&outbound.service).iter();
        serving.find(|record| record.id == *id && is_usable(record))
    };
    match (progress.only_on.take(), known) {
        (None, None) => {
            let chosen = choose(node, outbound, &progress.tried, is_usable);
            let chosen = chosen.or(progress.busy_node.take());
            if chosen.is_none() && progress.last_refusal.is_none() {
                let (node, service) = (node, &outbound.service);
                progress.last_refusal = evacuation::refusal_without_servers(node, service);
            }
            chosen
        }
        (only_on, known) => {
            let named = only_on.as_ref().and_then(usable);
            named.or_else(|| known.as_ref().and_then(usable)).cloned()
        }
    }
}

/// Returns whether the node of the next attempt may turn the request away. The last choice may not.
fn may_turn_away(node: &RelayNode, outbound: &Outbound, progress: &Progress) -> bool {
    let others = node.members().serving(&outbound.service).len();
    node.settings.raw.load_reports.is_some()
        && progress.turned_away < TURNED_AWAY_MAX
        && progress.tried.len() < others
        && progress.tried.len() < TRIED_NODES_MAX
}

/// Chooses a usable node of the service that was not tried yet.
fn choose(
    node: &RelayNode,
    outbound: &Outbound,
    tried: &[NodeId],
    is_usable: impl Fn(&NodeRecord) -> bool,
) -> Option<NodeRecord> {
    let members = node.members();
    let unusable = members
        .serving(&outbound.service)
        .iter()
        .filter(|record| !is_usable(record))
        .map(|record| record.id.clone());
    let excluded: Vec<NodeId> = tried.iter().cloned().chain(unusable).collect();
    let loads = node.service_loads(&members, &outbound.service);
    let context = ChooseContext {
        members: &members,
        zones: &node.zones,
        excluded: &excluded,
        cross_zone_cost: cross_zone_cost(&outbound.route),
        loads: &loads,
        now: node.clock.now(),
    };
    node.router.lock().choose(&outbound.service, &context)
}

/// Returns the latency by which a node in another zone must be faster to be chosen.
///
/// Traffic between zones costs money, and a small part of the latency objective hardly matters to a
/// caller.
fn cross_zone_cost(route: &PlannedRoute) -> Duration {
    let objective = Duration::from_millis(route.latency_objective_ms);
    Router::CROSS_ZONE_COST.max(objective.mul_f64(CROSS_ZONE_COST_RATIO))
}

async fn attempt(
    node: &Arc<RelayNode>,
    outbound: &Outbound,
    destination: &NodeRecord,
    kind: AttemptKind,
    is_sent: &mut bool,
) -> RunOutcome {
    let started_at = node.clock.now();
    let remaining = outbound.deadline.since(started_at);
    if remaining < ATTEMPT_TIME_MIN {
        return without_load(Err(Refusal::not_run(RefusalReason::DeadlineExceeded)));
    }
    let mut observed = ObservedCall::start(node, &destination.id, started_at);
    let metadata = RequestMetadata {
        remaining_us: remaining.as_micros() as u64,
        is_repeat: kind.is_repeat || outbound.metadata.is_repeat,
        is_last_resort: kind.is_last_resort,
        may_turn_away: kind.may_turn_away,
        ..outbound.metadata.clone()
    };
    let exchange = async {
        match destination.id == node.settings.raw.node {
            true => {
                *is_sent = true;
                // Boxed, so that a request to another node does not keep memory for a local run.
                let request = outbound.request.clone();
                Box::pin(run_request(
                    node,
                    &metadata,
                    request,
                    Some(&outbound.waiter),
                ))
                .await
            }
            false => match send(node, outbound, destination, &metadata, is_sent).await {
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
        calls: CallTree::default(),
    }
}

async fn send(
    node: &Arc<RelayNode>,
    outbound: &Outbound,
    destination: &NodeRecord,
    metadata: &RequestMetadata,
    is_sent: &mut bool,
) -> Result<RunOutcome, Refusal> {
    let not_sent = || Refusal::not_run(RefusalReason::NoServer);
    let link = node.links.get(destination).await.map_err(|_| not_sent())?;
    if !is_permitted(node, outbound) {
        return Err(refusal_at_limit(false));
    }
    outbound.waiter.check(&metadata.request_id, Step::Link)?;
    let sent_at = node.clock.now();
    let patience = match outbound.route.repeatability {
        Repeatability::Idempotent => Patience::Short,
        Repeatability::AtMostOnce => Patience::Caller,
    };
    let loads = node.known_loads();
    let frame = |exchange| request_frame(exchange, &outbound.request, metadata, loads);
    node.loads
        .lock()
        .record_sent(NodeKey::from(&destination.id));
    *is_sent = true;
    let reply = link.exchange_with(patience, frame).await;
    let mut link_reply = match reply {
        Ok(link_reply) => link_reply,
        Err(LinkFailure::NotSent) => return Err(not_sent()),
        Err(LinkFailure::Lost) => return Err(Refusal::may_have_run(RefusalReason::NoServer)),
    };
    node.learn_loads(std::mem::take(&mut link_reply.loads));
    if let Some(report) = link_reply.confirmation {
        node.apply_confirmation_report(report, sent_at, &destination.id);
    }
    let result = match link_reply.reply {
        PeerReply::Response(response) => Ok(response),
        PeerReply::Refused(refusal) => Err(refusal),
        PeerReply::Pong
        | PeerReply::Tokens(_)
        | PeerReply::RateStatus(_)
        | PeerReply::RateRecord(_)
        | PeerReply::Views(_)
        | PeerReply::KnownSuspects(_) => Err(Refusal::may_have_run(RefusalReason::BadAnswer)),
    };
    Ok(RunOutcome {
        result,
        load: link_reply.load,
        calls: link_reply.calls,
    })
}

fn request_frame(
    exchange: ExchangeId,
    request: &BufferedRequest,
    metadata: &RequestMetadata,
    loads: Vec<LoadReport>,
) -> Result<EncodedFrame, LinkFailure> {
    let uri = request.uri.to_string();
    let head = Head::Request(RequestHead {
        exchange,
        method: request.method.as_str(),
        uri: &uri,
        headers: header_list(&request.headers),
        metadata: metadata.clone(),
        loads,
        spent: metadata.spent,
    });
    encode_shared(&head, &request.body).map_err(|_| LinkFailure::NotSent)
}
