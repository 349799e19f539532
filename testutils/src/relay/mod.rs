//! Relays in one process, with stand-ins for their store and backend servers.

mod deaf_socket;
mod fleet;
mod peer;
mod samples;
mod server;
mod silenced_proxy;
mod store;
mod suspects;

pub use self::deaf_socket::deafen;
pub use self::fleet::CONFIGURATION_KEY;
pub use self::fleet::EVACUATION_PREFIX;
pub use self::fleet::PANIC_BYTES;
pub use self::fleet::RelayFleet;
pub use self::fleet::StoredPlan;
pub use self::fleet::relay_protocol;
pub use self::peer::PeerStandIn;
pub use self::peer::unconfirmed;
pub use self::samples::SAMPLE_SETTINGS;
pub use self::samples::at_ms;
pub use self::samples::organisation_limits;
pub use self::samples::sample_keyed_plan;
pub use self::samples::sample_node_record;
pub use self::samples::sample_open_plan;
pub use self::samples::sample_organisation;
pub use self::samples::sample_route;
pub use self::samples::soak_seeds;
pub use self::server::Behaviour;
pub use self::server::ReceivedRequest;
pub use self::server::RelayServer;
pub use self::silenced_proxy::SilencedProxy;
pub use self::store::MemoryStore;
pub use self::suspects::suspected_on;
