//! Stand-ins for the platform's store, backend servers and clients, and the relays of a small deployment as
//! processes. They follow the users' pages; everything listens on loopback addresses.

pub mod client;
pub mod crowd;
pub mod http;
pub mod limited;
pub mod machine;
pub mod record;
pub mod server;
pub mod store;

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
