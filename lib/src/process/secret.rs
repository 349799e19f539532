//! The secret that all nodes of a fleet share, and the keys derived from it.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;
use snafu::ensure;
use subtle::ConstantTimeEq;

/// Minimum length of a fleet secret, in bytes.
pub const FLEET_SECRET_MIN_BYTES: usize = 16;

/// Length of a message authentication code, in bytes.
pub const MAC_BYTES: usize = blake3::OUT_LEN;

/// The text is not a valid fleet secret.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidFleetSecretError {
    /// The text is too short to resist guessing.
    #[snafu(display("fleet secret has {bytes} bytes; expected at least {FLEET_SECRET_MIN_BYTES}"))]
    TooShort {
        /// Number of bytes found.
        bytes: usize,
    },
}

/// The secret that all nodes of a fleet share. It is never sent, logged or dumped.
#[derive(Clone)]
pub struct FleetSecret(String);

impl FleetSecret {
    /// Returns the key for one purpose. It reveals nothing about the keys for other purposes.
    pub fn derive(&self, purpose: KeyPurpose) -> DerivedKey {
        DerivedKey(blake3::derive_key(purpose.context(), self.0.as_bytes()))
    }
}

impl FromStr for FleetSecret {
    type Err = InvalidFleetSecretError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = text.len();
        ensure!(bytes >= FLEET_SECRET_MIN_BYTES, TooShortSnafu { bytes });
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for FleetSecret {
    type Error = InvalidFleetSecretError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

/// What a derived key is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyPurpose {
    /// Membership datagrams.
    Membership,
    /// Requests that one node forwards to another.
    PeerRequest,
    /// Control calls between nodes.
    Control,
}

impl KeyPurpose {
    /// Returns the context string of the key derivation, which is unique to the purpose.
    fn context(self) -> &'static str {
        match self {
            Self::Membership => "balsamfold 2026 membership datagram",
            Self::PeerRequest => "balsamfold 2026 peer request",
            Self::Control => "balsamfold 2026 control call",
        }
    }
}

/// A key for one purpose, derived from the fleet secret.
#[derive(Clone)]
pub struct DerivedKey([u8; blake3::KEY_LEN]);

impl DerivedKey {
    /// Returns the message authentication code of `message`.
    pub fn mac(&self, message: &[u8]) -> [u8; MAC_BYTES] {
        *blake3::keyed_hash(&self.0, message).as_bytes()
    }

    /// Returns whether `mac` is the authentication code of `message` or a prefix of it.
    ///
    /// The caller fixes the length of `mac`. The time taken does not depend on where a wrong code
    /// differs. An empty or overlong code never matches.
    pub fn verify(&self, message: &[u8], mac: &[u8]) -> bool {
        match self.mac(message).get(..mac.len()) {
            Some(expected) if !mac.is_empty() => expected.ct_eq(mac).into(),
            _ => false,
        }
    }
}

impl fmt::Debug for DerivedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DerivedKey(..)")
    }
}
