//! The hybrid logical clock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum lead of an observed remote clock over the local wall clock.
///
/// Clocks never go backwards, so one process whose wall clock is years ahead would
/// otherwise advance the clocks of all others permanently. Events caused by such a
/// process are ordered by wall clocks alone.
const REMOTE_LEAD_MAX_US: u64 = 60 * 1_000_000;

/// A source of wall clock time, in microseconds since the Unix epoch.
pub type WallClock = fn() -> u64;

/// Returns the wall clock time, in microseconds since the Unix epoch.
///
/// Nothing else in the system reads the wall clock.
pub fn unix_time_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

/// A clock that follows the wall clock and never goes backwards.
#[derive(Debug)]
pub(crate) struct HybridClock {
    wall_clock: WallClock,
    latest_us: AtomicU64,
}

impl HybridClock {
    pub(crate) const fn new(wall_clock: WallClock) -> Self {
        Self {
            wall_clock,
            latest_us: AtomicU64::new(0),
        }
    }

    /// Returns the current time, in microseconds since the Unix epoch.
    pub(crate) fn now_us(&self) -> u64 {
        let wall_us = (self.wall_clock)();
        self.latest_us
            .fetch_max(wall_us, Ordering::Relaxed)
            .max(wall_us)
    }

    /// Advances the clock past another process's clock, so that later local events
    /// sort after the events observed there.
    pub(crate) fn observe(&self, clock_us: u64) {
        if clock_us <= (self.wall_clock)().saturating_add(REMOTE_LEAD_MAX_US) {
            let after = clock_us.saturating_add(1);
            self.latest_us.fetch_max(after, Ordering::Relaxed);
        }
    }
}
