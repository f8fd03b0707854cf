//! The process's clock.

use base::Instant;
use nix::time::{ClockId, clock_gettime};

/// A steady clock that goes on while the machine is suspended.
///
/// The runtime's own clock stands still meanwhile. A process that wakes up would
/// take its lease, its news and its requests to be younger than they are.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// The present.
    ///
    /// # Panics
    ///
    /// If the operating system has no such clock; Linux always has.
    pub fn now(self) -> Instant {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has the clock");
        let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
        let micros = u64::try_from(time.tv_nsec() / 1_000).unwrap_or(0);
        Instant::from_us(seconds * 1_000_000 + micros)
    }
}
