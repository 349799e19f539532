//! What lives for one request.

mod refusal;
mod verdict;

pub use self::refusal::Refusal;
pub use self::refusal::RefusalReason;
pub use self::verdict::InvalidVerdictError;
pub use self::verdict::Verdict;
