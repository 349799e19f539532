//! Identifies equal requests.

use std::fmt;

use http::HeaderValue;
use http::header;

use crate::connection::BufferedRequest;
use crate::process::once::ContentDigest;
use crate::process::once::KeyDigest;
use crate::values::OrganisationId;
use crate::values::ServiceId;

plain_value! {
    /// Identifies equal requests of one organisation to one service.
    ///
    /// Requests to different services are different ones, because programs differ in which
    /// requests crash them.
    pub struct Fingerprint(KeyDigest);
}

impl Fingerprint {
    /// Returns the fingerprint of a buffered request to `service`; requests on open routes have no
    /// organisation.
    pub fn of_request(
        service: &ServiceId,
        organisation: Option<&OrganisationId>,
        request: &BufferedRequest,
    ) -> Self {
        let uri = request.uri.to_string();
        let content = ContentDigest::of(request.method.as_str(), &uri, &request.body);
        let host = request.headers.get(header::HOST);
        let host = host.map_or(&[][..], HeaderValue::as_bytes);
        Self::of(service, organisation, host, content)
    }

    /// Returns the fingerprint of a request with the given host and content.
    pub fn of(
        service: &ServiceId,
        organisation: Option<&OrganisationId>,
        host: &[u8],
        content: ContentDigest,
    ) -> Self {
        Self(KeyDigest::of_content(service, organisation, host, content))
    }

    /// Returns the first 8 bytes as a number, for selection by hash.
    pub(super) fn bits(&self) -> u64 {
        self.0.bits()
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
