//! Concurrency limit that follows an engine's step time.

/// Step time below which the limit grows, in percent of the shortest step time
/// seen, the floor.
const GROW_BELOW_PERCENT: u64 = 150;

/// Step time above which the limit shrinks, in percent of the floor.
const SHRINK_ABOVE_PERCENT: u64 = 200;

/// Observations between two changes, so that the effect of one shows before the
/// next.
const OBSERVATIONS_PER_CHANGE: u32 = 8;

/// Percentage by which the limit shrinks.
const SHRINK_PERCENT: u32 = 10;

/// Observations after which the floor rises by a thousandth.
///
/// A larger model has a higher floor. If the floor never rose, the limit would stay
/// at one after a change to such a model.
const FLOOR_RISE_INTERVAL: u32 = 16;

/// Number of requests that an upstream can run at once without slowing down.
#[derive(Debug)]
pub struct AdaptiveConcurrencyLimit {
    limit: u32,
    limit_max: u32,
    /// Least smoothed step time, which rises slowly.
    floor_us: u64,
    smoothed_us: u64,
    observations: u32,
}

impl AdaptiveConcurrencyLimit {
    /// Creates a limit that starts at the configured `limit_max` and never exceeds
    /// it. `step_time_us` is the expected step time; 0 if unknown.
    pub fn new(limit_max: u32, step_time_us: u32) -> Self {
        Self {
            limit: limit_max.max(1),
            limit_max: limit_max.max(1),
            floor_us: u64::from(step_time_us),
            smoothed_us: u64::from(step_time_us),
            observations: 0,
        }
    }

    /// Records the duration of one step; 0 is ignored.
    pub fn observe(&mut self, step_time_us: u32) {
        if step_time_us == 0 {
            return;
        }
        let observed = u64::from(step_time_us);
        self.smooth(observed);
        self.update_floor();
        self.observations = self.observations.wrapping_add(1);
        if self.observations.is_multiple_of(OBSERVATIONS_PER_CHANGE) {
            self.adjust_limit();
        }
    }

    /// Number of requests that may run at once; at least one.
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    fn smooth(&mut self, observed_us: u64) {
        self.smoothed_us = match self.smoothed_us {
            0 => observed_us,
            smoothed_us => (smoothed_us * 7 + observed_us) / 8,
        };
    }

    fn update_floor(&mut self) {
        if self.floor_us == 0 || self.smoothed_us < self.floor_us {
            self.floor_us = self.smoothed_us;
        } else if self.observations.is_multiple_of(FLOOR_RISE_INTERVAL) {
            self.floor_us += (self.floor_us / 1_000).max(1);
        }
    }

    fn adjust_limit(&mut self) {
        let percent = self.smoothed_us * 100 / self.floor_us.max(1);
        if percent < GROW_BELOW_PERCENT {
            self.limit = (self.limit + 1).min(self.limit_max);
        } else if percent > SHRINK_ABOVE_PERCENT {
            let decrease = (self.limit * SHRINK_PERCENT / 100).max(1);
            self.limit = self.limit.saturating_sub(decrease).max(1);
        }
    }
}
