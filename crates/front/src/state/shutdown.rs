//! State of the graceful shutdown.

use base::prelude::*;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

/// Time before the exit until which requests are accepted. Streams have an earlier bound
/// besides.
const REQUEST_MARGIN_MS: u64 = 2_500;

/// Time before the exit at which requests without a response get one, whatever
/// they are waiting for. It is long enough for the response to reach the
/// caller.
const FINAL_RESPONSE_MARGIN_MS: u64 = 400;

/// Progress of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// There was no termination signal.
    Serving,
    /// This entry reports that it isn't ready; the load balancer may not have
    /// checked yet.
    Announced,
    /// Connections are closed after their current response.
    Closing,
    /// No more connections are accepted.
    NotAccepting,
    /// The process is about to exit.
    Ended,
}

impl ShutdownPhase {
    /// Returns the name used in metrics and log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Announced => "announced",
            Self::Closing => "closing",
            Self::NotAccepting => "unlistened",
            Self::Ended => "ended",
        }
    }
}

/// State and signals of the shutdown.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// When the termination signal came, and when the process exits.
    stopping: Mutex<Option<(Instant, Instant)>>,
    /// Cancelled when connections are to be closed after their current
    /// response.
    pub(crate) close_connections: CancellationToken,
    /// Cancelled when no more connections are to be accepted.
    pub(crate) stop_accepting: CancellationToken,
    /// Cancelled when requests without a response are to get one at once.
    pub(crate) respond_now: CancellationToken,
    /// Cancelled when nothing is left to do except to hand the lease over.
    pub(crate) hand_over_now: CancellationToken,
    /// Cancelled when the process is about to exit.
    pub(crate) finished: CancellationToken,
}

impl Shutdown {
    /// Starts the shutdown: this entry is no longer ready, and responses ask
    /// callers to use another entry.
    pub(crate) fn begin(&self, now: Instant, end_at: Instant) {
        *self.stopping.lock() = Some((now, end_at));
    }

    /// Returns when the termination signal came and when the process exits, once it came.
    pub(crate) fn times(&self) -> Option<(Instant, Instant)> {
        *self.stopping.lock()
    }

    /// Returns the progress of the shutdown.
    pub(crate) fn phase(&self) -> ShutdownPhase {
        if !self.is_stopping() {
            ShutdownPhase::Serving
        } else if !self.close_connections.is_cancelled() {
            ShutdownPhase::Announced
        } else if !self.stop_accepting.is_cancelled() {
            ShutdownPhase::Closing
        } else if !self.finished.is_cancelled() {
            ShutdownPhase::NotAccepting
        } else {
            ShutdownPhase::Ended
        }
    }

    /// Returns whether the termination signal was received.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.lock().is_some()
    }

    /// Returns when requests without a response get one, once the shutdown has
    /// started.
    ///
    /// A request without a response at the exit would see its connection
    /// closed, and its caller would not know whether it has run.
    pub(crate) fn final_response_at(&self) -> Option<Instant> {
        let stopping = self.stopping.lock();
        stopping
            .map(|(_, end_at)| end_at - Duration::from_millis(FINAL_RESPONSE_MARGIN_MS))
    }

    /// Returns how long ago the process was to exit; 0 before that.
    pub(crate) fn late_ms(&self, now: Instant) -> u64 {
        let stopping = self.stopping.lock();
        stopping.map_or(0, |(_, end_at)| now.ms_since(end_at))
    }

    /// Returns whether a request comes too late to finish before the process
    /// exits.
    pub(crate) fn is_too_late(&self, now: Instant) -> bool {
        self.times()
            .is_some_and(|(_, end_at)| now.plus_ms(REQUEST_MARGIN_MS) > end_at)
    }
}
