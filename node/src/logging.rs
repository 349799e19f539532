//! The log on standard error, as text or as JSON lines.

use std::fmt;
use std::io;
use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use clap::ArgMatches;
use fern::Dispatch;
use fern::Output;
use log::Level;
use log::LevelFilter;

use crate::flags::LOG_FORMAT;
use crate::flags::LOG_LEVEL;

/// One line of the log.
#[derive(serde::Serialize)]
struct JsonLine {
    time_ms: u128,
    level: &'static str,
    message: String,
}

/// Installs the logger.
pub(crate) fn start(matches: &ArgMatches) {
    let text = |name| matches.get_one::<String>(name).map_or("", String::as_str);
    let level = text(LOG_LEVEL).parse().unwrap_or(LevelFilter::Info);
    let dispatch = Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("balsamfold", level)
        .chain(Output::call(|record| {
            write_line(&record.args().to_string())
        }));
    let dispatch = match text(LOG_FORMAT) {
        "json" => dispatch.format(|out, message, record| {
            out.finish(format_args!("{}", json_line(record.level(), message)));
        }),
        _ => dispatch.format(|out, message, record| {
            out.finish(format_args!("{} {:5} {message}", time_ms(), record.level()));
        }),
    };
    // An error means that a logger is already installed, which then stays in use.
    let _ = dispatch.apply();
}

/// Writes a whole line at once, so that lines of processes that share a terminal do not interleave.
fn write_line(text: &str) {
    let line = format!("{text}\n");
    // A closed standard error cannot be reported anywhere.
    let _ = io::stderr().write_all(line.as_bytes());
}

fn json_line(level: Level, message: &fmt::Arguments<'_>) -> String {
    let line = JsonLine {
        time_ms: time_ms(),
        level: level.as_str(),
        message: message.to_string(),
    };
    serde_json::to_string(&line).unwrap_or_default()
}

fn time_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis()
}
