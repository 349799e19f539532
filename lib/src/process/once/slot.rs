//! Maps an idempotency key to its home zone, its slot and the candidates for its home node.
//!
//! The selections by hash are only routing hints. The terms that a node holds determine which
//! keys it may run, so that nodes with different member tables never run a key twice.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt;
use snafu::Snafu;

use super::KeyDigest;
use super::key::digest_of;
use crate::process::membership::NodeRecord;
use crate::values::ServiceId;
use crate::values::ZoneId;

/// A partition of the keys of one service in one zone. One node at a time keeps its records.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct SlotId {
    service: ServiceId,
    index: u8,
}

/// The text is not a slot.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "slot is not a service, a slash and a number below {}",
    SlotId::PER_SERVICE
))]
pub struct InvalidSlotError;

impl SlotId {
    /// Number of slots of one service in one zone.
    pub const PER_SERVICE: u8 = 4;

    /// Returns the slot of a key.
    pub fn of(service: &ServiceId, key: KeyDigest) -> Self {
        Self {
            service: service.clone(),
            index: (key.bits() % u64::from(Self::PER_SERVICE)) as u8,
        }
    }

    /// Returns all slots of a service.
    pub fn all(service: &ServiceId) -> impl Iterator<Item = Self> + '_ {
        (0..Self::PER_SERVICE).map(|index| Self {
            service: service.clone(),
            index,
        })
    }

    /// Returns the service whose keys belong to the slot.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the nodes that accept work, in order of preference as home node of the slot.
    ///
    /// Nodes with a backend server of the service precede all others.
    pub fn candidates<'a>(
        &self,
        nodes: impl IntoIterator<Item = &'a NodeRecord>,
    ) -> Vec<&'a NodeRecord> {
        let mut candidates: Vec<_> = nodes
            .into_iter()
            .filter(|node| node.accepts_work())
            .collect();
        candidates.sort_by_cached_key(|node| {
            let score = digest_of(&[self.to_string().as_bytes(), node.id.as_str().as_bytes()]);
            (!node.serves(&self.service), score)
        });
        candidates
    }
}

impl fmt::Display for SlotId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

impl FromStr for SlotId {
    type Err = InvalidSlotError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (service, index) = text.split_once('/').context(InvalidSlotSnafu)?;
        let service = service.parse().ok().context(InvalidSlotSnafu)?;
        let index = index.parse().ok().context(InvalidSlotSnafu)?;
        match index {
            0..Self::PER_SERVICE => Ok(Self { service, index }),
            _ => InvalidSlotSnafu.fail(),
        }
    }
}

impl TryFrom<String> for SlotId {
    type Error = InvalidSlotError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<SlotId> for String {
    fn from(slot: SlotId) -> Self {
        slot.to_string()
    }
}

/// Selects the home zone of a key among the configured zones by rendezvous hashing.
pub fn home_zone<'a>(
    key: KeyDigest,
    zones: impl IntoIterator<Item = &'a ZoneId>,
) -> Option<&'a ZoneId> {
    zones
        .into_iter()
        .max_by_key(|zone| digest_of(&[&key.bits().to_be_bytes(), zone.as_str().as_bytes()]))
}
