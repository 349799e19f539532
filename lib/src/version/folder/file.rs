//! Parses one file of a folder and checks each of its entries separately.

use serde_spanned::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use super::FieldProblem;
use super::FolderError;
use super::SourceFile;
use super::entries::ClassedRoute;
use super::raw_entry::Located;
use super::raw_entry::RawEntry;
use crate::version::ImportanceClass;
use crate::version::KeyRecord;
use crate::version::Organisation;
use crate::version::ZoneRecord;

/// A checked entry of any section.
pub(super) enum Entry {
    Zone(Located<ZoneRecord>),
    Class(Located<ImportanceClass>),
    Organisation(Located<Organisation>),
    Key(Located<KeyRecord>),
    Route(Located<ClassedRoute>),
}

/// An entry that is defined but has problems.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct InvalidEntry {
    pub(super) section: String,
    pub(super) name: String,
}

/// The entries of one file, and all problems in it.
#[derive(Default)]
pub(super) struct FileEntries {
    pub(super) entries: Vec<Entry>,
    /// Section and name of the entries with problems, which other entries may refer to.
    pub(super) invalid: Vec<InvalidEntry>,
    /// Whether the file has no syntax errors, so that all its entries are known.
    pub(super) is_complete: bool,
    pub(super) problems: Vec<FieldProblem>,
}

/// Parses a file and checks each entry separately.
pub(super) fn parse_file(file: &SourceFile) -> FileEntries {
    let (document, syntax_errors) = DeTable::parse_recoverable(&file.text);
    let mut parsed = FileEntries::default();
    if !syntax_errors.is_empty() {
        let problems = syntax_errors.iter().map(|e| syntax_problem(file, e));
        parsed.problems = problems.collect();
        return parsed;
    }
    parsed.is_complete = true;
    for (section, value) in document.into_inner() {
        parse_section(file, section, value, &mut parsed);
    }
    parsed
}

fn parse_section(
    file: &SourceFile,
    section: Spanned<toml::de::DeString<'_>>,
    value: Spanned<DeValue<'_>>,
    parsed: &mut FileEntries,
) {
    let offset = section.span().start;
    let section = section.into_inner();
    let entries = match value.into_inner() {
        DeValue::Table(entries) => entries,
        other => {
            let message = format!("section is a {}, not a table of entries", other.type_str());
            let problem = problem_at(file, offset, &section, message);
            parsed.problems.push(problem);
            return;
        }
    };
    for (name, value) in entries {
        let offset = name.span().start;
        let name = name.into_inner();
        match parse_entry(file, &section, &name, offset, value.into_inner()) {
            Ok(entry) => parsed.entries.push(entry),
            Err(error) => {
                parsed.problems.extend(error.problems);
                parsed.invalid.push(InvalidEntry {
                    section: section.to_string(),
                    name: name.to_string(),
                });
            }
        }
    }
}

fn parse_entry(
    file: &SourceFile,
    section: &str,
    name: &str,
    offset: usize,
    value: DeValue<'_>,
) -> Result<Entry, FolderError> {
    let raw = match value {
        DeValue::Table(fields) => RawEntry::new(file, section, name, offset, fields),
        other => {
            let message = format!("entry is a {}, not a table of fields", other.type_str());
            let problem = problem_at(file, offset, &format!("{section}.{name}"), message);
            return Err(FolderError::new(vec![problem]));
        }
    };
    match section {
        "zone" => raw.try_into().map(Entry::Zone),
        "class" => raw.try_into().map(Entry::Class),
        "organisation" => raw.try_into().map(Entry::Organisation),
        "key" => raw.try_into().map(Entry::Key),
        "route" => raw.try_into().map(Entry::Route),
        unknown => {
            let message =
                "unknown section, expected zone, class, organisation, key or route".to_owned();
            let problem = problem_at(file, offset, unknown, message);
            Err(FolderError::new(vec![problem]))
        }
    }
}

fn syntax_problem(file: &SourceFile, error: &toml::de::Error) -> FieldProblem {
    let offset = error.span().map_or(0, |span| span.start);
    problem_at(file, offset, "", error.message().to_owned())
}

fn problem_at(file: &SourceFile, offset: usize, field: &str, message: String) -> FieldProblem {
    FieldProblem {
        file: file.name.clone(),
        line: file.line_at(offset),
        field: field.to_owned(),
        message,
    }
}
