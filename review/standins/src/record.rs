//! The record of a run: what was sent, answered and run, one line each, with milliseconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Handle to the record of a run; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file, and replaces an earlier one.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let out = BufWriter::new(File::create(path)?);
        Ok(Self {
            started: Instant::now(),
            out: Arc::new(Mutex::new(out)),
        })
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.elapsed().as_secs_f64() * 1000.0;
        let mut out = self.out.lock().unwrap();
        let _written = writeln!(out, "{at:10.1} {text}");
    }

    /// Writes one line, and shows it on standard output.
    pub fn note(&self, text: &str) {
        self.line(text);
        println!("{:8.3} s  {text}", self.elapsed().as_secs_f64());
    }

    /// Writes what is still buffered.
    pub fn flush(&self) {
        let _flushed = self.out.lock().unwrap().flush();
    }
}
