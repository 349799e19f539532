//! Flags that several commands share.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::value_parser;

use crate::failure::Exit;
use crate::failure::Failure;

pub(crate) const OUTPUT: &str = "output";
pub(crate) const FLEET_SECRET: &str = "fleet-secret";
pub(crate) const FLEET_SECRET_FILE: &str = "fleet-secret-file";
pub(crate) const TELL: &str = "tell";
pub(crate) const TIMEOUT_MS: &str = "timeout-ms";
const PLATFORM: &str = "platform";
const FOLDER: &str = "DIR";
const NODE: &str = "ADDR";

/// Allowed timeouts of a call.
const TIMEOUTS_MS: std::ops::RangeInclusive<u64> = 1..=600_000;

/// Returns the flags of all commands.
pub(crate) fn global_args() -> [Arg; 5] {
    let output = Arg::new(OUTPUT)
        .help("Output format")
        .value_parser(["text", "json"])
        .default_value("text");
    let platform = Arg::new(PLATFORM)
        .help("Address of the platform's key-value service")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr));
    let timeout_ms = Arg::new(TIMEOUT_MS)
        .help("Timeout of one call, in milliseconds")
        .value_parser(value_parser!(u64).range(TIMEOUTS_MS))
        .default_value("1000");
    let fleet_secret = Arg::new(FLEET_SECRET)
        .help("Fleet secret, for calls to nodes")
        .hide_env_values(true);
    let fleet_secret_file = Arg::new(FLEET_SECRET_FILE)
        .help("File with the fleet secret; takes precedence over --fleet-secret")
        .value_parser(value_parser!(PathBuf));
    [
        output.env("BALSAMFOLD_OUTPUT"),
        platform.env("BALSAMFOLD_PLATFORM"),
        timeout_ms.env("BALSAMFOLD_TIMEOUT_MS"),
        fleet_secret.env("BALSAMFOLD_FLEET_SECRET"),
        fleet_secret_file.env("BALSAMFOLD_FLEET_SECRET_FILE"),
    ]
    .map(|arg| {
        let name = arg.get_id().to_string();
        arg.long(name).global(true)
    })
}

/// Returns the argument for a configuration folder.
pub(crate) fn folder_arg() -> Arg {
    Arg::new(FOLDER)
        .help("Folder of the configuration")
        .env("BALSAMFOLD_FOLDER")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

/// Returns the flag for nodes to notify of a change directly.
pub(crate) fn tell_arg() -> Arg {
    Arg::new(TELL)
        .long(TELL)
        .env("BALSAMFOLD_TELL")
        .help("Control addresses of nodes to notify of the change directly; needs the fleet secret")
        .value_name("IP:PORT")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
}

/// Returns the argument for the control address of a node.
pub(crate) fn node_arg() -> Arg {
    Arg::new(NODE)
        .help("Control address of a node")
        .env("BALSAMFOLD_NODE_ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

/// Returns the value of a text flag, or an empty string if it has none.
pub(crate) fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    let text = matches.get_one::<String>(name);
    text.map_or("", String::as_str)
}

/// Returns the folder that the command line names.
pub(crate) fn folder(matches: &ArgMatches) -> &Path {
    let folder = matches.get_one::<PathBuf>(FOLDER);
    folder.map_or(Path::new(""), PathBuf::as_path)
}

/// Returns the address of the platform's service.
pub(crate) fn platform(matches: &ArgMatches) -> Result<SocketAddr, Failure> {
    let address = matches.get_one(PLATFORM).copied();
    address.ok_or_else(|| {
        Failure::new(
            Exit::Usage,
            "the address of the platform's service is missing",
        )
        .hint("give --platform IP:PORT or set BALSAMFOLD_PLATFORM")
    })
}

/// Returns the control address of a node.
pub(crate) fn node(matches: &ArgMatches) -> Result<SocketAddr, Failure> {
    let address = matches.get_one(NODE).copied();
    address.ok_or_else(|| Failure::new(Exit::Usage, "the address of a node is missing"))
}

/// Returns the control addresses of nodes to notify of a change directly.
pub(crate) fn nodes_to_notify(matches: &ArgMatches) -> Vec<SocketAddr> {
    let nodes = matches.get_many(TELL).unwrap_or_default();
    nodes.copied().collect()
}

/// Returns the timeout of one call.
pub(crate) fn timeout_ms(matches: &ArgMatches) -> u64 {
    matches.get_one(TIMEOUT_MS).copied().unwrap_or_default()
}
