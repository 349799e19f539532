//! An unchecked entry of a file, from which checked types read their fields.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use serde_spanned::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;
use toml::de::ValueDeserializer;

use super::FieldProblem;
use super::FolderError;
use super::SourceFile;

/// The location of an entry and its fields.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    file: String,
    path: String,
    line: u32,
    field_lines: BTreeMap<String, u32>,
}

impl Origin {
    /// Describes a problem with one field of the entry.
    pub(super) fn problem(&self, field: &str, message: String) -> FieldProblem {
        FieldProblem {
            file: self.file.clone(),
            line: *self.field_lines.get(field).unwrap_or(&self.line),
            field: format!("{}.{field}", self.path),
            message,
        }
    }

    /// Returns the file and line of the entry, for messages about other entries.
    pub(super) fn location(&self) -> String {
        format!("{}:{}", self.file, self.line)
    }
}

/// A checked entry with its location.
#[derive(Clone, Debug)]
pub(super) struct Located<T> {
    pub(super) value: T,
    pub(super) origin: Origin,
}

/// An unchecked entry. Each known field is removed when it is read; the remaining ones are unknown.
pub(super) struct RawEntry<'i> {
    name: String,
    origin: Origin,
    fields: BTreeMap<String, Spanned<DeValue<'i>>>,
    problems: Vec<FieldProblem>,
}

impl<'i> RawEntry<'i> {
    /// Creates the entry `name` at byte `offset` of `file` from its fields.
    pub(super) fn new(
        file: &SourceFile,
        section: &str,
        name: &str,
        offset: usize,
        table: DeTable<'i>,
    ) -> Self {
        let mut fields = BTreeMap::new();
        let mut field_lines = BTreeMap::new();
        for (key, value) in table {
            let line = file.line_at(key.span().start);
            let key = key.into_inner().into_owned();
            field_lines.insert(key.clone(), line);
            fields.insert(key, value);
        }
        let origin = Origin {
            file: file.name.clone(),
            path: format!("{section}.{name}"),
            line: file.line_at(offset),
            field_lines,
        };
        Self {
            name: name.to_owned(),
            origin,
            fields,
            problems: Vec::new(),
        }
    }

    /// Returns the name of the entry as a checked type.
    pub(super) fn name<T: FromStr<Err: Display>>(&mut self) -> Option<T> {
        match self.name.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                let message = format!("invalid entry name: {error}");
                self.record_problem("", message);
                None
            }
        }
    }

    /// Removes and converts a required field.
    pub(super) fn required<T: DeserializeOwned>(&mut self, field: &str) -> Option<T> {
        match self.fields.remove(field) {
            Some(value) => self.convert(field, value),
            None => {
                self.record_problem(field, "field is missing".to_owned());
                None
            }
        }
    }

    /// Removes and converts a field, or returns its default if it is missing.
    pub(super) fn optional<T: DeserializeOwned>(&mut self, field: &str, default: T) -> Option<T> {
        match self.fields.remove(field) {
            Some(value) => self.convert(field, value),
            None => Some(default),
        }
    }

    /// Records a problem if a number that was read is not in `range`.
    pub(super) fn check_range<T>(
        &mut self,
        field: &str,
        number: Option<T>,
        range: RangeInclusive<T>,
    ) where
        T: PartialOrd + Display,
    {
        match number {
            Some(number) if !range.contains(&number) => {
                let (least, most) = range.into_inner();
                self.record_problem(field, format!("{number} is not in {least} to {most}"));
            }
            _ => {}
        }
    }

    /// Records a problem with a field.
    pub(super) fn record_problem(&mut self, field: &str, message: String) {
        let problem = self.origin.problem(field, message);
        let field = problem.field.trim_end_matches('.').to_owned();
        self.problems.push(FieldProblem { field, ..problem });
    }

    /// Records the remaining fields as unknown, and returns the checked value of `build` if the
    /// entry has no problems.
    pub(super) fn finish<T>(
        mut self,
        build: impl FnOnce() -> Option<T>,
    ) -> Result<Located<T>, FolderError> {
        let unknown: Vec<_> = self.fields.keys().cloned().collect();
        for field in unknown {
            self.record_problem(&field, "unknown field".to_owned());
        }
        match build() {
            Some(value) if self.problems.is_empty() => Ok(Located {
                value,
                origin: self.origin,
            }),
            _ => Err(FolderError::new(self.problems)),
        }
    }

    fn convert<T: DeserializeOwned>(
        &mut self,
        field: &str,
        value: Spanned<DeValue<'i>>,
    ) -> Option<T> {
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(value) => Some(value),
            Err(error) => {
                let message = error.message().to_owned();
                self.record_problem(field, message);
                None
            }
        }
    }
}
