//! Values, revisions and leases of the platform's service.

use snafu::Snafu;
use snafu::ensure;

/// Largest value that the service holds.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

number_type! {
    /// The revision of a value. The service raises it with each write, over all keys, and never
    /// uses one twice.
    Revision(u64)
}

number_type! {
    /// Names a lease. Values that hang on it go when it ends.
    LeaseId(u64)
}

/// A text that the service can hold.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PlatformValue(String);

/// The text is too large for the service.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("value has {size_bytes} bytes, allowed are {VALUE_MAX_BYTES}"))]
pub struct InvalidPlatformValueError {
    /// Size of the text.
    pub size_bytes: usize,
}

impl PlatformValue {
    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for PlatformValue {
    type Error = InvalidPlatformValueError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let size_bytes = text.len();
        ensure!(
            size_bytes <= VALUE_MAX_BYTES,
            InvalidPlatformValueSnafu { size_bytes }
        );
        Ok(Self(text))
    }
}

impl From<PlatformValue> for String {
    fn from(value: PlatformValue) -> Self {
        value.0
    }
}

plain_data! {
    /// A value as the service holds it.
    #[derive(Eq)]
    pub struct StoredValue {
        /// The revision of the latest write to the key.
        pub revision: Revision,
        /// The value.
        pub value: PlatformValue,
    }
}
