//! The weight store's budget: how many loads may start now.

use base::prelude::*;
use schema::settings::Store;

use crate::board::Loading;

/// Starts saved up while nothing was loaded, in seconds of the allowed rate.
const SAVED_S: f64 = 1.0;

/// Counts starts against the store's rate, over plans.
#[derive(Debug, Default)]
pub(crate) struct StoreBudget {
    saved_starts: f64,
    filled_at: Option<Instant>,
}

/// Loads that one plan may still start.
#[derive(Debug)]
pub(crate) struct Allowance {
    /// By the rate.
    starts: f64,
    /// By the number at full speed.
    at_once: u32,
    /// Loads allowed per second.
    pub(crate) rate_per_s: f64,
    /// Loads started by this plan.
    pub(crate) started: u32,
}

impl StoreBudget {
    /// Fills up for the time passed.
    ///
    /// Slow loads show that others use the store too: a planner of another cell,
    /// or a second one of this cell. Each then keeps to half, so that both only
    /// become slower and neither is shut out.
    pub(crate) fn allow(
        &mut self,
        now: Instant,
        store: &Store,
        share: f64,
        loading: &Loading,
    ) -> Allowance {
        let share = if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            0.0
        };
        let rate_per_s = (store.loads_per_s * share).max(0.0);
        let most = (rate_per_s * SAVED_S).max(1.0);
        let passed_s = self
            .filled_at
            .map_or(SAVED_S, |filled| now.since(filled).as_secs_f64());
        self.filled_at = Some(now);
        self.saved_starts = (self.saved_starts + passed_s * rate_per_s).min(most);
        let mut at_once = at_once(store.full_speed_loads, share);
        if loading.slow > 0 {
            at_once = at_once.div_ceil(2);
        }
        Allowance {
            starts: self.saved_starts,
            at_once: at_once.saturating_sub(loading.all),
            rate_per_s,
            started: 0,
        }
    }

    /// Books what the plan has started.
    pub(crate) fn book(&mut self, allowance: &Allowance) {
        self.saved_starts = (self.saved_starts - f64::from(allowance.started)).max(0.0);
    }
}

impl Allowance {
    /// Whether one more load may start.
    pub(crate) fn open(&self) -> bool {
        self.started < self.at_once
            && f64::from(self.started) + 1.0 <= self.starts + 1e-9
    }

    /// Takes one start.
    pub(crate) fn take(&mut self) {
        self.started += 1;
    }
}

/// Share of the loads at full speed; one at least, or a small share would never
/// load anything.
fn at_once(full_speed_loads: u32, share: f64) -> u32 {
    if share <= 0.0 {
        return 0;
    }
    let whole = (f64::from(full_speed_loads) * share).floor() as u32;
    whole.max(1)
}
