//! Queue of the parts of one response, between the link that they arrive on and
//! the caller's connection.

use base::{ErrorCode, RequestError, RunStatus};
use futures::task::AtomicWaker;
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::task::{Context, Poll};

/// Limit on the bytes queued for one caller. The configuration limits the number
/// of parts (`answer_window_frames`), but a part may be as large as a frame.
const QUEUED_MAX_BYTES: usize = 4 << 20;

/// Time after which a caller may retry when its response was aborted.
const RETRY_AFTER_ABORT_MS: u64 = 1_000;

/// Unit in which the length of an answer is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Tokens, for an engine.
    Token,
    /// Bytes, for a plain service.
    Byte,
}

/// A part of an answer as received on a link.
#[derive(Debug)]
pub struct ReceivedPart {
    /// Number of units of the answer before this part.
    pub offset: u64,
    /// Number of units in this part.
    pub units: u32,
    /// Text of the tokens, or the bytes of a plain service.
    pub payload: Vec<u8>,
}

/// A part that is queued for the caller.
#[derive(Debug)]
pub struct QueuedPart {
    payload: Vec<u8>,
    start: usize,
}

impl QueuedPart {
    /// The bytes that the caller has not received yet.
    pub fn bytes(&self) -> &[u8] {
        &self.payload[self.start..]
    }
}

/// How a response ends.
#[derive(Debug)]
pub enum ResponseEnd {
    /// The answer is complete.
    Complete {
        /// HTTP status of a plain service; 0 if it gave none.
        status: u16,
        /// Content type of a plain service's response.
        content_type: String,
        /// Number of units in the whole answer.
        total_units: u64,
    },
    /// The request was refused, or its answer was cut short.
    Failed(RequestError),
}

/// Why this process aborted a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbortReason {
    /// The caller reads more slowly than the answer is generated.
    CallerTooSlow,
    /// A part does not continue what was delivered, or can't be split.
    InvalidPart,
}

/// The queue between the task that reads a link and the caller's connection.
///
/// The reading task never waits for the queue: a caller that does not read would
/// otherwise stall all other requests on the link. The queue is bounded instead,
/// and when it is full the response is aborted.
#[derive(Debug)]
pub struct ResponseQueue {
    unit: Unit,
    max_parts: usize,
    state: Mutex<QueueState>,
    waker: AtomicWaker,
}

/// The mutable part of a queue.
#[derive(Debug, Default)]
struct QueueState {
    parts: VecDeque<QueuedPart>,
    queued_bytes: usize,
    /// Units queued so far, including those that the caller has taken.
    pushed_units: u64,
    /// Stays true after the caller's connection has taken `end`.
    ended: bool,
    end: Option<ResponseEnd>,
}

impl ResponseQueue {
    /// An empty queue for at most `max_parts` parts.
    pub fn new(unit: Unit, max_parts: usize) -> Self {
        Self {
            unit,
            max_parts: max_parts.max(1),
            state: Mutex::new(QueueState::default()),
            waker: AtomicWaker::new(),
        }
    }

    /// Adds a part without its first `skip_units` units.
    ///
    /// # Errors
    ///
    /// The response is aborted: the queue ends with an error for the caller.
    pub fn push(&self, part: ReceivedPart, skip_units: u32) -> Result<(), AbortReason> {
        let mut state = self.state.lock();
        if state.ended || skip_units >= part.units {
            return Ok(());
        }
        let result = self.push_locked(&mut state, part, skip_units);
        if result.is_err() {
            state.end(ResponseEnd::Failed(response_aborted()));
        }
        drop(state);
        self.waker.wake();
        result
    }

    fn push_locked(
        &self,
        state: &mut QueueState,
        part: ReceivedPart,
        skip_units: u32,
    ) -> Result<(), AbortReason> {
        let start = self.payload_start(&part, skip_units)?;
        // The state machine decides under its locks, but the actions run after
        // the locks are released. A thread that is delayed in between would
        // deliver its part after a part of a later attempt, and the caller
        // would read tokens out of order in a response that ends cleanly. The
        // offset of each part is therefore checked again under this lock, which
        // determines the order that the caller sees.
        let first_unit = part.offset.checked_add(u64::from(skip_units));
        if first_unit != Some(state.pushed_units) {
            return Err(AbortReason::InvalidPart);
        }
        let bytes = part.payload.len() - start;
        if state.parts.len() >= self.max_parts
            || state.queued_bytes + bytes > QUEUED_MAX_BYTES
        {
            return Err(AbortReason::CallerTooSlow);
        }
        state.pushed_units += u64::from(part.units - skip_units);
        state.queued_bytes += bytes;
        state.parts.push_back(QueuedPart {
            payload: part.payload,
            start,
        });
        Ok(())
    }

    /// Offset in the payload of the first unit that the caller does not have.
    ///
    /// An agent sends one token per part. If a part has several, the positions
    /// of the tokens in its text are unknown. Dropping the part would lose
    /// tokens and delivering it would repeat some, so the response is aborted.
    fn payload_start(
        &self,
        part: &ReceivedPart,
        skip_units: u32,
    ) -> Result<usize, AbortReason> {
        match self.unit {
            Unit::Token if skip_units == 0 => Ok(0),
            Unit::Byte if part.payload.len() == part.units as usize => {
                Ok(skip_units as usize)
            }
            Unit::Token | Unit::Byte => Err(AbortReason::InvalidPart),
        }
    }

    /// Ends the response; parts added later are dropped.
    ///
    /// If the answer is complete but not all of its units were queued, the
    /// response ends with an error: a truncated response must not look complete.
    pub fn end(&self, end: ResponseEnd) {
        let mut state = self.state.lock();
        let end = match end {
            ResponseEnd::Complete { total_units, .. }
                if total_units != state.pushed_units =>
            {
                ResponseEnd::Failed(response_aborted())
            }
            end => end,
        };
        state.end(end);
        drop(state);
        self.waker.wake();
    }

    /// Waits for the first part, or for the end of a response without parts.
    pub fn poll_started(&self, cx: &Context<'_>) -> Poll<()> {
        self.waker.register(cx.waker());
        let state = self.state.lock();
        if state.parts.is_empty() && !state.ended {
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    /// Takes the error of a response that failed without any parts.
    pub fn take_early_error(&self) -> Option<RequestError> {
        let mut state = self.state.lock();
        if !state.parts.is_empty() {
            return None;
        }
        match state.end {
            Some(ResponseEnd::Failed(error)) => {
                state.end = None;
                Some(error)
            }
            _ => None,
        }
    }

    /// Moves all queued parts to `into`, and returns the end once there is one.
    ///
    /// `into` must be empty; the queue reuses its memory.
    pub fn poll_drain(
        &self,
        cx: &Context<'_>,
        into: &mut VecDeque<QueuedPart>,
    ) -> Poll<Option<ResponseEnd>> {
        self.waker.register(cx.waker());
        let mut state = self.state.lock();
        if state.parts.is_empty() && state.end.is_none() {
            return Poll::Pending;
        }
        std::mem::swap(&mut state.parts, into);
        state.queued_bytes = 0;
        Poll::Ready(state.end.take())
    }
}

impl QueueState {
    fn end(&mut self, end: ResponseEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.end = Some(end);
    }
}

/// The error for a response that has started and can't be completed.
pub const fn response_aborted() -> RequestError {
    RequestError {
        code: ErrorCode::AnswerBroken,
        ran: RunStatus::Ran,
        retry_after_ms: Some(RETRY_AFTER_ABORT_MS),
    }
}
