//! Pauses between tries.

use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Pause after the first try.
const FIRST_MS: u64 = 50;

/// Longest pause.
const LONGEST_MS: u64 = 2_000;

/// Pauses that double with each failed try, each shortened by chance down to
/// its half: processes that lost the same far end at once would otherwise all
/// come back to it at once.
#[derive(Debug)]
pub(crate) struct Backoff {
    seed: u64,
    tries: u32,
}

impl Backoff {
    /// No try yet.
    pub(crate) const fn new(seed: u64) -> Self {
        Self { seed, tries: 0 }
    }

    /// Starts again with the shortest pause.
    pub(crate) const fn reset(&mut self) {
        self.tries = 0;
    }

    /// The pause before the next try.
    pub(crate) fn next(&mut self) -> Duration {
        let doubled = FIRST_MS << self.tries.min(16);
        let longest = doubled.min(LONGEST_MS);
        self.tries = self.tries.saturating_add(1);
        let chance = xxh3_64_with_seed(&self.tries.to_le_bytes(), self.seed);
        let half = longest / 2;
        Duration::from_millis(half + chance % (half + 1))
    }
}
