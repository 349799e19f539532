//! Importance classes of routes.

use crate::values::ClassId;
use crate::values::Importance;

plain_data! {
    /// A named importance that several routes share.
    pub struct ImportanceClass {
        /// The name of the class, by which routes refer to it.
        pub id: ClassId,
        /// Importance of the routes of this class when capacity is short.
        pub rank: Importance,
    }
}
