//! A discrete-event simulation of overload on a virtual clock.
//!
//! It runs the library's admission gates, admission floors and routing. A simulated server holds a
//! slot for its service time and for its onward call. Sockets, tokens, leases and network faults
//! are not simulated. Sizes are those of the deployments; service times are assumptions, because
//! the deployments do not specify them.

mod bucket;
mod calls;
mod clients;
mod deployment;
mod driver;
mod model;
mod report;
mod servers;

pub use self::deployment::Deployment;
pub use self::deployment::Organisation;
pub use self::deployment::Route;
pub use self::deployment::Service;
pub use self::driver::run;
pub use self::model::Control;
pub use self::report::Report;
