//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the record at the path in the variable RECORD.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").expect("RECORD should name the file of the record");
        let file = File::create(path).expect("the record should be created");
        Record {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Adds a line.
    pub fn line(&self, text: impl std::fmt::Display) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record should not be poisoned");
        let _ = writeln!(file, "{at:10.4} {text}");
    }

    /// Adds a line, and prints it.
    pub fn say(&self, text: impl std::fmt::Display) {
        println!("{text}");
        self.line(text);
    }

    /// Writes out the lines so far.
    pub fn flush(&self) {
        let _ = self.file.lock().expect("the record should not be poisoned").flush();
    }
}
