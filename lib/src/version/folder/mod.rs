//! A folder of small TOML files from which a configuration is built.
//!
//! The files are merged in the order of their names; an entry in a later file replaces the whole
//! entry of the same section and name in an earlier one. `docs/configuration.md` is the reference.

mod entries;
mod error;
mod file;
mod merged;
mod raw_entry;
mod source;

pub use self::error::FieldProblem;
pub use self::error::FolderError;
pub use self::merged::Folder;
pub use self::source::FILE_MAX_BYTES;
pub use self::source::FILES_MAX;
pub use self::source::SourceFile;
pub use self::source::read_files;
