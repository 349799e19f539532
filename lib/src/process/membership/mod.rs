//! Which nodes there are, what stands beside them, and whether they take new work.

mod record;
mod table;

pub use self::record::NodeAddresses;
pub use self::record::NodeCondition;
pub use self::record::NodeRecord;
pub use self::record::ServerRecord;
pub use self::table::MemberTable;
