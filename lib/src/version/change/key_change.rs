//! Adds and withdraws single keys.

use snafu::Snafu;
use snafu::ensure;

use super::plan::changes_before;
use super::plan::next_version;
use crate::values::KeyId;
use crate::values::OrganisationId;
use crate::version::ChangeId;
use crate::version::Configuration;
use crate::version::KeyRecord;
use crate::version::KeyState;

/// A key cannot be added or withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyChangeError {
    /// A key with this id exists, active or withdrawn.
    #[snafu(display("key {id} exists already"))]
    IdInUse {
        /// The key.
        id: KeyId,
    },
    /// A key with this hash exists, active or withdrawn.
    #[snafu(display("key {id} has the hash of key {existing}"))]
    HashInUse {
        /// The key to be added.
        id: KeyId,
        /// The existing key with the same hash.
        existing: KeyId,
    },
    /// The organisation does not exist.
    #[snafu(display("there is no organisation {organisation}"))]
    UnknownOrganisation {
        /// The organisation of the key to be added.
        organisation: OrganisationId,
    },
    /// The key does not exist.
    #[snafu(display("there is no key {id}"))]
    UnknownKey {
        /// The key to be withdrawn.
        id: KeyId,
    },
}

/// Returns the configuration that follows `current` with `key` added.
pub fn add_key(
    current: &Configuration,
    key: KeyRecord,
    change_id: ChangeId,
) -> Result<Configuration, KeyChangeError> {
    let id = key.id.clone();
    let organisation = &key.organisation;
    ensure!(!current.keys.contains_key(&id), IdInUseSnafu { id });
    ensure!(
        current.organisations.contains_key(organisation),
        UnknownOrganisationSnafu {
            organisation: organisation.clone()
        }
    );
    let mut existing = current.keys.values();
    if let Some(existing) = existing.find(|existing| existing.hash.matches(&key.hash)) {
        let existing = existing.id.clone();
        return HashInUseSnafu { id, existing }.fail();
    }
    let mut next = next_configuration(current, change_id);
    next.keys.insert(id, key);
    Ok(next)
}

/// Returns the configuration that follows `current` with the key `id` withdrawn permanently.
///
/// Returns `None` if the key is already withdrawn, since nothing changes.
pub fn withdraw_key(
    current: &Configuration,
    id: &KeyId,
    change_id: ChangeId,
) -> Result<Option<Configuration>, KeyChangeError> {
    let key = match current.keys.get(id) {
        Some(key) if key.state == KeyState::Withdrawn => return Ok(None),
        Some(key) => key,
        None => return UnknownKeySnafu { id: id.clone() }.fail(),
    };
    let withdrawn = KeyRecord {
        state: KeyState::Withdrawn,
        ..key.clone()
    };
    let mut next = next_configuration(current, change_id);
    next.keys.insert(id.clone(), withdrawn);
    Ok(Some(next))
}

fn next_configuration(current: &Configuration, change_id: ChangeId) -> Configuration {
    Configuration {
        version: next_version(Some(current)),
        change_id,
        recent_changes: changes_before(Some(current)),
        ..current.clone()
    }
}
