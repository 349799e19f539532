//! Replies of nodes, and HTTP responses to callers, backend servers and other nodes.

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

/// Headers of replies between nodes that are removed from responses to callers.
const NODE_HEADERS: [HeaderName; 4] =
    [ATTEMPT_HEADER, FLOOR_HEADER, ONLY_ON_HEADER, UNSPENT_HEADER];

/// A node's reply to a request: the response or refusal, with its load and unspent attempts.
#[derive(Debug)]
pub(super) struct NodeReply {
    /// The response or refusal.
    pub(super) outcome: Result<BufferedResponse, Refusal>,
    /// The admission floor of the node and of its downstream nodes; none if no node of the service
    /// replied.
    pub(super) floor: Option<FloorNotice>,
    /// Extra attempts that the downstream request did not spend.
    pub(super) unspent_attempts: AttemptCount,
}

/// Builds the HTTP response for a caller or for the local backend server, without the headers that
/// are meant for nodes.
pub(super) fn response(node: &Node, outcome: Result<BufferedResponse, Refusal>) -> Response {
    let mut buffered = outcome.unwrap_or_else(|refusal| refusal_response(&refusal));
    for name in NODE_HEADERS {
        buffered.headers.remove(name);
    }
    plain_response(node, buffered)
}

/// Builds the HTTP response with all headers of `buffered`.
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
