//! Distribution of the configuration between the platform's service, operators and nodes.
//!
//! A few nodes of each zone watch the platform's service ([`watches_platform`]). A node that puts a
//! newer version in force notifies a few others ([`choose_nodes`]), which fetch it from that node.
//! In addition, each node periodically polls another one. `docs/design/configuration.md` explains
//! why.

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
