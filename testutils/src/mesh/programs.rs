//! Finds the programs of this workspace, built in the same way as the running one.

use std::env;
use std::io;
use std::path::PathBuf;
use std::process::Command;

/// Where the programs of this workspace are.
#[derive(Clone, Debug)]
pub struct Programs {
    folder: PathBuf,
}

impl Programs {
    /// Builds all programs with the profile of the running one, and finds them beside it.
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
            return Err(io::Error::other("cargo could not build the programs"));
        }
        Ok(Self { folder })
    }

    /// Returns a command that runs the program `name`.
    pub fn command(&self, name: &str) -> Command {
        Command::new(self.folder.join(name))
    }
}
