//! Identifies a request that comes back.

use http::HeaderValue;
use http::header;
use http::request::Parts;

use crate::values::OrganisationId;

/// Length of a key, which is a truncated hash.
const KEY_BYTES: usize = 16;

plain_value! {
    /// Identifies requests of one organisation with the same method, host, path, query and length.
    ///
    /// It is known before the body is read, as most refusals come before that.
    pub struct ReturnKey([u8; KEY_BYTES]);
}

impl ReturnKey {
    /// Returns the key of a request whose body may not have been read.
    pub fn of(organisation: Option<&OrganisationId>, parts: &Parts) -> Self {
        let header_bytes = |name| {
            let value = parts.headers.get(name);
            value.map_or(&[][..], HeaderValue::as_bytes)
        };
        let path_and_query = parts.uri.path_and_query();
        let fields = [
            organisation.map_or("", OrganisationId::as_str).as_bytes(),
            parts.method.as_str().as_bytes(),
            header_bytes(header::HOST),
            path_and_query.map_or("", |path| path.as_str()).as_bytes(),
            header_bytes(header::CONTENT_LENGTH),
        ];
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&hasher.finalize().as_bytes()[..KEY_BYTES]);
        Self(key)
    }
}
