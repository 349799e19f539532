//! The files of a configuration folder.

use std::fs;
use std::io;
use std::path::Path;

use super::FieldProblem;
use super::FolderError;

/// Maximum size of a file. The merged configuration must fit the platform's largest value.
pub const FILE_MAX_BYTES: u64 = 1_000_000;

/// Maximum number of files in a folder.
pub const FILES_MAX: usize = 1_000;

/// Extension of the files that belong to a configuration.
const FILE_EXTENSION: &str = "toml";

/// One file of a folder.
#[derive(Clone, Debug)]
pub struct SourceFile {
    /// Name within the folder.
    pub name: String,
    /// The whole text.
    pub text: String,
}

impl SourceFile {
    /// Returns the line of a byte offset. Lines count from 1.
    pub(super) fn line_at(&self, offset: usize) -> u32 {
        let end = offset.min(self.text.len());
        let newlines = self.text.as_bytes()[..end].iter().filter(|b| **b == b'\n');
        newlines.count() as u32 + 1
    }
}

/// Reads the `.toml` files directly inside `folder`, in the order of their names by bytes.
///
/// Other files and subfolders are ignored.
pub fn read_files(folder: &Path) -> Result<Vec<SourceFile>, FolderError> {
    let names = match file_names(folder) {
        Ok(names) if names.len() > FILES_MAX => {
            let message = format!(
                "folder has {} files, at most {FILES_MAX} are allowed",
                names.len()
            );
            return Err(folder_error(message));
        }
        Ok(names) => names,
        Err(error) => {
            let message = format!("cannot read folder {}: {error}", folder.display());
            return Err(folder_error(message));
        }
    };
    let mut files = Vec::new();
    let mut problems = Vec::new();
    for name in names {
        match read_file(&folder.join(&name)) {
            Ok(text) => files.push(SourceFile { name, text }),
            Err(error) => problems.push(file_problem(name, error.to_string())),
        }
    }
    match problems.is_empty() {
        true => Ok(files),
        false => Err(FolderError::new(problems)),
    }
}

fn file_names(folder: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        match path.file_name() {
            Some(name) if path.extension().is_some_and(|e| e == FILE_EXTENSION) => {
                names.push(name.to_string_lossy().into_owned());
            }
            _ => {}
        }
    }
    names.sort();
    Ok(names)
}

fn read_file(path: &Path) -> io::Result<String> {
    let size_bytes = fs::metadata(path)?.len();
    if size_bytes > FILE_MAX_BYTES {
        let message = format!("file has {size_bytes} bytes, at most {FILE_MAX_BYTES} are allowed");
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, message));
    }
    fs::read_to_string(path)
}

fn folder_error(message: String) -> FolderError {
    file_error(String::new(), message)
}

fn file_error(file: String, message: String) -> FolderError {
    FolderError::new(vec![file_problem(file, message)])
}

fn file_problem(file: String, message: String) -> FieldProblem {
    FieldProblem {
        file,
        line: 0,
        field: String::new(),
        message,
    }
}
