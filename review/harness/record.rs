//! The record of a run: what was sent, answered and run, one line each.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self { began: Instant::now(), file: Mutex::new(BufWriter::new(file)) })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _best_effort = writeln!(file, "{:9.3} {line}", now_ms as f64 / 1e3);
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{:9.3} {line}", self.now_ms() as f64 / 1e3);
    }

    pub fn flush(&self) {
        let _best_effort = self.file.lock().unwrap().flush();
    }
}
