//! Values, revisions and leases of the platform's service.

use snafu::Snafu;
use snafu::ensure;

/// Size limit of a value in the service.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

number_type! {
    /// The revision of a value. The service increases it with each write to any key and never
    /// reuses one.
    Revision(u64)
}

number_type! {
    /// Identifies a lease. Values attached to a lease are removed when it ends.
    LeaseId(u64)
}

/// A text of at most [`VALUE_MAX_BYTES`], the limit of the service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PlatformValue(String);

/// Error for a text that is too large for the service.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("value has {size_bytes} bytes, at most {VALUE_MAX_BYTES} are allowed"))]
pub struct InvalidPlatformValueError {
    /// Size of the text in bytes.
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
    /// A value and its revision in the service.
    #[derive(Eq)]
    pub struct StoredValue {
        /// The revision of the latest write to the key.
        pub revision: Revision,
        /// The value.
        pub value: PlatformValue,
    }
}
