//! Bodies of refused requests whose callers still send them.

use std::time::Duration;

use http::HeaderValue;
use http::header;
use http_body_util::BodyExt;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::connection::MemoryBudget;

/// Longest time for which the rest of a body is read and dropped.
const DISCARD_TIME: Duration = Duration::from_secs(5);

/// Lets a caller that still sends its body receive the response.
///
/// The connection would be reset if it were closed with unread bytes, and the caller would lose the
/// response that it has not read yet. So the body is read and dropped beside the response, for a limited
/// time, and the connection closes then. A short body is left to the HTTP library.
pub(super) fn respond_before_body(mut response: Response, body: Body) -> Response {
    if !is_long(&body) {
        return response;
    }
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    tokio::spawn(tokio::time::timeout(DISCARD_TIME, discard(body)));
    response
}

fn is_long(body: &Body) -> bool {
    let size = http_body::Body::size_hint(body);
    let is_at_end = http_body::Body::is_end_stream(body);
    let bytes = size.exact().unwrap_or(u64::MAX);
    !is_at_end && bytes > MemoryBudget::SMALL_BYTES as u64
}

async fn discard(mut body: Body) {
    while let Some(Ok(_)) = body.frame().await {}
}
