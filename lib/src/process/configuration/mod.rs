//! The configuration between the platform's service, the operators and the nodes.
//!
//! A few nodes of each zone watch the platform's service ([`watches_platform`]). A node that puts a
//! newer version in force tells a few others ([`choose_nodes`]), which fetch it from there; besides,
//! each node asks another one now and then. `docs/design/configuration.md` has the reasons.

mod role;
mod spread;
mod store;

pub use self::role::WATCHERS_PER_ZONE;
pub use self::role::watches_platform;
pub use self::spread::ConfigurationNotice;
pub use self::spread::NOTICE_FANOUT;
pub use self::spread::choose_nodes;
pub use self::store::ConfigurationStore;
pub use self::store::StoreError;
pub use self::store::StoredConfiguration;
pub use self::store::WriteOutcome;
