//! What was sent, answered and run, with the time since the start.

use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The record of one run.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            lines: Mutex::default(),
        })
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.elapsed().as_secs_f64();
        let line = format!("{at:9.3} s  {}", line.as_ref());
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
    }

    /// Notes `line` and prints it.
    pub fn tell(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.note(line);
    }

    /// Writes the record to `record.txt` in `folder`.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        std::fs::write(folder.join("record.txt"), lines.join("\n") + "\n")
    }
}
