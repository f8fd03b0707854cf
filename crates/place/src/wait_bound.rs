//! Places models whose requests have waited close to the configured bound, so that
//! no model with demand is starved.

use std::cmp::Reverse;

use crate::adapters;
use crate::plan_builder::{Displacement, PlanBuilder};
use crate::types::PlacementReason;

/// Fraction of the bound after which a model is placed before everything else. The
/// rest is for late reports, slow loads and running requests that delay an unload.
const URGENT_FRACTION: f64 = 0.75;

/// Fraction of the bound after which a model may use what the weight store's budget
/// has left.
const EARLY_FRACTION: f64 = 0.6;

/// Time besides the load itself until a model is served: orders and heartbeats have
/// to arrive, and running requests to end.
const SETTLE_S: f64 = 2.0;

/// A model or adapter with waiting requests that no accelerator can serve.
#[derive(Debug)]
struct WaitingModel {
    model: usize,
    wait_ms: u64,
    /// Number of loads needed: the base model, the adapter, or both.
    loads_needed: u32,
    /// Whether even a load started now would end after the bound; replicas within
    /// their minimum residence may then be displaced.
    misses_bound: bool,
}

/// Places models that would miss the bound if anything were placed before them.
pub(crate) fn place_urgent(builder: &mut PlanBuilder<'_, '_>) {
    place_due(builder, URGENT_FRACTION);
}

/// Places models that approach the bound, with what is left of the store's budget.
pub(crate) fn place_early(builder: &mut PlanBuilder<'_, '_>) {
    place_due(builder, EARLY_FRACTION);
}

/// Places the models that are due at this fraction of the bound.
fn place_due(builder: &mut PlanBuilder<'_, '_>, fraction: f64) {
    for waiting in due_models(builder, fraction) {
        let group = builder.catalog.models[waiting.model].group;
        if builder.replica_counts[group] == 0 {
            place_base(builder, group, waiting.misses_bound);
        }
        if builder.catalog.models[waiting.model].spec.base.is_some() {
            adapters::place_for_wait(builder, waiting.model);
        }
    }
}

/// Places a group's base model, if the weight store's budget and the memory permit.
fn place_base(builder: &mut PlanBuilder<'_, '_>, group: usize, misses_bound: bool) {
    if !builder.allowance.can_start() {
        builder.note_base(group, PlacementReason::StoreBudget);
        return;
    }
    let mut candidate = builder.best_candidate(group, Displacement::AfterMinResidence);
    if misses_bound {
        candidate = candidate
            .or_else(|| builder.best_candidate(group, Displacement::AnyLoaded));
    }
    match candidate {
        Some(candidate) => {
            builder.add_replica(group, &candidate, PlacementReason::WaitBound);
        }
        None => builder.note_base(group, PlacementReason::NoRoom),
    }
}

/// Returns the models to place now, the longest wait first.
///
/// Loads start at the store's rate, so the last model in the queue waits for the
/// loads of all others. The queue is therefore cut after the last model that would
/// otherwise miss its bound. With a separate due time for each model, many models
/// requested at once would all become due at once, and most would be late.
fn due_models(builder: &PlanBuilder<'_, '_>, fraction: f64) -> Vec<WaitingModel> {
    let mut queue = waiting_models(builder);
    let bound_s = f64::from(builder.input.config.weights().wait_max_ms) / 1_000.0;
    let load_s = f64::from(builder.input.config.store().load_time_ms) / 1_000.0;
    let rate_per_s = builder.allowance.rate_per_s.max(1e-6);
    let mut cumulative_loads = 0;
    let mut due_count = 0;
    for (index, waiting) in queue.iter_mut().enumerate() {
        cumulative_loads += waiting.loads_needed;
        let wait_s = waiting.wait_ms as f64 / 1_000.0;
        let time_to_serve_s = load_s * f64::from(waiting.loads_needed) + SETTLE_S;
        if wait_s + f64::from(cumulative_loads) / rate_per_s + time_to_serve_s
            >= bound_s * fraction
        {
            due_count = index + 1;
        }
        waiting.misses_bound = wait_s + time_to_serve_s >= bound_s;
    }
    queue.truncate(due_count);
    queue
}

/// Returns all models with waiting requests that no accelerator can serve, the
/// longest wait first.
fn waiting_models(builder: &PlanBuilder<'_, '_>) -> Vec<WaitingModel> {
    let mut queue = Vec::new();
    for (index, model) in builder.catalog.models.iter().enumerate() {
        let Some(replica_count) = builder.replica_counts.get(model.group) else {
            continue;
        };
        if model.demand.waiting <= 0.0 || model.wait_ms == 0 {
            continue;
        }
        let is_adapter = model.spec.base.is_some();
        let adapter_missing = is_adapter && !builder.holds_adapter(index);
        let loads_needed = u32::from(*replica_count == 0) + u32::from(adapter_missing);
        if loads_needed > 0 {
            queue.push(WaitingModel {
                model: index,
                wait_ms: model.wait_ms,
                loads_needed,
                misses_bound: false,
            });
        }
    }
    queue.sort_by_key(|waiting| (Reverse(waiting.wait_ms), waiting.model));
    queue
}
