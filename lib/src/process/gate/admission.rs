//! Requests that ask for a slot, and what becomes of them.

use std::time::Duration;

use super::Ticket;
use crate::request::Refusal;
use crate::values::Importance;
use crate::values::MonotonicTime;
use crate::values::OrganisationId;
use crate::values::RatePerSecond;
use crate::values::RequestId;

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Rank of the root request.
    pub importance: Importance,
    /// The organisation for which the request runs; none on routes open to all.
    pub organisation: Option<OrganisationId>,
    /// The rate of the organisation, which is its share.
    pub rate: RatePerSecond,
    /// The root request.
    pub root: RequestId,
    /// Time left until the deadline.
    pub remaining: Duration,
}

/// What becomes of a request that asks for a slot.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The request holds a slot.
    Started,
    /// The request waits for a slot.
    Waiting {
        /// Identifies the waiting request.
        ticket: Ticket,
        /// When the request must be given up because it can no longer finish in time.
        start_by: MonotonicTime,
    },
    /// The request is refused.
    Refused(Refusal),
}

/// A waiting request that is answered with a refusal now.
#[derive(Clone, Debug, PartialEq)]
pub struct DroppedRequest {
    /// The waiting request.
    pub ticket: Ticket,
    /// Its answer.
    pub refusal: Refusal,
}

/// Waiting requests whose fate was decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wakeups {
    /// Requests that hold a slot now.
    pub started: Vec<Ticket>,
    /// Requests that are answered with a refusal now.
    pub dropped: Vec<DroppedRequest>,
}
