//! When a stream that still runs as its entry exits is handed over to its caller.

/// Part of the grace after which a stream may be ended early. An upstream that is still at
/// work then may be cut off; before, it might have ended in time.
const HANDOVER_START: (u64, u64) = (5, 6);

/// Time after the termination signal until which a stream must have arrived to be ended
/// early. A later one is only cut off by the exit itself.
const LATEST_ARRIVAL_MS: u64 = 3_000;

/// Time before the exit by which streams are handed over. An entry looks for streams that
/// are due at intervals of 100 ms, and the last bytes of many streams at once have to be
/// sent before the exit.
const END_MARGIN_MS: u64 = 250;

/// Number of moments over which streams are spread within the window.
const SPREAD_STEPS: u64 = 1_024;

/// A stream in progress at an entry that is shutting down. Times count from the
/// termination signal.
#[derive(Debug, Clone, Copy)]
pub struct RunningStream {
    /// Time that the process has in all.
    pub grace_ms: u64,
    /// When the process exits.
    pub exit_ms: u64,
    /// When the request arrived; 0 if before the signal.
    pub arrived_ms: u64,
    /// When the stream may end at the earliest, if that is known.
    pub earliest_end_ms: Option<u64>,
    /// Whether its caller can have the rest from another entry: the route allows that, and
    /// the caller can name the last event that it got.
    pub is_resumable: bool,
    /// Whether another entry is ready.
    pub is_peer_ready: bool,
    /// Number that differs from stream to stream, by which their ends are spread.
    pub spread: u64,
}

impl RunningStream {
    /// When the stream is to end so that its caller resumes it at another entry; `None` if
    /// it runs until it ends or the process exits.
    ///
    /// One that may end before the exit is left alone: ending it early would lose what it
    /// brings until then, and gain nothing. Streams end at different moments, so that their
    /// callers don't come back at once.
    pub fn handover_ms(&self) -> Option<u64> {
        let may_end_in_time = self.earliest_end_ms.is_some_and(|ms| ms < self.exit_ms);
        let may_be_handed_over = self.is_resumable
            && self.is_peer_ready
            && self.arrived_ms <= LATEST_ARRIVAL_MS
            && !may_end_in_time;
        let start_ms = handover_start_ms(self.grace_ms);
        let end_ms = self.exit_ms.saturating_sub(END_MARGIN_MS);
        if !may_be_handed_over || start_ms >= end_ms {
            return None;
        }
        let step = self.spread % SPREAD_STEPS;
        Some(start_ms + (end_ms - start_ms) * step / SPREAD_STEPS)
    }
}

/// Time after the termination signal before which no stream is handed over.
pub fn handover_start_ms(grace_ms: u64) -> u64 {
    let (numerator, denominator) = HANDOVER_START;
    (grace_ms * numerator).div_ceil(denominator)
}
