//! Handles with which a backend server refers to the request that it runs.

use std::fmt;
use std::str::FromStr;

use slotmap::Key;
use slotmap::KeyData;
use slotmap::new_key_type;
use snafu::Snafu;
use subtle::ConstantTimeEq;

new_key_type! {
    /// The index of a request in the in-flight table of its node.
    pub struct InFlightKey;
}

/// A random handle, valid on one node while the request is in flight.
#[derive(Clone, Copy)]
pub struct Handle {
    pub(super) key: InFlightKey,
    secret: u128,
}

impl Handle {
    /// Creates a handle with a random secret for an index in the table.
    pub(super) fn random(key: InFlightKey) -> Self {
        Self {
            key,
            secret: rand::random(),
        }
    }

    /// Compares two handles; the comparison of their secrets takes constant time.
    pub(super) fn matches(&self, other: &Self) -> bool {
        let same_secret = self.secret.to_be_bytes().ct_eq(&other.secret.to_be_bytes());
        self.key == other.key && same_secret.into()
    }
}

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:032x}", self.key.data().as_ffi(), self.secret)
    }
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Handle(..)")
    }
}

/// The text is not a handle.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("handle is not 48 hexadecimal digits"))]
pub struct InvalidHandleError;

impl FromStr for Handle {
    type Err = InvalidHandleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const KEY_DIGITS: usize = 16;
        const DIGITS: usize = 48;
        if text.len() != DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(InvalidHandleError);
        }
        let key = u64::from_str_radix(&text[..KEY_DIGITS], 16).map_err(|_| InvalidHandleError)?;
        let secret =
            u128::from_str_radix(&text[KEY_DIGITS..], 16).map_err(|_| InvalidHandleError)?;
        Ok(Self {
            key: KeyData::from_ffi(key).into(),
            secret,
        })
    }
}
