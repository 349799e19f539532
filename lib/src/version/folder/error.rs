//! Errors of a configuration folder, all at once and each with its place.

use std::fmt;

use snafu::Snafu;

plain_data! {
    /// One thing that is wrong in a folder.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct FieldProblem {
        /// Name of the file in the folder; empty if the problem is with the folder as a whole.
        pub file: String,
        /// Line in the file, from 1; 0 if the problem is with the whole file.
        pub line: u32,
        /// Section, entry and field, separated by dots; empty if no field is concerned.
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

/// The folder cannot be used. It holds every problem found, in the order of files and lines.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", lines(problems)))]
pub struct FolderError {
    /// What is wrong; never empty.
    pub problems: Vec<FieldProblem>,
}

impl FolderError {
    /// Makes an error of `problems`, in the order of their places.
    pub(super) fn new(mut problems: Vec<FieldProblem>) -> Self {
        problems.sort();
        Self { problems }
    }
}

fn lines(problems: &[FieldProblem]) -> String {
    let lines: Vec<_> = problems.iter().map(FieldProblem::to_string).collect();
    lines.join("\n")
}
