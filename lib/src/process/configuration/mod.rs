//! The configuration between the platform's service, the operators and the nodes.

mod store;

pub use self::store::ConfigurationStore;
pub use self::store::StoreError;
pub use self::store::StoredConfiguration;
pub use self::store::WriteOutcome;
