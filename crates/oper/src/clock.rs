//! The process's clock as decisions see it.

use base::Instant;
use std::time::Duration;

/// The runtime's clock, counted from the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: tokio::time::Instant,
    unix_us_at_origin: u64,
}

impl Clock {
    /// A clock whose origin is the present.
    pub fn start() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
            unix_us_at_origin: line::unix_time_us(),
        }
    }

    /// The present.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }

    /// The same point on the runtime's clock, for sleeping.
    pub fn runtime_instant(&self, instant: Instant) -> tokio::time::Instant {
        self.origin + Duration::from_micros(instant.as_us())
    }

    /// Wall clock at the origin, in milliseconds since the Unix epoch.
    pub const fn unix_ms_at_zero(&self) -> u64 {
        self.unix_us_at_origin / 1_000
    }

    /// Wall clock at the origin, in microseconds since the Unix epoch. It
    /// serves as the process's incarnation, since it grows with each restart.
    pub const fn unix_us_at_zero(&self) -> u64 {
        self.unix_us_at_origin
    }
}
