//! Keeps the views of a node up to date, through other nodes or the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::apply::apply_update;
use super::apply::offer_listed;
use super::messages::View;
use super::sources::SourcePlan;
use super::sources::plan_sources;
use super::store_watch::read_view;
use super::store_watch::watch_store;
use crate::process::events::relay as events;
use crate::process::membership::NodeRecord;
use crate::process::relay::evacuation;
use crate::process::relay::frame::ExchangeId;
use crate::process::relay::frame::Head;
use crate::process::relay::frame::encode_frame;
use crate::process::relay::link::LinkFailure;
use crate::process::relay::link_reply::PeerReply;
use crate::process::relay::node::RelayNode;
use crate::process::relay::store::StoreEra;
use crate::process::relay::supervision::supervise;
use crate::process::relay::tasks::new_backoff;
use crate::process::relay::tasks::request_confirmation_report;
use crate::values::MonotonicTime;

/// Time between two polls of another node, as a fraction of the time in which a configuration must be
/// in force. Notices of changes come in between.
const POLL_PERIOD_FRACTION: f64 = 0.25;
/// The same for the first nodes of zones, which share the reads of the store among them.
const FIRST_POLL_PERIOD_FRACTION: f64 = 0.1;
/// The same time while the node has no configuration.
const STARTING_POLL_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two polls, so that notices close together cost one.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Timeout for the reply of another node.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of nodes that are asked for a newer configuration than the store has. A configuration is
/// known to nearly all nodes soon after it was accepted.
const NEWER_NODES: usize = 16;
/// Time after the first of their replies for which the reads of the store wait for the others:
/// several round trips between zones.
const NEWER_REPLY_GRACE: Duration = Duration::from_millis(100);
/// Confirmation age from which a node asks further nodes, as a fraction of the time in which a
/// configuration must be in force.
const FRESH_FRACTION: f64 = 0.85;
/// The same for the first node of a zone, which asks the first nodes of other zones before it reads
/// the store.
const FIRST_FRESH_FRACTION: f64 = 0.25;
/// Time for which a starting node without a configuration relies on others that have none either.
const FIRST_PLAN_WAIT: Duration = Duration::from_secs(10);
/// Time that a node leaves to each node of its zone before it, in order of their ids, to watch the
/// store when no other node is up to date.
const TURN: Duration = Duration::from_millis(100);
/// Longest time that a node leaves to others.
const TURN_MAX: Duration = Duration::from_secs(1);
/// Time after which a node that found no other one reads the entries again: the nodes of a fleet
/// that starts for the first time register in this time, and know then which of them are first.
const FIRST_START_WAIT: Duration = Duration::from_millis(1_200);

/// Keeps the views up to date until the future is dropped.
pub(in crate::process::relay) async fn follow_views(node: Arc<RelayNode>) {
    find_nodes(&node).await;
    let mut watch: Option<AbortOnDropHandle<()>> = None;
    let mut asking: Option<AbortOnDropHandle<()>> = None;
    let mut stale_since: Option<MonotonicTime> = None;
    let mut turn = rand::random::<u8>() as usize;
    loop {
        turn = turn.wrapping_add(1);
        let raw = &node.settings.raw;
        let plan = plan_sources(&node.members(), &raw.node, &raw.zone, turn);
        node.views.is_first.store(plan.rank == 0, Ordering::Relaxed);
        if asking.as_ref().is_none_or(AbortOnDropHandle::is_finished)
            && let Some(era) = node.views.era().filter(|era| node.must_ask_others(*era))
        {
            let task = ask_for_newer(Arc::clone(&node), era);
            asking = Some(AbortOnDropHandle::new(tokio::spawn(task)));
        }
        let is_fresh = ask_sources(&node, &plan).await;
        let now = node.clock.now();
        stale_since = match is_fresh {
            true => None,
            false => stale_since.or(Some(now)),
        };
        let own_turn = (TURN * plan.rank as u32).min(TURN_MAX);
        let is_due = stale_since.is_some_and(|since| now.since(since) >= own_turn);
        watch = match (plan.rank == 0 || is_due, watch) {
            (true, Some(watch)) => Some(watch),
            (true, None) => Some(start_watch(&node)),
            (false, watch) if !is_fresh => watch,
            (false, _) => None,
        };
        let is_watching = &node.views.is_watching;
        is_watching.store(watch.is_some(), Ordering::Relaxed);
        let _ = timeout(poll_period(&node), node.views.update_notice.notified()).await;
        sleep(POLL_PAUSE).await;
    }
}

fn start_watch(node: &Arc<RelayNode>) -> AbortOnDropHandle<()> {
    events::STORE_WATCHED.log(format_args!("zone={}", node.settings.raw.zone));
    let node = Arc::clone(node);
    let watching = async move { supervise("watch_store", || watch_store(Arc::clone(&node))).await };
    AbortOnDropHandle::new(tokio::spawn(watching))
}

/// Reads the entries of the fleet, and again after a time if there was no other node.
async fn find_nodes(node: &Arc<RelayNode>) {
    read_entries(node).await;
    let own_id = &node.settings.raw.node;
    if node.members().nodes().all(|record| record.id == *own_id) {
        sleep(FIRST_START_WAIT).await;
        read_entries(node).await;
    }
}

