//! The orderly end of the process.

use std::sync::atomic::{AtomicBool, Ordering};
use tokio_util::sync::CancellationToken;

/// How far the process has gone towards its end.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    stopping: AtomicBool,
    /// Connections are to close after what they are answering.
    pub(crate) close: CancellationToken,
}

impl Stop {
    /// The signal to stop came: this entry is not ready any more, and answers
    /// ask callers to go elsewhere.
    pub(crate) fn begin(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the signal to stop came.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
