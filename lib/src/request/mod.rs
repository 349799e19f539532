//! What lives for one request.

mod attempts;
mod context;
mod deadline;
mod handle;
mod in_flight;
mod problem;
mod refusal;
mod retry;
mod verdict;

pub use self::attempts::AttemptBudget;
pub use self::attempts::AttemptCount;
pub use self::attempts::CallEnd;
pub use self::attempts::CallHash;
pub use self::attempts::Loan;
pub use self::attempts::OnwardCalls;
pub use self::context::AttemptId;
pub use self::context::DEPTH_MAX;
pub use self::context::RequestContext;
pub use self::deadline::ChainDepth;
pub use self::deadline::Deadline;
pub use self::deadline::RemainingMs;
pub use self::handle::Handle;
pub use self::handle::InvalidHandleError;
pub use self::in_flight::InFlight;
pub use self::in_flight::InFlightGuard;
pub use self::in_flight::InFlightTable;
pub use self::problem::Problem;
pub use self::problem::refusal_of;
pub use self::problem::refusal_response;
pub use self::refusal::Refusal;
pub use self::refusal::RefusalReason;
pub use self::retry::Backoff;
pub use self::retry::FailedAttempt;
pub use self::retry::RetryRatio;
pub use self::verdict::InvalidVerdictError;
pub use self::verdict::Verdict;
