//! Relief of candidate moves, computed from cached sums.
//!
//! Relief is the reduction of the sum of squared upstream loads. A plan evaluates each
//! model on each upstream in place of each model held there: about 40,000 moves with
//! 170 models on 78 upstreams. Summing over all holders for each move took 55 ms per
//! plan, more processor time than the smallest entry gets in half a second, and the
//! entry answered no request meanwhile.

use super::index_set::IndexSet;
use super::model_index::ModelIndex;

/// One possible development of demand and the upstream loads that follow from it.
#[derive(Debug)]
pub(super) struct ForecastLoads {
    pub(super) weight: f64,
    /// Expected demand by model, as a share of one upstream's time.
    pub(super) expected: Vec<f64>,
    /// Demand by model for which a copy is retained, as a share of one upstream's time.
    pub(super) retained: Vec<f64>,
    /// Load of each upstream, as a share of its time.
    pub(super) loads: Vec<f64>,
    /// By model, the reduction of the squared loads of its holders if one more copy is
    /// added.
    gains: Vec<f64>,
    /// By model, the reduction of the squared loads of all its holders if one copy is
    /// removed. It is negative, and includes the holder that gives up the copy.
    losses: Vec<f64>,
}

/// Loading a model on an upstream, in place of the model `victim` if one has to go.
#[derive(Debug, Clone, Copy)]
pub(super) struct CandidateMove {
    pub(super) model: usize,
    pub(super) to: usize,
    pub(super) victim: Option<usize>,
}

/// Load that each of `copies` copies of a model carries.
pub(super) fn per_copy_load(work: f64, copies: usize) -> f64 {
    work / copies.max(1) as f64
}

impl ForecastLoads {
    pub(super) fn new(weight: f64, expected: Vec<f64>, retained: Vec<f64>) -> Self {
        Self {
            weight,
            expected,
            retained,
            loads: Vec::new(),
            gains: Vec::new(),
            losses: Vec::new(),
        }
    }

    /// Sets the loads of all upstreams and recomputes the cached gains and losses.
    pub(super) fn update(&mut self, loads: Vec<f64>, models: &ModelIndex) {
        self.loads = loads;
        let indices = 0..self.expected.len();
        self.gains = indices
            .clone()
            .map(|model| self.gain_of(model, models))
            .collect();
        self.losses = indices.map(|model| self.loss_of(model, models)).collect();
    }

    /// Reduction of the squared loads of a model's holders if it gets one more copy.
    fn gain_of(&self, model: usize, models: &ModelIndex) -> f64 {
        let change = self.change_if_added(model, models);
        let holders = models.holders(model).iter();
        holders
            .map(|holder| square_reduction(self.loads[*holder], change))
            .sum()
    }

    /// Reduction of the squared loads of a model's holders if it loses one copy.
    fn loss_of(&self, model: usize, models: &ModelIndex) -> f64 {
        let change = self.change_if_removed(model, models);
        let holders = models.holders(model).iter();
        holders
            .map(|holder| square_reduction(self.loads[*holder], change))
            .sum()
    }

    /// Change of the load of each holder if the model gets one more copy.
    fn change_if_added(&self, model: usize, models: &ModelIndex) -> f64 {
        let (work, copies) = (self.expected[model], models.copy_count(model));
        per_copy_load(work, copies + 1) - per_copy_load(work, copies)
    }

    /// Change of the load of each remaining holder if the model loses one copy.
    fn change_if_removed(&self, model: usize, models: &ModelIndex) -> f64 {
        let (work, copies) = (self.retained[model], models.copy_count(model));
        per_copy_load(work, copies.saturating_sub(1)) - per_copy_load(work, copies)
    }

    /// Reduction of the sum of squared loads by a move.
    pub(super) fn relief(&self, candidate: CandidateMove, models: &ModelIndex) -> f64 {
        let added = per_copy_load(
            self.expected[candidate.model],
            models.copy_count(candidate.model) + 1,
        );
        let load = self.loads[candidate.to];
        let Some(victim) = candidate.victim else {
            return self.gains[candidate.model] + square_reduction(load, added);
        };
        let share = per_copy_load(self.retained[victim], models.copy_count(victim));
        let others_change = self.change_if_removed(victim, models);
        let others_relief = self.losses[victim] - square_reduction(load, others_change);
        // The loads of upstreams that hold both models change by both amounts at once.
        let shared_holders = IndexSet::common(
            models.holder_set(candidate.model),
            models.holder_set(victim),
        );
        let change = self.change_if_added(candidate.model, models);
        let overlap = -2.0 * change * others_change * f64::from(shared_holders);
        self.gains[candidate.model]
            + square_reduction(load, added - share)
            + others_relief
            + overlap
    }
}

/// Reduction of the square of a load that changes by `change`.
fn square_reduction(load: f64, change: f64) -> f64 {
    -change * (2.0 * load + change)
}
