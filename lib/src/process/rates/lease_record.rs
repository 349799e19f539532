//! What the platform and the nodes of a zone say about the holder of its rates.

use super::ZoneLayout;
use crate::values::Epoch;
use crate::values::Incarnation;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::TokenCount;

plain_data! {
    /// What a holder that stops leaves of one organisation to the next holder.
    #[derive(Eq)]
    pub struct BucketHandover {
        /// The organisation.
        pub organisation: OrganisationId,
        /// Tokens in the bucket, which only the next holder may grant.
        pub level_tokens: TokenCount,
        /// Tokens that nodes and other zones may still spend.
        pub outstanding_tokens: TokenCount,
    }
}

plain_data! {
    /// The platform's record of the holder of one zone.
    #[derive(Eq)]
    pub struct HolderRecord {
        /// The node that holds the role.
        pub holder: NodeId,
        /// The life of that node.
        pub incarnation: Incarnation,
        /// Rises by one with each change of the holder.
        pub epoch: Epoch,
        /// Rises by one with each renewal.
        pub renewals: u64,
        /// Whether the holder has given the role up, so that it can be taken at once.
        pub released: bool,
        /// Buckets that a holder that gave the role up leaves to the next one; else empty.
        #[serde(rename = "handed")]
        pub handovers: Vec<BucketHandover>,
        /// Splits of rates over zones that bind the holder, the newest last.
        pub layouts: Vec<ZoneLayout>,
    }
}

plain_value! {
    /// Whether a node can write to the platform.
    #[serde(rename_all = "kebab-case")]
    pub enum PlatformReachability {
        /// It can, or a write of it may still take effect.
        Reachable,
        /// It cannot, and no write of it is in doubt.
        Unreachable,
    }
}

plain_data! {
    /// What a node tells the holder of its zone.
    #[derive(Eq)]
    pub struct PeerStatus {
        /// The highest epoch of the zone that the node has seen.
        pub epoch: Epoch,
        /// Whether the node can write to the platform. A node that cannot promises not to take over
        /// for [`LEASE_TAKEOVER`](super::LEASE_TAKEOVER).
        pub platform: PlatformReachability,
    }
}

/// A compare-and-swap to send to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// The record that must be in place, or none if there must be no record.
    pub expected: Option<HolderRecord>,
    /// The record to put in its place.
    pub record: HolderRecord,
}
