//! Organisations and their limits.

use crate::values::OrganisationId;
use crate::values::RatePerSecond;
use crate::values::TokenCount;

plain_data! {
    /// An organisation with its rate and burst over the whole fleet.
    pub struct Organisation {
        /// The name of the organisation.
        pub id: OrganisationId,
        /// Average number of requests per second that it may start, over all zones together.
        pub rate_per_s: RatePerSecond,
        /// Number of requests that it may start at once after a pause, over all zones together.
        pub burst_tokens: TokenCount,
    }
}
