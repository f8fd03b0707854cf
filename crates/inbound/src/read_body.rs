//! Reads request bodies into memory.

use base::Instant;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep_until;

use crate::{Activity, BodyMemory, BodyReservation};

/// Steps in which memory is taken for small and for large bodies. Taking it for each part
/// would cost a lock and a block for each byte of some bodies.
const SMALL_SEGMENT_BYTES: usize = 4 << 10;
const LARGE_SEGMENT_BYTES: usize = 64 << 10;

/// Interval at which the limits in force are looked at.
const LIMITS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a body that is overdue is given up if still nothing came.
const CONFIRM_AFTER: Duration = Duration::from_millis(20);

/// Limits on one body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest size, in bytes.
    pub max_bytes: usize,
    /// Longest time in which no part comes.
    pub idle: Duration,
    /// Time at which its request can't be served any more.
    pub until: tokio::time::Instant,
}

/// Why a body was not read to its end. Its request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// There is no memory for it now.
    NoMemory,
    /// It made no progress, and gave way to others.
    Evicted,
    /// No part of it came within the idle time.
    Idle,
    /// The time of its request is over.
    Deadline,
    /// The connection ended, or violated the protocol.
    Broken,
}

impl BodyError {
    /// Returns the name used in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::NoMemory => "no_memory",
            Self::Evicted => "evicted",
            Self::Idle => "idle",
            Self::Deadline => "deadline",
            Self::Broken => "broken",
        }
    }
}

/// Reads a body to its end. The bytes hold their memory until the last reference to them
/// is dropped. `limits` gives the limits in force, which may change meanwhile, and `clock`
/// the time.
///
/// # Errors
///
/// Its request can't be served, or not now.
pub async fn read_body<B: Body<Data = Bytes>>(
    body: B,
    memory: &Arc<BodyMemory>,
    activity: &Activity,
    clock: impl Fn() -> Instant,
    limits: impl Fn() -> BodyLimits,
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint();
    let mut in_force = limits();
    let mut max_bytes = memory.fit(in_force.max_bytes);
    if announced.lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let mut held = PartialBody::new(memory.begin(clock()), announced.exact());
    let mut body = pin!(body);
    let mut last_part_at = tokio::time::Instant::now();
    let mut confirming = None;
    let mut check = pin!(sleep_until(in_force.next_check(last_part_at)));
    loop {
        let frame = tokio::select! {
            biased;
            () = held.reservation.evicted() => return Err(BodyError::Evicted),
            () = activity.evicted() => return Err(BodyError::Evicted),
            () = check.as_mut() => {
                in_force = limits();
                max_bytes = memory.fit(in_force.max_bytes);
                // After the process was suspended, timers fire before the sockets are
                // read. What has arrived is read first.
                let next_check = match in_force.check(last_part_at) {
                    Ok(()) => in_force.next_check(last_part_at),
                    Err(error) if confirming == Some(last_part_at) => return Err(error),
                    Err(_) => {
                        confirming = Some(last_part_at);
                        tokio::time::Instant::now() + CONFIRM_AFTER
                    }
                };
                check.as_mut().reset(next_check);
                continue;
            }
            frame = body.frame() => frame,
        };
        match frame {
            None => return Ok(held.into_bytes()),
            Some(Err(_)) => return Err(BodyError::Broken),
            Some(Ok(frame)) => {
                // Trailers are of no use, and bounded by the HTTP library.
                let Ok(part) = frame.into_data() else {
                    continue;
                };
                held.push(clock(), &part, max_bytes)?;
                activity.record_read(part.len());
                last_part_at = tokio::time::Instant::now();
            }
        }
    }
}

/// Holds bytes that were made of a body. They hold their memory until the last reference
/// to them is dropped.
///
/// # Errors
///
/// There is no memory for them now.
pub fn hold(
    bytes: Vec<u8>,
    memory: &Arc<BodyMemory>,
    now: Instant,
) -> Result<Bytes, BodyError> {
    let mut reservation = memory.begin(now);
    reservation
        .grow(now, 0, bytes.len(), bytes.len())
        .map_err(|_| BodyError::NoMemory)?;
    reservation.complete(bytes.len());
    Ok(Bytes::from_owner(WholeBody {
        bytes,
        _reservation: reservation,
    }))
}

