//! A configuration with an index over its keys, for the check of each request.

use std::collections::HashMap;
use std::sync::Arc;

use super::CallerKey;
use super::Configuration;
use super::KeyHash;
use super::KeyRecord;
use super::KeyState;
use super::Organisation;
use super::Route;
use crate::values::ConfigVersion;
use crate::values::KeyId;
use crate::values::OrganisationId;

/// First bytes of a key hash. The duration of a lookup reveals only these bytes of a stored hash.
type HashPrefix = [u8; HASH_PREFIX_BYTES];

/// Length of the prefix by which keys are looked up before the whole hashes are compared.
const HASH_PREFIX_BYTES: usize = 4;

/// An immutable configuration with an index over its active keys.
#[derive(Debug)]
pub struct IndexedConfiguration {
    configuration: Arc<Configuration>,
    active_keys: HashMap<HashPrefix, Vec<ActiveKey>>,
}

#[derive(Debug)]
struct ActiveKey {
    id: KeyId,
    hash: KeyHash,
    organisation: OrganisationId,
}

impl IndexedConfiguration {
    /// Indexes the active keys of `configuration`.
    pub fn new(configuration: Configuration) -> Self {
        let mut active_keys: HashMap<HashPrefix, Vec<ActiveKey>> = HashMap::new();
        for record in configuration.keys.values().filter(|key| is_active(key)) {
            let keys = active_keys.entry(record.hash.prefix()).or_default();
            keys.push(ActiveKey {
                id: record.id.clone(),
                hash: record.hash,
                organisation: record.organisation.clone(),
            });
        }
        Self {
            configuration: Arc::new(configuration),
            active_keys,
        }
    }

    /// Returns the whole configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.configuration.version
    }

    /// Finds the organisation whose active key is `key`.
    ///
    /// Whole hashes are compared in constant time.
    pub fn organisation_of(&self, key: &CallerKey) -> Option<&Organisation> {
        let active = self.active_key(key)?;
        self.configuration.organisations.get(&active.organisation)
    }

    /// Finds the id of the active key `key`.
    pub fn key_id_of(&self, key: &CallerKey) -> Option<&KeyId> {
        self.active_key(key).map(|active| &active.id)
    }

    /// Finds the route with the longest path that matches `path`.
    pub fn route_of(&self, path: &str) -> Option<&Route> {
        self.configuration.route_of(path)
    }

    fn active_key(&self, key: &CallerKey) -> Option<&ActiveKey> {
        let hash = KeyHash::of(key);
        let candidates = self.active_keys.get(&hash.prefix::<HASH_PREFIX_BYTES>())?;
        candidates.iter().find(|active| active.hash.matches(&hash))
    }
}

fn is_active(key: &KeyRecord) -> bool {
    key.state == KeyState::Active
}
