//! Answers between the steps of a request, and as HTTP responses.

use http::HeaderName;
use http::HeaderValue;
use http::header;
use volo_http::body::Body;
use volo_http::response::Response;

use super::Node;
use crate::connection::ATTEMPT_HEADER;
use crate::connection::BufferedResponse;
use crate::connection::FLOOR_HEADER;
use crate::connection::ONLY_ON_HEADER;
use crate::connection::UNSPENT_HEADER;
use crate::process::gate::FloorNotice;
use crate::request::AttemptCount;
use crate::request::Refusal;
use crate::request::refusal_response;

/// Headers of answers between nodes that no caller sees.
const NODE_HEADERS: [HeaderName; 4] =
    [ATTEMPT_HEADER, FLOOR_HEADER, ONLY_ON_HEADER, UNSPENT_HEADER];

/// An answer of a backend server, or the refusal of a node below, with what it gives back.
#[derive(Debug)]
pub(super) struct NodeReply {
    /// The response or refusal.
    pub(super) outcome: Result<BufferedResponse, Refusal>,
    /// The admission floor of the node and those below it; none if no node of the service answered.
    pub(super) floor: Option<FloorNotice>,
    /// Extra attempts that the request below did not use.
    pub(super) unspent_attempts: AttemptCount,
}

/// Makes the response for a caller or for the backend server beside this node.
pub(super) fn response(node: &Node, outcome: Result<BufferedResponse, Refusal>) -> Response {
    let mut buffered = outcome.unwrap_or_else(|refusal| refusal_response(&refusal));
    for name in NODE_HEADERS {
        buffered.headers.remove(name);
    }
    plain_response(node, buffered)
}

/// Makes the response with all headers of `answer`.
pub(super) fn plain_response(node: &Node, mut buffered: BufferedResponse) -> Response {
    if node.is_draining() {
        let close = HeaderValue::from_static("close");
        buffered.headers.insert(header::CONNECTION, close);
    }
    let mut response = Response::new(Body::from(buffered.body));
    *response.status_mut() = buffered.status;
    *response.headers_mut() = buffered.headers;
    response
}
