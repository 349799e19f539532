//! Overload control for service call graphs.
//!
//! The library implements every decision of the system as plain functions over plain state, and
//! contains the code that connects these decisions to sockets and timers. It has no terminal input
//! or output: the daemon and the command line are thin programs that use it.
//!
//! Modules are divided by the lifetime of their data: a [`request`], a [`connection`], one accepted
//! configuration ([`version`]) or the whole [`process`]. [`values`] contains the checked types that
//! all of them use.

#[macro_use]
mod macros;

pub mod connection;
pub mod process;
pub mod request;
pub mod values;
pub mod version;
