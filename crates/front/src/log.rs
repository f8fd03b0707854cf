//! Structured log lines on standard output, bounded and never blocking.

use parking_lot::Mutex;
use serde_json::{Map, Value};
use std::fmt;
use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Bytes held while the reader of standard output does not read. Beyond, lines
/// are dropped and counted.
const HELD_MAX_BYTES: usize = 128 << 10;

/// Time between two hand-overs to the writer. Each wakes a thread.
const HAND_OVER_EVERY: Duration = Duration::from_millis(200);

/// Lines written a second at most; a storm of requests would otherwise spend
/// more on telling of them than on serving them.
const LINES_PER_S: u32 = 2_000;

/// Bytes of one write, if its lines are not longer: what a pipe takes as a whole
/// (`PIPE_BUF` of Linux). Larger writes may be split by whatever collects them,
/// and a reader then sees half a line and misses those behind it.
const WRITE_MAX_BYTES: usize = 4_096;

/// The process's log.
///
/// Lines are put together in memory and handed to a thread that may block on
/// standard output; if it is still blocked at the next hand-over, lines are held
/// up to a bound and then dropped and counted.
#[derive(Clone)]
pub struct Log {
    inner: Arc<Mutex<Held>>,
    writer: SyncSender<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Held {
    bytes: Vec<u8>,
    dropped: u64,
    second: u64,
    lines: u32,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

impl Log {
    /// Starts the writer on standard output.
    ///
    /// # Panics
    ///
    /// If the operating system gives no thread.
    pub fn start() -> Self {
        Self::to(std::io::stdout())
    }

    /// Starts the writer on something else.
    ///
    /// # Panics
    ///
    /// If the operating system gives no thread.
    pub fn to(mut out: impl Write + Send + 'static) -> Self {
        let (writer, handed) = sync_channel::<Vec<u8>>(1);
        let inner: Arc<Mutex<Held>> = Arc::default();
        let written = Arc::clone(&inner);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || {
                for bytes in handed {
                    let lost = write_lines(&mut out, &bytes);
                    written.lock().dropped += lost;
                }
            })
            .expect("a process starts with threads to spare");
        Self { inner, writer }
    }

    /// Adds a line: an event and its fields.
    pub fn line(&self, event: &str, fields: Value) {
        let mut line = Map::new();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let ms = now.map_or(0, |now| now.as_millis() as u64);
        line.insert("t_ms".to_owned(), Value::from(ms));
        line.insert("event".to_owned(), Value::from(event));
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let mut held = self.inner.lock();
        if !held.admit(ms / 1_000) {
            return;
        }
        // Writing to memory can't fail, and the values have string keys.
        let _ = serde_json::to_writer(&mut held.bytes, &Value::Object(line));
        held.bytes.push(b'\n');
    }

    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.inner.lock().dropped
    }

    /// Hands lines to the writer now and then, for ever.
    pub(crate) async fn hand_over(&self) {
        loop {
            tokio::time::sleep(HAND_OVER_EVERY).await;
            self.flush();
        }
    }

    /// Hands what is held to the writer unless that is still writing.
    pub fn flush(&self) {
        let mut held = self.inner.lock();
        if held.bytes.is_empty() {
            return;
        }
        let bytes = std::mem::take(&mut held.bytes);
        if let Err(full) = self.writer.try_send(bytes) {
            held.bytes = match full {
                std::sync::mpsc::TrySendError::Full(bytes)
                | std::sync::mpsc::TrySendError::Disconnected(bytes) => bytes,
            };
        }
    }
}

/// Writes lines, each whole within one write; how many could not be written.
/// A closed standard output leaves nowhere else to say so.
fn write_lines(out: &mut impl Write, bytes: &[u8]) -> u64 {
    let mut rest = bytes;
    while !rest.is_empty() {
        let (now, later) = rest.split_at(whole_lines(rest));
        if out.write_all(now).and_then(|()| out.flush()).is_err() {
            return rest.iter().filter(|byte| **byte == b'\n').count() as u64;
        }
        rest = later;
    }
    0
}

/// Length of the first lines that fit into one write; of the first line if that
/// alone is longer.
fn whole_lines(bytes: &[u8]) -> usize {
    let ends = |part: &[u8]| part.iter().rposition(|byte| *byte == b'\n');
    let first = &bytes[..bytes.len().min(WRITE_MAX_BYTES)];
    let end = ends(first).or_else(|| bytes.iter().position(|byte| *byte == b'\n'));
    end.map_or(bytes.len(), |end| end + 1)
}

impl Held {
    /// Whether one more line is taken.
    fn admit(&mut self, second: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.lines = 0;
        }
        let taken = self.lines < LINES_PER_S && self.bytes.len() < HELD_MAX_BYTES;
        if taken {
            self.lines += 1;
        } else {
            self.dropped += 1;
        }
        taken
    }
}
