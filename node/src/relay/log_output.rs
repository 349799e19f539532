//! The log on standard output, as JSON lines. It is buffered up to a bound and never waits for a
//! slow reader.

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

/// Most bytes of lines that wait for the reader; further lines are counted and omitted.
const BUFFER_BYTES_MAX: usize = 256 * 1_024;
/// Time between two writes, so that lines logged at about the same time share a write.
const WRITE_PERIOD: Duration = Duration::from_millis(200);
/// Longest time for which the process waits for the reader before it exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// One line of the log.
#[derive(serde::Serialize)]
struct JsonLine<'a> {
    time_ms: u128,
    level: &'a str,
    message: String,
}

#[derive(Default)]
struct Buffer {
    lines: String,
    omitted: u64,
    is_writing: bool,
}

/// Buffer of log lines, which a separate thread writes.
#[derive(Clone, Default)]
pub(crate) struct LogOutput {
    buffer: Arc<(Mutex<Buffer>, Condvar)>,
}

impl LogOutput {
    fn push(&self, line: &str) {
        let (buffer, _) = &*self.buffer;
        let Ok(mut buffer) = buffer.lock() else {
            return;
        };
        if buffer.lines.len() + line.len() > BUFFER_BYTES_MAX {
            buffer.omitted += 1;
            return;
        }
        buffer.lines.push_str(line);
        buffer.lines.push('\n');
    }

    /// Waits until all lines are written, at most `FLUSH_TIMEOUT`.
    pub(crate) fn flush(&self) {
        let (buffer, written) = &*self.buffer;
        let Ok(guard) = buffer.lock() else {
            return;
        };
        // The remaining lines are lost if the reader does not read them in time.
        let _ = written.wait_timeout_while(guard, FLUSH_TIMEOUT, |buffer| {
            !buffer.lines.is_empty() || buffer.is_writing
        });
    }

    fn write_forever(&self) {
        let (buffer, written) = &*self.buffer;
        loop {
            std::thread::sleep(WRITE_PERIOD);
            let Ok(mut guard) = buffer.lock() else {
                return;
            };
            if guard.lines.is_empty() {
                continue;
            }
            let lines = std::mem::take(&mut guard.lines);
            let omitted = std::mem::take(&mut guard.omitted);
            guard.is_writing = true;
            drop(guard);
            write_lines(&lines, omitted);
            if let Ok(mut guard) = buffer.lock() {
                guard.is_writing = false;
            }
            written.notify_all();
        }
    }
}

fn write_lines(lines: &str, omitted: u64) {
    let mut output = std::io::stdout().lock();
    let mut text = lines.to_owned();
    if omitted > 0 {
        let line = json_line(
            "WARN",
            format!("{omitted} lines omitted because the reader is slow"),
        );
        text.push_str(&line);
        text.push('\n');
    }
    // A closed standard output cannot be reported anywhere.
    let _ = output.write_all(text.as_bytes());
    let _ = output.flush();
}

/// Installs the logger and starts the thread that writes the lines.
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
    // An error means that a logger is already installed, which then stays in use.
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
