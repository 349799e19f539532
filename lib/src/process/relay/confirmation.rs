//! When the configuration in force was last known to be the newest one.

use std::time::Duration;

use crate::values::ConfigVersion;
use crate::values::MonotonicTime;

plain_value! {
    /// A node's report about the newest configuration that it knows.
    pub struct ConfirmationReport {
        /// The newest version that the node knows.
        pub version: ConfigVersion,
        /// Time in microseconds since the version was certainly the newest, or none if that is
        /// unknown.
        pub age_us: Option<u64>,
    }
}

plain_value! {
    /// The effect of a confirmation report from another node.
    pub enum ConfirmationUse {
        /// It confirmed the version in force, or had no effect.
        #[serde(rename = "Taken")]
        Applied,
        /// It names a version that this node does not have.
        NewerVersion,
    }
}

/// The last time at which the configuration in force was certainly the newest one.
///
/// A confirmation counts from the time before its request was sent, because later changes may be
/// missing from the response. Other nodes report the age of their own confirmations. That age is
/// subtracted from the time before the report was requested, so the clocks of nodes are never
/// compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    version: ConfigVersion,
    confirmed_at: Option<MonotonicTime>,
}

impl Confirmation {
    /// Records that `version` was the newest one in the store's response to a request sent after
    /// `requested_at`.
    pub fn confirm(&mut self, version: ConfigVersion, requested_at: MonotonicTime) {
        if version > self.version {
            self.version = version;
            self.confirmed_at = Some(requested_at);
        } else if version == self.version {
            self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        }
    }

    /// Adopts a newer version, for example from a watch, without confirming it.
    pub fn adopt(&mut self, version: ConfigVersion) {
        if version > self.version {
            self.version = version;
        }
    }

    /// Applies the report that another node sent for a request of `requested_at`.
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

    /// Returns this node's report for other nodes.
    pub fn report(&self, now: MonotonicTime) -> ConfirmationReport {
        ConfirmationReport {
            version: self.version,
            age_us: self.age(now).map(|age| age.as_micros() as u64),
        }
    }
}
