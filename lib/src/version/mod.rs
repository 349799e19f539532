//! What lives for one accepted configuration.

mod configuration;
mod key;
mod organisation;
mod route;
mod zone;

pub use self::configuration::ChangeId;
pub use self::configuration::Configuration;
pub use self::key::CallerKey;
pub use self::key::InvalidKeyHashError;
pub use self::key::KeyHash;
pub use self::key::KeyRecord;
pub use self::key::KeyState;
pub use self::organisation::Organisation;
pub use self::route::Access;
pub use self::route::Repeatability;
pub use self::route::Route;
pub use self::zone::ZoneRecord;
