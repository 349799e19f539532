//! A stand-in for the platform's key-value service, in memory.

mod faults;
mod http;
mod server;
mod store;

pub use self::faults::Faults;
pub use self::server::PlatformStandIn;
pub use self::server::StandInStatus;
pub use self::store::PlatformStore;
