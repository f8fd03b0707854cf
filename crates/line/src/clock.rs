//! The hybrid logical clock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Furthest that a heard clock may be ahead of the wall clock.
///
/// One process with a wall clock set years ahead would otherwise drag the clock
/// of every other along, and for good, since clocks never fall. What such a
/// process sends is then ordered by the wall clocks alone.
const AHEAD_MAX_US: u64 = 60 * 1_000_000;

/// A source of wall clock time, in microseconds since the Unix epoch.
pub type WallClock = fn() -> u64;

/// The wall clock, in microseconds since the Unix epoch. Nothing else in the
/// system reads it.
pub fn unix_time_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

/// A clock that never falls.
#[derive(Debug)]
pub(crate) struct HybridClock {
    wall: WallClock,
    newest_us: AtomicU64,
}

impl HybridClock {
    pub(crate) const fn new(wall: WallClock) -> Self {
        Self {
            wall,
            newest_us: AtomicU64::new(0),
        }
    }

    /// The present.
    pub(crate) fn now_us(&self) -> u64 {
        let wall = (self.wall)();
        self.newest_us.fetch_max(wall, Ordering::Relaxed).max(wall)
    }

    /// Takes note of another process's clock: what happens here from now on
    /// happens after it.
    pub(crate) fn observe(&self, clock_us: u64) {
        if clock_us <= (self.wall)().saturating_add(AHEAD_MAX_US) {
            let after = clock_us.saturating_add(1);
            self.newest_us.fetch_max(after, Ordering::Relaxed);
        }
    }
}
