//! Brings about failures in a fleet of processes under load and checks what must always hold.

mod faults;
mod invariants;
mod journal;
mod pressure;
mod runner;

pub use self::faults::FaultKind;
pub use self::invariants::Allowance;
pub use self::invariants::Breach;
pub use self::invariants::breaches;
pub use self::journal::End;
pub use self::journal::Seen;
pub use self::runner::ChaosPlan;
pub use self::runner::run_chaos;
