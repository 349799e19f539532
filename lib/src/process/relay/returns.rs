//! Callers of a relay that were refused and come back.

use std::time::Duration;

use http::request::Parts;
use parking_lot::Mutex;

use super::caller_responses::RETRY_AFTER_RATIO;
use crate::process::events::relay as events;
use crate::process::rates::RateCaller;
use crate::process::returns::Arrival;
use crate::process::returns::ReturnKey;
use crate::process::returns::ReturnSettings;
use crate::process::returns::ReturnTable;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;

/// The callers that a relay expects back.
#[derive(Debug)]
pub(super) struct Returns {
    settings: ReturnSettings,
    table: Mutex<ReturnTable>,
}

/// A caller whose request has arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReturningCaller {
    key: ReturnKey,
    arrival: Arrival,
    /// Longest time until a place.
    horizon: Duration,
}

impl Returns {
    pub(super) fn new(settings: ReturnSettings) -> Self {
        Self {
            settings,
            table: Mutex::new(ReturnTable::new(settings.callers_max)),
        }
    }

    /// Recognises the caller of an arriving request, who waits for `remaining`.
    pub(super) fn arrive(
        &self,
        organisation: Option<&OrganisationId>,
        parts: &Parts,
        remaining: Duration,
        now: MonotonicTime,
    ) -> ReturningCaller {
        let key = ReturnKey::of(organisation, parts);
        let mut table = self.table.lock();
        let missed = table.forget_missed(now);
        let arrival = table.arrive(key, now);
        let has_room = table.has_room();
        drop(table);
        if missed > 0 {
            events::RETURN_MISSED.log(format_args!("callers={missed}"));
        }
        ReturningCaller {
            key,
            arrival,
            horizon: match (arrival, has_room) {
                // A caller that was refused before may not come a third time.
                (Arrival::New, true) => {
                    let patience = remaining.min(Duration::from_secs(3_600));
                    let patience = patience.mul_f64(RETRY_AFTER_RATIO);
                    self.settings.horizon().min(patience)
                }
                _ => Duration::ZERO,
            },
        }
    }

    /// Expects a refused caller back.
    pub(super) fn expect(&self, caller: &ReturningCaller, due: MonotonicTime, has_place: bool) {
        self.table.lock().expect(caller.key, due, has_place);
    }
}

impl ReturningCaller {
    /// Returns what the caller's token depends on.
    pub(super) fn rate_caller(&self) -> RateCaller {
        RateCaller {
            has_place: self.arrival.has_place(),
            horizon: self.horizon,
        }
    }

    /// Logs what became of a caller's place.
    pub(super) fn log_outcome(&self, request_id: &str, organisation: &OrganisationId, got: bool) {
        if let Arrival::Returned {
            has_place: true,
            late,
        } = self.arrival
        {
            events::RETURNED.log(format_args!(
                "request={request_id} organisation={organisation} is_kept={got} late_ms={}",
                late.as_millis()
            ));
        }
    }
}
