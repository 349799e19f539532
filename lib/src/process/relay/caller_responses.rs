//! What callers are answered, and when they are told to come back.

use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::header;
use volo_http::body::Body;
use volo_http::response::Response;

use super::node::RelayNode;
use crate::connection::BufferedResponse;
use crate::request::Refusal;
use crate::request::Verdict;

/// Part of the time that a caller has left which it may be told to wait, below the third up to
/// which callers follow.
const RETRY_AFTER_RATIO: f64 = 0.3;
/// Bounds between which the wait is drawn when a refusal names none.
const RETRY_AFTER_MS: std::ops::Range<f64> = 50.0..400.0;
/// Name of the header that tells how long an idle connection may be used.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time for which callers may use an idle connection, in whole seconds: the shortest that lets them
/// use it again. Idle connections of callers that come back on new ones would fill the memory.
const KEEP_ALIVE_VALUE: &str = "timeout=1";
/// Time after which an idle connection is closed: twice what callers are told, so that no request
/// crosses the close.
pub(super) const IDLE_TIMEOUT_MS: u64 = 2_000;
/// Longest time for the headers of a request, or until the first one.
pub(super) const HEADER_TIMEOUT_MS: u64 = 5_000;

/// Makes the response that passes a backend server's answer on.
pub(super) fn forwarded_response(backend_response: BufferedResponse) -> Response {
    let mut response = Response::new(Body::from(backend_response.body));
    *response.status_mut() = backend_response.status;
    *response.headers_mut() = backend_response.headers;
    response
}

/// Makes the answer to a request that the system refuses.
pub(super) fn refusal_response(
    node: &RelayNode,
    refusal: &Refusal,
    request_id: &str,
    remaining: Duration,
) -> Response {
    let mut response = Response::new(Body::from(refusal.reason.code()));
    *response.status_mut() = refusal.reason.status();
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

/// Returns when a caller shall come back: as the refusal says, within the time it has.
fn retry_after(refusal: &Refusal, remaining: Duration) -> Duration {
    let delay_ms = match refusal.retry_after_ms {
        Some(delay_ms) => delay_ms as f64,
        None => rand::random_range(RETRY_AFTER_MS),
    };
    let delay_max = match remaining {
        Duration::MAX => Duration::from_secs(1),
        remaining => remaining.mul_f64(RETRY_AFTER_RATIO),
    };
    Duration::from_secs_f64(delay_ms / 1e3).min(delay_max)
}

/// Tells the caller how long its connection may be used: no more if the node is stopping.
pub(super) fn with_connection_headers(node: &RelayNode, mut response: Response) -> Response {
    let (name, value) = match node.is_stopping() {
        true => (header::CONNECTION, HeaderValue::from_static("close")),
        false => (KEEP_ALIVE, HeaderValue::from_static(KEEP_ALIVE_VALUE)),
    };
    response.headers_mut().insert(name, value);
    response
}
