//! The record of a case: what was sent, answered and run.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    pub fn add(&self, line: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}", line.as_ref());
        self.lines.lock().expect("no panic").push(line);
    }

    /// Adds a line that is also printed.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.add(line);
    }

    /// Writes the lines to the file that the first argument of the program names.
    pub fn write(&self) {
        let path = std::env::args().nth(1);
        let path = path.unwrap_or_else(|| "record.txt".to_owned());
        let lines = self.lines.lock().expect("no panic").join("\n") + "\n";
        let written =
            std::fs::File::create(&path).and_then(|mut file| file.write_all(lines.as_bytes()));
        if let Err(error) = written {
            eprintln!("{path}: {error}");
        }
    }
}
