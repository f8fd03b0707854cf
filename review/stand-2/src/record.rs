//! What was sent, answered and run, with the time in milliseconds since the start.

use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Debug, Clone)]
pub struct Record {
    pub began: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn start() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl Into<String>) {
        let at = self.now_ms();
        self.lines.lock().expect("no holder panics").push((at, text.into()));
    }

    pub fn text(&self) -> String {
        let mut lines = self.lines.lock().expect("no holder panics").clone();
        lines.sort_by_key(|(at, _)| *at);
        lines.iter().map(|(at, text)| format!("{at:>8} ms  {text}\n")).collect()
    }
}
