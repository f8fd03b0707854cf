//! Attempts that are running at the upstream.

use base::AttemptId;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// The attempts that are running at the upstream, each with the token that stops it.
#[derive(Debug, Default)]
pub(crate) struct RunningAttempts {
    by_id: Mutex<HashMap<AttemptId, CancellationToken>>,
}

impl RunningAttempts {
    /// Registers a running attempt; it is removed when the guard is dropped.
    pub(crate) fn register(self: &Arc<Self>, attempt: AttemptId) -> AttemptGuard {
        let stop = CancellationToken::new();
        self.by_id.lock().insert(attempt, stop.clone());
        AttemptGuard {
            running_attempts: Arc::clone(self),
            attempt,
            stop,
        }
    }

    /// Stops an attempt if it is still running.
    pub(crate) fn stop(&self, attempt: AttemptId) {
        if let Some(stop) = self.by_id.lock().get(&attempt) {
            stop.cancel();
        }
    }

    /// Returns the number of running attempts.
    pub(crate) fn len(&self) -> usize {
        self.by_id.lock().len()
    }
}

/// A running attempt; dropping the guard removes it from [`RunningAttempts`].
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    running_attempts: Arc<RunningAttempts>,
    attempt: AttemptId,
    stop: CancellationToken,
}

impl AttemptGuard {
    /// Returns the attempt's identifier.
    pub(crate) const fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Waits until the attempt is stopped.
    pub(crate) async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.running_attempts.by_id.lock().remove(&self.attempt);
    }
}
