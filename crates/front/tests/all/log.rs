//! The log never blocks and uses bounded memory.

use front::Log;
use serde_json::json;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};

/// A writer that blocks until it is opened.
#[derive(Debug, Default)]
struct Gate {
    open: Mutex<bool>,
    opened: Condvar,
    written: Mutex<Vec<u8>>,
}

#[derive(Debug)]
struct GatedWriter(Arc<Gate>);

impl Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut open = self.0.open.lock().expect("no test panicked");
        while !*open {
            open = self.0.opened.wait(open).expect("no test panicked");
        }
        let mut written = self.0.written.lock().expect("no test panicked");
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a blocked reader of the log: adding a line returns at once,
/// the buffer stays bounded, and dropped lines are counted. Once the log is
/// read again, it continues.
#[test]
fn blocked_reader_does_not_block_the_log() {
    let gate = Arc::new(Gate::default());
    let log = Log::with_writer(GatedWriter(Arc::clone(&gate)));
    for round in 0..30 {
        for number in 0..100 {
            log.line(
                "request",
                json!({ "id": format!("{round}-{number}"),
                "filler": "x".repeat(200) }),
            );
        }
        log.flush();
    }
    let dropped = log.dropped();
    assert!(dropped > 1_000, "{dropped}");
    *gate.open.lock().expect("no test panicked") = true;
    gate.opened.notify_all();
    while gate.written.lock().expect("no test panicked").len() < 128 << 10 {
        log.flush();
        std::thread::yield_now();
    }
    let written = gate.written.lock().expect("no test panicked").clone();
    assert!(written.len() < 400 << 10, "{}", written.len());
    for line in String::from_utf8(written)
        .expect("the log is UTF-8")
        .lines()
    {
        let line: serde_json::Value =
            serde_json::from_str(line).expect("one JSON object per line");
        assert_eq!(line["event"], "request");
    }
}

/// A burst of lines fills the buffer until the next flush. Lines dropped
/// because of that must not count towards the lines allowed in that second:
/// otherwise, at twelve thousand requests per second, only a fifth of the lines
/// that the log can take are written.
#[test]
fn lines_dropped_for_a_full_buffer_leave_the_rate_limit_alone() {
    let writes = RecordingWriter::default();
    let log = Log::with_writer(writes.clone());
    let line = || log.line("request", json!({ "filler": "x".repeat(300) }));
    for _ in 0..10_000 {
        line();
    }
    let before = log.dropped();
    assert!(before > 9_000, "{before}");
    log.flush();
    for _ in 0..100 {
        line();
    }
    assert_eq!(log.dropped(), before);
}

/// Stores each write separately.
#[derive(Debug, Clone, Default)]
struct RecordingWriter(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for RecordingWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut writes = self.0.lock().expect("no test panicked");
        writes.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Many requests end at once and their lines are flushed together. A log
/// collector takes only a limited number of bytes from one write as a unit; a
/// larger write loses the lines after the cut, which are those that explain the
/// failure.
#[test]
fn no_line_is_split_over_two_writes() {
    let writes = RecordingWriter::default();
    let log = Log::with_writer(writes.clone());
    for number in 0..100 {
        let filler = "x".repeat(if number == 50 { 6_000 } else { 300 });
        log.line("request", json!({ "number": number, "filler": filler }));
    }
    log.flush();
    let written = || writes.0.lock().expect("no test panicked").concat();
    while written().iter().filter(|byte| **byte == b'\n').count() < 100 {
        std::thread::yield_now();
    }
    for write in writes.0.lock().expect("no test panicked").iter() {
        let lines = write.iter().filter(|byte| **byte == b'\n').count();
        assert_eq!(write.last(), Some(&b'\n'));
        assert!(write.len() <= 4_096 || lines == 1, "{} bytes", write.len());
    }
}

/// Guards against callers that write the log full with ids as long as a head may be.
#[test]
fn a_long_id_is_cut_off() {
    let writes = RecordingWriter::default();
    let log = Log::with_writer(writes.clone());
    log.line(
        "refused",
        json!({ "id": "\u{e9}".repeat(8_000), "code": 1_008 }),
    );
    log.flush();
    let written = || writes.0.lock().expect("no test panicked").concat();
    while !written().ends_with(b"\n") {
        std::thread::yield_now();
    }
    let line = String::from_utf8(written()).expect("UTF-8");
    assert!(line.len() < 400, "{} bytes", line.len());
    assert!(line.contains("1008"), "{line}");
}

/// Guards against callers whose requests are refused, and whose lines take the place of
/// all others.
#[test]
fn lines_that_callers_cause_leave_room_for_others() {
    let log = Log::with_writer(std::io::sink());
    for _ in 0..20_000 {
        log.caller_line("refused", json!({ "id": "x" }));
        log.flush();
    }
    let before = log.dropped();
    assert!(before > 15_000, "{before}");
    for _ in 0..500 {
        log.line("request", json!({ "id": "x" }));
        log.flush();
    }
    assert_eq!(log.dropped(), before);
}

/// Standard output is closed and nothing reads the log anymore.
#[test]
fn unwritable_lines_are_counted_as_dropped() {
    struct ClosedWriter;
    impl Write for ClosedWriter {
        fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
            Err(std::io::ErrorKind::BrokenPipe.into())
        }

        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let log = Log::with_writer(ClosedWriter);
    for _ in 0..3 {
        log.line("request", json!({}));
    }
    log.flush();
    while log.dropped() < 3 {
        std::thread::yield_now();
    }
    assert_eq!(log.dropped(), 3);
}
