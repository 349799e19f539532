//! Finds the home node of an at-most-once request and forwards the request to it.

use std::sync::Arc;

use http::HeaderValue;
use uuid::Uuid;

use super::home::HOME_RETRY_MS;
use crate::connection::BufferedResponse;
use crate::connection::IDEMPOTENCY_KEY_HEADER;
use crate::process::membership::NodeRecord;
use crate::process::node::Node;
use crate::process::node::forward::Outbound;
use crate::process::node::forward::attempt_at;
use crate::process::once::IdempotencyKey;
use crate::process::once::KeyDigest;
use crate::process::once::SlotId;
use crate::process::once::home_zone;
use crate::request::KeyedContext;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::Verdict;
use crate::values::OrganisationId;

/// Maximum number of nodes that are tried for a key, the most preferred first.
const CANDIDATES_MAX: usize = 3;
/// Organisation of the callers of open routes, who have none.
const OPEN_ORGANISATION: &str = "_open";

/// Forwards a request to the home node of its key until a node returns a final response or refusal.
///
/// If the response of the home node is lost, the request is sent there again: the home node then
/// responds from its record.
pub(in crate::process::node) async fn forward_keyed(
    node: &Arc<Node>,
    outbound: Outbound<'_>,
) -> Result<BufferedResponse, Refusal> {
    let keyed = keyed_context(&outbound)?;
    let mut refusal =
        Refusal::not_run(RefusalReason::HomeUnreachable).retry_after_ms(HOME_RETRY_MS);
    let mut verdict = Verdict::NotRun;
    for home in candidate_homes(node, &outbound, &keyed)? {
        loop {
            let failed = match attempt_at(node, &outbound, &home, Some(keyed.clone())).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            verdict = verdict.max(failed.verdict);
            match next_step(&failed) {
                NextStep::Return => return Err(Refusal { verdict, ..failed }),
                NextStep::Retry if outbound.extra_attempts.lock().spend().is_ok() => {}
                NextStep::Retry => return Err(Refusal { verdict, ..failed }),
                NextStep::TryNext => {
                    refusal.retry_after_ms = failed.retry_after_ms.or(refusal.retry_after_ms);
                    break;
                }
            }
        }
    }
    Err(Refusal { verdict, ..refusal })
}

enum NextStep {
    Return,
    Retry,
    TryNext,
}

fn next_step(failed: &Refusal) -> NextStep {
    match (failed.reason, failed.verdict) {
        (RefusalReason::HomeUnreachable | RefusalReason::Draining, Verdict::NotRun) => {
            NextStep::TryNext
        }
        (RefusalReason::NoServer, Verdict::NotRun) => NextStep::TryNext,
        (RefusalReason::NoServer, Verdict::MayHaveRun) => NextStep::Retry,
        _ => NextStep::Return,
    }
}

fn keyed_context(outbound: &Outbound<'_>) -> Result<KeyedContext, Refusal> {
    let bad_request = || Refusal::not_run(RefusalReason::BadRequest);
    let key: IdempotencyKey = match outbound.request.headers.get(IDEMPOTENCY_KEY_HEADER) {
        Some(value) => text(value).and_then(|text| text.parse().ok()),
        // A call of a backend server without a key is a new request.
        None => Uuid::now_v7().to_string().parse().ok(),
    }
    .ok_or_else(bad_request)?;
    let organisation: OrganisationId = match &outbound.organisation {
        Some(organisation) => organisation.clone(),
        None => OPEN_ORGANISATION.parse().map_err(|_| bad_request())?,
    };
    Ok(KeyedContext {
        key: KeyDigest::of(&organisation, &key),
        organisation,
        mint: key.mint_time(),
    })
}

fn text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok()
}

/// Returns the nodes of the key's home zone that may hold its term, the most likely first.
fn candidate_homes(
    node: &Node,
    outbound: &Outbound<'_>,
    keyed: &KeyedContext,
) -> Result<Vec<NodeRecord>, Refusal> {
    let configuration = node.configuration()?;
    let zone = home_zone(keyed.key, configuration.zones.keys());
    let members = node.members();
    let in_zone = members.nodes().filter(|record| Some(&record.zone) == zone);
    let slot = SlotId::of(&outbound.route.service, keyed.key);
    let mut homes: Vec<_> = slot.candidates(in_zone).into_iter().cloned().collect();
    homes.truncate(CANDIDATES_MAX);
    Ok(homes)
}
