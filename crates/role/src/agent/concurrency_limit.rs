//! Adaptive concurrency limit of an engine, which keeps the time between tokens
//! within its target.
//!
//! The settings state the most requests that an engine takes in one batch. A
//! fuller batch makes each step longer, and each step yields one token of every
//! answer in the batch; how much longer depends on model, prompts and
//! accelerator. Beyond some batch size no answer meets its target time between
//! tokens. `docs/design/gate.md` has the measurements.

/// The limit is raised only while the step time is below this percentage of the
/// target time between tokens.
const INCREASE_BELOW_PERCENT: u64 = 90;

/// Reports between two adjustments, so that the effect of one is seen before
/// the next.
const REPORTS_PER_ADJUSTMENT: u32 = 8;

/// Percentage by which an adjustment lowers the limit.
const DECREASE_PERCENT: u32 = 10;

/// The lowest limit is the configured maximum divided by this. If steps are
/// still too long at that limit, the target counts as unattainable.
const MIN_LIMIT_DIVISOR: u32 = 8;

/// Number of adjustments that are skipped, with the limit at its maximum, once
/// the target was found unattainable: five minutes at one report every 150 ms.
///
/// A low limit costs throughput, and it gains nothing if even the lowest limit
/// does not meet the target.
const PAUSED_ADJUSTMENTS: u32 = 250;

/// Smoothing of the step time: a new sample weighs one part in this many.
const SMOOTHING: u64 = 4;

/// Adaptive concurrency limit of one engine.
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    configured_max: u32,
    limit: u32,
    smoothed_step_us: u64,
    reports: u32,
    /// Adjustments left to skip, during which the limit stays at its maximum.
    paused_adjustments: u32,
}

impl ConcurrencyLimit {
    /// Sets the maximum from the settings; if it changed, the limit starts from
    /// it again.
    pub const fn configure(&mut self, configured_max: u32) {
        if self.configured_max != configured_max {
            self.configured_max = configured_max;
            self.limit = configured_max;
        }
    }

    /// Adjusts the limit to the duration of a step.
    ///
    /// `target_us` is the target time between tokens in microseconds; 0 means
    /// no target, and the limit is then the configured maximum. `saturated`
    /// says that all slots are occupied: only then does a short step show that
    /// more slots would fit.
    pub fn observe(&mut self, step_us: u32, target_us: u64, saturated: bool) {
        if target_us == 0 {
            self.limit = self.configured_max;
            return;
        }
        if step_us == 0 {
            return;
        }
        let step_us = u64::from(step_us);
        self.smoothed_step_us = match self.smoothed_step_us {
            0 => step_us,
            average => (average * (SMOOTHING - 1) + step_us) / SMOOTHING,
        };
        self.reports = self.reports.wrapping_add(1);
        if self.reports.is_multiple_of(REPORTS_PER_ADJUSTMENT) {
            self.adjust(target_us, saturated);
        }
    }

    /// Number of requests that may be in progress at once.
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    fn adjust(&mut self, target_us: u64, saturated: bool) {
        if self.paused_adjustments > 0 {
            self.paused_adjustments -= 1;
            return;
        }
        let min_limit = (self.configured_max / MIN_LIMIT_DIVISOR).max(1);
        if self.smoothed_step_us > target_us && self.limit <= min_limit {
            self.limit = self.configured_max;
            self.paused_adjustments = PAUSED_ADJUSTMENTS;
        } else if self.smoothed_step_us > target_us {
            let decrease = (self.limit * DECREASE_PERCENT / 100).max(1);
            self.limit = self.limit.saturating_sub(decrease);
        } else if saturated
            && self.smoothed_step_us * 100 < target_us * INCREASE_BELOW_PERCENT
        {
            self.limit = (self.limit + 1).min(self.configured_max);
        }
    }
}
