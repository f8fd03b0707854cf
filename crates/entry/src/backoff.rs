//! Delays between attempts to connect.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Upper bound of the delay after the first failed attempt.
const INITIAL_DELAY_MS: u64 = 50;

/// Upper bound of all delays.
const MAX_DELAY_MS: u64 = 2_000;

/// Exponential backoff with jitter: the bound doubles with each failed attempt,
/// and each delay is drawn between half the bound and the bound. Without the
/// jitter, processes that lost the same peer at once would all reconnect at once.
#[derive(Debug)]
pub(crate) struct Backoff {
    seed: u64,
    attempts: u32,
}

impl Backoff {
    /// A backoff before the first attempt; `seed` determines the jitter.
    pub(crate) const fn new(seed: u64) -> Self {
        Self { seed, attempts: 0 }
    }

    /// Starts again with the shortest delay.
    pub(crate) const fn reset(&mut self) {
        self.attempts = 0;
    }

    /// Returns the delay before the next attempt.
    pub(crate) fn next(&mut self) -> Duration {
        let doubled_ms = INITIAL_DELAY_MS << self.attempts.min(16);
        let max_ms = doubled_ms.min(MAX_DELAY_MS);
        self.attempts = self.attempts.saturating_add(1);
        let random = xxh3_64_with_seed(&self.attempts.to_le_bytes(), self.seed);
        let half_ms = max_ms / 2;
        Duration::from_millis(half_ms + random % (half_ms + 1))
    }
}
