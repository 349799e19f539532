//! Overload control for service call graphs.
//!
//! The library holds every decision of the system as plain functions over plain state, and the
//! parts that wrap those decisions in sockets and timers. It knows nothing of a terminal: the
//! daemon and the command line are thin programs over it.
//!
//! Modules follow the life span of what they hold: a [`request`], a [`connection`], one accepted
//! configuration ([`version`]) or the whole [`process`]. [`values`] holds the checked types that
//! all of them use.

#[macro_use]
mod macros;

pub mod connection;
pub mod process;
pub mod request;
pub mod values;
pub mod version;
