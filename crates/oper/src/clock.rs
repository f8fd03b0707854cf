//! The clock by which a process's state machine measures time.

use base::Instant;
use std::time::Duration;

/// The runtime's clock, as the time since the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: tokio::time::Instant,
    unix_us_at_origin: u64,
}

impl Clock {
    /// A clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
            unix_us_at_origin: line::unix_time_us(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }

    /// Converts an instant to the runtime's clock, for sleeping.
    pub fn runtime_instant(&self, instant: Instant) -> tokio::time::Instant {
        self.origin + Duration::from_micros(instant.as_us())
    }

    /// Wall-clock time at the origin, in milliseconds since the Unix epoch.
    pub const fn unix_ms_at_zero(&self) -> u64 {
        self.unix_us_at_origin / 1_000
    }

    /// Wall-clock time at the origin, in microseconds since the Unix epoch.
    ///
    /// Incarnations are derived from it, as it grows with each restart.
    pub const fn unix_us_at_zero(&self) -> u64 {
        self.unix_us_at_origin
    }
}
