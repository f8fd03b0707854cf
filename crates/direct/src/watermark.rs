//! Progress of this process through the platform's changes.

use base::prelude::*;

/// How far this process knows the objects of one kind, and since when.
#[derive(Debug, Clone, Copy, Default)]
pub struct Watermark {
    /// Version up to which changes were seen.
    pub version: u64,
    /// When the platform last confirmed the version; `None` before the first time.
    pub confirmed_at: Option<Instant>,
}

impl Watermark {
    /// Age of the last confirmation.
    pub fn age_ms(&self, now: Instant) -> Option<u64> {
        self.confirmed_at.map(|at| now.ms_since(at))
    }

    /// Whether the last confirmation is at most `age_max_ms` old.
    pub fn is_fresh(&self, now: Instant, age_max_ms: u64) -> bool {
        self.age_ms(now).is_some_and(|age| age <= age_max_ms)
    }
}
