//! The order in which refused callers return: each one that is told a time gets a place at that time.
//!
//! What is short (tokens of an organisation, or the requests that pass a floor) is a stream with a
//! rate. A [`ReturnSchedule`] gives out its next free places, each of them once. A [`ReturnTable`]
//! recognises the callers that come back to a node when they were told to. Both are lost with the
//! process; its callers then rank as new ones. `docs/design/order-of-return.md` has the reasons.

mod key;
mod schedule;
mod settings;
mod table;

pub use self::key::ReturnKey;
pub use self::schedule::PlaceOffer;
pub use self::schedule::ReturnSchedule;
pub use self::settings::ReturnSettings;
pub use self::table::Arrival;
pub use self::table::ReturnTable;
