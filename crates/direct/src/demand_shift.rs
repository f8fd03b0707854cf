//! Detection of shifts of demand in the ranking of models.
//!
//! Demand may leave the busiest models and move to those that follow them in the
//! ranking: in some fleets to the next model, in others by several ranks at once. Each
//! shift shows the number of ranks, and the next shift usually has the same one.

use base::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::DemandEstimate;

/// Interval between kept rankings, and their number. A shift takes seconds, so a
/// ranking is compared with rankings from before the shift.
const RANKING_INTERVAL_MS: u64 = 1_000;
const MAX_RANKINGS: usize = 10;

/// Demand has shifted if the busiest model keeps at most this share of its demand.
/// Random variation moves demand among models that are equally busy.
const FALLEN_SHARE: f64 = 0.5;

/// Rankings of the last seconds, and the size of the last shift.
#[derive(Debug, Default)]
pub(crate) struct ShiftDetector {
    rankings: VecDeque<Ranking>,
    step: Option<usize>,
}

#[derive(Debug)]
struct Ranking {
    at: Instant,
    /// Models by demand in milliseconds of engine time per second, the busiest first.
    models: Vec<(Arc<str>, f64)>,
}

impl ShiftDetector {
    /// Compares the current demand with the kept rankings.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        demand: &BTreeMap<Arc<str>, DemandEstimate>,
    ) {
        let newest = self.rankings.back();
        if newest.is_some_and(|newest| now.ms_since(newest.at) < RANKING_INTERVAL_MS) {
            return;
        }
        let ranking = Ranking::of(now, demand);
        let earlier = self.rankings.iter();
        let mut steps = earlier.filter_map(|earlier| earlier.step_to(&ranking));
        if let Some(step) = steps.next_back() {
            self.step = Some(step);
            // The old rankings are dropped: otherwise the same shift would be detected
            // again against a ranking from before it, once demand has moved on.
            self.rankings.clear();
        }
        self.rankings.push_back(ranking);
        if self.rankings.len() > MAX_RANKINGS {
            self.rankings.pop_front();
        }
    }

    /// Number of ranks by which demand shifted last, if a shift was observed.
    pub(crate) const fn step(&self) -> Option<usize> {
        self.step
    }
}

impl Ranking {
    fn of(now: Instant, demand: &BTreeMap<Arc<str>, DemandEstimate>) -> Self {
        let mut models: Vec<(Arc<str>, f64)> = demand
            .iter()
            .map(|(model, estimate)| (Arc::clone(model), estimate.recent_ms_per_s))
            .collect();
        models.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        Self { at: now, models }
    }

    /// Rank in this ranking of the model that is the busiest in `later`, if the busiest
    /// model of this ranking has lost its demand since.
    fn step_to(&self, later: &Self) -> Option<usize> {
        let (top, work) = self.models.first()?;
        let remaining = later.models.iter().find(|(model, _)| model == top);
        if remaining.is_some_and(|(_, remaining)| *remaining > work * FALLEN_SHARE) {
            return None;
        }
        let (new_top, _) = later.models.first()?;
        let rank = self.models.iter().position(|(model, _)| model == new_top)?;
        (rank > 0).then_some(rank)
    }
}
