//! Time as state machines see it.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the runtime's clock: microseconds since an origin that the
/// process sets at its start.
///
/// `std::time::Instant` can't be constructed from a number, so scenarios would
/// print different times on every run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(u64);

impl Instant {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Creates a point `us` microseconds after the origin.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Creates a point `ms` milliseconds after the origin.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the origin.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the whole milliseconds since `earlier`, or zero if `earlier` is later
    /// than `self`.
    pub fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0) / 1_000
    }

    /// Returns the point `ms` milliseconds after `self`, saturating on overflow.
    #[must_use]
    pub fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000)))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(us))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(us))
    }
}
