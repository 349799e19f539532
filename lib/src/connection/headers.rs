//! Header names of the system, and removal of headers that are not forwarded.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Remaining time of a request in milliseconds, from the caller.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("balsamfold-deadline-ms");
/// The verdict on whether a request may have run.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("balsamfold-verdict");
/// The handle by which a backend server refers to the request that it runs.
pub const HANDLE_HEADER: HeaderName = HeaderName::from_static("balsamfold-handle");
/// Metadata of a request, from a node to the next one.
pub const CONTEXT_HEADER: HeaderName = HeaderName::from_static("balsamfold-context");
/// Proves that a message was created by a node of the fleet.
pub const MAC_HEADER: HeaderName = HeaderName::from_static("balsamfold-mac");
/// The attempt that a response between nodes belongs to.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("balsamfold-attempt");
/// Extra attempts that a response between nodes returns.
pub const UNSPENT_HEADER: HeaderName = HeaderName::from_static("balsamfold-unspent");
/// The admission floor that a response between nodes reports.
pub const FLOOR_HEADER: HeaderName = HeaderName::from_static("balsamfold-floor");
/// Names the only node that may run a refused request, between nodes.
pub const ONLY_ON_HEADER: HeaderName = HeaderName::from_static("balsamfold-only-on");
/// Identifies a request that must run at most once, including all its resends.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

const SYSTEM_PREFIX: &str = "balsamfold-";

/// Headers that apply to one connection only and are never forwarded.
const CONNECTION_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that apply to one connection only, including those that `Connection` lists.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Returns whether the message has an option, in lower case, for its connection.
pub(super) fn has_connection_option(headers: &HeaderMap, name: &str) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case(name))
}

/// Removes all headers that only the system itself may set.
pub fn strip_system_headers(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(SYSTEM_PREFIX))
        .cloned()
        .collect();
    for name in &names {
        headers.remove(name);
    }
}

/// Returns the number of bytes in the names and values of headers.
pub(crate) fn bytes_of(headers: &HeaderMap) -> usize {
    let lengths = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    lengths.sum()
}
