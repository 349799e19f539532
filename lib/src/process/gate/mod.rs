//! The admission gate in front of the local backend server: how many requests run at a time, which
//! of the others wait, and which ones upstream nodes refuse early.

mod admission;
mod completion;
mod demand;
mod downstream_floors;
mod fair_share;
mod floor;
mod gate_state;
mod limit;
mod notice;
mod pace;
mod permit;
mod queue;
mod rate_meter;
mod retry_after;
mod service_time;
mod usage;

pub use self::admission::AdmissionDecision;
pub use self::admission::AdmissionRequest;
pub use self::admission::DroppedRequest;
pub use self::admission::Wakeups;
pub use self::completion::Completion;
pub use self::completion::CompletionOutcome;
pub use self::demand::DemandMeter;
pub use self::demand::WindowLoad;
pub use self::downstream_floors::Admission;
pub use self::downstream_floors::DownstreamFloors;
pub use self::fair_share::OrganisationDemand;
pub use self::fair_share::fair_level;
pub use self::floor::AdmissionFloor;
pub use self::floor::InvalidFloorError;
pub use self::gate_state::GateState;
pub use self::limit::AdaptiveLimit;
pub use self::notice::FloorNotice;
pub use self::notice::InvalidNoticeError;
pub use self::notice::OrganisationFloor;
pub use self::pace::Pace;
pub use self::permit::Gate;
pub use self::permit::Permit;
pub use self::queue::QueueEntry;
pub use self::queue::Ticket;
pub use self::queue::WaitingQueue;
pub use self::retry_after::RetryAfter;
pub use self::service_time::ServiceTime;
pub use self::usage::Usage;
