//! What was sent, answered and run, with the time in milliseconds since the start. Each line is
//! written at once, so that a play that is cut or can't run leaves a record too.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Debug, Clone)]
pub struct Record {
    pub began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn start(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { began: Instant::now(), file })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no holder panics");
        let line = format!("{:>8} ms  {}\n", self.now_ms(), text.as_ref());
        // A record that can't be written must not end the play.
        let _ = file.write_all(line.as_bytes());
    }
}
