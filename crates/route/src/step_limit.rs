//! A concurrency limit learned from the step time.

/// Step time, in percent of its floor, up to which the limit grows.
const GROW_BELOW_PERCENT: u64 = 150;

/// Step time, in percent of its floor, above which the limit falls.
const FALL_ABOVE_PERCENT: u64 = 200;

/// Observations between two changes, so that the effect of one is seen before
/// the next.
const OBSERVATIONS_PER_CHANGE: u32 = 8;

/// A fall takes this many percent off the limit.
const FALL_PERCENT: u32 = 10;

/// Observations after which the floor has risen by one thousandth.
///
/// The floor of a larger model lies higher; a floor that never rose would keep
/// the limit at one for good after a change of model.
const FLOOR_RISE_EVERY: u32 = 16;

/// How many requests an upstream runs at once without slowing down.
#[derive(Debug)]
pub struct AdaptiveConcurrencyLimit {
    limit: u32,
    limit_max: u32,
    floor_us: u64,
    smoothed_us: u64,
    observations: u32,
}

impl AdaptiveConcurrencyLimit {
    /// A limit that starts at `limit_max`, the number the settings state, and
    /// never exceeds it. `step_time_us` is the expected step time; 0 for none.
    pub fn new(limit_max: u32, step_time_us: u32) -> Self {
        Self {
            limit: limit_max.max(1),
            limit_max: limit_max.max(1),
            floor_us: u64::from(step_time_us),
            smoothed_us: u64::from(step_time_us),
            observations: 0,
        }
    }

    /// Takes the duration of one step into account; 0 says nothing.
    pub fn observe(&mut self, step_time_us: u32) {
        if step_time_us == 0 {
            return;
        }
        let observed = u64::from(step_time_us);
        self.smooth(observed);
        self.move_floor();
        self.observations = self.observations.wrapping_add(1);
        if self.observations.is_multiple_of(OBSERVATIONS_PER_CHANGE) {
            self.change();
        }
    }

    /// Requests that may run at once; at least one.
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    fn smooth(&mut self, observed_us: u64) {
        self.smoothed_us = match self.smoothed_us {
            0 => observed_us,
            smoothed_us => (smoothed_us * 7 + observed_us) / 8,
        };
    }

    fn move_floor(&mut self) {
        if self.floor_us == 0 || self.smoothed_us < self.floor_us {
            self.floor_us = self.smoothed_us;
        } else if self.observations.is_multiple_of(FLOOR_RISE_EVERY) {
            self.floor_us += (self.floor_us / 1_000).max(1);
        }
    }

    fn change(&mut self) {
        let percent = self.smoothed_us * 100 / self.floor_us.max(1);
        if percent < GROW_BELOW_PERCENT {
            self.limit = (self.limit + 1).min(self.limit_max);
        } else if percent > FALL_ABOVE_PERCENT {
            let fall = (self.limit * FALL_PERCENT / 100).max(1);
            self.limit = self.limit.saturating_sub(fall).max(1);
        }
    }
}
