//! The clock of the process.

use base::Instant;
use nix::time::{ClockId, clock_gettime};

/// A monotonic clock that also counts the time for which the machine is
/// suspended.
///
/// The async runtime's clock stops during a suspension. After waking up, a
/// process that relied on it would take its lease, its view of the upstreams
/// and its requests for younger than they are.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    ///
    /// # Panics
    ///
    /// Panics if the operating system has no `CLOCK_BOOTTIME`; Linux always has
    /// it.
    pub fn now(self) -> Instant {
        let time =
            clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME");
        let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
        let micros = u64::try_from(time.tv_nsec() / 1_000).unwrap_or(0);
        Instant::from_us(seconds * 1_000_000 + micros)
    }
}
