//! One accepted configuration of the whole fleet.

use std::collections::BTreeMap;

use uuid::Uuid;

use super::CallerKey;
use super::ImportanceClass;
use super::KeyHash;
use super::KeyRecord;
use super::KeyState;
use super::Organisation;
use super::Route;
use super::ZoneRecord;
use crate::values::ClassId;
use crate::values::ConfigVersion;
use crate::values::KeyId;
use crate::values::OrganisationId;
use crate::values::ZoneId;

/// Maximum number of earlier changes that a configuration lists.
pub const RECENT_CHANGES_MAX: usize = 32;

plain_value! {
    /// Identifies one change by one operator. If the reply to a write is lost, the writer reads the
    /// configuration back and looks for this id.
    #[serde(transparent)]
    pub struct ChangeId(pub Uuid);
}

impl ChangeId {
    /// Generates the id of a new change.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

impl std::fmt::Display for ChangeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

plain_data! {
    /// One accepted configuration of the whole fleet.
    ///
    /// It is written to the platform as one value and never modified afterwards.
    pub struct Configuration {
        /// Increases by one with each accepted change.
        pub version: ConfigVersion,
        /// The change that created this version.
        pub change_id: ChangeId,
        /// The changes before this one, the latest first, at most [`RECENT_CHANGES_MAX`].
        ///
        /// They show the writer of an earlier version that its change took effect.
        #[serde(default)]
        pub recent_changes: Vec<ChangeId>,
        /// Availability zones that participate in rates and in at-most-once records.
        pub zones: BTreeMap<ZoneId, ZoneRecord>,
        /// Organisations with their rates.
        pub organisations: BTreeMap<OrganisationId, Organisation>,
        /// Keys, including withdrawn ones.
        pub keys: BTreeMap<KeyId, KeyRecord>,
        /// Importance classes, which determine the importance of routes.
        #[serde(default)]
        pub classes: BTreeMap<ClassId, ImportanceClass>,
        /// Routes in no particular order; the longest matching path wins.
        pub routes: Vec<Route>,
    }
}

impl Configuration {
    /// Returns whether `change` created this version or one of the recent versions before it.
    pub fn contains_change(&self, change: ChangeId) -> bool {
        self.change_id == change || self.recent_changes.contains(&change)
    }

    /// Finds the organisation whose active key has the hash of `key`.
    ///
    /// Every stored hash is compared in constant time, and the search does not stop at a match.
    pub fn organisation_of(&self, key: &CallerKey) -> Option<&Organisation> {
        let hash = KeyHash::of(key);
        let matching = self
            .keys
            .values()
            .filter(|record| record.hash.matches(&hash))
            .filter(|record| record.state == KeyState::Active)
            .fold(None, |found, record| found.or(Some(record)));
        matching.and_then(|record| self.organisations.get(&record.organisation))
    }

    /// Finds the route with the longest path that matches `path`.
    pub fn route_of(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.matches(path))
            .max_by_key(|route| route.path.len())
    }
}
