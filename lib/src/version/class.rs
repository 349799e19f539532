//! Importance classes.

use crate::values::ClassId;
use crate::values::Importance;

plain_data! {
    /// A named rank that several routes share.
    pub struct ImportanceClass {
        /// The name of the class.
        pub id: ClassId,
        /// Rank of the routes of this class when capacity is short.
        pub rank: Importance,
    }
}
