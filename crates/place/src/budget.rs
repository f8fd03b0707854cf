//! Weight store budget: how many loads a plan may start.

use base::prelude::*;
use schema::settings::Store;

use crate::cell::LoadCounts;

/// Capacity of the token bucket, in seconds of the allowed load rate.
const BURST_S: f64 = 1.0;

/// Token bucket that limits the rate of load starts across plans.
#[derive(Debug, Default)]
pub(crate) struct StoreBudget {
    tokens: f64,
    refilled_at: Option<Instant>,
}

/// Loads that one plan may still start.
#[derive(Debug)]
pub(crate) struct LoadAllowance {
    /// Starts allowed by the rate.
    tokens: f64,
    /// Further loads that the store can serve at full speed.
    concurrent_max: u32,
    /// Allowed load starts per second.
    pub(crate) rate_per_s: f64,
    /// Loads that this plan has started.
    pub(crate) started: u32,
}

impl StoreBudget {
    /// Refills the token bucket for the time since the last plan.
    ///
    /// Slow loads indicate that another planner uses the store too, either that of
    /// another cell or a second one of this cell. Each planner that sees them
    /// halves its concurrent loads, so that both slow down and neither is locked
    /// out.
    pub(crate) fn refill(
        &mut self,
        now: Instant,
        store: &Store,
        share: f64,
        loads: &LoadCounts,
    ) -> LoadAllowance {
        let share = if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            0.0
        };
        let rate_per_s = (store.loads_per_s * share).max(0.0);
        let tokens_max = (rate_per_s * BURST_S).max(1.0);
        let passed_s = self
            .refilled_at
            .map_or(BURST_S, |refilled_at| now.since(refilled_at).as_secs_f64());
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + passed_s * rate_per_s).min(tokens_max);
        let mut concurrent_max = concurrent_loads(store.full_speed_loads, share);
        if loads.slow > 0 {
            concurrent_max = concurrent_max.div_ceil(2);
        }
        LoadAllowance {
            tokens: self.tokens,
            concurrent_max: concurrent_max.saturating_sub(loads.in_progress),
            rate_per_s,
            started: 0,
        }
    }

    /// Removes the tokens of the loads that the plan has started.
    pub(crate) fn commit(&mut self, allowance: &LoadAllowance) {
        self.tokens = (self.tokens - f64::from(allowance.started)).max(0.0);
    }
}

impl LoadAllowance {
    /// Whether one more load may start.
    pub(crate) fn can_start(&self) -> bool {
        self.started < self.concurrent_max
            && f64::from(self.started) + 1.0 <= self.tokens + 1e-9
    }

    /// Counts one load as started.
    pub(crate) fn record_start(&mut self) {
        self.started += 1;
    }
}

/// Returns this planner's share of the loads that the store serves at full speed,
/// but at least one, because a small share would otherwise never load anything.
fn concurrent_loads(full_speed_loads: u32, share: f64) -> u32 {
    if share <= 0.0 {
        return 0;
    }
    let loads = (f64::from(full_speed_loads) * share).floor() as u32;
    loads.max(1)
}
