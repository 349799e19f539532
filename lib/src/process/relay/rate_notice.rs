//! The limit that the local backend server names in its responses.

use std::time::Duration;

use crate::values::MonotonicTime;
use crate::values::ServerRate;

/// A change of the limit that a backend server names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateChange {
    /// The server takes this many requests per second.
    Named(ServerRate),
    /// The server no longer names a limit.
    Ended,
}

/// The limit that the local backend server names in its responses.
///
/// It is in force as long as the server names it. Responses may overtake each other, so one without
/// a limit ends it only some time after the last one that named it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateNotice {
    rate: Option<ServerRate>,
    named_at: MonotonicTime,
}

impl RateNotice {
    /// Time after the last response with a limit from which on one without a limit ends it.
    const HOLD: Duration = Duration::from_millis(500);

    /// Applies the limit that a response names, if any. Returns what changed.
    pub fn observe(&mut self, named: Option<ServerRate>, now: MonotonicTime) -> Option<RateChange> {
        if named.is_some() {
            self.named_at = now;
        }
        let is_held = named.is_none() && now.since(self.named_at) < Self::HOLD;
        if is_held || named == self.rate {
            return None;
        }
        self.rate = named;
        Some(named.map_or(RateChange::Ended, RateChange::Named))
    }
}
