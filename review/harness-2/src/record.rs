//! The record of a play: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Writes lines to a file.
pub struct Record {
    started_at: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes a line.
    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().expect("no panic while writing");
        let _ = writeln!(file, "{:9.3} {line}", self.now().as_secs_f64());
    }

    /// Writes a line, also to standard output.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{:9.3} {line}", self.now().as_secs_f64());
        self.flush();
    }

    /// Writes out what is buffered.
    pub fn flush(&self) {
        let mut file = self.file.lock().expect("no panic while writing");
        let _ = file.flush();
    }
}
