//! The queue between a link and a caller, and the bound on stalled writes.

use base::{ErrorCode, RequestError};
use entry::StallTimeout;
use entry::reply::{Broken, Ending, Incoming, Reply, Unit};
use futures::task::noop_waker_ref;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

const WINDOW_PARTS: usize = 4;

fn part(offset: u64, units: u32, text: &str) -> Incoming {
    Incoming {
        offset,
        units,
        payload: text.as_bytes().to_vec(),
    }
}

fn whole(total_units: u64) -> Ending {
    Ending::Whole {
        status: 200,
        content_type: String::new(),
        total_units,
    }
}

/// What the caller has been given.
fn taken(reply: &Reply) -> (String, Option<Ending>) {
    let cx = Context::from_waker(noop_waker_ref());
    let mut parts = VecDeque::new();
    let Poll::Ready(ending) = reply.poll_take(&cx, &mut parts) else {
        return (String::new(), None);
    };
    let bytes: Vec<u8> = parts
        .iter()
        .flat_map(|part| part.bytes().to_vec())
        .collect();
    (String::from_utf8(bytes).expect("UTF-8"), ending)
}

fn is_broken(ending: Option<&Ending>) -> bool {
    matches!(
        ending,
        Some(Ending::Refused(RequestError {
            code: ErrorCode::AnswerBroken,
            ..
        }))
    )
}

/// One part behind two delivered units, and what comes of it.
struct Case {
    what: &'static str,
    unit: Unit,
    part: (u64, u32, &'static str),
    skip_units: u32,
    comes: Result<&'static str, Broken>,
}

const CASES: &[Case] = &[
    Case {
        what: "the next token",
        unit: Unit::Token,
        part: (2, 1, "c"),
        skip_units: 0,
        comes: Ok("c"),
    },
    Case {
        what: "a token delivered before",
        unit: Unit::Token,
        part: (1, 1, "b"),
        skip_units: 1,
        comes: Ok(""),
    },
    Case {
        what: "a later attempt's part has overtaken this one",
        unit: Unit::Token,
        part: (1, 1, "b"),
        skip_units: 0,
        comes: Err(Broken::PartDoesNotFit),
    },
    Case {
        what: "this part has overtaken an earlier attempt's",
        unit: Unit::Token,
        part: (3, 1, "d"),
        skip_units: 0,
        comes: Err(Broken::PartDoesNotFit),
    },
    Case {
        what: "tokens that can't be told apart",
        unit: Unit::Token,
        part: (1, 2, "bc"),
        skip_units: 1,
        comes: Err(Broken::PartDoesNotFit),
    },
    Case {
        what: "bytes partly delivered before",
        unit: Unit::Byte,
        part: (0, 4, "abcd"),
        skip_units: 2,
        comes: Ok("cd"),
    },
    Case {
        what: "fewer bytes than stated",
        unit: Unit::Byte,
        part: (2, 4, "cd"),
        skip_units: 0,
        comes: Err(Broken::PartDoesNotFit),
    },
    Case {
        what: "an offset beyond all numbers",
        unit: Unit::Byte,
        part: (u64::MAX, 2, "xx"),
        skip_units: 1,
        comes: Err(Broken::PartDoesNotFit),
    },
];

/// The caller reads every unit once and in order, or an error. Two units have
/// been delivered when one more part comes, late, doubled, early or unreadable,
/// as when two threads hand on parts of two attempts at once.
#[test]
fn parts_are_delivered_once_and_in_order() {
    for case in CASES {
        let reply = Reply::new(case.unit, WINDOW_PARTS);
        reply.push(part(0, 2, "ab"), 0).expect("it fits");
        assert_eq!(taken(&reply).0, "ab");
        let (offset, units, text) = case.part;
        let pushed = reply.push(part(offset, units, text), case.skip_units);
        assert_eq!(pushed.err(), case.comes.err(), "{}", case.what);
        let (got, ending) = taken(&reply);
        assert_eq!(got, case.comes.unwrap_or_default(), "{}", case.what);
        assert_eq!(
            is_broken(ending.as_ref()),
            case.comes.is_err(),
            "{}",
            case.what
        );
    }
}

/// The machine says that an answer is whole while another thread still holds
/// its last part. The answer must not look whole without that part, so it ends
/// with an error, and the part is dropped.
#[test]
fn a_whole_answer_has_all_its_units() {
    let reply = Reply::new(Unit::Token, WINDOW_PARTS);
    reply.push(part(0, 1, "a"), 0).expect("it fits");
    reply.end(whole(2));
    reply.push(part(1, 1, "b"), 0).expect("it is dropped");
    let (got, ending) = taken(&reply);
    assert_eq!(got, "a");
    assert!(is_broken(ending.as_ref()));
}

/// A caller reads nothing. Parts are kept up to the bound on their number, or
/// on their bytes; the next one breaks the answer off, and what was kept can
/// still be read in front of the error.
#[test]
fn a_queue_has_a_bound() {
    let large = "x".repeat(2 << 20);
    for (text, kept) in [("x", WINDOW_PARTS), (large.as_str(), 2)] {
        let reply = Reply::new(Unit::Token, WINDOW_PARTS);
        for offset in 0..kept {
            reply
                .push(part(offset as u64, 1, text), 0)
                .expect("there is room");
        }
        let pushed = reply.push(part(kept as u64, 1, text), 0);
        assert_eq!(pushed, Err(Broken::CallerTooSlow));
        let (got, ending) = taken(&reply);
        assert_eq!(got.len(), kept * text.len());
        assert!(is_broken(ending.as_ref()));
    }
}

/// Only the first ending counts: a refusal by the deadline and the answer's own
/// end may come at once.
#[test]
fn the_first_ending_counts() {
    let reply = Reply::new(Unit::Token, WINDOW_PARTS);
    reply.end(Ending::Refused(RequestError::not_run(
        ErrorCode::Overloaded,
    )));
    reply.end(whole(0));
    let refusal = reply.take_early_refusal().expect("it was refused");
    assert_eq!(refusal.code, ErrorCode::Overloaded);
}

/// A caller keeps its connection open and takes nothing. Its writes fail after
/// the bound, so that the connection ends; a caller that takes something in
/// time, however slowly, is not cut.
#[tokio::test(start_paused = true)]
async fn a_stalled_write_fails_after_its_bound() {
    let limit = Duration::from_secs(30);
    let (caller, entry) = duplex(4);
    let mut entry = StallTimeout::new(entry, limit);
    let (mut reading, _writing) = tokio::io::split(caller);
    let reads = async {
        let mut bytes = [0; 4];
        for _ in 0..3 {
            tokio::time::sleep(limit - Duration::from_secs(1)).await;
            reading.read_exact(&mut bytes).await.expect("bytes come");
        }
    };
    let both = async { tokio::join!(entry.write_all(&[0; 16]), reads) };
    let both = tokio::time::timeout(limit * 10, both).await;
    let (written, ()) = both.expect("the reader gets its bytes");
    written.expect("each write went on in time");

    let began = tokio::time::Instant::now();
    let stalled = entry.write_all(&[0; 16]).await.expect_err("nobody reads");
    assert_eq!(stalled.kind(), ErrorKind::TimedOut);
    assert_eq!(began.elapsed().as_secs(), limit.as_secs());
}
