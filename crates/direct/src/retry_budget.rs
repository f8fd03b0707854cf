//! One bound on the repeats of all entries.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Parts of the window; one part is forgotten at a time.
const SLICES: u64 = 20;

/// Part of an entry's share that it may use. The bound is judged over any
/// window, and requests are counted where they were sent, so what two entries
/// see of one window differs by what is under way.
const USABLE_SHARE: f64 = 0.8;

#[derive(Debug, Clone, Copy, Default)]
struct WindowSlice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Repeats of requests, bounded for each service over all entries.
///
/// When a service fails, each entry repeats what failed, and the repeats of all
/// together arrive at upstreams that can bear least of it. Each entry may use a
/// fixed part of the allowance: a percentage of the requests that it received
/// itself, and its part of the burst. The parts add up to the whole whatever the
/// entries know of one another, so no message has to arrive for the bound to
/// hold.
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
    /// A bound of `ratio` repeats for each request and `burst` more in any
    /// `window_ms`, over all entries.
    ///
    /// The process started at `started_at`. What its predecessor on the same
    /// machine repeated is not known, so the burst is given out over one window.
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

    /// Sets how many entries share the burst.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant, service: &Arc<str>) {
        self.slice(now, service).requests += 1;
    }

    /// Takes one repeat; false when the share is spent.
    pub fn try_take(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let (requests, retries) = self.window_counts(now, service);
        let up_ms = now.ms_since(self.started_at).min(self.window_ms);
        let burst = self.burst / f64::from(self.entries);
        let burst = burst * up_ms as f64 / self.window_ms as f64;
        let share = f64::from(requests) * self.ratio + burst;
        if f64::from(retries) + 1.0 > share * USABLE_SHARE {
            return false;
        }
        self.slice(now, service).retries += 1;
        true
    }

    /// Requests and repeats in the window that ends now.
    pub fn window_counts(&self, now: Instant, service: &Arc<str>) -> (u32, u32) {
        let number = self.slice_number(now);
        let oldest = (number + 1).saturating_sub(SLICES);
        let slices = self.services.get(service).into_iter().flatten();
        slices
            .filter(|slice| (oldest..=number).contains(&slice.number))
            .fold((0, 0), |(requests, retries), slice| {
                (requests + slice.requests, retries + slice.retries)
            })
    }

    const fn slice_number(&self, now: Instant) -> u64 {
        now.as_ms() * SLICES / self.window_ms
    }

    fn slice(&mut self, now: Instant, service: &Arc<str>) -> &mut WindowSlice {
        let number = self.slice_number(now);
        let slices = self.services.entry(Arc::clone(service)).or_default();
        let slice = &mut slices[(number % SLICES) as usize];
        if slice.number != number {
            *slice = WindowSlice {
                number,
                ..WindowSlice::default()
            };
        }
        slice
    }
}
