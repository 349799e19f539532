//! How old the knowledge is that a configuration is the newest one.

use std::time::Duration;

use crate::values::ConfigVersion;
use crate::values::MonotonicTime;

plain_value! {
    /// What a node says of the newest configuration that it knows.
    pub struct ConfirmationReport {
        /// The version.
        pub version: ConfigVersion,
        /// Time since the version was certainly the newest, or none if that is unknown.
        pub age_us: Option<u64>,
    }
}

plain_value! {
    /// What becomes of a confirmation report of another node.
    pub enum ConfirmationUse {
        /// It confirmed the version in force, or told nothing new.
        #[serde(rename = "Taken")]
        Applied,
        /// It names a version that this node does not have.
        NewerVersion,
    }
}

/// The last moment at which the configuration in force was certainly the newest one.
///
/// A confirmation counts from the moment before its question was sent: whatever changed later may
/// be missing in the answer. Other nodes report the age of their own confirmations; that age is
/// taken back from the moment before they were asked, so no clocks are compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    version: ConfigVersion,
    confirmed_at: Option<MonotonicTime>,
}

impl Confirmation {
    /// Notes that `version` was the newest one in the store's answer to a question of `requested_at`.
    pub fn confirm(&mut self, version: ConfigVersion, requested_at: MonotonicTime) {
        if version > self.version {
            self.version = version;
            self.confirmed_at = Some(requested_at);
        } else if version == self.version {
            self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        }
    }

    /// Puts a version in force that a watch brought.
    pub fn adopt(&mut self, version: ConfigVersion) {
        if version > self.version {
            self.version = version;
        }
    }

    /// Applies the report of another node that was asked at `requested_at`.
    pub fn apply_report(
        &mut self,
        report: ConfirmationReport,
        requested_at: MonotonicTime,
    ) -> ConfirmationUse {
        if report.version > self.version {
            return ConfirmationUse::NewerVersion;
        }
        if let (true, Some(age_us)) = (report.version == self.version, report.age_us)
            && let Some(at_us) = requested_at.0.checked_sub(age_us)
        {
            self.confirmed_at = self.confirmed_at.max(Some(MonotonicTime(at_us)));
        }
        ConfirmationUse::Applied
    }

    /// Returns the time since the version in force was certainly the newest.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns what this node can say to others.
    pub fn report(&self, now: MonotonicTime) -> ConfirmationReport {
        ConfirmationReport {
            version: self.version,
            age_us: self.age(now).map(|age| age.as_micros() as u64),
        }
    }
}
