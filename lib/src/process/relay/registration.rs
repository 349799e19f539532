//! Tracks the incarnation of the local backend server, from reports in any order.

use super::protocol::ServerReport;
use crate::values::WallTime;

plain_data! {
    /// The order of a report among those of all incarnations of a server.
    #[derive(Eq)]
    struct ReportStamp {
        server_id: String,
        born_ms: u64,
        sequence: u64,
    }
}

/// The effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The report is of another incarnation than the one known before.
    NewLife,
    /// The server no longer wants new work.
    BeganDraining,
    /// The server wants new work again.
    WantsWork,
    /// Nothing relevant has changed.
    Renewed,
    /// The report is older than one that was applied before, or of an incarnation that departed.
    Outdated,
}

plain_data! {
    /// The last departure that was reported.
    #[derive(Eq)]
    struct Departure {
        server_id: String,
        at: WallTime,
    }
}

plain_data! {
    /// The known incarnation of the local backend server, from reports that may be late or
    /// duplicated.
    ///
    /// It is stored before a server's leaving is acknowledged: a late report of that incarnation
    /// must not register it again after a restart of the node.
    #[derive(Default, Eq)]
    pub struct Registration {
        latest: Option<ReportStamp>,
        /// Whether the latest report says that the server wants no new work.
        is_draining: bool,
        /// Whether the server said in a response that it leaves. Its reports may not say so.
        #[serde(default)]
        announced_leaving: bool,
        departed: Option<Departure>,
    }
}

impl Registration {
    /// Applies a report and returns its effect.
    pub fn apply_report(&mut self, report: &ServerReport) -> ReportEffect {
        let stamp = ReportStamp {
            server_id: report.server_id.clone(),
            born_ms: report.born_ms,
            sequence: report.sequence,
        };
        if self.has_departed(report) {
            return ReportEffect::Outdated;
        }
        let effect = match &self.latest {
            Some(known) if stamp.born_ms < known.born_ms => return ReportEffect::Outdated,
            Some(known) if stamp.born_ms == known.born_ms && stamp.server_id == known.server_id => {
                match () {
                    () if stamp.sequence <= known.sequence => return ReportEffect::Outdated,
                    () if report.is_draining && !self.is_draining => ReportEffect::BeganDraining,
                    () if !report.is_draining && self.is_draining => ReportEffect::WantsWork,
                    () => ReportEffect::Renewed,
                }
            }
            Some(_) | None => ReportEffect::NewLife,
        };
        if matches!(effect, ReportEffect::NewLife | ReportEffect::WantsWork) {
            self.announced_leaving = false;
        }
        self.latest = Some(stamp);
        self.is_draining = report.is_draining;
        effect
    }

    /// Returns whether all times may be those of this instance's clock at `now`. Later ones would
    /// make the reports of all servers outdated.
    pub fn is_plausible(&self, now: WallTime) -> bool {
        let born = self.latest.as_ref().map(|known| WallTime(known.born_ms));
        let departed = self.departed.as_ref().map(|departed| departed.at);
        let mut times = born.into_iter().chain(departed);
        times.all(|time| time.is_plausible(now))
    }

    /// Records that the server said in a response that it leaves. Returns whether that is new.
    pub fn announce_leaving(&mut self, server_id: &str) -> bool {
        let is_known = self
            .latest
            .as_ref()
            .is_some_and(|known| known.server_id == server_id);
        let is_new = is_known && !self.announced_leaving;
        self.announced_leaving |= is_known;
        is_new
    }

    /// Returns whether the known incarnation gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.is_draining || self.announced_leaving
    }

    /// Returns whether a later process of the node must know what was reported, because it could use
    /// a server otherwise that leaves or has left.
    pub fn must_be_stored(&self) -> bool {
        self.is_leaving() || self.departed.is_some()
    }

    /// Returns whether a report is of an incarnation that departed, which is one that started
    /// before the departure.
    fn has_departed(&self, report: &ServerReport) -> bool {
        self.departed.as_ref().is_some_and(|departed| {
            departed.server_id == report.server_id && report.born_ms <= departed.at.0
        })
    }

    /// Applies the departure of a server at `now`, also of an unknown one, as its reports may
    /// arrive after the departure. Returns whether the server is the known one.
    pub fn apply_departure(&mut self, server_id: &str, now: WallTime) -> bool {
        self.departed = Some(Departure {
            server_id: server_id.to_owned(),
            at: now,
        });
        let known = self.latest.as_ref();
        known.is_some_and(|known| known.server_id == server_id)
    }
}
