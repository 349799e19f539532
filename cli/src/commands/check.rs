//! `balsamfold check`: checks a folder or the settings of a relay, without network calls.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use balsamfold::process::relay::RelaySettings;
use balsamfold::process::relay::RelaySettingsError;
use balsamfold::version::folder::FieldProblem;
use balsamfold::version::folder::Folder;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde::Serialize;

use crate::failure::Exit;
use crate::failure::Failure;
use crate::flags;
use crate::output::Output;

const RELAY: &str = "relay";

/// Number of entries in a valid folder.
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
            "the folder is valid: {} zones, {} classes, {} organisations, {} keys, {} routes",
            self.zones, self.classes, self.organisations, self.keys, self.routes
        )
    }
}

/// Node, zone and service in the valid settings of a relay.
#[derive(Serialize)]
struct RelayReport {
    node: String,
    zone: String,
    service: String,
}

impl fmt::Display for RelayReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the settings are valid: node {} for a server of {} in {}",
            self.node, self.service, self.zone
        )
    }
}

/// Defines the command and its arguments.
pub(crate) fn command() -> Command {
    let relay = Arg::new(RELAY)
        .long(RELAY)
        .help("Settings file of a relay to check instead of a folder")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf));
    let folder = flags::folder_arg()
        .required(false)
        .required_unless_present(RELAY);
    Command::new("check")
        .about("Checks a folder or a relay's settings without calling the platform")
        .arg(folder)
        .arg(relay)
}

pub(crate) fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    match matches.get_one::<PathBuf>(RELAY) {
        Some(file) => check_relay(file, output),
        None => check_folder(matches, output),
    }
}

fn check_folder(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
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

fn check_relay(file: &Path, output: Output) -> Result<(), Failure> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        Failure::new(Exit::Usage, format_args!("{}: {error}", file.display()))
            .hint("give the path of a relay's settings file")
    })?;
    let settings = RelaySettings::parse(&text).map_err(|error| relay_failure(file, error))?;
    output.print(&RelayReport {
        node: settings.raw.node.to_string(),
        zone: settings.raw.zone.to_string(),
        service: settings.raw.service.to_string(),
    });
    Ok(())
}

fn relay_failure(file: &Path, error: RelaySettingsError) -> Failure {
    let faults = match error {
        RelaySettingsError::Syntax { reason } => vec![reason.trim_end().to_owned()],
        RelaySettingsError::Values { faults } => faults,
    };
    let name = file.file_name().unwrap_or(file.as_os_str());
    let file = name.to_string_lossy().into_owned();
    let problems: Vec<_> = faults
        .into_iter()
        .map(|message| FieldProblem {
            file: file.clone(),
            line: 0,
            field: String::new(),
            message,
        })
        .collect();
    let message = format!("the settings have {} problem(s)", problems.len());
    Failure {
        problems,
        ..Failure::new(Exit::Usage, message)
            .hint("correct the named settings; docs/relay-settings.md lists what is allowed")
    }
}
