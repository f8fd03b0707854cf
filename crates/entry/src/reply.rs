//! The answer to one request on its way from the link to the caller.

use base::{ErrorCode, RequestError, RunStatus};
use futures::task::AtomicWaker;
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::task::{Context, Poll};

/// Bytes of parts that one request may hold for its caller. The number of parts
/// is bounded by the configuration, but a part may be as large as a frame.
const QUEUED_MAX_BYTES: usize = 4 << 20;

/// When a caller whose answer was broken off may ask again.
const RETRY_AFTER_BROKEN_MS: u64 = 1_000;

/// What an answer is counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Tokens of an engine.
    Token,
    /// Bytes of a plain service.
    Byte,
}

/// A part of an answer as it came on a link.
#[derive(Debug)]
pub struct Incoming {
    /// Units before the part.
    pub offset: u64,
    /// Units in the part.
    pub units: u32,
    /// Text of the tokens, or the bytes.
    pub payload: Vec<u8>,
}

/// A part of an answer that waits for the caller.
#[derive(Debug)]
pub struct Part {
    payload: Vec<u8>,
    start: usize,
}

impl Part {
    /// What the caller gets.
    pub fn bytes(&self) -> &[u8] {
        &self.payload[self.start..]
    }
}

/// How an answer ends.
#[derive(Debug)]
pub enum Ending {
    /// The answer is whole.
    Whole {
        /// HTTP status; 0 for none said.
        status: u16,
        /// Content type of a plain service's answer.
        content_type: String,
        /// Units in the answer.
        total_units: u64,
    },
    /// There is no whole answer.
    Refused(RequestError),
}

/// Why an answer was broken off here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// The caller reads more slowly than the answer is made.
    CallerTooSlow,
    /// A part does not follow on what was delivered, or can't be split.
    PartDoesNotFit,
}

/// The queue between the link's reader and the caller's connection.
///
/// The reader never waits for it: a caller that does not read would otherwise
/// hold up every other request of the link. Instead the queue has a bound, and
/// over the bound the answer is broken off.
#[derive(Debug)]
pub struct Reply {
    unit: Unit,
    window_parts: usize,
    state: Mutex<State>,
    consumer: AtomicWaker,
}

#[derive(Debug, Default)]
struct State {
    parts: VecDeque<Part>,
    queued_bytes: usize,
    delivered_units: u64,
    ended: bool,
    ending: Option<Ending>,
}

impl Reply {
    /// An answer of which nothing has come.
    pub fn new(unit: Unit, window_parts: usize) -> Self {
        Self {
            unit,
            window_parts: window_parts.max(1),
            state: Mutex::new(State::default()),
            consumer: AtomicWaker::new(),
        }
    }

    /// Adds a part, less its first `skip_units` units.
    ///
    /// # Errors
    ///
    /// The answer is broken off: its queue ends with an error for the caller.
    pub fn push(&self, part: Incoming, skip_units: u32) -> Result<(), Broken> {
        let mut state = self.state.lock();
        if state.ended || skip_units >= part.units {
            return Ok(());
        }
        let pushed = self.push_locked(&mut state, part, skip_units);
        if pushed.is_err() {
            state.end(Ending::Refused(answer_broken()));
        }
        drop(state);
        self.consumer.wake();
        pushed
    }

    fn push_locked(
        &self,
        state: &mut State,
        part: Incoming,
        skip_units: u32,
    ) -> Result<(), Broken> {
        let start = self.start_of(&part, skip_units)?;
        // Decisions are taken under the machine's locks, but their actions are
        // carried out after these are released. A thread held up in between
        // would deliver its part behind that of a later attempt: the caller
        // would read tokens in the wrong order under a clean end. The offset
        // of each part is therefore checked once more where order is final.
        let follows_on = part.offset.checked_add(u64::from(skip_units));
        if follows_on != Some(state.delivered_units) {
            return Err(Broken::PartDoesNotFit);
        }
        let bytes = part.payload.len() - start;
        if state.parts.len() >= self.window_parts
            || state.queued_bytes + bytes > QUEUED_MAX_BYTES
        {
            return Err(Broken::CallerTooSlow);
        }
        state.delivered_units += u64::from(part.units - skip_units);
        state.queued_bytes += bytes;
        state.parts.push_back(Part {
            payload: part.payload,
            start,
        });
        Ok(())
    }

    /// Where in the payload the units begin that the caller does not have.
    ///
    /// An agent sends one token in each part. Where a part has several, their
    /// borders in the text are not known: to drop the part would lose tokens
    /// and to deliver it would repeat some, so the answer is broken off.
    fn start_of(&self, part: &Incoming, skip_units: u32) -> Result<usize, Broken> {
        match self.unit {
            Unit::Token if skip_units == 0 => Ok(0),
            Unit::Byte if part.payload.len() == part.units as usize => {
                Ok(skip_units as usize)
            }
            Unit::Token | Unit::Byte => Err(Broken::PartDoesNotFit),
        }
    }

    /// Ends the answer; what comes later is dropped.
    ///
    /// A whole answer of which not every unit was delivered ends with an error:
    /// a shortened answer must not look whole.
    pub fn end(&self, ending: Ending) {
        let mut state = self.state.lock();
        let ending = match ending {
            Ending::Whole { total_units, .. }
                if total_units != state.delivered_units =>
            {
                Ending::Refused(answer_broken())
            }
            ending => ending,
        };
        state.end(ending);
        drop(state);
        self.consumer.wake();
    }

    /// Waits until the answer has begun or has ended without a part.
    pub fn poll_begun(&self, cx: &Context<'_>) -> Poll<()> {
        self.consumer.register(cx.waker());
        let state = self.state.lock();
        if state.parts.is_empty() && !state.ended {
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    /// Takes the refusal of an answer that ended without a part.
    pub fn take_early_refusal(&self) -> Option<RequestError> {
        let mut state = self.state.lock();
        if !state.parts.is_empty() {
            return None;
        }
        match state.ending {
            Some(Ending::Refused(refusal)) => {
                state.ending = None;
                Some(refusal)
            }
            _ => None,
        }
    }

    /// Takes what has come, and the ending once there is one.
    ///
    /// `into` must be empty; its memory is reused for the queue.
    pub fn poll_take(
        &self,
        cx: &Context<'_>,
        into: &mut VecDeque<Part>,
    ) -> Poll<Option<Ending>> {
        self.consumer.register(cx.waker());
        let mut state = self.state.lock();
        if state.parts.is_empty() && state.ending.is_none() {
            return Poll::Pending;
        }
        std::mem::swap(&mut state.parts, into);
        state.queued_bytes = 0;
        Poll::Ready(state.ending.take())
    }
}

impl State {
    fn end(&mut self, ending: Ending) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.ending = Some(ending);
    }
}

/// The refusal of an answer that began and can't be continued.
pub const fn answer_broken() -> RequestError {
    RequestError {
        code: ErrorCode::AnswerBroken,
        ran: RunStatus::Ran,
        retry_after_ms: Some(RETRY_AFTER_BROKEN_MS),
    }
}
