//! Requests for a slot of the gate, and the decisions on them.

use std::time::Duration;

use super::Ticket;
use crate::request::Refusal;
use crate::values::Importance;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::RatePerSecond;
use crate::values::RequestId;

/// A request for a slot of the gate.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Importance of the root request.
    pub importance: Importance,
    /// The organisation for which the request runs; `None` on open routes.
    pub organisation: Option<OrganisationId>,
    /// Rate limit of the organisation, which is its weight in fair sharing.
    pub rate: RatePerSecond,
    /// Id of the root request.
    pub root: RequestId,
    /// Time left until the deadline.
    pub remaining: Duration,
}

/// The gate's decision on a request for a slot.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The request holds a slot.
    Started,
    /// The request waits for a slot.
    Waiting {
        /// Identifies the waiting request.
        ticket: Ticket,
        /// Time after which the request can no longer finish before its deadline.
        start_by: MonotonicTime,
    },
    /// The request is refused.
    Refused(Refusal),
}

/// A waiting request that the gate removed from the queue and refuses.
#[derive(Clone, Debug, PartialEq)]
pub struct DroppedRequest {
    /// The waiting request.
    pub ticket: Ticket,
    /// The refusal for its caller.
    pub refusal: Refusal,
}

/// Waiting requests that left the queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wakeups {
    /// Requests that now hold a slot.
    pub started: Vec<Ticket>,
    /// Requests that are refused.
    pub dropped: Vec<DroppedRequest>,
}
