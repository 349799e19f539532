//! Idempotency keys, their mint times and their digests.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use snafu::Snafu;
use snafu::ensure;
use uuid::Uuid;

use crate::values::OrganisationId;
use crate::values::ServiceId;
use crate::values::WallTime;

number_type! {
    /// When a key was minted, in milliseconds since the Unix epoch, on the clock of its creator.
    MintTime(u64)
}

impl MintTime {
    /// Returns the time that is `duration_ms` later.
    pub fn after_ms(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns the time that is `duration_ms` earlier.
    pub fn before_ms(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_sub(duration_ms))
    }
}

impl From<WallTime> for MintTime {
    fn from(wall: WallTime) -> Self {
        Self(wall.0)
    }
}

/// The value of an `Idempotency-Key` header.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(Arc<str>);

/// The text is not an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "idempotency key is not 1 to {} visible ASCII characters",
    IdempotencyKey::MAX_CHARS
))]
pub struct InvalidIdempotencyKeyError;

impl IdempotencyKey {
    /// Maximum length of a key.
    pub const MAX_CHARS: usize = 255;

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns when the key was minted, if it is a version 7 UUID.
    pub fn mint_time(&self) -> Option<MintTime> {
        let id = Uuid::try_parse(self.as_str()).ok()?;
        let timestamp = id.get_timestamp()?;
        match id.get_version_num() {
            7 => {
                let (seconds, nanoseconds) = timestamp.to_unix();
                let ms = seconds * 1000 + u64::from(nanoseconds) / 1_000_000;
                Some(MintTime(ms))
            }
            _ => None,
        }
    }
}

impl FromStr for IdempotencyKey {
    type Err = InvalidIdempotencyKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let length_fits = (1..=Self::MAX_CHARS).contains(&text.len());
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        ensure!(length_fits && visible, InvalidIdempotencyKeySnafu);
        Ok(Self(text.into()))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Length of a digest, which is a truncated hash.
const DIGEST_BYTES: usize = 16;

plain_value! {
    /// Identifies an idempotency key of one organisation.
    pub struct KeyDigest([u8; DIGEST_BYTES]);
}

impl KeyDigest {
    /// Hashes a key together with the organisation that uses it.
    pub fn of(organisation: &OrganisationId, key: &IdempotencyKey) -> Self {
        let fields = [organisation.as_str().as_bytes(), key.as_str().as_bytes()];
        Self(digest_of(&fields))
    }

    /// Hashes the content of a request together with its service, organisation and host.
    pub(crate) fn of_content(
        service: &ServiceId,
        organisation: Option<&OrganisationId>,
        host: &[u8],
        content: ContentDigest,
    ) -> Self {
        let organisation = organisation.map_or("", OrganisationId::as_str);
        let service = service.as_str();
        Self(digest_of(&[
            service.as_bytes(),
            organisation.as_bytes(),
            host,
            &content.0,
        ]))
    }

    /// Returns the first 8 bytes as a number, for selection by hash.
    pub(crate) fn bits(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

plain_value! {
    /// Identifies the content of a request, to detect a key that is reused for another request.
    pub struct ContentDigest([u8; DIGEST_BYTES]);
}

impl ContentDigest {
    /// Hashes the method, the path with its query, and the body of a request.
    pub fn of(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        Self(digest_of(&[
            method.as_bytes(),
            path_and_query.as_bytes(),
            body,
        ]))
    }
}

/// Hashes fields together with their lengths, so that different lists of fields never have the
/// same hash input.
pub(crate) fn digest_of(fields: &[&[u8]]) -> [u8; DIGEST_BYTES] {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    let mut digest = [0; DIGEST_BYTES];
    hasher.finalize_xof().fill(&mut digest);
    digest
}
