//! A fleet of separate processes on the loopback interface.

mod child;
mod layout;
mod process_fleet;
mod programs;
mod signals;
mod usage;

pub use self::child::ChildProcess;
pub use self::layout::ServicePlan;
pub use self::layout::chain;
pub use self::process_fleet::ProcessFleet;
pub use self::process_fleet::ProcessNode;
pub use self::process_fleet::start_server;
pub use self::programs::Programs;
pub use self::signals::wait_for_stop_signal;
pub use self::usage::ProcessUsage;