impl BodyLimits {
    /// Returns when a body is to be checked whose last part came at this time. The limits
    /// in force may have changed by then.
    fn next_check(&self, last_part_at: tokio::time::Instant) -> tokio::time::Instant {
        let limits_check = tokio::time::Instant::now() + LIMITS_CHECK_INTERVAL;
        self.until.min(last_part_at + self.idle).min(limits_check)
    }

    fn check(&self, last_part_at: tokio::time::Instant) -> Result<(), BodyError> {
        let now = tokio::time::Instant::now();
        if now >= self.until {
            Err(BodyError::Deadline)
        } else if now >= last_part_at + self.idle {
            Err(BodyError::Idle)
        } else {
            Ok(())
        }
    }
}

const fn segment_bytes(held_bytes: usize) -> usize {
    if held_bytes > LARGE_SEGMENT_BYTES {
        LARGE_SEGMENT_BYTES
    } else {
        SMALL_SEGMENT_BYTES
    }
}

/// The part of a body that has come.
struct PartialBody {
    reservation: BodyReservation,
    segments: Segments,
    /// Its whole size, if announced.
    announced_bytes: Option<usize>,
    /// Size up to which memory is reserved, and what came since it was counted.
    reserved_bytes: usize,
    uncounted_bytes: usize,
}

impl PartialBody {
    fn new(reservation: BodyReservation, announced_bytes: Option<u64>) -> Self {
        Self {
            reservation,
            segments: Segments::default(),
            announced_bytes: announced_bytes.map(|bytes| bytes as usize),
            reserved_bytes: 0,
            uncounted_bytes: 0,
        }
    }

    fn push(
        &mut self,
        now: Instant,
        part: &[u8],
        max_bytes: usize,
    ) -> Result<(), BodyError> {
        let held_bytes = self.segments.held_bytes + part.len();
        if held_bytes > max_bytes {
            return Err(BodyError::TooLarge);
        }
        self.uncounted_bytes += part.len();
        if held_bytes > self.reserved_bytes {
            self.reserve(now, held_bytes)?;
        }
        self.segments.push(part, self.reserved_bytes);
        Ok(())
    }

    fn reserve(&mut self, now: Instant, held_bytes: usize) -> Result<(), BodyError> {
        let whole_bytes = self.announced_bytes.unwrap_or(usize::MAX).max(held_bytes);
        let reserved_bytes = held_bytes.next_multiple_of(segment_bytes(held_bytes));
        let reserved_bytes = reserved_bytes.min(whole_bytes);
        let size_bytes = self.announced_bytes.unwrap_or(reserved_bytes);
        let came_bytes = std::mem::take(&mut self.uncounted_bytes);
        self.reservation
            .grow(now, came_bytes, reserved_bytes, size_bytes)
            .map_err(|_| BodyError::NoMemory)?;
        self.reserved_bytes = reserved_bytes;
        Ok(())
    }

    fn into_bytes(self) -> Bytes {
        let Self {
            mut reservation,
            segments,
            ..
        } = self;
        let bytes = segments.into_whole();
        reservation.complete(bytes.len());
        Bytes::from_owner(WholeBody {
            bytes,
            _reservation: reservation,
        })
    }
}

/// Bytes in blocks of few sizes, which the allocator uses again for other bodies. A single
/// block that grows with its body takes twice the memory while it is copied.
///
/// The parts are copied: one of a byte would otherwise keep the buffer that it was read
/// with.
#[derive(Default)]
struct Segments {
    blocks: Vec<Vec<u8>>,
    held_bytes: usize,
}

impl Segments {
    /// Adds a part, for which `reserved_bytes` may be held together.
    fn push(&mut self, mut part: &[u8], reserved_bytes: usize) {
        while !part.is_empty() {
            let free_bytes = self
                .blocks
                .last()
                .map_or(0, |block| block.capacity() - block.len());
            if free_bytes == 0 {
                let further_bytes = reserved_bytes - self.held_bytes;
                self.blocks.push(Vec::with_capacity(further_bytes));
                continue;
            }
            let (now, later) = part.split_at(free_bytes.min(part.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(now);
            }
            self.held_bytes += now.len();
            part = later;
        }
    }

    /// Returns all bytes in one block.
    fn into_whole(self) -> Vec<u8> {
        match <[Vec<u8>; 1]>::try_from(self.blocks) {
            Ok([block]) => block,
            Err(blocks) => blocks.concat(),
        }
    }
}

/// A whole body with its memory.
struct WholeBody {
    bytes: Vec<u8>,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for WholeBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
