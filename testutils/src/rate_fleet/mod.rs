//! Simulates the state machines of fleet rates under a seeded schedule of messages and faults.

mod bound;
mod fleet;
mod message;
mod node;

pub use self::bound::Bound;
pub use self::fleet::Counting;
pub use self::fleet::Fault;
pub use self::fleet::FleetSettings;
pub use self::fleet::Link;
pub use self::fleet::RateFleet;
pub use self::fleet::Tally;
pub use self::node::Lending;
pub use self::node::NewHolder;
