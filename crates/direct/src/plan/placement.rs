//! Where one more copy of a model brings the highest relief.

use super::PlanBuilder;
use super::relief::{CandidateMove, per_copy_load};
use crate::ModelSpec;

/// Cost of a load, in the unit of relief. Relief is the reduction of the sum of squared
/// upstream loads; the squares reflect that waiting times grow faster than the load
/// that requests meet. A load occupies the upstream's memory while it lasts and demand
/// shifts meanwhile, so a longer load must bring more relief.
const MOVE_COST: f64 = 0.12;
const MOVE_COST_PER_S: f64 = 0.08;

/// Cost of an unload per unit of upstream time that the model used there. The unload
/// waits for running requests, and requests that arrive meanwhile have to go to other
/// upstreams.
const UNLOAD_COST: f64 = 1.0;

/// Additional cost of a load from the weight store, besides its duration.
const STORE_COST: f64 = 0.03;

/// Additional cost of a load from the weight store for patient callers where copies are
/// made in time. Their models were loaded before, so other upstreams have the weights
/// on disk, and the rate of the store is left for urgent ones.
const PATIENT_STORE_COST: f64 = 2.0;

/// Advantage, in the unit of relief, of a failure domain that holds no other copy.
const SPREAD_BONUS: f64 = 0.01;

/// Work, as a share of one upstream's time, below which a model gets no extra copy.
const MIN_WORK: f64 = 0.02;

/// A candidate upstream for one more copy of a model.
#[derive(Debug)]
pub(super) struct CopyPlacement {
    /// Index of the upstream.
    pub(super) upstream: usize,
    /// Index, among the upstream's models, of the model to evict.
    pub(super) victim: Option<usize>,
    pub(super) from_store: bool,
    /// Relief minus the cost of the eviction.
    pub(super) relief: f64,
    /// `relief` minus the cost of the load.
    pub(super) net_relief: f64,
}

impl PlanBuilder<'_> {
    /// The model and upstream for which one more copy brings the highest net relief, if
    /// any is positive.
    pub(super) fn best_extra_copy(&self) -> Option<(usize, CopyPlacement)> {
        let mut best: Option<(usize, CopyPlacement)> = None;
        for model in 0..self.models.len() {
            let work = self.weighted_sum(|forecast| forecast.expected[model]);
            if self.models.copy_count(model) == 0 || work < MIN_WORK {
                continue;
            }
            let Some(placement) = self.best_placement(model, true) else {
                continue;
            };
            let best_relief = best.as_ref().map_or(0.0, |(_, best)| best.net_relief);
            if placement.net_relief > best_relief {
                best = Some((model, placement));
            }
        }
        best
    }

    /// Finds the best upstream for one more copy of a model. With `evict`, upstreams
    /// where another model has to be unloaded are considered as well.
    pub(super) fn best_placement(
        &self,
        model: usize,
        evict: bool,
    ) -> Option<CopyPlacement> {
        let spec = self.model_facts[model].spec?;
        let mut best: Option<CopyPlacement> = None;
        for (index, upstream) in self.upstreams.iter().enumerate() {
            if !upstream.idle || upstream.holds(model) {
                continue;
            }
            let from_store = !upstream.local_weights.contains(model);
            if from_store && self.store_loads_left == 0 {
                continue;
            }
            let found = self.find_room(model, index, spec.weights_mb, evict);
            let Some((victim, relief)) = found else {
                continue;
            };
            let net_relief = relief - self.move_cost(model, spec, index);
            if best
                .as_ref()
                .is_none_or(|placement| net_relief > placement.net_relief)
            {
                best = Some(CopyPlacement {
                    upstream: index,
                    victim,
                    from_store,
                    relief,
                    net_relief,
                });
            }
        }
        best
    }

    /// Cost of loading a model on an upstream, in the unit of relief.
    fn move_cost(&self, model: usize, spec: &ModelSpec, to: usize) -> f64 {
        let upstream = &self.upstreams[to];
        let from_store = !upstream.local_weights.contains(model);
        let load_ms = self.load_ms(model, spec, to);
        let mut cost = MOVE_COST;
        if self.timely.is_none() {
            // Otherwise, the duration is counted in what the copy brings.
            cost += MOVE_COST_PER_S * load_ms / 1_000.0;
        }
        if from_store {
            cost += STORE_COST;
            if self
                .timely
                .as_ref()
                .is_some_and(|timely| timely.is_patient(model))
            {
                cost += PATIENT_STORE_COST;
            }
        }
        if !self.has_copy_in_domain(model, &upstream.state.domain) {
            cost -= SPREAD_BONUS;
        }
        cost
    }

    /// Finds room on an upstream: returns the index of the model to evict, if any, and
    /// the relief of the move minus the cost of the eviction.
    pub(super) fn find_room(
        &self,
        model: usize,
        to: usize,
        size_mb: f64,
        evict: bool,
    ) -> Option<(Option<usize>, f64)> {
        let upstream = &self.upstreams[to];
        if upstream.free_mb >= size_mb {
            let without_eviction = CandidateMove {
                model,
                to,
                victim: None,
            };
            return Some((None, self.relief_in_time(without_eviction)));
        }
        if !evict {
            return None;
        }
        let mut best: Option<(usize, f64)> = None;
        for (victim, held) in upstream.models.iter().enumerate() {
            if self.is_recent(held)
                || held.unloading
                || upstream.free_mb + held.size_mb < size_mb
            {
                continue;
            }
            if self.is_protected(held, model) {
                continue;
            }
            let replacement = CandidateMove {
                model,
                to,
                victim: Some(held.model),
            };
            let copies = self.models.copy_count(held.model);
            let share = self.weighted_sum(|forecast| {
                per_copy_load(forecast.retained[held.model], copies)
            });
            let mut relief = self.relief_in_time(replacement);
            relief -= share * UNLOAD_COST;
            if copies == 1 {
                relief -= self.last_copy_loss(held.model);
            }
            if best.is_none_or(|(_, best_relief)| relief > best_relief) {
                best = Some((victim, relief));
            }
        }
        best.map(|(victim, relief)| (Some(victim), relief))
    }
}
