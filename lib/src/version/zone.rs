//! Availability zones.

use crate::values::RegionId;
use crate::values::ZoneId;

plain_data! {
    /// An availability zone of the fleet.
    pub struct ZoneRecord {
        /// The name of the zone.
        pub id: ZoneId,
        /// The region in which the zone lies.
        pub region: RegionId,
        /// The zone's share of each organisation's rate, relative to the shares of the other zones.
        pub rate_weight: u32,
    }
}
