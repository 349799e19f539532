//! What a node knows of the load of the backend servers of the fleet: the reports that nodes pass on
//! in the messages that they exchange anyway.

mod node_key;
mod report;
mod service_loads;
mod table;

pub use self::node_key::NodeKey;
pub use self::report::LoadReport;
pub use self::report::NodeLoad;
pub use self::service_loads::ServiceLoads;
pub use self::table::KnownLoad;
pub use self::table::LoadTable;
