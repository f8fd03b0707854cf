//! Attempts that are at the upstream.

use base::AttemptId;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Attempts that are at the upstream, each with what stops it.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    running: Mutex<HashMap<AttemptId, CancellationToken>>,
}

impl Attempts {
    /// Enters an attempt.
    pub(crate) fn enter(self: &Arc<Self>, attempt: AttemptId) -> Running {
        let stop = CancellationToken::new();
        self.running.lock().insert(attempt, stop.clone());
        Running {
            attempts: Arc::clone(self),
            attempt,
            stop,
        }
    }

    /// Stops an attempt, if it still runs.
    pub(crate) fn stop(&self, attempt: AttemptId) {
        if let Some(stop) = self.running.lock().get(&attempt) {
            stop.cancel();
        }
    }

    /// Number of attempts that run.
    pub(crate) fn len(&self) -> usize {
        self.running.lock().len()
    }
}

/// A running attempt; dropping it takes it out of the table.
#[derive(Debug)]
pub(crate) struct Running {
    attempts: Arc<Attempts>,
    attempt: AttemptId,
    stop: CancellationToken,
}

impl Running {
    /// The attempt.
    pub(crate) const fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Waits until the attempt is stopped.
    pub(crate) async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.attempts.running.lock().remove(&self.attempt);
    }
}
