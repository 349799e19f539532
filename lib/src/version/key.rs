//! Callers' keys, of which only hashes are stored.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use snafu::Snafu;
use subtle::ConstantTimeEq;

use crate::values::KeyId;
use crate::values::OrganisationId;

/// A key as a caller presents it. It is never logged, dumped or forwarded.
pub struct CallerKey(String);

impl CallerKey {
    /// Number of random bytes in a generated key.
    const RANDOM_BYTES: usize = 32;

    /// Creates a key from the text that a caller presented.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Generates a random key.
    pub fn generate() -> Self {
        let random: [u8; Self::RANDOM_BYTES] = rand::random();
        Self(format!("bfk_{}", URL_SAFE_NO_PAD.encode(random)))
    }

    /// Returns the secret text, which is shown to its owner once.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// The hash of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; blake3::OUT_LEN]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &CallerKey) -> Self {
        Self(*blake3::hash(key.reveal().as_bytes()).as_bytes())
    }

    /// Returns the first bytes of the hash, for indexing a table of keys.
    pub(super) fn prefix<const BYTES: usize>(&self) -> [u8; BYTES] {
        std::array::from_fn(|i| self.0[i])
    }

    /// Compares two hashes in a time that does not depend on where they differ.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

/// The text is not a valid key hash.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("key hash is not 64 hexadecimal digits"))]
pub struct InvalidKeyHashError;

impl FromStr for KeyHash {
    type Err = InvalidKeyHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| InvalidKeyHashError)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = InvalidKeyHashError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}

plain_value! {
    /// Whether a key is valid.
    #[serde(rename_all = "kebab-case")]
    pub enum KeyState {
        /// The key is valid.
        Active,
        /// The key was withdrawn and never becomes valid again.
        Withdrawn,
    }
}

plain_data! {
    /// A key of an organisation.
    pub struct KeyRecord {
        /// The name of the key, which is not secret.
        pub id: KeyId,
        /// The hash of the key.
        pub hash: KeyHash,
        /// The organisation on whose behalf requests with this key run.
        pub organisation: OrganisationId,
        /// Whether the key is valid.
        pub state: KeyState,
    }
}
