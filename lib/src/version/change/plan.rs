//! Computes the next configuration from the current one and a folder.

use std::collections::BTreeMap;
use std::collections::HashMap;

use snafu::Snafu;

use super::ConfigurationDiff;
use crate::values::ConfigVersion;
use crate::values::KeyId;
use crate::values::OrganisationId;
use crate::version::ChangeId;
use crate::version::Configuration;
use crate::version::KeyRecord;
use crate::version::KeyState;
use crate::version::RECENT_CHANGES_MAX;
use crate::version::folder::Folder;

/// The effect of applying a folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The configuration that would be in force.
    pub next: Configuration,
    /// The differences from the current configuration.
    pub diff: ConfigurationDiff,
    /// Keys that are active in the folder but were withdrawn before. They stay withdrawn.
    pub keys_kept_withdrawn: Vec<KeyId>,
    /// Keys that the folder does not list. They stay unchanged.
    pub keys_not_named: Vec<KeyId>,
}

/// A reason why a folder cannot be applied to the current configuration.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlanProblem {
    /// A key with this id exists and differs in more than its state.
    #[snafu(display("key {id} exists with another hash or organisation"))]
    KeyDiffers {
        /// The key.
        id: KeyId,
    },
    /// A key with this hash exists under another id.
    #[snafu(display("key {id} has the hash of key {existing}"))]
    HashInUse {
        /// The key of the folder.
        id: KeyId,
        /// The existing key with the same hash.
        existing: KeyId,
    },
    /// The folder removes an organisation that has an active key.
    #[snafu(display("cannot remove organisation {organisation}: its key {id} is active"))]
    OrganisationHasKey {
        /// The organisation that the folder does not list.
        organisation: OrganisationId,
        /// An active key of the organisation.
        id: KeyId,
    },
}

/// The folder cannot be applied to the current configuration. Contains all reasons.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", lines(problems)))]
pub struct PlanError {
    /// The reasons; never empty.
    pub problems: Vec<PlanProblem>,
}

/// Computes the configuration that follows `current` when `folder` is applied.
///
/// The zones, classes, organisations and routes of the folder replace the current ones. Keys are
/// added, and withdrawn where the folder marks them so; keys that the folder does not list stay
/// unchanged.
pub fn plan_folder(
    current: Option<&Configuration>,
    folder: &Folder,
    change_id: ChangeId,
) -> Result<Plan, PlanError> {
    let no_keys = BTreeMap::new();
    let current_keys = current.map_or(&no_keys, |current| &current.keys);
    let keys = merged_keys(current_keys, folder);
    let mut problems = key_problems(current_keys, folder);
    problems.extend(orphaned_keys(&keys, folder));
    if !problems.is_empty() {
        return Err(PlanError { problems });
    }
    let next = Configuration {
        version: next_version(current),
        change_id,
        recent_changes: changes_before(current),
        zones: folder.zones.clone(),
        organisations: folder.organisations.clone(),
        keys,
        classes: folder.classes.clone(),
        routes: folder.routes.clone(),
    };
    Ok(Plan {
        diff: ConfigurationDiff::between(current, Some(&next)),
        keys_kept_withdrawn: kept_withdrawn(current_keys, folder),
        keys_not_named: not_named(current_keys, folder),
        next,
    })
}

/// Returns the version that follows the version of `current`.
pub(super) fn next_version(current: Option<&Configuration>) -> ConfigVersion {
    let version = current.map_or(0, |current| current.version.0);
    ConfigVersion(version + 1)
}

/// Returns the changes that led to `current`, the latest first.
pub(super) fn changes_before(current: Option<&Configuration>) -> Vec<ChangeId> {
    let changes = current.into_iter().flat_map(|current| {
        let earlier = current.recent_changes.iter().copied();
        std::iter::once(current.change_id).chain(earlier)
    });
    changes.take(RECENT_CHANGES_MAX).collect()
}

fn merged_keys(
    current: &BTreeMap<KeyId, KeyRecord>,
    folder: &Folder,
) -> BTreeMap<KeyId, KeyRecord> {
    let mut keys = current.clone();
    for (id, wanted) in &folder.keys {
        let state = match current.get(id) {
            Some(existing) if existing.state == KeyState::Withdrawn => KeyState::Withdrawn,
            _ => wanted.state,
        };
        let record = KeyRecord {
            state,
            ..wanted.clone()
        };
        keys.insert(id.clone(), record);
    }
    keys
}

fn key_problems(current: &BTreeMap<KeyId, KeyRecord>, folder: &Folder) -> Vec<PlanProblem> {
    let ids_by_hash: HashMap<String, &KeyId> = current
        .values()
        .map(|key| (key.hash.to_string(), &key.id))
        .collect();
    let mut problems = Vec::new();
    for wanted in folder.keys.values() {
        let id = wanted.id.clone();
        match current.get(&id) {
            Some(existing) if differs(existing, wanted) => {
                problems.push(PlanProblem::KeyDiffers { id });
            }
            Some(_) => {}
            None => {
                let existing = ids_by_hash.get(&wanted.hash.to_string());
                problems.extend(existing.map(|existing| PlanProblem::HashInUse {
                    id,
                    existing: (*existing).clone(),
                }));
            }
        }
    }
    problems
}

fn differs(existing: &KeyRecord, wanted: &KeyRecord) -> bool {
    !existing.hash.matches(&wanted.hash) || existing.organisation != wanted.organisation
}

fn orphaned_keys(keys: &BTreeMap<KeyId, KeyRecord>, folder: &Folder) -> Vec<PlanProblem> {
    let active = keys.values().filter(|key| key.state == KeyState::Active);
    let orphaned = active.filter(|key| !folder.organisations.contains_key(&key.organisation));
    let problems = orphaned.map(|key| PlanProblem::OrganisationHasKey {
        organisation: key.organisation.clone(),
        id: key.id.clone(),
    });
    problems.collect()
}

fn kept_withdrawn(current: &BTreeMap<KeyId, KeyRecord>, folder: &Folder) -> Vec<KeyId> {
    let withdrawn = current
        .values()
        .filter(|key| key.state == KeyState::Withdrawn);
    let wanted_active = withdrawn.filter(|key| match folder.keys.get(&key.id) {
        Some(wanted) => wanted.state == KeyState::Active,
        None => false,
    });
    wanted_active.map(|key| key.id.clone()).collect()
}

fn not_named(current: &BTreeMap<KeyId, KeyRecord>, folder: &Folder) -> Vec<KeyId> {
    let ids = current.keys().filter(|id| !folder.keys.contains_key(id));
    ids.cloned().collect()
}

fn lines(problems: &[PlanProblem]) -> String {
    let lines: Vec<_> = problems.iter().map(PlanProblem::to_string).collect();
    lines.join("\n")
}
