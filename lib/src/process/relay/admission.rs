//! Finds the route and the organisation of a caller's request.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header;
use http::request::Parts;

use super::node::RelayNode;
use super::views::refresh;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::version::CallerKey;
use crate::version::OrganisationLimits;
use crate::version::PlannedRoute;
use crate::version::TrafficPlan;

/// Confirmation age from which a missing or unknown key or route is refused only after reading the
/// store again, as a fraction of the time in which a configuration must be in force.
const DENIAL_AGE_FRACTION: f64 = 0.5;
/// Timeout of that read.
const DENIAL_READ_TIMEOUT: Duration = Duration::from_millis(600);

/// The route and organisation of a caller's request, with the configuration that they are from.
pub(super) struct Admitted {
    pub(super) plan: Arc<TrafficPlan>,
    pub(super) route: Arc<PlannedRoute>,
    pub(super) organisation: Option<Arc<OrganisationLimits>>,
}

/// Finds the route and the organisation of a request.
///
/// Unless the configuration was confirmed recently, the store is read before a key or route is
/// refused as missing or unknown.
pub(super) async fn admit(node: &Arc<RelayNode>, request: &Parts) -> Result<Admitted, Refusal> {
    match try_admit(node, request) {
        Err(refusal) if is_denial(refusal.reason) && !is_fresh(node) => {
            if !refresh_configuration(node).await {
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

/// Returns whether the configuration is fresh enough to refuse a request for its route or key.
fn is_fresh(node: &RelayNode) -> bool {
    let apply = node.bounds().configuration_apply();
    node.confirmation_age()
        .is_some_and(|age| age < apply.mul_f64(DENIAL_AGE_FRACTION))
}

/// Reads the newest configuration from the store. Returns whether the store responded in time.
async fn refresh_configuration(node: &Arc<RelayNode>) -> bool {
    matches!(
        tokio::time::timeout(DENIAL_READ_TIMEOUT, refresh(node)).await,
        Ok(true)
    )
}

fn try_admit(node: &Arc<RelayNode>, request: &Parts) -> Result<Admitted, Refusal> {
    let plan = node
        .plan()
        .ok_or_else(|| Refusal::not_run(RefusalReason::NotReady))?;
    let route = plan
        .route_of(host_of(request), request.uri.path())
        .ok_or_else(|| Refusal::not_run(RefusalReason::NoRoute))?;
    let organisation = match route.is_open || !plan.needs_keys() {
        true => None,
        false => Some(organisation_of(node, &plan, &request.headers)?),
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
) -> Result<Arc<OrganisationLimits>, Refusal> {
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

fn host_of(request: &Parts) -> &str {
    let host = request.headers.get(header::HOST);
    host.and_then(|host| host.to_str().ok()).unwrap_or_default()
}
