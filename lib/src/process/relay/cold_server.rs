//! Bounds the requests to the local backend server while it is cold.

use std::time::Duration;

use super::backend::Backend;
use super::node::RelayNode;
use super::protocol::ServerReport;
use crate::process::events::relay as events;
use crate::process::gate::ColdNotice;

/// Longest time for which a report counts. The next one usually follows within seconds.
const LEFT_MAX: Duration = Duration::from_secs(600);

/// Returns the requests that the local backend server may get in any second while it is cold, if
/// they are bounded.
///
/// A node without a configuration does not know the rate of the service and assumes none.
fn requests_max(node: &RelayNode) -> Option<u32> {
    let bounds = node.bounds();
    let per_s = match node.plan() {
        None => 0.0,
        Some(plan) => plan.cold_rates.get(&node.settings.raw.service)?.per_s(),
    };
    bounds.cold_requests_max(per_s)
}

/// Applies what a report says about the cold start of the server.
pub(super) fn apply_report(node: &RelayNode, backend: &Backend, report: &ServerReport) {
    let requests_max = requests_max(node);
    let left = Duration::from_millis(report.cold_left_ms).min(LEFT_MAX);
    let has_changed = backend
        .gate
        .apply_cold_notice(ColdNotice { requests_max, left });
    if has_changed {
        log_change(node, backend);
    }
}

/// Bounds the requests to a server of which the next report may say that it turned cold.
pub(super) fn presume_cold(node: &RelayNode, backend: &Backend) {
    if let Some(requests_max) = requests_max(node) {
        backend.gate.presume_cold(requests_max);
        log_change(node, backend);
    }
}

fn log_change(node: &RelayNode, backend: &Backend) {
    let state = match backend.gate.is_cold() {
        true => "cold",
        false => "warm",
    };
    events::SERVER_COLD.log(format_args!(
        "server={} state={state} requests_max={}",
        backend.server_id,
        requests_max(node).unwrap_or_default()
    ));
}
