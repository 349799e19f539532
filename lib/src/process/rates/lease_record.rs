//! The stored record of a zone's holder, and the status that nodes of the zone report to it.

use std::net::SocketAddr;

use super::ZoneLayout;
use crate::values::Epoch;
use crate::values::Incarnation;
use crate::values::NodeId;
use crate::values::OrganisationId;
use crate::values::TokenCount;

plain_data! {
    /// The bucket of one organisation that a stopping holder transfers to the next holder.
    #[derive(Eq)]
    pub struct BucketHandover {
        /// The organisation.
        pub organisation: OrganisationId,
        /// Tokens in the bucket. Only the next holder may grant them.
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
        /// The incarnation of that node.
        pub incarnation: Incarnation,
        /// The address that the process of that node has bound, if it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub address: Option<SocketAddr>,
        /// Rises by one with each change of the holder.
        pub epoch: Epoch,
        /// Rises by one with each renewal.
        pub renewals: u64,
        /// Whether the holder released the role, so that another node may take it over at once.
        pub released: bool,
        /// Buckets that a released role transfers to the next holder. Empty unless `released`.
        #[serde(rename = "handed")]
        pub handovers: Vec<BucketHandover>,
        /// Layouts that bind the holder, the newest last.
        pub layouts: Vec<ZoneLayout>,
    }
}

impl HolderRecord {
    /// Highest epoch and number of renewals, so that later ones can be counted.
    const COUNT_MAX: u64 = u64::MAX / 2;

    /// Returns whether both counts can have been reached.
    pub fn is_plausible(&self) -> bool {
        self.epoch.0.max(self.renewals) <= Self::COUNT_MAX
    }

    /// Returns the record that stands for a stored one of `revision` that cannot be decoded. Like that
    /// of a holder that ended, it can be taken over once it has stayed unchanged.
    ///
    /// Each change of the holder is a write, so no holder had an epoch above the revision.
    pub fn unreadable(node: NodeId, revision: u64) -> Self {
        Self {
            holder: node,
            incarnation: Incarnation::default(),
            address: None,
            epoch: Epoch(revision),
            renewals: revision,
            released: false,
            handovers: Vec::new(),
            layouts: vec![ZoneLayout::empty()],
        }
    }
}

plain_value! {
    /// Whether a node can write to the platform.
    #[serde(rename_all = "kebab-case")]
    pub enum PlatformReachability {
        /// It can, or one of its writes may still take effect.
        Reachable,
        /// It cannot, and none of its writes has an unknown outcome.
        Unreachable,
    }
}

plain_data! {
    /// The status that a node reports to the holder of its zone.
    #[derive(Eq)]
    pub struct PeerStatus {
        /// The highest epoch of the zone that the node has observed.
        pub epoch: Epoch,
        /// Whether the node can write to the platform. A node that cannot promises not to take the
        /// role over for [`LEASE_TAKEOVER`](super::LEASE_TAKEOVER).
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
