//! Errors of a configuration folder, reported together and each with its location.

use std::fmt;

use snafu::Snafu;

plain_data! {
    /// One problem in a folder.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct FieldProblem {
        /// Name of the file in the folder; empty if the problem concerns the folder as a whole.
        pub file: String,
        /// Line in the file, from 1; 0 if the problem concerns the whole file.
        pub line: u32,
        /// Section, entry and field, separated by dots; empty if the problem concerns none of them.
        pub field: String,
        /// What is wrong and what is allowed.
        pub message: String,
    }
}

impl fmt::Display for FieldProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.file.as_str(), self.line, self.field.as_str()) {
            ("", _, _) => write!(f, "{}", self.message),
            (file, 0, _) => write!(f, "{file}: {}", self.message),
            (file, line, "") => write!(f, "{file}:{line}: {}", self.message),
            (file, line, field) => write!(f, "{file}:{line}: {field}: {}", self.message),
        }
    }
}

/// The folder cannot be used. Contains all problems that were found, by file and line.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", lines(problems)))]
pub struct FolderError {
    /// The problems; never empty.
    pub problems: Vec<FieldProblem>,
}

impl FolderError {
    /// Creates an error from `problems`, sorted by location.
    pub(super) fn new(mut problems: Vec<FieldProblem>) -> Self {
        problems.sort();
        Self { problems }
    }
}

fn lines(problems: &[FieldProblem]) -> String {
    let lines: Vec<_> = problems.iter().map(FieldProblem::to_string).collect();
    lines.join("\n")
}
