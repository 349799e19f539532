//! Checked types for names, numbers and times, shared by the whole library.

mod clock;
mod names;
mod numbers;
mod server_rate;

pub use self::clock::Clock;
pub use self::clock::MonotonicTime;
pub use self::clock::WallTime;
pub use self::names::ClassId;
pub use self::names::InvalidNameError;
pub use self::names::KeyId;
pub use self::names::NAME_MAX_CHARS;
pub use self::names::NodeId;
pub use self::names::OrganisationId;
pub use self::names::RegionId;
pub use self::names::ServiceId;
pub use self::names::ZoneId;
pub(crate) use self::names::check_name;
pub use self::numbers::ConfigVersion;
pub use self::numbers::ConnectionCount;
pub use self::numbers::Epoch;
pub use self::numbers::Importance;
pub use self::numbers::Incarnation;
pub use self::numbers::RatePerSecond;
pub use self::numbers::RequestId;
pub use self::numbers::SlotCount;
pub use self::numbers::TokenCount;
pub use self::server_rate::InvalidServerRateError;
pub use self::server_rate::ServerRate;
