//! Builds and finds the programs of this workspace with the profile of the running one.

use std::env;
use std::io;
use std::path::PathBuf;
use std::process::Command;

/// The folder with the built programs of this workspace.
#[derive(Clone, Debug)]
pub struct Programs {
    folder: PathBuf,
}

impl Programs {
    /// Builds all programs with the profile of the running one, into the same folder.
    pub fn build() -> io::Result<Self> {
        let mut folder = env::current_exe()?;
        folder.pop();
        let in_examples = folder.ends_with("examples") || folder.ends_with("deps");
        if in_examples {
            folder.pop();
        }
        let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--workspace", "--bins"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err(io::Error::other("cargo failed to build the programs"));
        }
        Ok(Self { folder })
    }

    /// Returns a command that runs the program `name`.
    pub fn command(&self, name: &str) -> Command {
        Command::new(self.folder.join(name))
    }
}
