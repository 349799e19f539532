//! The record of what was sent, answered and run.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<std::io::BufWriter<std::fs::File>>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = std::io::BufWriter::new(std::fs::File::create(path)?);
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Milliseconds since the start of the script.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>8} ms  {text}", self.now_ms());
        let _ = file.flush();
    }
}
