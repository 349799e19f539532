//! Command-line flags and environment variables of the node.

use std::fs;

use balsamfold::process::settings::InvalidSettingError;
use balsamfold::process::settings::NodeSettings;
use balsamfold::process::settings::RawNodeSettings;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;

/// A flag with its environment variable, default and help text.
struct Flag {
    name: &'static str,
    variable: &'static str,
    default: Option<&'static str>,
    help: &'static str,
}

const NODE: Flag = Flag {
    name: "node",
    variable: "BALSAMFOLD_NODE",
    default: None,
    help: "Name of the node; must stay the same across restarts",
};
const ZONE: Flag = Flag {
    name: "zone",
    variable: "BALSAMFOLD_ZONE",
    default: None,
    help: "Availability zone in which the node runs",
};
const SERVICE: Flag = Flag {
    name: "service",
    variable: "BALSAMFOLD_SERVICE",
    default: None,
    help: "Service of the backend server beside the node",
};
const CALLER_LISTEN: Flag = Flag {
    name: "caller-listen",
    variable: "BALSAMFOLD_CALLER_LISTEN",
    default: Some("127.0.0.1:0"),
    help: "Listening address for callers from outside",
};
const LOCAL_LISTEN: Flag = Flag {
    name: "local-listen",
    variable: "BALSAMFOLD_LOCAL_LISTEN",
    default: Some("127.0.0.1:0"),
    help: "Listening address for the backend server beside the node",
};
const PEER_LISTEN: Flag = Flag {
    name: "peer-listen",
    variable: "BALSAMFOLD_PEER_LISTEN",
    default: Some("127.0.0.1:0"),
    help: "Listening address for requests of other nodes",
};
const CONTROL_LISTEN: Flag = Flag {
    name: "control-listen",
    variable: "BALSAMFOLD_CONTROL_LISTEN",
    default: Some("127.0.0.1:0"),
    help: "Listening address for control calls",
};
const PROBE_LISTEN: Flag = Flag {
    name: "probe-listen",
    variable: "BALSAMFOLD_PROBE_LISTEN",
    default: Some("127.0.0.1:0"),
    help: "Listening address for membership probes (UDP)",
};
const PLATFORM: Flag = Flag {
    name: "platform",
    variable: "BALSAMFOLD_PLATFORM",
    default: None,
    help: "Address of the platform's key-value service",
};
const FLEET_SECRET: Flag = Flag {
    name: "fleet-secret",
    variable: "BALSAMFOLD_FLEET_SECRET",
    default: Some(""),
    help: "Secret that all nodes of the fleet share",
};
const FLEET_SECRET_FILE: Flag = Flag {
    name: "fleet-secret-file",
    variable: "BALSAMFOLD_FLEET_SECRET_FILE",
    default: Some(""),
    help: "File that contains the fleet secret; overrides --fleet-secret",
};
const METRICS: Flag = Flag {
    name: "metrics",
    variable: "BALSAMFOLD_METRICS",
    default: Some(""),
    help: "Address to which metrics are sent in the statsd format (UDP); empty to send none",
};
const BODY_BYTES_MAX: Flag = Flag {
    name: "body-bytes-max",
    variable: "BALSAMFOLD_BODY_BYTES_MAX",
    default: Some("8388608"),
    help: "Most bytes in the body of a request or a response",
};
const CONNECTIONS_MAX: Flag = Flag {
    name: "connections-max",
    variable: "BALSAMFOLD_CONNECTIONS_MAX",
    default: Some("4096"),
    help: "Most simultaneous connections from callers",
};
const CLIENT_TIMEOUT_MS: Flag = Flag {
    name: "client-timeout-ms",
    variable: "BALSAMFOLD_CLIENT_TIMEOUT_MS",
    default: Some("10000"),
    help: "Longest time in ms that a client may take for its headers, and again for its body",
};
const LEAVE_NOTICE_MS: Flag = Flag {
    name: "leave-notice-ms",
    variable: "BALSAMFOLD_LEAVE_NOTICE_MS",
    default: Some("2000"),
    help: "Time in ms from the notice that the node leaves to the first refusal of new work",
};
const ANNOUNCEMENT_MS: Flag = Flag {
    name: "announcement-ms",
    variable: "BALSAMFOLD_ANNOUNCEMENT_MS",
    default: Some("3000"),
    help: "Time in ms after which an announcement expires unless it is renewed",
};

