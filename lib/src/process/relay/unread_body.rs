//! Bodies of refused requests whose callers still send them.

use std::time::Duration;

use http::HeaderValue;
use http::header;
use http_body_util::BodyExt;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::connection::MemoryBudget;

/// Time without a byte after which a body is no longer read.
const SILENCE_MAX: Duration = Duration::from_secs(5);
/// Longest time for which a body is read and dropped, so that a caller that sends without end is cut off.
const DISCARD_TIME_MAX: Duration = Duration::from_secs(60);

/// Lets a caller that still sends its body receive the response.
///
/// The connection would be reset if it were closed with unread bytes, and the caller would lose the
/// response that it has not read yet. So the body is read and dropped beside the response. Behind a long
/// one the connection closes.
pub(super) fn respond_before_body(mut response: Response, body: Body) -> Response {
    if http_body::Body::is_end_stream(&body) {
        return response;
    }
    if is_long(&body) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    tokio::spawn(tokio::time::timeout(DISCARD_TIME_MAX, discard(body)));
    response
}

fn is_long(body: &Body) -> bool {
    let bytes = http_body::Body::size_hint(body).exact().unwrap_or(u64::MAX);
    bytes > MemoryBudget::SMALL_BYTES as u64
}

async fn discard(mut body: Body) {
    while let Ok(Some(Ok(_))) = tokio::time::timeout(SILENCE_MAX, body.frame()).await {}
}
