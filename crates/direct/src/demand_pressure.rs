//! What the callers of a model tolerate, and how much of their demand is refused.

use base::prelude::*;

use crate::demand::{Arrival, smooth};

/// Time constant of the refused engine time. The first refusals after a shift must
/// count within half a second; a single one is forgotten within two.
const REFUSED_MS: f64 = 600.0;

/// Refused engine time below which a model counts as served, in milliseconds per
/// second: about one request in two seconds.
pub(crate) const MIN_REFUSED_MS_PER_S: f64 = 40.0;

/// Time after which the shortest target and the longest run are taken from newer
/// requests only. They cover between one and two such times.
const EXTREMES_WINDOW_MS: u64 = 5_000;

/// Time that a running request takes for each generated token. Engine steps take 8 ms
/// when idle and about 20 ms with a chunk of a prompt in every second one.
const RUN_MS_PER_TOKEN: u64 = 20;

/// Bounds on values from other entries: a refused engine time of 1,000 upstreams, and
/// the longest target and run that count.
const MAX_REFUSED_MS_PER_S: f64 = 1_000_000.0;
const MAX_TIME_MS: u64 = 600_000;

/// What the callers of one model tolerate, and how much of their demand is refused.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandPressure {
    /// Engine time, in milliseconds, of the requests that are refused per second for
    /// lack of capacity.
    pub refused_ms_per_s: f64,
    /// Shortest target latency of the recent requests; 0 if unknown.
    pub shortest_target_ms: u64,
    /// Longest time that a recent request is expected to run; 0 if unknown.
    pub longest_run_ms: u64,
}

impl DemandPressure {
    /// Adds what another entry measured. Its values are bounded; refused time that is
    /// no number or negative counts as none.
    pub fn add(&mut self, other: &Self) {
        let refused = other.refused_ms_per_s;
        if refused > 0.0 {
            self.refused_ms_per_s += refused.min(MAX_REFUSED_MS_PER_S);
        }
        let targets = [self.shortest_target_ms, other.shortest_target_ms];
        let known = targets.into_iter().filter(|target_ms| *target_ms > 0);
        self.shortest_target_ms = known.min().unwrap_or(0).min(MAX_TIME_MS);
        let run_ms = self.longest_run_ms.max(other.longest_run_ms);
        self.longest_run_ms = run_ms.min(MAX_TIME_MS);
    }

    /// Whether enough requests are refused to act on them.
    pub fn is_refused(&self) -> bool {
        self.refused_ms_per_s > MIN_REFUSED_MS_PER_S
    }
}

/// Measurement of the pressure on one model at one entry.
#[derive(Debug, Default)]
pub(crate) struct PressureTracker {
    new_refused_ms: f64,
    refused_ms_per_s: f64,
    window_started_at: Instant,
    window: Extremes,
    previous_window: Extremes,
}

/// Extremes of the requests in one window.
#[derive(Debug, Default, Clone, Copy)]
struct Extremes {
    shortest_target_ms: u64,
    longest_run_ms: u64,
}

impl Extremes {
    fn include(&mut self, target_ms: u64, run_ms: u64) {
        let is_known = target_ms > 0;
        let is_shorter =
            self.shortest_target_ms == 0 || target_ms < self.shortest_target_ms;
        if is_known && is_shorter {
            self.shortest_target_ms = target_ms;
        }
        self.longest_run_ms = self.longest_run_ms.max(run_ms);
    }
}

impl PressureTracker {
    pub(crate) fn record_arrival(&mut self, arrival: &Arrival) {
        let run_ms = arrival.answer_tokens.saturating_mul(RUN_MS_PER_TOKEN);
        self.window.include(arrival.latency_target_ms, run_ms);
    }

    pub(crate) fn record_refused(&mut self, work_ms: f64) {
        self.new_refused_ms += work_ms;
    }

    /// Updates the smoothed refused time. `ms` is the time since the last update.
    pub(crate) fn update(&mut self, now: Instant, ms: f64) {
        let rate = self.new_refused_ms * 1_000.0 / ms;
        smooth(&mut self.refused_ms_per_s, rate, ms / REFUSED_MS);
        self.new_refused_ms = 0.0;
        if now.ms_since(self.window_started_at) >= EXTREMES_WINDOW_MS {
            self.window_started_at = now;
            self.previous_window = std::mem::take(&mut self.window);
        }
    }

    pub(crate) fn pressure(&self) -> DemandPressure {
        let of = |extremes: Extremes| DemandPressure {
            refused_ms_per_s: 0.0,
            shortest_target_ms: extremes.shortest_target_ms,
            longest_run_ms: extremes.longest_run_ms,
        };
        let mut pressure = DemandPressure {
            refused_ms_per_s: self.refused_ms_per_s,
            ..of(self.window)
        };
        pressure.add(&of(self.previous_window));
        pressure
    }
}
