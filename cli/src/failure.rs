//! Failed commands and their exit codes.

use std::fmt::Display;
use std::process::ExitCode;

use balsamfold::process::configuration::StoreError;
use balsamfold::version::change::ConfigurationDiff;
use balsamfold::version::folder::FieldProblem;
use balsamfold::version::folder::FolderError;
use serde::Serialize;

/// Exit code of a command, for scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed and nothing changed.
    Failed = 1,
    /// The command line or a file is invalid; nothing changed.
    Usage = 2,
    /// A conflicting change by another operator was accepted first; this command changed nothing.
    Conflict = 3,
    /// The change may or may not have taken effect.
    Unknown = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// A failed command.
#[derive(Debug, Serialize)]
pub(crate) struct Failure {
    /// Exit code of the command.
    pub(crate) exit: Exit,
    /// What failed.
    pub(crate) message: String,
    /// What the operator can do.
    pub(crate) hint: Option<String>,
    /// All problems found in a folder or a settings file.
    pub(crate) problems: Vec<FieldProblem>,
    /// What another operator changed.
    pub(crate) changed: Option<ConfigurationDiff>,
}

impl Failure {
    /// Creates a failure without a hint.
    pub(crate) fn new(exit: Exit, message: impl Display) -> Self {
        Self {
            exit,
            message: message.to_string(),
            hint: None,
            problems: Vec::new(),
            changed: None,
        }
    }

    /// Adds what the operator can do.
    pub(crate) fn hint(self, hint: impl Display) -> Self {
        Self {
            hint: Some(hint.to_string()),
            ..self
        }
    }

    /// Adds what another operator changed.
    pub(crate) fn changed(self, changed: ConfigurationDiff) -> Self {
        Self {
            changed: Some(changed),
            ..self
        }
    }
}

impl From<FolderError> for Failure {
    fn from(error: FolderError) -> Self {
        let problems = error.problems;
        let message = format!("the folder has {} problem(s)", problems.len());
        Self {
            problems,
            ..Self::new(Exit::Usage, message)
                .hint("correct the named fields; docs/configuration.md lists what is allowed")
        }
    }
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        let exit = match &error {
            StoreError::Unreachable { .. } | StoreError::Unreadable { .. } => Exit::Failed,
            StoreError::TooLarge { .. } => Exit::Usage,
        };
        let hint = match &error {
            StoreError::Unreachable { .. } => "check --platform and that the service is up",
            StoreError::Unreadable { .. } => "check that --platform names the right service",
            StoreError::TooLarge { .. } => "remove entries from the folder",
        };
        Self::new(exit, error).hint(hint)
    }
}
