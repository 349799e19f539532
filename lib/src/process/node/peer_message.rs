//! Requests between nodes, authenticated as requests of a node of the fleet.

use http::HeaderValue;

use crate::connection::BufferedRequest;
use crate::connection::CONTEXT_HEADER;
use crate::connection::MAC_HEADER;
use crate::process::secret::DerivedKey;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::RequestContext;
use crate::values::NodeId;

/// Adds the context and the message authentication code to a request for the node `to`.
pub(super) fn sign(
    key: &DerivedKey,
    to: &NodeId,
    context: &RequestContext,
    mut request: BufferedRequest,
) -> Result<BufferedRequest, Refusal> {
    let bad_request = || Refusal::not_run(RefusalReason::BadRequest);
    let text = serde_json::to_string(context).map_err(|_| bad_request())?;
    let mac = blake3::Hash::from_bytes(key.mac(&message(to, &text, &request)));
    let context_value = HeaderValue::try_from(text).map_err(|_| bad_request())?;
    let mac_value = HeaderValue::try_from(mac.to_hex().as_str()).map_err(|_| bad_request())?;
    request.headers.insert(CONTEXT_HEADER, context_value);
    request.headers.insert(MAC_HEADER, mac_value);
    Ok(request)
}

/// Verifies the message authentication code of a request for the node `to`, and removes and returns
/// the context.
pub(super) fn verify(
    key: &DerivedKey,
    to: &NodeId,
    request: &mut BufferedRequest,
) -> Result<RequestContext, Refusal> {
    let not_a_peer = || Refusal::not_run(RefusalReason::NotAPeer);
    let mac = request.headers.remove(MAC_HEADER).ok_or_else(not_a_peer)?;
    let context = request
        .headers
        .remove(CONTEXT_HEADER)
        .ok_or_else(not_a_peer)?;
    let mac = blake3::Hash::from_hex(mac.as_bytes()).map_err(|_| not_a_peer())?;
    let text = context.to_str().map_err(|_| not_a_peer())?;
    if !key.verify(&message(to, text, request), mac.as_bytes()) {
        return Err(not_a_peer());
    }
    serde_json::from_str(text).map_err(|_| Refusal::not_run(RefusalReason::BadRequest))
}

/// Returns the bytes that the authentication code covers. Each field has a length prefix, so that
/// bytes cannot move between neighbouring fields.
fn message(to: &NodeId, context: &str, request: &BufferedRequest) -> Vec<u8> {
    let uri = request.uri.to_string();
    let fields = [
        to.as_str().as_bytes(),
        request.method.as_str().as_bytes(),
        uri.as_bytes(),
        context.as_bytes(),
        &request.body,
    ];
    let mut message = Vec::with_capacity(fields.iter().map(|field| field.len() + 8).sum());
    for field in fields {
        message.extend_from_slice(&(field.len() as u64).to_be_bytes());
        message.extend_from_slice(field);
    }
    message
}
