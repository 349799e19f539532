//! When the configuration in force was last known to be the newest one.

use std::time::Duration;

use super::store::StoreEra;
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

/// A read of the store.
#[derive(Clone, Copy, Debug)]
struct StoreRead {
    version: ConfigVersion,
    requested_at: MonotonicTime,
    era: StoreEra,
}

/// The last time at which the configuration in force was certainly the newest one.
///
/// A confirmation counts from the time before its request was sent, because later changes may be
/// missing from the response. Other nodes report the age of their own confirmations. That age is
/// subtracted from the time before the report was requested, so the clocks of nodes are never
/// compared.
///
/// A store that went back to an earlier copy returns an older version than it had acknowledged. So
/// a read confirms nothing while other nodes know a newer version, and the reads of an era count
/// once other nodes were asked in it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    version: ConfigVersion,
    /// In microseconds since the start of this process. Negative if other nodes confirmed the
    /// version before that.
    confirmed_at_us: Option<i64>,
    /// The newest version that another node named.
    named: ConfigVersion,
    /// When it was named first.
    named_at: MonotonicTime,
    /// The last era of the store in which other nodes were asked.
    asked_era: Option<StoreEra>,
    /// Whether any of them replied.
    is_backed: bool,
    /// The last read in a later era.
    unasked_read: Option<StoreRead>,
}

impl Confirmation {
    /// Records that `version` was the newest one in the store's response to a request sent after
    /// `requested_at`, which was of `era`. Returns whether other nodes must be asked in that era
    /// before the response counts.
    pub fn confirm(
        &mut self,
        version: ConfigVersion,
        requested_at: MonotonicTime,
        era: StoreEra,
    ) -> bool {
        self.adopt(version);
        let read = StoreRead {
            version,
            requested_at,
            era,
        };
        match self.asked_era {
            Some(asked) if era < asked => false,
            Some(asked) if era == asked => {
                self.apply_read(read);
                false
            }
            Some(_) | None => {
                self.unasked_read = Some(read);
                true
            }
        }
    }

    /// Returns whether other nodes are to be asked for newer versions than the store has in `era`.
    pub fn must_ask(&self, era: StoreEra) -> bool {
        !self.is_backed || self.asked_era.is_none_or(|asked| asked < era)
    }

    /// Records that other nodes were asked after a response of the store in `era`, and whether any
    /// replied. Without a reply, the store alone decides.
    pub fn others_asked(&mut self, era: StoreEra, have_replied: bool) {
        if self.asked_era.is_some_and(|asked| era < asked) {
            return;
        }
        self.is_backed = have_replied || (self.is_backed && self.asked_era == Some(era));
        self.asked_era = Some(era);
        if let Some(read) = self.unasked_read.take_if(|read| read.era <= era) {
            self.apply_read(read);
        }
    }

    fn apply_read(&mut self, read: StoreRead) {
        match read.version {
            // The store went back, so that earlier reads of it prove nothing either.
            version if version < self.named && read.requested_at >= self.named_at => {
                self.confirmed_at_us = None;
            }
            version if version < self.named || version < self.version => {}
            _ => self.confirmed_at_us = self.confirmed_at_us.max(Some(read.requested_at.0 as i64)),
        }
    }

    /// Adopts a newer version, for example from a watch, without confirming it.
    pub fn adopt(&mut self, version: ConfigVersion) {
        self.version = self.version.max(version);
    }

    /// Applies the report that another node sent for a request of `requested_at`, and that arrived
    /// at `now`.
    pub fn apply_report(
        &mut self,
        report: ConfirmationReport,
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) -> ConfirmationUse {
        if report.version > self.named {
            self.named = report.version;
            self.named_at = now;
        }
        if report.version > self.version {
            if !self.is_backed {
                self.confirmed_at_us = None;
            }
            return ConfirmationUse::NewerVersion;
        }
        let is_newest = report.version == self.version && self.knows_newest();
        if let (true, Some(age_us)) = (is_newest, report.age_us) {
            let at_us = (requested_at.0 as i64).saturating_sub_unsigned(age_us);
            self.confirmed_at_us = self.confirmed_at_us.max(Some(at_us));
        }
        ConfirmationUse::Applied
    }

    /// Returns whether no other node named a newer version than the one in force.
    pub fn knows_newest(&self) -> bool {
        self.version >= self.named
    }

    /// Returns whether the last read of the store counts, and no other node knows a newer version.
    pub fn is_settled(&self) -> bool {
        self.knows_newest() && self.unasked_read.is_none()
    }

    /// Returns the time since the version in force was certainly the newest.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        let age_us = |at_us| (now.0 as i64).saturating_sub(at_us).max(0) as u64;
        self.confirmed_at_us
            .map(|at_us| Duration::from_micros(age_us(at_us)))
    }

    /// Returns this node's report for other nodes.
    pub fn report(&self, now: MonotonicTime) -> ConfirmationReport {
        ConfirmationReport {
            version: self.version,
            age_us: self.age(now).map(|age| age.as_micros() as u64),
        }
    }
}
