//! Merges all files of a folder and checks the result.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use super::FieldProblem;
use super::FolderError;
use super::SourceFile;
use super::entries::ClassedRoute;
use super::file::Entry;
use super::file::InvalidEntry;
use super::file::parse_file;
use super::raw_entry::Located;
use super::read_files;
use crate::values::ClassId;
use crate::values::KeyId;
use crate::values::OrganisationId;
use crate::values::ZoneId;
use crate::version::ImportanceClass;
use crate::version::KeyRecord;
use crate::version::Organisation;
use crate::version::Route;
use crate::version::ZoneRecord;

/// A checked folder: the configuration that the operators want, without a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Folder {
    /// Availability zones.
    pub zones: BTreeMap<ZoneId, ZoneRecord>,
    /// Importance classes.
    pub classes: BTreeMap<ClassId, ImportanceClass>,
    /// Organisations with their rates.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Keys that the folder lists.
    pub keys: BTreeMap<KeyId, KeyRecord>,
    /// Routes, sorted by path.
    pub routes: Vec<Route>,
}

impl Folder {
    /// Reads and checks the files in `folder`.
    ///
    /// An error contains all problems that were found.
    pub fn read(folder: &Path) -> Result<Self, FolderError> {
        Self::merge(&read_files(folder)?)
    }

    /// Merges `files` in the order of their names and checks the result.
    pub fn merge(files: &[SourceFile]) -> Result<Self, FolderError> {
        let mut ordered: Vec<_> = files.iter().collect();
        ordered.sort_by(|a, b| a.name.cmp(&b.name));
        let mut merged = MergedEntries::default();
        let mut problems = Vec::new();
        let mut is_complete = true;
        for file in ordered {
            let parsed = parse_file(file);
            problems.extend(parsed.problems);
            merged.invalid.extend(parsed.invalid);
            is_complete &= parsed.is_complete;
            parsed.entries.into_iter().for_each(|e| merged.insert(e));
        }
        if is_complete {
            problems.extend(merged.cross_check());
        }
        match problems.is_empty() {
            true => Ok(merged.into()),
            false => Err(FolderError::new(problems)),
        }
    }
}

/// The last entry of each section and name.
#[derive(Default)]
struct MergedEntries {
    zones: BTreeMap<ZoneId, Located<ZoneRecord>>,
    classes: BTreeMap<ClassId, Located<ImportanceClass>>,
    organisations: BTreeMap<OrganisationId, Located<Organisation>>,
    keys: BTreeMap<KeyId, Located<KeyRecord>>,
    routes: BTreeMap<String, Located<ClassedRoute>>,
    invalid: BTreeSet<InvalidEntry>,
}

impl MergedEntries {
    fn insert(&mut self, entry: Entry) {
        match entry {
            Entry::Zone(zone) => {
                self.zones.insert(zone.value.id.clone(), zone);
            }
            Entry::Class(class) => {
                self.classes.insert(class.value.id.clone(), class);
            }
            Entry::Organisation(organisation) => {
                let id = organisation.value.id.clone();
                self.organisations.insert(id, organisation);
            }
            Entry::Key(key) => {
                self.keys.insert(key.value.id.clone(), key);
            }
            Entry::Route(route) => {
                self.routes.insert(route.value.route.path.clone(), route);
            }
        }
    }

    fn cross_check(&self) -> Vec<FieldProblem> {
        let mut problems = self.unknown_references();
        problems.extend(self.duplicate_hashes());
        let has_zone = !self.zones.is_empty() || self.invalid.iter().any(|e| e.section == "zone");
        if !has_zone {
            problems.push(FieldProblem {
                file: String::new(),
                line: 0,
                field: "zone".to_owned(),
                message: "the folder has no zone; at least one is needed".to_owned(),
            });
        }
        problems
    }

    fn unknown_references(&self) -> Vec<FieldProblem> {
        let mut problems = Vec::new();
        for key in self.keys.values() {
            let organisation = &key.value.organisation;
            let is_known = self.organisations.contains_key(organisation)
                || self.is_invalid("organisation", organisation.as_str());
            if !is_known {
                let message = format!("unknown organisation {organisation}");
                problems.push(key.origin.problem("organisation", message));
            }
        }
        for route in self.routes.values() {
            let class = &route.value.class;
            let is_known =
                self.classes.contains_key(class) || self.is_invalid("class", class.as_str());
            if !is_known {
                let message = format!("unknown class {class}");
                problems.push(route.origin.problem("class", message));
            }
        }
        problems
    }

    fn is_invalid(&self, section: &str, name: &str) -> bool {
        self.invalid.contains(&InvalidEntry {
            section: section.to_owned(),
            name: name.to_owned(),
        })
    }

    fn duplicate_hashes(&self) -> Vec<FieldProblem> {
        let mut seen: BTreeMap<String, &Located<KeyRecord>> = BTreeMap::new();
        let mut problems = Vec::new();
        for key in self.keys.values() {
            let earlier = seen.insert(key.value.hash.to_string(), key);
            problems.extend(earlier.map(|earlier| {
                let location = earlier.origin.location();
                let message = format!("same hash as key {} at {location}", earlier.value.id);
                key.origin.problem("hash", message)
            }));
        }
        problems
    }

    fn rank_route(&self, classed: &ClassedRoute) -> Route {
        let class = self.classes.get(&classed.class);
        let mut route = classed.route.clone();
        route.importance = class.map_or(route.importance, |class| class.value.rank);
        route
    }
}

impl From<MergedEntries> for Folder {
    fn from(merged: MergedEntries) -> Self {
        let routes = merged.routes.values();
        let routes = routes
            .map(|route| merged.rank_route(&route.value))
            .collect();
        Self {
            zones: values(merged.zones),
            classes: values(merged.classes),
            organisations: values(merged.organisations),
            keys: values(merged.keys),
            routes,
        }
    }
}

fn values<K: Ord, V>(located: BTreeMap<K, Located<V>>) -> BTreeMap<K, V> {
    let pairs = located.into_iter();
    pairs.map(|(id, entry)| (id, entry.value)).collect()
}
