//! The queue between a link and a caller, and the timeout of stalled writes.

use base::{ErrorCode, RequestError};
use entry::WriteTimeout;
use entry::response_queue::{
    AbortReason, ReceivedPart, ResponseEnd, ResponseQueue, Unit,
};
use futures::task::noop_waker_ref;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

const WINDOW_PARTS: usize = 4;

fn part(offset: u64, units: u32, text: &str) -> ReceivedPart {
    ReceivedPart {
        offset,
        units,
        payload: text.as_bytes().to_vec(),
    }
}

fn complete(total_units: u64) -> ResponseEnd {
    ResponseEnd::Complete {
        status: 200,
        content_type: String::new(),
        total_units,
    }
}

/// Drains the queue; returns the bytes for the caller, and the end if there is one.
fn drain(queue: &ResponseQueue) -> (String, Option<ResponseEnd>) {
    let cx = Context::from_waker(noop_waker_ref());
    let mut parts = VecDeque::new();
    let Poll::Ready(end) = queue.poll_drain(&cx, &mut parts) else {
        return (String::new(), None);
    };
    let bytes: Vec<u8> = parts
        .iter()
        .flat_map(|part| part.bytes().to_vec())
        .collect();
    (String::from_utf8(bytes).expect("UTF-8"), end)
}

fn is_aborted(end: Option<&ResponseEnd>) -> bool {
    matches!(
        end,
        Some(ResponseEnd::Failed(RequestError {
            code: ErrorCode::AnswerBroken,
            ..
        }))
    )
}

/// A part that is added after two units, and the expected result.
struct Case {
    what: &'static str,
    unit: Unit,
    part: (u64, u32, &'static str),
    skip_units: u32,
    expected: Result<&'static str, AbortReason>,
}

const CASES: &[Case] = &[
    Case {
        what: "the next token",
        unit: Unit::Token,
        part: (2, 1, "c"),
        skip_units: 0,
        expected: Ok("c"),
    },
    Case {
        what: "a token delivered before",
        unit: Unit::Token,
        part: (1, 1, "b"),
        skip_units: 1,
        expected: Ok(""),
    },
    Case {
        what: "a later attempt's part has overtaken this one",
        unit: Unit::Token,
        part: (1, 1, "b"),
        skip_units: 0,
        expected: Err(AbortReason::InvalidPart),
    },
    Case {
        what: "this part has overtaken an earlier attempt's",
        unit: Unit::Token,
        part: (3, 1, "d"),
        skip_units: 0,
        expected: Err(AbortReason::InvalidPart),
    },
    Case {
        what: "tokens whose boundary is unknown",
        unit: Unit::Token,
        part: (1, 2, "bc"),
        skip_units: 1,
        expected: Err(AbortReason::InvalidPart),
    },
    Case {
        what: "bytes partly delivered before",
        unit: Unit::Byte,
        part: (0, 4, "abcd"),
        skip_units: 2,
        expected: Ok("cd"),
    },
    Case {
        what: "fewer bytes than stated",
        unit: Unit::Byte,
        part: (2, 4, "cd"),
        skip_units: 0,
        expected: Err(AbortReason::InvalidPart),
    },
    Case {
        what: "an offset that overflows",
        unit: Unit::Byte,
        part: (u64::MAX, 2, "xx"),
        skip_units: 1,
        expected: Err(AbortReason::InvalidPart),
    },
];

/// The caller gets every unit once and in order, or an error. Two units have been
/// delivered when another part arrives that is late, repeated, early or malformed,
/// as happens when two threads deliver parts of two attempts at once.
#[test]
fn parts_are_delivered_once_and_in_order() {
    for case in CASES {
        let queue = ResponseQueue::new(case.unit, WINDOW_PARTS);
        queue.push(part(0, 2, "ab"), 0).expect("the part is valid");
        assert_eq!(drain(&queue).0, "ab");
        let (offset, units, text) = case.part;
        let result = queue.push(part(offset, units, text), case.skip_units);
        assert_eq!(result.err(), case.expected.err(), "{}", case.what);
        let (bytes, end) = drain(&queue);
        assert_eq!(bytes, case.expected.unwrap_or_default(), "{}", case.what);
        assert_eq!(
            is_aborted(end.as_ref()),
            case.expected.is_err(),
            "{}",
            case.what
        );
    }
}

/// The state machine reports an answer as complete while another thread has not yet
/// delivered its last part. The response must not look complete without that part:
/// it ends with an error, and the part is dropped.
#[test]
fn a_complete_response_has_all_its_units() {
    let queue = ResponseQueue::new(Unit::Token, WINDOW_PARTS);
    queue.push(part(0, 1, "a"), 0).expect("the part is valid");
    queue.end(complete(2));
    queue.push(part(1, 1, "b"), 0).expect("the part is dropped");
    let (bytes, end) = drain(&queue);
    assert_eq!(bytes, "a");
    assert!(is_aborted(end.as_ref()));
}

/// A caller reads nothing. Parts are queued up to the limit on their number or on
/// their bytes. The next part aborts the response; the queued parts can still be
/// read before the error.
#[test]
fn a_full_queue_aborts_the_response() {
    let large = "x".repeat(2 << 20);
    for (text, queued) in [("x", WINDOW_PARTS), (large.as_str(), 2)] {
        let queue = ResponseQueue::new(Unit::Token, WINDOW_PARTS);
        for offset in 0..queued {
            queue
                .push(part(offset as u64, 1, text), 0)
                .expect("the queue has space");
        }
        let result = queue.push(part(queued as u64, 1, text), 0);
        assert_eq!(result, Err(AbortReason::CallerTooSlow));
        let (bytes, end) = drain(&queue);
        assert_eq!(bytes.len(), queued * text.len());
        assert!(is_aborted(end.as_ref()));
    }
}

/// Only the first end takes effect, as a refusal by the deadline and the end of the
/// answer may happen at the same time.
#[test]
fn only_the_first_end_takes_effect() {
    let queue = ResponseQueue::new(Unit::Token, WINDOW_PARTS);
    queue.end(ResponseEnd::Failed(RequestError::not_run(
        ErrorCode::Overloaded,
    )));
    queue.end(complete(0));
    let error = queue.take_early_error().expect("the response failed");
    assert_eq!(error.code, ErrorCode::Overloaded);
}

/// A caller keeps its connection open and reads nothing: writes to it fail after
/// the timeout, so that the connection ends. Writes to a caller that reads slowly,
/// but makes progress in time, do not fail.
#[tokio::test(start_paused = true)]
async fn a_stalled_write_fails_after_its_timeout() {
    let limit = Duration::from_secs(30);
    let (caller, entry) = duplex(4);
    let mut entry = WriteTimeout::new(entry, limit);
    let (mut reading, _writing) = tokio::io::split(caller);
    let reads = async {
        let mut bytes = [0; 4];
        for _ in 0..3 {
            tokio::time::sleep(limit - Duration::from_secs(1)).await;
            reading.read_exact(&mut bytes).await.expect("bytes arrive");
        }
    };
    let both = async { tokio::join!(entry.write_all(&[0; 16]), reads) };
    let both = tokio::time::timeout(limit * 10, both).await;
    let (written, ()) = both.expect("the reader gets all bytes");
    written.expect("each write made progress in time");

    let began = tokio::time::Instant::now();
    let stalled = entry
        .write_all(&[0; 16])
        .await
        .expect_err("the caller does not read");
    assert_eq!(stalled.kind(), ErrorKind::TimedOut);
    assert_eq!(began.elapsed().as_secs(), limit.as_secs());
}
