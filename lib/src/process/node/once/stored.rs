//! Conversion between buffered responses and stored responses.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;

use crate::connection::BufferedResponse;
use crate::connection::VERDICT_HEADER;
use crate::process::once::HeaderLine;
use crate::process::once::StoredResponse;
use crate::request::Verdict;

/// Converts a response to the form that a record stores.
pub(super) fn to_stored(response: &BufferedResponse) -> StoredResponse {
    let headers = response
        .headers
        .iter()
        .filter(|(name, _)| **name != VERDICT_HEADER)
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            let name = name.as_str().to_owned();
            Some(HeaderLine { name, value })
        });
    StoredResponse {
        status: response.status.as_u16(),
        headers: headers.collect(),
        body: response.body.clone(),
    }
}

/// Creates the response to a resent request from the response in its record.
pub(super) fn replay(stored: StoredResponse) -> BufferedResponse {
    let mut headers = HeaderMap::new();
    for line in stored.headers {
        let name = HeaderName::try_from(line.name);
        let value = HeaderValue::try_from(line.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
    headers.insert(VERDICT_HEADER, verdict);
    BufferedResponse {
        status: StatusCode::from_u16(stored.status).unwrap_or_default(),
        headers,
        body: stored.body,
    }
}
