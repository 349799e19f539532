//! `balsamfold check`: checks a folder without any call.

use std::fmt;

use balsamfold::version::folder::Folder;
use clap::ArgMatches;
use clap::Command;
use serde::Serialize;

use crate::failure::Failure;
use crate::flags;
use crate::output::Output;

/// What a good folder holds.
#[derive(Serialize)]
struct CheckReport {
    zones: usize,
    classes: usize,
    organisations: usize,
    keys: usize,
    routes: usize,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the folder is good: {} zones, {} classes, {} organisations, {} keys, {} routes",
            self.zones, self.classes, self.organisations, self.keys, self.routes
        )
    }
}

/// Returns the command's part of the command line.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks a folder by itself, without the platform")
        .arg(flags::folder_arg())
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let folder = Folder::read(flags::folder(matches))?;
    output.print(&CheckReport {
        zones: folder.zones.len(),
        classes: folder.classes.len(),
        organisations: folder.organisations.len(),
        keys: folder.keys.len(),
        routes: folder.routes.len(),
    });
    Ok(())
}
