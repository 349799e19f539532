//! Differences between two configurations, in the sections, entries and fields that operators edit.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::version::Configuration;

plain_value! {
    /// A section of the configuration.
    #[serde(rename_all = "kebab-case")]
    pub enum EntryKind {
        /// An availability zone.
        Zone,
        /// An importance class.
        Class,
        /// An organisation.
        Organisation,
        /// A key.
        Key,
        /// A route.
        Route,
    }
}

impl fmt::Display for EntryKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Zone => "zone",
            Self::Class => "class",
            Self::Organisation => "organisation",
            Self::Key => "key",
            Self::Route => "route",
        })
    }
}

plain_data! {
    /// A field whose value differs.
    pub struct FieldChange {
        /// The name of the field.
        pub field: String,
        /// The value before.
        pub before: Value,
        /// The value after.
        pub after: Value,
    }
}

plain_data! {
    /// How an entry changes.
    #[serde(rename_all = "kebab-case")]
    pub enum EntryAction {
        /// The entry is new.
        Added,
        /// The entry is removed.
        Removed,
        /// Fields of the entry differ.
        Changed(Vec<FieldChange>),
    }
}

plain_data! {
    /// An entry that differs.
    pub struct EntryChange {
        /// The section of the entry.
        pub kind: EntryKind,
        /// The name of the entry.
        pub name: String,
        /// How it changes.
        pub action: EntryAction,
    }
}

impl fmt::Display for EntryChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, name, action } = self;
        match action {
            EntryAction::Added => write!(f, "+ {kind} {name}"),
            EntryAction::Removed => write!(f, "- {kind} {name}"),
            EntryAction::Changed(fields) => {
                write!(f, "~ {kind} {name}:")?;
                for change in fields {
                    write!(f, " {} {} -> {}", change.field, change.before, change.after)?;
                }
                Ok(())
            }
        }
    }
}

plain_data! {
    /// All entries that differ between two configurations, by section and name.
    #[derive(Default)]
    pub struct ConfigurationDiff {
        /// The entries that differ.
        pub entries: Vec<EntryChange>,
    }
}

impl ConfigurationDiff {
    /// Compares two configurations. `None` means a configuration without entries.
    pub fn between(before: Option<&Configuration>, after: Option<&Configuration>) -> Self {
        let before = entries_of(before);
        let after = entries_of(after);
        let removed = before.keys().filter(|key| !after.contains_key(key));
        let removed = removed.map(|key| key.change(EntryAction::Removed));
        let others = after.iter().filter_map(|(key, entry)| {
            let action = compare(before.get(key), entry)?;
            Some(key.change(action))
        });
        let mut entries: Vec<_> = removed.chain(others).collect();
        entries.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
        Self { entries }
    }

    /// Returns whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl fmt::Display for ConfigurationDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.entries.iter().map(EntryChange::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EntryKey {
    kind: EntryKind,
    name: String,
}

impl EntryKey {
    fn change(&self, action: EntryAction) -> EntryChange {
        EntryChange {
            kind: self.kind,
            name: self.name.clone(),
            action,
        }
    }
}

fn entries_of(configuration: Option<&Configuration>) -> BTreeMap<EntryKey, Value> {
    let mut entries = BTreeMap::new();
    let Some(configuration) = configuration else {
        return entries;
    };
    let mut insert = |kind, name: &dyn fmt::Display, value| {
        let name = name.to_string();
        entries.insert(EntryKey { kind, name }, value);
    };
    for (id, zone) in &configuration.zones {
        insert(EntryKind::Zone, id, fields_of(zone));
    }
    for (id, class) in &configuration.classes {
        insert(EntryKind::Class, id, fields_of(class));
    }
    for (id, organisation) in &configuration.organisations {
        insert(EntryKind::Organisation, id, fields_of(organisation));
    }
    for (id, key) in &configuration.keys {
        insert(EntryKind::Key, id, fields_of(key));
    }
    for route in &configuration.routes {
        insert(EntryKind::Route, &route.path, fields_of(route));
    }
    entries
}

fn fields_of(entry: &impl Serialize) -> Value {
    serde_json::to_value(entry).unwrap_or_default()
}

fn compare(before: Option<&Value>, after: &Value) -> Option<EntryAction> {
    match before {
        None => Some(EntryAction::Added),
        Some(before) if before == after => None,
        Some(before) => Some(EntryAction::Changed(changed_fields(before, after))),
    }
}

fn changed_fields(before: &Value, after: &Value) -> Vec<FieldChange> {
    let fields = after.as_object().into_iter().flatten();
    let changes = fields.map(|(field, value)| FieldChange {
        field: field.clone(),
        before: before[field].clone(),
        after: value.clone(),
    });
    changes
        .filter(|change| change.before != change.after)
        .collect()
}
