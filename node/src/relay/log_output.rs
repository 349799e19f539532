//! The log on standard output: JSON lines, bounded, and never waiting for a slow reader.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use clap::ArgMatches;
use fern::Dispatch;
use fern::Output;
use log::LevelFilter;
use log::Record;

use crate::flags;

/// Most bytes of lines that wait for the reader; further lines are counted and left out.
const WAITING_BYTES_MAX: usize = 256 * 1_024;
/// Time between two writes, so that lines of one moment share a write.
const WRITE_PERIOD: Duration = Duration::from_millis(200);
/// Longest time for which the end of the process waits for the reader.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// One line of the log.
#[derive(serde::Serialize)]
struct JsonLine<'a> {
    time_ms: u128,
    level: &'a str,
    message: String,
}

#[derive(Default)]
struct Waiting {
    lines: String,
    left_out: u64,
    is_writing: bool,
}

/// Lines that wait to be written by a thread of their own.
#[derive(Clone, Default)]
pub(crate) struct LogOutput {
    waiting: Arc<(Mutex<Waiting>, Condvar)>,
}

impl LogOutput {
    fn push(&self, line: &str) {
        let (waiting, _) = &*self.waiting;
        let Ok(mut waiting) = waiting.lock() else {
            return;
        };
        if waiting.lines.len() + line.len() > WAITING_BYTES_MAX {
            waiting.left_out += 1;
            return;
        }
        waiting.lines.push_str(line);
        waiting.lines.push('\n');
    }

    /// Waits a short time until all lines are written.
    pub(crate) fn flush(&self) {
        let (waiting, written) = &*self.waiting;
        let Ok(guard) = waiting.lock() else {
            return;
        };
        // A reader that does not read in time loses the rest.
        let _ = written.wait_timeout_while(guard, FLUSH_TIMEOUT, |waiting| {
            !waiting.lines.is_empty() || waiting.is_writing
        });
    }

    fn write_forever(&self) {
        let (waiting, written) = &*self.waiting;
        loop {
            std::thread::sleep(WRITE_PERIOD);
            let Ok(mut guard) = waiting.lock() else {
                return;
            };
            if guard.lines.is_empty() {
                continue;
            }
            let lines = std::mem::take(&mut guard.lines);
            let left_out = std::mem::take(&mut guard.left_out);
            guard.is_writing = true;
            drop(guard);
            write_lines(&lines, left_out);
            if let Ok(mut guard) = waiting.lock() {
                guard.is_writing = false;
            }
            written.notify_all();
        }
    }
}

fn write_lines(lines: &str, left_out: u64) {
    let mut output = std::io::stdout().lock();
    let mut text = lines.to_owned();
    if left_out > 0 {
        let line = json_line("WARN", format!("{left_out} lines left out: slow reader"));
        text.push_str(&line);
        text.push('\n');
    }
    // There is nowhere to report that standard output is closed.
    let _ = output.write_all(text.as_bytes());
    let _ = output.flush();
}

/// Starts the log and the thread that writes it.
pub(crate) fn start(matches: &ArgMatches) -> LogOutput {
    let output = LogOutput::default();
    let level = flags::log_level(matches);
    let lines = output.clone();
    let dispatch = Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("balsamfold", level)
        .chain(Output::call(move |record: &Record<'_>| {
            let line = json_line(record.level().as_str(), record.args().to_string());
            lines.push(&line);
        }));
    // An error here means that a log was started before, which then stays in use.
    let _ = dispatch.apply();
    let writer = output.clone();
    std::thread::spawn(move || writer.write_forever());
    output
}

fn json_line(level: &str, message: String) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let line = JsonLine {
        time_ms: since_epoch.unwrap_or_default().as_millis(),
        level,
        message,
    };
    serde_json::to_string(&line).unwrap_or_default()
}
