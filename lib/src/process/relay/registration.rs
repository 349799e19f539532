//! Which life of the backend server beside the node is known, from reports in any order.

use super::protocol::ServerReport;

/// The order of a report among those of all lives of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReportStamp {
    server_id: String,
    born_ms: u64,
    sequence: u64,
}

/// What a report changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The report is of another life than the one known before.
    NewLife,
    /// The server asks for no new work any more.
    BeganDraining,
    /// The server wants new work again.
    WantsWork,
    /// Nothing that matters has changed.
    Renewed,
    /// The report is older than one that was taken before.
    Outdated,
}

/// Which life of the backend server is known, from reports that may be late or doubled.
#[derive(Clone, Debug, Default)]
pub struct Registration {
    latest: Option<ReportStamp>,
    is_draining: bool,
    has_left: bool,
}

impl Registration {
    /// Takes a report.
    pub fn report(&mut self, report: &ServerReport) -> ReportEffect {
        let stamp = ReportStamp {
            server_id: report.server_id.clone(),
            born_ms: report.born_ms,
            sequence: report.sequence,
        };
        let effect = match &self.latest {
            Some(known) if stamp.born_ms < known.born_ms => return ReportEffect::Outdated,
            Some(known) if stamp.born_ms == known.born_ms && stamp.server_id == known.server_id => {
                match () {
                    () if self.has_left => return ReportEffect::Outdated,
                    () if stamp.sequence <= known.sequence => return ReportEffect::Outdated,
                    () if report.is_draining && !self.is_draining => ReportEffect::BeganDraining,
                    () if !report.is_draining && self.is_draining => ReportEffect::WantsWork,
                    () => ReportEffect::Renewed,
                }
            }
            Some(_) | None => ReportEffect::NewLife,
        };
        self.latest = Some(stamp);
        self.is_draining = report.is_draining;
        self.has_left = false;
        effect
    }

    /// Takes the departure of a server. Returns whether it was the one that is known.
    pub fn leave(&mut self, server_id: &str) -> bool {
        let is_known = self
            .latest
            .as_ref()
            .is_some_and(|known| known.server_id == server_id);
        self.has_left |= is_known;
        is_known
    }
}
