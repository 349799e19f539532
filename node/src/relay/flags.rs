//! Command-line flags of the relay.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use log::LevelFilter;

const SETTINGS: &str = "settings";
const LOG_LEVEL: &str = "log-level";
const SETTINGS_DEFAULT: &str = "/etc/balsamfold/relay.toml";

/// Returns the command-line definition of the relay.
pub(crate) fn command() -> Command {
    Command::new("balsamfold-relay")
        .about("Serves callers on an instance and admits requests to its backend server")
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .env("BALSAMFOLD_RELAY_SETTINGS")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .default_value(SETTINGS_DEFAULT)
                .help("Settings file in the TOML format"),
        )
        .arg(
            Arg::new(LOG_LEVEL)
                .long(LOG_LEVEL)
                .env("BALSAMFOLD_LOG_LEVEL")
                .value_name("LEVEL")
                .value_parser(["error", "warn", "info", "debug"])
                .default_value("info")
                .help("Lowest level of the log lines that are written"),
        )
}

/// Returns the path of the settings file.
pub(crate) fn settings_path(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>(SETTINGS)
        .cloned()
        .unwrap_or_else(|| PathBuf::from(SETTINGS_DEFAULT))
}

/// Returns the lowest level of the log lines that are written.
pub(crate) fn log_level(matches: &ArgMatches) -> LevelFilter {
    matches
        .get_one::<String>(LOG_LEVEL)
        .and_then(|level| level.parse().ok())
        .unwrap_or(LevelFilter::Info)
}
