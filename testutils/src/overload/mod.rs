//! An overload experiment on the decisions of gates, floors and routing, by a virtual clock.
//!
//! Servers are plain structs that hold a slot for their service time and for their onward call.
//! Sockets, tokens, leases and faults of the network are left out. Sizes are those of the
//! deployments, and service times are chosen, as nobody has stated them.

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
