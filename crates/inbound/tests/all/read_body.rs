//! Reading bodies into memory that is bounded.

use base::Instant;
use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use inbound::{Activity, BodyError, BodyLimits, BodyMemory, read_body};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

const CAPACITY: usize = 1 << 20;
const IDLE: Duration = Duration::from_secs(15);

/// Reads a body that comes in parts of this size at this interval.
async fn read_parts(
    memory: &Arc<BodyMemory>,
    parts: usize,
    part_bytes: usize,
    interval: Duration,
    deadline: Duration,
) -> Result<Bytes, BodyError> {
    let parts = stream::unfold(0, move |sent| async move {
        if sent == parts {
            return None;
        }
        tokio::time::sleep(interval).await;
        let part = Bytes::from(vec![b'x'; part_bytes]);
        Some((Ok::<_, Infallible>(Frame::data(part)), sent + 1))
    });
    let started = tokio::time::Instant::now();
    let limits = || BodyLimits {
        max_bytes: 500_000,
        idle: IDLE,
        until: started + deadline,
    };
    let clock = || Instant::ZERO + started.elapsed();
    read_body(
        StreamBody::new(parts),
        memory,
        &Activity::default(),
        clock,
        limits,
    )
    .await
}

const MS: Duration = Duration::from_millis(1);
const HOUR: Duration = Duration::from_secs(3_600);

#[tokio::test(start_paused = true)]
async fn a_body_in_small_parts_is_whole_and_releases_its_memory() {
    let memory = BodyMemory::new(CAPACITY, CAPACITY);
    for (parts, part_bytes) in [(1, 1), (30_000, 1), (5_000, 100), (3, 150_000)] {
        let body = read_parts(&memory, parts, part_bytes, MS, HOUR).await;
        let body = body.expect("a body within the limits");
        assert_eq!(body.len(), parts * part_bytes);
        assert!(body.iter().all(|byte| *byte == b'x'));
        let copy = body.clone();
        drop(body);
        assert_eq!(memory.pressure().used_bytes, copy.len());
        drop(copy);
        assert_eq!(memory.pressure().used_bytes, 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_body_over_the_limit_is_refused() {
    let memory = BodyMemory::new(CAPACITY, CAPACITY);
    let read = read_parts(&memory, 6, 100_000, MS, HOUR).await;
    assert_eq!(read, Err(BodyError::TooLarge));
    assert_eq!(memory.pressure().used_bytes, 0);
}

/// Guards against a caller that stops in the middle and is waited for without end.
#[tokio::test(start_paused = true)]
async fn a_body_that_brings_nothing_is_given_up() {
    let memory = BodyMemory::new(CAPACITY, CAPACITY);
    let read = read_parts(&memory, 2, 100, 2 * IDLE, HOUR).await;
    assert_eq!(read, Err(BodyError::Idle));
}

/// Guards against a caller that sends a byte now and then for longer than its request has.
#[tokio::test(start_paused = true)]
async fn a_body_ends_with_the_time_of_its_request() {
    let memory = BodyMemory::new(CAPACITY, CAPACITY);
    let read = read_parts(&memory, 1_000, 1, IDLE / 2, 4 * IDLE).await;
    assert_eq!(read, Err(BodyError::Deadline));
}

#[tokio::test(start_paused = true)]
async fn a_slow_body_within_its_time_is_whole() {
    let memory = BodyMemory::new(CAPACITY, CAPACITY);
    let read = read_parts(&memory, 20, 100, IDLE / 2, HOUR).await;
    assert_eq!(read.map(|body| body.len()), Ok(2_000));
}

#[tokio::test(start_paused = true)]
async fn a_body_without_memory_is_refused_and_counted() {
    let memory = BodyMemory::new(400_000, 400_000);
    let held = read_parts(&memory, 1, 220_000, MS, HOUR).await;
    let refused = read_parts(&memory, 1, 100_000, MS, HOUR).await;
    assert_eq!(refused.map(|body| body.len()), Err(BodyError::NoMemory));
    let pressure = memory.pressure();
    assert!(pressure.is_short && pressure.refused == 1, "{pressure:?}");
    drop(held);
    assert!(!memory.pressure().is_short);
}
