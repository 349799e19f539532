//! Validated settings of a node, from flags and environment variables.

mod node_settings;
mod raw;

pub use self::node_settings::InvalidSettingError;
pub use self::node_settings::NodeSettings;
pub use self::raw::RawNodeSettings;
