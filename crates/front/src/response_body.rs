//! Reads the bodies of upstreams' responses to their end.

use bytes::{Bytes, BytesMut};
use direct::{BodyTooLarge, ResponseMemory};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::ResponseHead;
use crate::in_flight::InFlight;
use crate::state::Node;
use crate::state::caller_request::CallerRequest;
use crate::state::transfer::TransferKind;

/// Interval at which the read of a body checks whether it should go on.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of parts in which a body may come. Each costs processor time, however
/// small it is.
const PARTS_MAX: usize = 32 << 10;

/// What becomes of a response, and so how much of it is worth reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyUse {
    /// It is forwarded.
    Answer,
    /// It is a failure, and is forwarded if no other upstream responds.
    Failure,
    /// It isn't forwarded. It is read so that its connection can be used again.
    Discarded,
}

impl BodyUse {
    pub(crate) fn of(status: StatusCode, head: &ResponseHead) -> Self {
        if head.not_run || status.is_server_error() && !head.signed {
            Self::Discarded
        } else if status.is_server_error() {
            Self::Failure
        } else {
            Self::Answer
        }
    }

    const fn max_bytes(self) -> usize {
        match self {
            Self::Answer => 8 << 20,
            Self::Failure => 256 << 10,
            Self::Discarded => 64 << 10,
        }
    }

    /// Longest time for which the body is read; `None` if only the request's deadline
    /// limits it.
    const fn max_duration(self) -> Option<Duration> {
        match self {
            Self::Answer => None,
            Self::Failure => Some(Duration::from_secs(1)),
            Self::Discarded => Some(Duration::from_millis(100)),
        }
    }

    /// Returns the name used in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Failure => "failure",
            Self::Discarded => "discarded",
        }
    }
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection ended, or violated the protocol.
    Broken,
    /// It is too large, took too long, or belongs to an incarnation that has ended.
    GivenUp,
}

/// A body that is being read or held, and the memory that it takes.
struct BodyBuffer {
    memory: Arc<Mutex<ResponseMemory>>,
    bytes: BytesMut,
    held_bytes: usize,
    parts: usize,
    max_bytes: usize,
}

impl BodyBuffer {
    fn new(memory: &Arc<Mutex<ResponseMemory>>, max_bytes: usize) -> Self {
        memory.lock().begin();
        Self {
            memory: Arc::clone(memory),
            bytes: BytesMut::new(),
            held_bytes: 0,
            parts: 0,
            max_bytes,
        }
    }

    fn push(&mut self, part: &[u8]) -> Result<(), BodyTooLarge> {
        self.parts += 1;
        let bytes = self.held_bytes + part.len();
        if bytes > self.max_bytes || self.parts > PARTS_MAX {
            return Err(BodyTooLarge);
        }
        self.memory.lock().reserve(self.held_bytes, part.len())?;
        self.held_bytes = bytes;
        self.bytes.extend_from_slice(part);
        Ok(())
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.memory.lock().end(self.held_bytes);
    }
}

/// Reads a body to its end. The bytes hold their memory until the last reference to them
/// is dropped, which is when they are written to the caller.
///
/// # Errors
///
/// It broke off, or was given up.
pub(crate) async fn read_body(
    node: &Node,
    request: &CallerRequest,
    in_flight: &InFlight,
    body: Incoming,
    body_use: BodyUse,
) -> Result<Bytes, BodyError> {
    let reading = read_to_end(node, request, in_flight, body, body_use);
    match body_use.max_duration() {
        Some(max_duration) => timeout(max_duration, reading)
            .await
            .unwrap_or(Err(BodyError::GivenUp)),
        None => reading.await,
    }
}

async fn read_to_end(
    node: &Node,
    request: &CallerRequest,
    in_flight: &InFlight,
    mut body: Incoming,
    body_use: BodyUse,
) -> Result<Bytes, BodyError> {
    let mut buffer = BodyBuffer::new(&node.response_memory, body_use.max_bytes());
    loop {
        if request.is_expired(node.clock) {
            return Err(BodyError::GivenUp);
        }
        let remaining = Duration::from_millis(request.remaining_ms(node.clock));
        let frame = match timeout(CHECK_INTERVAL.min(remaining), body.frame()).await {
            Ok(Some(frame)) => frame.map_err(|_| BodyError::Broken)?,
            Ok(None) => return Ok(Bytes::from_owner(buffer)),
            Err(_) if in_flight.is_superseded() => return Err(BodyError::GivenUp),
            Err(_) => continue,
        };
        let Ok(part) = frame.into_data() else {
            continue;
        };
        in_flight.count_transfer(TransferKind::UpstreamResponse, part.len());
        if buffer.push(&part).is_err() {
            in_flight.record_too_large(body_use.as_str());
            return Err(BodyError::GivenUp);
        }
    }
}