/// Flags with one text value each, in the order of the help output.
const TEXT_FLAGS: [&Flag; 17] = [
    &NODE,
    &ZONE,
    &SERVICE,
    &CALLER_LISTEN,
    &LOCAL_LISTEN,
    &PEER_LISTEN,
    &CONTROL_LISTEN,
    &PROBE_LISTEN,
    &PLATFORM,
    &FLEET_SECRET,
    &FLEET_SECRET_FILE,
    &METRICS,
    &BODY_BYTES_MAX,
    &CONNECTIONS_MAX,
    &CLIENT_TIMEOUT_MS,
    &LEAVE_NOTICE_MS,
    &ANNOUNCEMENT_MS,
];

const SEED: &str = "seed";
const WORKERS: &str = "workers";
pub(crate) const LOG_FORMAT: &str = "log-format";
pub(crate) const LOG_LEVEL: &str = "log-level";

/// Returns the command-line definition of the node.
pub(crate) fn command() -> Command {
    Command::new("balsamfold-node")
        .about("Overload control beside one backend server")
        .version(env!("CARGO_PKG_VERSION"))
        .args(TEXT_FLAGS.map(text_arg))
        .arg(
            Arg::new(SEED)
                .long(SEED)
                .env("BALSAMFOLD_SEED")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .help("Probe address of a node that is contacted first; may be repeated"),
        )
        .arg(
            Arg::new(WORKERS)
                .long(WORKERS)
                .env("BALSAMFOLD_WORKERS")
                .default_value("2")
                .value_parser(value_parser!(u16).range(1..=64))
                .help("Threads that serve requests"),
        )
        .arg(choice_arg(
            LOG_FORMAT,
            "BALSAMFOLD_LOG_FORMAT",
            &["text", "json"],
        ))
        .arg(choice_arg(
            LOG_LEVEL,
            "BALSAMFOLD_LOG_LEVEL",
            &["info", "error", "warn", "debug", "trace"],
        ))
}

/// Returns the validated settings.
pub(crate) fn settings(matches: &ArgMatches) -> Result<NodeSettings, InvalidSettingError> {
    let text = |flag: &Flag| {
        let value: Option<&String> = matches.get_one(flag.name);
        value.cloned().unwrap_or_default()
    };
    let seeds = matches.get_many::<String>(SEED).unwrap_or_default();
    let raw = RawNodeSettings {
        node: text(&NODE),
        zone: text(&ZONE),
        service: text(&SERVICE),
        caller_listen: text(&CALLER_LISTEN),
        local_listen: text(&LOCAL_LISTEN),
        peer_listen: text(&PEER_LISTEN),
        control_listen: text(&CONTROL_LISTEN),
        probe_listen: text(&PROBE_LISTEN),
        platform: text(&PLATFORM),
        seeds: seeds.cloned().collect(),
        fleet_secret: fleet_secret(&text(&FLEET_SECRET), &text(&FLEET_SECRET_FILE))?,
        metrics: text(&METRICS),
        body_bytes_max: text(&BODY_BYTES_MAX),
        connections_max: text(&CONNECTIONS_MAX),
        client_timeout_ms: text(&CLIENT_TIMEOUT_MS),
        leave_notice_ms: text(&LEAVE_NOTICE_MS),
        announcement_ms: text(&ANNOUNCEMENT_MS),
    };
    NodeSettings::try_from(raw)
}

/// Returns the number of threads that serve requests.
pub(crate) fn workers(matches: &ArgMatches) -> usize {
    let workers: Option<&u16> = matches.get_one(WORKERS);
    workers.copied().unwrap_or(1).into()
}

fn fleet_secret(text: &str, file: &str) -> Result<String, InvalidSettingError> {
    if file.is_empty() {
        return Ok(text.to_owned());
    }
    fs::read_to_string(file).map_err(|error| InvalidSettingError {
        flag: "--fleet-secret-file",
        value: file.to_owned(),
        reason: error.to_string(),
        allowed: "the path of a readable file",
    })
}

fn text_arg(flag: &Flag) -> Arg {
    let arg = Arg::new(flag.name)
        .long(flag.name)
        .env(flag.variable)
        .hide_env_values(true)
        .help(flag.help);
    match flag.default {
        Some(default) => arg
            .default_value(default)
            .hide_default_value(default.is_empty()),
        None => arg.required(true),
    }
}

fn choice_arg(name: &'static str, variable: &'static str, values: &'static [&'static str]) -> Arg {
    Arg::new(name)
        .long(name)
        .env(variable)
        .default_value(values[0])
        .value_parser(PossibleValuesParser::new(values))
        .help("Format or level of the log on standard error")
}
