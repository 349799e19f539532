//! Handles reports of the backend server, and the readiness check.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::backend::Backend;
use super::cold_server;
use super::node::RelayNode;
use super::protocol::ServerCall;
use super::protocol::ServerReport;
use super::registration::ReportEffect;
use super::registration_store::store_registration;
use super::tree_admission;
use crate::connection::read_body;
use crate::process::events::relay as events;
use crate::values::Incarnation;
use crate::values::WallTime;

const REPORT_BYTES_MAX: usize = 64 * 1_024;
/// Most slots of a server. Each request has its own connection, and a node has no more ports for
/// connections to one address.
const SLOTS_MAX: u32 = 65_535;
/// Timeout for reading the body of a report: reports are acknowledged within a second.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

/// Responds to the readiness check.
pub(super) async fn handle_ready(node: &Arc<RelayNode>, request: Request) -> Response {
    let status = match request.uri().path() == node.protocol.ready_path {
        false => StatusCode::NOT_FOUND,
        true if node.is_ready() => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
    };
    empty(status)
}

pub(super) async fn handle_report(node: &Arc<RelayNode>, request: Request) -> Response {
    if !node.is_registration_read.load(Ordering::Relaxed) {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let (parts, body) = request.into_parts();
    let body = match read_body(body, REPORT_BYTES_MAX, REPORT_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => {
            events::SERVER_REPORT_REFUSED.log(format_args!("reason=\"{error}\""));
            return empty(StatusCode::BAD_REQUEST);
        }
    };
    match (node.protocol.decode_server_call)(&parts.method, parts.uri.path(), &body) {
        Ok(ServerCall::Report(report)) => apply_report(node, &report).await,
        Ok(ServerCall::Leave { server_id }) => apply_departure(node, &server_id).await,
        Ok(ServerCall::Unknown) => empty(StatusCode::NOT_FOUND),
        Err(reason) => {
            events::SERVER_REPORT_REFUSED.log(format_args!("reason=\"{reason}\""));
            empty(StatusCode::BAD_REQUEST)
        }
    }
}

/// Returns what is wrong with the figures of a report, if anything.
fn implausible_figure(node: &RelayNode, report: &ServerReport) -> Option<&'static str> {
    match () {
        () if !(1..=SLOTS_MAX).contains(&report.slots.0) => Some("number of slots out of range"),
        () if !WallTime(report.born_ms).is_plausible(node.clock.wall()) => {
            Some("start in the far future")
        }
        () => None,
    }
}

async fn apply_report(node: &RelayNode, report: &ServerReport) -> Response {
    if let Some(reason) = implausible_figure(node, report) {
        events::SERVER_REPORT_REFUSED.log(format_args!(
            "server={} slots={} born_ms={} reason=\"{reason}\"",
            report.server_id, report.slots, report.born_ms
        ));
        return empty(StatusCode::BAD_REQUEST);
    }
    let raw = &node.settings.raw;
    if report.service != raw.service || report.address != raw.server_address {
        events::SERVER_REPORT_REFUSED.log(format_args!(
            "server={} service={} address={} reason=\"not the server beside this node\"",
            report.server_id, report.service, report.address
        ));
        return accepted();
    }
    let effect = node.registration.lock().apply_report(report);
    match (effect, node.backend()) {
        (ReportEffect::Outdated, _) => {
            events::SERVER_REPORT_REFUSED.log(format_args!(
                "server={} sequence={} reason=\"outdated\"",
                report.server_id, report.sequence
            ));
        }
        (ReportEffect::Renewed, Some(backend)) => {
            let was_lost = !backend.accepts_work();
            backend.mark_reachable();
            cold_server::apply_report(node, &backend, report);
            if was_lost && backend.accepts_work() {
                node.store_entry_changed.notify_one();
            }
        }
        (ReportEffect::BeganDraining, Some(backend)) => {
            backend.drain();
            log_report(report, effect);
            node.store_entry_changed.notify_one();
            return acknowledge_leaving(node).await;
        }
        (ReportEffect::WantsWork, Some(backend)) => {
            backend.resume();
            cold_server::apply_report(node, &backend, report);
            log_report(report, effect);
            node.store_entry_changed.notify_one();
        }
        (_, known) => {
            if let Some(known) = known {
                known.drain();
            }
            log_report(report, effect);
            let incarnation = Incarnation(node.clock.wall().0);
            let is_whole = tree_admission::is_on(node);
            let backend = Backend::new(report, incarnation, node.clock, &node.memory, is_whole);
            cold_server::apply_report(node, &backend, report);
            // It may have said so to an earlier process of this node.
            if node.registration.lock().is_leaving() {
                backend.drain();
            }
            node.set_backend(Some(Arc::new(backend)));
            if report.is_draining {
                return acknowledge_leaving(node).await;
            }
        }
    }
    accepted()
}

/// Stores the registration, and then acknowledges that the server leaves.
async fn acknowledge_leaving(node: &RelayNode) -> Response {
    match store_registration(node).await {
        Ok(()) => accepted(),
        Err(error) => {
            events::SERVER_REPORT_REFUSED.log(format_args!(
                "reason=\"cannot store the departure: {error}\""
            ));
            empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

fn log_report(report: &ServerReport, effect: ReportEffect) {
    events::SERVER_REPORTED.log(format_args!(
        "server={} born_ms={} sequence={} slots={} effect={effect:?}",
        report.server_id, report.born_ms, report.sequence, report.slots
    ));
}

async fn apply_departure(node: &RelayNode, server_id: &str) -> Response {
    let now = node.clock.wall();
    let is_known = node.registration.lock().apply_departure(server_id, now);
    if is_known && let Some(backend) = node.backend() {
        backend.drain();
        node.set_backend(None);
        events::SERVER_REPORTED.log(format_args!("server={server_id} effect=Left"));
    }
    acknowledge_leaving(node).await
}

fn accepted() -> Response {
    let mut response = Response::new(Body::from("{}"));
    *response.status_mut() = StatusCode::OK;
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}

fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
