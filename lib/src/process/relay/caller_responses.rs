//! Responses to callers, and the retry delays in them.

use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use volo_http::body::Body;
use volo_http::response::Response;

use super::node::RelayNode;
use crate::connection::BufferedResponse;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::Verdict;

/// Maximum retry delay as a fraction of the caller's remaining time. It is below the third up to
/// which callers comply with a retry delay.
pub(super) const RETRY_AFTER_RATIO: f64 = 0.3;
/// Range of the random retry delay for a refusal without one, in milliseconds.
const RETRY_AFTER_MS: std::ops::Range<f64> = 50.0..400.0;
/// Header with the time for which a caller may reuse an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time for which callers may reuse an idle connection. One second is the shortest that permits
/// reuse, as the header has whole seconds. With a longer time, idle connections of callers that
/// return on new ones would fill the memory.
const KEEP_ALIVE_VALUE: &str = "timeout=1";
/// Time after which an idle connection is closed: twice the advertised time, so that no request
/// arrives while the connection closes.
pub(super) const IDLE_TIMEOUT_MS: u64 = 2_000;
/// Timeout for the headers of a request, and for the first request of a connection.
pub(super) const HEADER_TIMEOUT_MS: u64 = 5_000;

/// Builds the response to the caller from the response of a backend server.
pub(super) fn forwarded_response(backend_response: BufferedResponse) -> Response {
    let mut response = Response::new(Body::from(backend_response.body));
    *response.status_mut() = backend_response.status;
    *response.headers_mut() = backend_response.headers;
    response
}

/// Builds the response for a refusal.
///
/// It carries a retry delay if the request did not run and its status invites a retry.
pub(super) fn refusal_response(
    node: &RelayNode,
    refusal: &Refusal,
    request_id: &str,
    remaining: Duration,
) -> Response {
    let mut response = Response::new(Body::from(refusal.reason.code()));
    *response.status_mut() = status_of(refusal);
    let headers = response.headers_mut();
    if let (false, Ok(request_id)) = (request_id.is_empty(), HeaderValue::from_str(request_id)) {
        headers.insert(node.protocol.headers.request_id.clone(), request_id);
    }
    let may_retry =
        refusal.verdict == Verdict::NotRun && matches!(response.status().as_u16(), 429 | 503);
    if may_retry {
        let retry_after_s = retry_after(refusal, remaining).as_secs_f64();
        if let Ok(value) = HeaderValue::try_from(format!("{retry_after_s:.3}")) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Returns the status of a refusal.
///
/// Only 429 and 503 tell callers that a request has not run, so a quarantined one gets 503.
fn status_of(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        RefusalReason::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
        reason => reason.status(),
    }
}

/// Returns the retry delay: that of the refusal or a random one.
///
/// It is limited by the remaining time, unless the request is quarantined for longer.
fn retry_after(refusal: &Refusal, remaining: Duration) -> Duration {
    let delay_ms = match refusal.retry_after_ms {
        Some(delay_ms) => delay_ms as f64,
        None => rand::random_range(RETRY_AFTER_MS),
    };
    let delay_max = match remaining {
        _ if refusal.reason == RefusalReason::Quarantined => Duration::MAX,
        Duration::MAX => Duration::from_secs(1),
        remaining => remaining.mul_f64(RETRY_AFTER_RATIO),
    };
    Duration::from_secs_f64(delay_ms / 1e3).min(delay_max)
}

/// Adds the header with the idle timeout, or `connection: close` if the node is stopping.
pub(super) fn with_connection_headers(node: &RelayNode, mut response: Response) -> Response {
    let (name, value) = match node.is_stopping() {
        true => (header::CONNECTION, HeaderValue::from_static("close")),
        false => (KEEP_ALIVE, HeaderValue::from_static(KEEP_ALIVE_VALUE)),
    };
    response.headers_mut().insert(name, value);
    response
}
