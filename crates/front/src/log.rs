//! Structured log lines on standard output, with bounded memory and without
//! blocking.

use parking_lot::Mutex;
use serde_json::{Map, Value};
use std::fmt;
use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Largest number of bytes buffered while standard output is blocked. Further
/// lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 128 << 10;

/// Interval at which lines are handed to the writer thread. Each time wakes
/// that thread.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of lines per second. In a burst of requests, logging would
/// otherwise cost more than serving them.
const MAX_LINES_PER_SECOND: u32 = 2_000;

/// Largest number of lines per second about requests and connections that are refused or
/// given up. Callers that send nothing else could otherwise displace all other lines.
const MAX_CALLER_LINES_PER_SECOND: u32 = 200;

/// Largest length of a request's id in a line. Callers choose it, and it may be as long as
/// a head.
const MAX_ID_BYTES: usize = 128;

/// Largest size of one write, unless a single line is longer: the size up to
/// which a pipe writes atomically (`PIPE_BUF` on Linux). Log collectors may
/// split larger writes; a reader then sees half a line and misses the lines
/// after it.
const MAX_WRITE_BYTES: usize = 4_096;

/// The log of the process.
///
/// Lines are buffered in memory and handed to a thread that may block on
/// standard output. While it is blocked, lines are buffered up to a limit and
/// then dropped and counted.
#[derive(Clone)]
pub struct Log {
    buffer: Arc<Mutex<LogBuffer>>,
    writer: SyncSender<Vec<u8>>,
}

/// Who decides how many lines of a kind there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LineCause {
    Process,
    Caller,
}

#[derive(Debug, Default)]
struct LogBuffer {
    bytes: Vec<u8>,
    dropped: u64,
    second: u64,
    lines: u32,
    caller_lines: u32,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

impl Log {
    /// Starts a log that writes to standard output.
    ///
    /// # Panics
    ///
    /// Panics if the operating system can't create a thread.
    pub fn start() -> Self {
        Self::with_writer(std::io::stdout())
    }

    /// Starts a log that writes to `out`.
    ///
    /// # Panics
    ///
    /// Panics if the operating system can't create a thread.
    pub fn with_writer(mut out: impl Write + Send + 'static) -> Self {
        let (writer, batches) = sync_channel::<Vec<u8>>(1);
        let buffer: Arc<Mutex<LogBuffer>> = Arc::default();
        let shared_buffer = Arc::clone(&buffer);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || {
                for bytes in batches {
                    let lost = write_lines(&mut out, &bytes);
                    shared_buffer.lock().dropped += lost;
                }
            })
            .expect("the log thread can be created");
        Self { buffer, writer }
    }

    /// Adds a line with the name of an event and its fields.
    pub fn line(&self, event: &str, fields: Value) {
        self.add(event, fields, LineCause::Process);
    }

    /// As [`Self::line`], for lines of which callers can cause as many as they like. Only
    /// some of them are written each second; the others count as dropped.
    pub fn caller_line(&self, event: &str, fields: Value) {
        self.add(event, fields, LineCause::Caller);
    }

    fn add(&self, event: &str, fields: Value, cause: LineCause) {
        let mut line = Map::new();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let ms = now.map_or(0, |now| now.as_millis() as u64);
        line.insert("t_ms".to_owned(), Value::from(ms));
        line.insert("event".to_owned(), Value::from(event));
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        if let Some(Value::String(id)) = line.get_mut("id") {
            id.truncate(id.floor_char_boundary(MAX_ID_BYTES));
        }
        let mut buffer = self.buffer.lock();
        if !buffer.admit(ms / 1_000, cause) {
            return;
        }
        // Writing to memory can't fail, and all maps have string keys.
        let _ = serde_json::to_writer(&mut buffer.bytes, &Value::Object(line));
        buffer.bytes.push(b'\n');
    }

    /// Returns the number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.buffer.lock().dropped
    }

    /// Flushes the buffer at a fixed interval, forever.
    pub(crate) async fn flush_periodically(&self) {
        loop {
            tokio::time::sleep(FLUSH_INTERVAL).await;
            self.flush();
        }
    }

    /// Hands the buffered lines to the writer thread unless it is still
    /// writing.
    pub fn flush(&self) {
        let mut buffer = self.buffer.lock();
        if buffer.bytes.is_empty() {
            return;
        }
        let bytes = std::mem::take(&mut buffer.bytes);
        if let Err(error) = self.writer.try_send(bytes) {
            buffer.bytes = match error {
                std::sync::mpsc::TrySendError::Full(bytes)
                | std::sync::mpsc::TrySendError::Disconnected(bytes) => bytes,
            };
        }
    }
}

/// Writes the lines, each entirely within one write. Returns how many could not
/// be written; if standard output is closed, this count is the only trace of
/// them.
fn write_lines(out: &mut impl Write, bytes: &[u8]) -> u64 {
    let mut rest = bytes;
    while !rest.is_empty() {
        let (now, later) = rest.split_at(write_length(rest));
        if out.write_all(now).and_then(|()| out.flush()).is_err() {
            return rest.iter().filter(|byte| **byte == b'\n').count() as u64;
        }
        rest = later;
    }
    0
}

/// Returns the length of the leading lines that fit into one write, or of the
/// first line if that alone is longer.
fn write_length(bytes: &[u8]) -> usize {
    let ends = |part: &[u8]| part.iter().rposition(|byte| *byte == b'\n');
    let first = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
    let end = ends(first).or_else(|| bytes.iter().position(|byte| *byte == b'\n'));
    end.map_or(bytes.len(), |end| end + 1)
}

impl LogBuffer {
    /// Returns whether another line is accepted, and counts it.
    fn admit(&mut self, second: u64, cause: LineCause) -> bool {
        if second != self.second {
            self.second = second;
            self.lines = 0;
            self.caller_lines = 0;
        }
        let has_share = cause == LineCause::Process
            || self.caller_lines < MAX_CALLER_LINES_PER_SECOND;
        let admitted = has_share
            && self.lines < MAX_LINES_PER_SECOND
            && self.bytes.len() < MAX_BUFFERED_BYTES;
        if admitted {
            self.lines += 1;
            self.caller_lines += u32::from(cause == LineCause::Caller);
        } else {
            self.dropped += 1;
        }
        admitted
    }
}
