//! How many places an engine has while its tokens come in time.
//!
//! The settings name the most requests that an engine takes in one batch. A
//! fuller batch takes longer for a step, and each step is a token of every
//! answer in it; how much longer depends on model, prompts and accelerator. Past
//! some point more places mean that no answer has its expected time between
//! tokens. `docs/design/gate.md` has the measurements.

/// Part of the expected time between tokens, in percent, up to which places are
/// added.
const GROW_BELOW_PERCENT: u64 = 90;

/// Reports between two changes, so that the effect of one is seen before the
/// next.
const REPORTS_PER_CHANGE: u32 = 8;

/// A fall takes this many percent off the places.
const FALL_PERCENT: u32 = 10;

/// Below this part of the places of the settings the expectation counts as out
/// of reach.
const LEAST_DIVISOR: u32 = 8;

/// Changes for which all places are open once the expectation was found to be
/// out of reach: with a report every 150 ms, five minutes.
///
/// Few places cost throughput, and when even they don't bring the tokens in
/// time they gain nothing.
const REST_CHANGES: u32 = 250;

/// Share of a new sample in the smoothed step time, as one part in so many.
const SMOOTHING: u64 = 4;

/// The places of one engine.
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    places_max: u32,
    places: u32,
    smoothed_us: u64,
    reports: u32,
    /// Changes for which all places stay open.
    resting: u32,
}

impl ConcurrencyLimit {
    /// Sets the places by the settings; a change starts from them anew.
    pub const fn configure(&mut self, places_max: u32) {
        if self.places_max != places_max {
            self.places_max = places_max;
            self.places = places_max;
        }
    }

    /// Takes the duration of a step into account.
    ///
    /// `expected_us` is the time between tokens that the work expects; 0 for
    /// none, and all places are open. `full` says that all places are taken:
    /// only then does a short step show that more would do.
    pub fn observe(&mut self, step_us: u32, expected_us: u64, full: bool) {
        if expected_us == 0 {
            self.places = self.places_max;
            return;
        }
        if step_us == 0 {
            return;
        }
        let step_us = u64::from(step_us);
        self.smoothed_us = match self.smoothed_us {
            0 => step_us,
            held => (held * (SMOOTHING - 1) + step_us) / SMOOTHING,
        };
        self.reports = self.reports.wrapping_add(1);
        if self.reports.is_multiple_of(REPORTS_PER_CHANGE) {
            self.change(expected_us, full);
        }
    }

    /// Requests that may be in progress at once.
    pub const fn limit(&self) -> u32 {
        self.places
    }

    fn change(&mut self, expected_us: u64, full: bool) {
        if self.resting > 0 {
            self.resting -= 1;
            return;
        }
        let least = (self.places_max / LEAST_DIVISOR).max(1);
        if self.smoothed_us > expected_us && self.places <= least {
            self.places = self.places_max;
            self.resting = REST_CHANGES;
        } else if self.smoothed_us > expected_us {
            let fall = (self.places * FALL_PERCENT / 100).max(1);
            self.places = self.places.saturating_sub(fall);
        } else if full && self.smoothed_us * 100 < expected_us * GROW_BELOW_PERCENT {
            self.places = (self.places + 1).min(self.places_max);
        }
    }
}
