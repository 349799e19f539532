//! Nodes and their backend servers in the process of the test, over real sockets.

mod caller;
mod configuration;
mod configured_fleet;
mod raw;
mod test_fleet;

pub use self::caller::Caller;
pub use self::caller::post;
pub use self::configuration::sample_configuration;
pub use self::configuration::sample_key;
pub use self::configuration::sample_route;
pub use self::configured_fleet::ConfiguredFleet;
pub use self::configured_fleet::wait_until;
pub use self::raw::AfterSend;
pub use self::raw::send_raw;
pub use self::test_fleet::FLEET_SECRET;
pub use self::test_fleet::TestFleet;
pub use self::test_fleet::TestNode;
pub use self::test_fleet::raw_settings;
