//! Output of commands.

use std::fmt::Display;

use balsamfold::version::Configuration;
use clap::ArgMatches;
use serde::Serialize;

use crate::control::NotifiedNode;
use crate::failure::Failure;
use crate::flags;

/// Output format of commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// Text for people.
    Text,
    /// One JSON document on standard output, for scripts.
    Json,
}

impl From<&ArgMatches> for Output {
    fn from(matches: &ArgMatches) -> Self {
        match flags::text(matches, flags::OUTPUT) {
            "json" => Self::Json,
            _ => Self::Text,
        }
    }
}

impl Output {
    /// Prints the report of a command.
    pub(crate) fn print(self, report: &(impl Display + Serialize)) {
        match self {
            Self::Text => println!("{report}"),
            Self::Json => println!("{}", pretty(report)),
        }
    }

    /// Prints a document as JSON in either format.
    pub(crate) fn print_document(self, document: &impl Serialize) {
        println!("{}", pretty(document));
    }

    /// Notifies nodes of an accepted configuration and prints the outcomes on standard error.
    ///
    /// A node that is not notified receives it from the platform's service or from other nodes.
    pub(crate) async fn notify(self, nodes: &[NotifiedNode], accepted: &Configuration) {
        for node in nodes {
            eprintln!("note: {}", node.notify(accepted).await);
        }
    }

    /// Prints why a command failed: text on standard error, JSON on standard output.
    pub(crate) fn print_failure(self, failure: &Failure) {
        match self {
            Self::Text => eprint!("{}", failure_text(failure)),
            Self::Json => println!("{}", pretty(failure)),
        }
    }
}

fn failure_text(failure: &Failure) -> String {
    let mut lines = vec![format!("error: {}", failure.message)];
    lines.extend(failure.problems.iter().map(|p| format!("  {p}")));
    let changed = failure.changed.iter().flat_map(|diff| &diff.entries);
    lines.extend(changed.map(|entry| format!("  {entry}")));
    lines.extend(failure.hint.iter().map(|hint| format!("hint: {hint}")));
    lines.push(String::new());
    lines.join("\n")
}

fn pretty(document: &impl Serialize) -> String {
    serde_json::to_string_pretty(document).unwrap_or_default()
}
