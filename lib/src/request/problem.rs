//! Conversion of refusals to HTTP responses and back.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::header;

use super::Refusal;
use super::RefusalReason;
use super::Verdict;
use crate::connection::BufferedResponse;
use crate::connection::ONLY_ON_HEADER;
use crate::connection::VERDICT_HEADER;
use crate::values::NodeId;

/// The media type of problem bodies (RFC 9457).
const PROBLEM_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

const MS_PER_S: u64 = 1_000;

plain_data! {
    /// The body of a refusal.
    pub struct Problem {
        /// The stable code of the reason.
        pub code: RefusalReason,
        /// The HTTP status.
        pub status: u16,
        /// Whether a handler may have received the request.
        pub verdict: Verdict,
        /// The number of the event under which the system logs the refusal.
        pub event: u16,
        /// Description for humans.
        pub title: String,
        /// Time after which the caller may retry.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after_ms: Option<u64>,
    }
}

impl From<&Refusal> for Problem {
    fn from(refusal: &Refusal) -> Self {
        Self {
            code: refusal.reason,
            status: refusal.reason.status().as_u16(),
            verdict: refusal.verdict,
            event: refusal.reason.event().number,
            title: refusal.reason.event().meaning.to_owned(),
            retry_after_ms: refusal.retry_after_ms,
        }
    }
}

/// Builds the HTTP response for a refusal, and logs the refusal.
pub fn refusal_response(refusal: &Refusal) -> BufferedResponse {
    refusal.reason.event().log(refusal.verdict);
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, PROBLEM_TYPE);
    headers.insert(
        VERDICT_HEADER,
        HeaderValue::from_static(refusal.verdict.as_str()),
    );
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let retry_after_s = retry_after_ms.div_ceil(MS_PER_S);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after_s));
    }
    let only_on = refusal
        .only_on
        .as_ref()
        .and_then(|node| HeaderValue::from_str(node.as_str()).ok());
    if let Some(only_on) = only_on {
        headers.insert(ONLY_ON_HEADER, only_on);
    }
    if refusal.reason.status() == http::StatusCode::UNAUTHORIZED {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    let problem = Problem::from(refusal);
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    BufferedResponse {
        status: refusal.reason.status(),
        headers,
        body: Bytes::from(body),
    }
}

/// Parses a response of another node as a refusal; returns `None` if it is not one.
pub fn refusal_of(response: &BufferedResponse) -> Option<Refusal> {
    if response.headers.get(header::CONTENT_TYPE) != Some(&PROBLEM_TYPE) {
        return None;
    }
    response.headers.get(VERDICT_HEADER)?;
    let problem: Problem = serde_json::from_slice(&response.body).ok()?;
    Some(Refusal {
        reason: problem.code,
        verdict: problem.verdict,
        retry_after_ms: problem.retry_after_ms,
        only_on: only_on(response),
    })
}

fn only_on(response: &BufferedResponse) -> Option<NodeId> {
    let header = response.headers.get(ONLY_ON_HEADER)?;
    header.to_str().ok()?.parse().ok()
}
