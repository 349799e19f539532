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

    /// Writes `record.txt` into the folder that the first argument of the program names.
    pub fn write(&self) {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let lines = self.lines.lock().expect("no panic");
        let file = std::fs::File::create(std::path::Path::new(&folder).join("record.txt"));
        let written =
            file.and_then(|mut file| file.write_all((lines.join("\n") + "\n").as_bytes()));
        if let Err(error) = written {
            eprintln!("record.txt: {error}");
        }
    }
}
