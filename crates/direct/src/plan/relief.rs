//! What a move relieves, worked out from sums that are kept.
//!
//! Relief is the fall of the sum of the squares of all upstreams' loads. A plan
//! weighs each model at each upstream in place of each model there: some 40,000
//! moves with 170 models on 78 upstreams. Added up over all holders for each, a plan
//! took 55 ms, more than the smallest entry's processor has in half a second, and
//! the entry answered nobody meanwhile.

use super::index_set::IndexSet;
use super::model_index::ModelIndex;

/// One way in which demand may go on, with the loads that follow from it.
#[derive(Debug)]
pub(super) struct ForecastLoads {
    pub(super) weight: f64,
    /// Demand by model, as parts of one upstream's time.
    pub(super) expected: Vec<f64>,
    /// Demand that a copy may still be kept for.
    pub(super) retained: Vec<f64>,
    /// Load of each upstream.
    pub(super) loads: Vec<f64>,
    /// Fall at a model's holders when it gets one copy more.
    gains: Vec<f64>,
    /// Rise at a model's holders, less the one that gives it up, when it loses one.
    losses: Vec<f64>,
}

/// A copy more of a model at an upstream, in place of another model if one goes.
#[derive(Debug, Clone, Copy)]
pub(super) struct CandidateMove {
    pub(super) model: usize,
    pub(super) to: usize,
    pub(super) victim: Option<usize>,
}

/// Load of one of `copies` copies.
pub(super) fn per_copy_load(work: f64, copies: usize) -> f64 {
    work / copies.max(1) as f64
}

impl ForecastLoads {
    pub(super) fn new(weight: f64, expected: Vec<f64>, kept: Vec<f64>) -> Self {
        Self {
            weight,
            expected,
            retained: kept,
            loads: Vec::new(),
            gains: Vec::new(),
            losses: Vec::new(),
        }
    }

    /// Takes over the loads of all upstreams, and adds up what the copies that there
    /// are would gain and lose.
    pub(super) fn update(&mut self, loads: Vec<f64>, models: &ModelIndex) {
        self.loads = loads;
        let all = 0..self.expected.len();
        self.gains = all
            .clone()
            .map(|model| self.gain_of(model, models))
            .collect();
        self.losses = all.map(|model| self.loss_of(model, models)).collect();
    }

    fn gain_of(&self, model: usize, models: &ModelIndex) -> f64 {
        let change = self.change_if_added(model, models);
        let holders = models.holders(model).iter();
        holders
            .map(|spot| square_reduction(self.loads[*spot], change))
            .sum()
    }

    fn loss_of(&self, model: usize, models: &ModelIndex) -> f64 {
        let change = self.change_if_removed(model, models);
        let holders = models.holders(model).iter();
        holders
            .map(|spot| square_reduction(self.loads[*spot], change))
            .sum()
    }

    /// Change at each holder of a model when it gets one copy more.
    fn change_if_added(&self, model: usize, models: &ModelIndex) -> f64 {
        let (work, copies) = (self.expected[model], models.copy_count(model));
        per_copy_load(work, copies + 1) - per_copy_load(work, copies)
    }

    /// Change at each other holder of a model when it loses one copy.
    fn change_if_removed(&self, model: usize, models: &ModelIndex) -> f64 {
        let (work, copies) = (self.retained[model], models.copy_count(model));
        per_copy_load(work, copies.saturating_sub(1)) - per_copy_load(work, copies)
    }

    /// Fall of the sum of the squares of all loads by a move.
    pub(super) fn relief(&self, of: CandidateMove, models: &ModelIndex) -> f64 {
        let more =
            per_copy_load(self.expected[of.model], models.copy_count(of.model) + 1);
        let load = self.loads[of.to];
        let Some(victim) = of.victim else {
            return self.gains[of.model] + square_reduction(load, more);
        };
        let share = per_copy_load(self.retained[victim], models.copy_count(victim));
        let rest = self.change_if_removed(victim, models);
        let others = self.losses[victim] - square_reduction(load, rest);
        // Holders of both change by both at once.
        let both =
            IndexSet::common(models.holder_set(of.model), models.holder_set(victim));
        let change = self.change_if_added(of.model, models);
        let crossed = -2.0 * change * rest * f64::from(both);
        self.gains[of.model] + square_reduction(load, more - share) + others + crossed
    }
}

/// Fall of the square of a load that changes.
fn square_reduction(load: f64, change: f64) -> f64 {
    -change * (2.0 * load + change)
}
