//! The orderly end of the process.

use base::prelude::*;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

/// Time after the signal to stop until which streams are begun. Callers reach
/// this entry until the balancer has asked twice; a stream that begins later
/// could be cut by the end of the process.
const STREAMS_MS: u64 = 2_700;

/// Time before the end of the process until which short requests are taken.
const SHORT_SPARE_MS: u64 = 2_500;

/// Time before the end of the process at which requests get their final answer,
/// whatever they wait for: long enough for it to reach its caller.
const ANSWER_SPARE_MS: u64 = 400;

/// How far the process has gone towards its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The signal to stop has not come.
    Serving,
    /// This entry is not ready any more; the balancer may not have asked yet.
    Announced,
    /// Connections close after what they are answering.
    Closing,
    /// No connection is taken any more.
    Unlistened,
    /// The process is about to end.
    Ended,
}

impl Phase {
    /// Its name in metrics and log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Announced => "announced",
            Self::Closing => "closing",
            Self::Unlistened => "unlistened",
            Self::Ended => "ended",
        }
    }
}

/// What the signal to stop leads to.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    /// When the signal to stop came, and when the process ends.
    stopping: Mutex<Option<(Instant, Instant)>>,
    /// Connections are to close after what they are answering.
    pub(crate) close: CancellationToken,
    /// No connection is to be taken any more.
    pub(crate) unlisten: CancellationToken,
    /// Requests without an answer are to get one now.
    pub(crate) answer_now: CancellationToken,
    /// Nothing is left to do but to hand the lease over.
    pub(crate) hand_over: CancellationToken,
    /// The process is about to end.
    pub(crate) ended: CancellationToken,
}

impl Stop {
    /// The signal to stop came: this entry is not ready any more, and answers
    /// ask callers to go elsewhere.
    pub(crate) fn begin(&self, now: Instant, end_at: Instant) {
        *self.stopping.lock() = Some((now, end_at));
    }

    /// How far the process has gone towards its end.
    pub(crate) fn phase(&self) -> Phase {
        if !self.is_stopping() {
            Phase::Serving
        } else if !self.close.is_cancelled() {
            Phase::Announced
        } else if !self.unlisten.is_cancelled() {
            Phase::Closing
        } else if !self.ended.is_cancelled() {
            Phase::Unlistened
        } else {
            Phase::Ended
        }
    }

    /// Whether the signal to stop came.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.lock().is_some()
    }

    /// When requests get their final answer, once the signal to stop came.
    ///
    /// One without an answer at the end of the process would see its connection
    /// closed, and not know whether it has run.
    pub(crate) fn answer_by(&self) -> Option<Instant> {
        let stopping = self.stopping.lock();
        stopping.map(|(_, end_at)| end_at - Duration::from_millis(ANSWER_SPARE_MS))
    }

    /// Whether a request comes too late to be finished before the process ends.
    pub(crate) fn is_too_late(&self, now: Instant, stream: bool) -> bool {
        self.stopping.lock().is_some_and(|(begun_at, end_at)| {
            let late_stream = stream && now.ms_since(begun_at) > STREAMS_MS;
            late_stream || now.plus_ms(SHORT_SPARE_MS) > end_at
        })
    }
}
