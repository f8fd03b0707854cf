//! Pauses between the parts of a stream, as its caller gets them.

use base::prelude::*;

/// The longest pause between two parts of one stream.
///
/// It includes the time in which a stream goes on at another upstream, and the time in
/// which the caller doesn't read.
#[derive(Debug, Default)]
pub(crate) struct StreamPauses {
    last_at: Option<Instant>,
    longest_ms: Option<u64>,
}

impl StreamPauses {
    /// Records that a part is forwarded.
    pub(crate) fn record(&mut self, now: Instant) {
        let pause_ms = self.last_at.replace(now).map(|last| now.ms_since(last));
        self.longest_ms = self.longest_ms.max(pause_ms);
    }

    /// Returns the longest pause; `None` with fewer than two parts.
    pub(crate) const fn longest_ms(&self) -> Option<u64> {
        self.longest_ms
    }
}