async fn read_entries(node: &Arc<RelayNode>) {
    let mut backoff = new_backoff();
    while let Err(error) = read_view(node, View::Entries).await {
        node.metrics.record_store_error(&error);
        sleep(backoff.next_delay()).await;
    }
}

fn poll_period(node: &RelayNode) -> Duration {
    let apply = node.bounds().configuration_apply();
    match node.plan() {
        Some(_) if node.views.is_first.load(Ordering::Relaxed) => {
            apply.mul_f64(FIRST_POLL_PERIOD_FRACTION)
        }
        Some(_) => apply.mul_f64(POLL_PERIOD_FRACTION),
        None => STARTING_POLL_PERIOD,
    }
}

/// Asks other nodes for newer versions of the configuration than the store has in `era`.
async fn ask_for_newer(node: Arc<RelayNode>, era: StoreEra) {
    let members = node.members();
    let others: Vec<_> = members
        .nodes()
        .filter(|record| record.id != node.settings.raw.node && record.accepts_work())
        .collect();
    let asked = others.choose_multiple(&mut rand::rng(), NEWER_NODES);
    let mut replies: FuturesUnordered<_> = asked
        .map(|other| request_confirmation_report(&node, other))
        .collect();
    let mut have_replied = false;
    while !have_replied && let Some(replied) = replies.next().await {
        have_replied = replied;
    }
    let mut others = Box::pin(replies.collect::<Vec<bool>>());
    if timeout(NEWER_REPLY_GRACE, &mut others).await.is_err() {
        node.others_asked(era, false);
        others.await;
    }
    node.others_asked(era, have_replied);
}

/// Polls other nodes until one is up to date. Returns whether this node is up to date.
async fn ask_sources(node: &Arc<RelayNode>, plan: &SourcePlan) -> bool {
    let named = node.views.newer_at.lock().take();
    let members = node.members();
    if let Some(record) = named.and_then(|id| members.node(&id)) {
        ask(node, record).await;
    }
    let apply = node.bounds().configuration_apply();
    let fresh_age = match plan.rank {
        0 => apply.mul_f64(FIRST_FRESH_FRACTION),
        _ => apply.mul_f64(FRESH_FRACTION),
    };
    // A young confirmation does not say that this node knows the evacuated zones: it also comes with
    // replies to requests, while the store turns this node away.
    let knows_all = !evacuation::is_enabled(node);
    if plan.rank == 0 && knows_all && is_younger(node, fresh_age) {
        return true;
    }
    for source in &plan.sources {
        if node.links.is_unresponsive(source) {
            continue;
        }
        if ask(node, source).await && (is_younger(node, fresh_age) || awaits_first_plan(node)) {
            return true;
        }
    }
    // A node that was confirmed by its requests lately may still lack an entry.
    plan.rank == 0 && is_younger(node, apply.mul_f64(FRESH_FRACTION))
}

/// Returns whether a new fleet may still wait for its first configuration, as far as the node that
/// replied knows.
fn awaits_first_plan(node: &RelayNode) -> bool {
    let is_read = node.views.positions()[View::Configuration as usize].is_some();
    node.plan().is_none() && is_read && node.uptime() < FIRST_PLAN_WAIT
}

fn is_younger(node: &RelayNode, age: Duration) -> bool {
    node.plan().is_some()
        && node.knows_newest()
        && node.confirmation_age().is_some_and(|known| known < age)
}

/// Polls a node and applies the updates. Returns whether it replied.
async fn ask(node: &Arc<RelayNode>, source: &NodeRecord) -> bool {
    matches!(
        timeout(POLL_TIMEOUT, poll_node(node, source)).await,
        Ok(Some(()))
    )
}

async fn poll_node(node: &Arc<RelayNode>, source: &NodeRecord) -> Option<()> {
    let link = node.links.get(source).await.ok()?;
    let requested_at = node.clock.now();
    let mut known = node.views.positions();
    let is_behind = !node.knows_newest();
    if is_behind {
        known[View::Configuration as usize] = None;
    }
    let request = |exchange: ExchangeId| {
        let head = Head::ViewRequest { exchange, known };
        encode_frame(&head, &[]).map_err(|_| LinkFailure::NotSent)
    };
    let reply = link.exchange(request).await.ok()?;
    let PeerReply::Views(updates) = reply.reply else {
        return None;
    };
    for update in updates {
        if is_behind {
            offer_listed(node, &update);
        }
        apply_update(node, update.view, update.update);
    }
    if let Some(report) = reply.confirmation {
        node.apply_confirmation_report(report, requested_at, &source.id);
    }
    Some(())
}

/// Brings the configuration up to date for a request, through the usual source of updates or else the
/// store. Requests at the same time share one read. Returns whether that succeeded.
pub(in crate::process::relay) async fn refresh(node: &Arc<RelayNode>) -> bool {
    let requested_at = node.clock.now();
    let _refreshing = node.views.refreshing.lock().await;
    let is_confirmed = || {
        let now = node.clock.now();
        let age = node.confirmation_age();
        age.is_some_and(|age| age <= now.since(requested_at))
    };
    if is_confirmed() {
        return true;
    }
    match read_view(node, View::Configuration).await {
        Ok(()) => node.is_settled(),
        Err(error) => {
            node.metrics.record_store_error(&error);
            false
        }
    }
}
