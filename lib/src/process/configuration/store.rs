//! The configuration as stored in the platform's service.

use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::time::sleep;

use crate::process::platform::Backoff;
use crate::process::platform::ChangeSeen;
use crate::process::platform::InvalidPlatformValueError;
use crate::process::platform::PlatformClient;
use crate::process::platform::PlatformError;
use crate::process::platform::PlatformKey;
use crate::process::platform::PlatformValue;
use crate::process::platform::Revision;
use crate::process::platform::StoredValue;
use crate::process::platform::SwapOutcome;
use crate::process::platform::swap_with_retry;
use crate::version::Configuration;
use crate::version::RECENT_CHANGES_MAX;

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Maximum pause between two calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// Maximum number of calls in a read.
const READ_TRIES: u32 = 4;

/// A configuration with its revision in the platform's service.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfiguration {
    /// The revision that a write of a changed configuration must expect.
    pub revision: Revision,
    /// The configuration.
    pub configuration: Configuration,
}

impl TryFrom<&StoredValue> for StoredConfiguration {
    type Error = StoreError;

    fn try_from(stored: &StoredValue) -> Result<Self, StoreError> {
        let configuration = serde_json::from_str(stored.value.as_str());
        Ok(Self {
            revision: stored.revision,
            configuration: configuration.context(UnreadableSnafu)?,
        })
    }
}

/// The configuration cannot be read or written.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The platform's service did not return the configuration.
    #[snafu(display("cannot read the configuration: {source}"))]
    Unreachable {
        /// Why the last call failed.
        source: PlatformError,
    },
    /// The value in the platform's service is not a valid configuration.
    #[snafu(display("the value in the platform's service is not a valid configuration: {source}"))]
    Unreadable {
        /// Why the value is not valid.
        source: serde_json::Error,
    },
    /// The configuration is too large for the platform's service.
    #[snafu(display("the configuration is too large: {source}"))]
    TooLarge {
        /// The size of the configuration.
        source: InvalidPlatformValueError,
    },
}

/// Outcome of a write of a configuration.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The configuration is accepted.
    Done,
    /// Another change was accepted first; contains the current configuration.
    Conflict(Option<Box<StoredConfiguration>>),
    /// The configuration may or may not be accepted, now or later.
    Unknown,
    /// The configuration is not accepted and will not be.
    NothingChanged(PlatformError),
}

/// Reads and writes the configuration in the platform's service.
pub struct ConfigurationStore<'a> {
    client: &'a PlatformClient,
    seed: u64,
}

impl<'a> ConfigurationStore<'a> {
    /// Creates a store that uses `client`. The jitter of the pauses is generated from `seed`.
    pub fn new(client: &'a PlatformClient, seed: u64) -> Self {
        Self { client, seed }
    }

    /// Reads the configuration; `None` if there is none yet.
    pub async fn read(&self) -> Result<Option<StoredConfiguration>, StoreError> {
        let mut backoff = self.backoff();
        let mut tries = 1;
        let stored = loop {
            match self.client.get(&PlatformKey::Configuration).await {
                Ok(stored) => break stored,
                Err(source) if tries == READ_TRIES => {
                    return Err(StoreError::Unreachable { source });
                }
                Err(_) => sleep(backoff.next_delay()).await,
            }
            tries += 1;
        };
        stored.as_ref().map(TryInto::try_into).transpose()
    }

    /// Replaces the configuration with the revision `expected` by `next`.
    ///
    /// `None` for `expected` means that there must be no configuration yet.
    pub async fn write(
        &self,
        expected: Option<Revision>,
        next: &Configuration,
    ) -> Result<WriteOutcome, StoreError> {
        let text = serde_json::to_string(next).context(UnreadableSnafu)?;
        let value = PlatformValue::try_from(text).context(TooLargeSnafu)?;
        let key = &PlatformKey::Configuration;
        let seen = |current: Option<&StoredValue>| change_seen(next, current);
        let outcome =
            swap_with_retry(self.client, key, expected, &value, self.backoff(), seen).await;
        Ok(match outcome {
            SwapOutcome::Done => WriteOutcome::Done,
            SwapOutcome::Conflict(current) => WriteOutcome::Conflict(decode_stored(current)),
            SwapOutcome::Unknown => WriteOutcome::Unknown,
            SwapOutcome::NothingChanged(error) => WriteOutcome::NothingChanged(error),
        })
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, self.seed)
    }
}

/// Returns whether the stored value shows that `written` was accepted.
fn change_seen(written: &Configuration, current: Option<&StoredValue>) -> ChangeSeen {
    let Some(Ok(current)) = current.map(StoredConfiguration::try_from) else {
        return ChangeSeen::No;
    };
    let current = current.configuration;
    let newer_versions = current.version.0.saturating_sub(written.version.0);
    match current.contains_change(written.change_id) {
        true => ChangeSeen::Yes,
        false if newer_versions > RECENT_CHANGES_MAX as u64 => ChangeSeen::Unknown,
        false => ChangeSeen::No,
    }
}

fn decode_stored(current: Option<StoredValue>) -> Option<Box<StoredConfiguration>> {
    let current = StoredConfiguration::try_from(&current?);
    current.ok().map(Box::new)
}
