//! Choice among the nodes of a service by observed load, failures and zone.

mod destination;
mod router;

pub use self::destination::CallOutcome;
pub use self::destination::Destination;
pub use self::router::ChooseContext;
pub use self::router::Router;
