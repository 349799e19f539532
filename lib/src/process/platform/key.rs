//! Keys that the system uses in the platform's key-value service.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt;
use snafu::Snafu;

use crate::values::ZoneId;

/// A key in the platform's key-value service. Its text form is the key in the service.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub enum PlatformKey {
    /// The configuration of the fleet.
    Configuration,
    /// Addresses of a few nodes of a zone, which starting nodes contact first.
    Seeds(ZoneId),
    /// Epoch and holder of the token buckets of a zone.
    RateHolder(ZoneId),
    /// Epoch of the at-most-once records of a zone.
    RecordHome(ZoneId),
}

/// Error for a text that is not a key of the system.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a key of the platform's service"))]
pub struct InvalidPlatformKeyError {
    text: String,
}

impl fmt::Display for PlatformKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration => f.write_str("configuration"),
            Self::Seeds(zone) => write!(f, "seeds/{zone}"),
            Self::RateHolder(zone) => write!(f, "rate-holder/{zone}"),
            Self::RecordHome(zone) => write!(f, "record-home/{zone}"),
        }
    }
}

impl FromStr for PlatformKey {
    type Err = InvalidPlatformKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<_> = text.split('/').collect();
        let key = match parts.as_slice() {
            ["configuration"] => Ok(Self::Configuration),
            ["seeds", zone] => zone.parse().map(Self::Seeds),
            ["rate-holder", zone] => zone.parse().map(Self::RateHolder),
            ["record-home", zone] => zone.parse().map(Self::RecordHome),
            _ => return InvalidPlatformKeySnafu { text }.fail(),
        };
        key.ok().context(InvalidPlatformKeySnafu { text })
    }
}

impl TryFrom<String> for PlatformKey {
    type Error = InvalidPlatformKeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<PlatformKey> for String {
    fn from(key: PlatformKey) -> Self {
        key.to_string()
    }
}
