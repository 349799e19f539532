//! Changes from one configuration to the next.
//!
//! Each change increases the version by one. A withdrawn key is kept permanently as a tombstone, so
//! that neither a folder nor a command can reactivate it.

mod diff;
mod key_change;
mod plan;

pub use self::diff::ConfigurationDiff;
pub use self::diff::EntryAction;
pub use self::diff::EntryChange;
pub use self::diff::EntryKind;
pub use self::diff::FieldChange;
pub use self::key_change::KeyChangeError;
pub use self::key_change::add_key;
pub use self::key_change::withdraw_key;
pub use self::plan::Plan;
pub use self::plan::PlanError;
pub use self::plan::PlanProblem;
pub use self::plan::plan_folder;
