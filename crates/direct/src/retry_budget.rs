//! A bound on the retries of all entries together.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of slices of the window; they expire one at a time.
const SLICES: u64 = 20;

/// Share of its allowance that an entry uses. The bound applies to any window and
/// requests are counted where they were sent, so the windows of two entries differ by
/// the requests in transit.
const USABLE_SHARE: f64 = 0.8;

#[derive(Debug, Clone, Copy, Default)]
struct WindowSlice {
    slice_number: u64,
    requests: u32,
    retries: u32,
}

/// Bounds the retries for each service over all entries.
///
/// When a service fails, every entry retries what failed, and all retries together hit
/// upstreams that can least bear them. Each entry may use a fixed part of the
/// allowance: a ratio of the requests that it received itself, and its part of the
/// burst. These parts add up to the whole, whatever the entries know of one another, so
/// the bound doesn't depend on any message.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    window_ms: u64,
    entries: u32,
    started_at: Instant,
    services: BTreeMap<Arc<str>, [WindowSlice; SLICES as usize]>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request plus `burst` retries in any
    /// `window_ms`, over all entries.
    ///
    /// The process started at `started_at`. The retries of its predecessor on the same
    /// machine are unknown, so the burst becomes available gradually over one window.
    pub const fn new(
        started_at: Instant,
        ratio: f64,
        burst: f64,
        window_ms: u64,
    ) -> Self {
        Self {
            ratio,
            burst,
            window_ms,
            entries: 1,
            started_at,
            services: BTreeMap::new(),
        }
    }

    /// Sets the number of entries that share the burst.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Instant, service: &Arc<str>) {
        self.slice(now, service).requests += 1;
    }

    /// Takes one retry from the budget; returns false if the budget is used up.
    pub fn try_take(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let (requests, retries) = self.window_counts(now, service);
        let uptime_ms = now.ms_since(self.started_at).min(self.window_ms);
        let burst = self.burst / f64::from(self.entries);
        let burst = burst * uptime_ms as f64 / self.window_ms as f64;
        let share = f64::from(requests) * self.ratio + burst;
        if f64::from(retries) + 1.0 > share * USABLE_SHARE {
            return false;
        }
        self.slice(now, service).retries += 1;
        true
    }

    /// Requests and retries in the window that ends at `now`.
    pub fn window_counts(&self, now: Instant, service: &Arc<str>) -> (u32, u32) {
        let slice_number = self.slice_number(now);
        let oldest = (slice_number + 1).saturating_sub(SLICES);
        let slices = self.services.get(service).into_iter().flatten();
        slices
            .filter(|slice| (oldest..=slice_number).contains(&slice.slice_number))
            .fold((0, 0), |(requests, retries), slice| {
                (requests + slice.requests, retries + slice.retries)
            })
    }

    const fn slice_number(&self, now: Instant) -> u64 {
        now.as_ms() * SLICES / self.window_ms
    }

    /// The slice of the window that contains `now`, emptied if it held an earlier one.
    fn slice(&mut self, now: Instant, service: &Arc<str>) -> &mut WindowSlice {
        let slice_number = self.slice_number(now);
        let slices = self.services.entry(Arc::clone(service)).or_default();
        let slice = &mut slices[(slice_number % SLICES) as usize];
        if slice.slice_number != slice_number {
            *slice = WindowSlice {
                slice_number,
                ..WindowSlice::default()
            };
        }
        slice
    }
}
