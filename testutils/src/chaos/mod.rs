//! Injects failures into a fleet of processes under load and checks the invariants.

mod faults;
mod invariants;
mod load;
mod records;
mod runner;

pub use self::faults::FaultKind;
pub use self::invariants::Allowance;
pub use self::invariants::Breach;
pub use self::invariants::find_breaches;
pub use self::records::CallerRecord;
pub use self::records::RequestOutcome;
pub use self::runner::ChaosPlan;
pub use self::runner::run_chaos;
