//! By how many places demand moves on in the ranking of models.
//!
//! Answers the load in which the busiest models fall silent and those behind them
//! take their places: in some fleets the next one, in others the next several at
//! once. How far is seen at each such change, and the next one is like the last.

use base::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::DemandEstimate;

/// Time between two rankings that are kept, and how many: a change takes seconds, so
/// a ranking is compared with one from before it.
const RANKING_INTERVAL_MS: u64 = 1_000;
const MAX_RANKINGS: usize = 10;

/// Part of its demand that the busiest model has left at most when demand has moved
/// on. Chance moves demand among models that are equally busy.
const FALLEN_SHARE: f64 = 0.5;

/// Rankings of the last seconds, and how far demand moved on last.
#[derive(Debug, Default)]
pub(crate) struct ShiftDetector {
    rankings: VecDeque<Ranking>,
    step: Option<usize>,
}

#[derive(Debug)]
struct Ranking {
    at: Instant,
    /// Models by demand, the busiest first, in work milliseconds a second.
    models: Vec<(Arc<str>, f64)>,
}

impl ShiftDetector {
    /// Looks at the demand of now.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        loads: &BTreeMap<Arc<str>, DemandEstimate>,
    ) {
        let newest = self.rankings.back();
        if newest.is_some_and(|newest| now.ms_since(newest.at) < RANKING_INTERVAL_MS) {
            return;
        }
        let ranking = Ranking::of(now, loads);
        let earlier = self.rankings.iter();
        let mut steps = earlier.filter_map(|earlier| earlier.step_to(&ranking));
        if let Some(step) = steps.next_back() {
            self.step = Some(step);
            // Compared with a ranking from before the change once more, the same change
            // would be seen again when demand has moved on from it.
            self.rankings.clear();
        }
        self.rankings.push_back(ranking);
        if self.rankings.len() > MAX_RANKINGS {
            self.rankings.pop_front();
        }
    }

    /// Places by which demand moved on last, if that was seen.
    pub(crate) const fn step(&self) -> Option<usize> {
        self.step
    }
}

impl Ranking {
    fn of(now: Instant, loads: &BTreeMap<Arc<str>, DemandEstimate>) -> Self {
        let mut models: Vec<(Arc<str>, f64)> = loads
            .iter()
            .map(|(model, load)| (Arc::clone(model), load.recent_ms_per_s))
            .collect();
        models.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        Self { at: now, models }
    }

    /// The place that the busiest model of a later ranking had in this one, if the
    /// busiest model of this one has fallen since.
    fn step_to(&self, later: &Self) -> Option<usize> {
        let (top, work) = self.models.first()?;
        let left = later.models.iter().find(|(model, _)| model == top);
        if left.is_some_and(|(_, left)| *left > work * FALLEN_SHARE) {
            return None;
        }
        let (risen, _) = later.models.first()?;
        let place = self.models.iter().position(|(model, _)| model == risen)?;
        (place > 0).then_some(place)
    }
}
