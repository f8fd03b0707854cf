//! Places adapters next to their base models.

use crate::cell::{PlannedModel, Replica};
use crate::plan_builder::PlanBuilder;
use crate::types::PlacementReason;

/// Adds each adapter whose value justifies its load where its base model is held.
pub(crate) fn place_worthwhile(builder: &mut PlanBuilder<'_, '_>) {
    let mut wanted: Vec<(f64, usize)> = Vec::new();
    for (index, model) in builder.catalog.models.iter().enumerate() {
        let is_adapter = model.spec.base.is_some();
        let base_held = builder
            .replica_counts
            .get(model.group)
            .is_some_and(|count| *count > 0);
        if is_adapter && base_held && (model.demand.is_active() || model.wait_ms > 0) {
            wanted.push((builder.costs.adapter_value(&model.demand), index));
        }
    }
    wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    for (value, adapter) in wanted {
        if builder.holds_adapter(adapter) {
            continue;
        }
        if has_waited_long(builder, adapter) {
            place_for_wait(builder, adapter);
            continue;
        }
        if !builder.costs.justifies_move(value, 0.0) {
            builder.note(adapter, PlacementReason::NotWorthMove);
            continue;
        }
        place_adapter(builder, adapter, value, PlacementReason::Demand);
    }
}

/// Whether an adapter has waited for a quarter of the wait bound, after which it is
/// placed whatever its value.
///
/// Its base model is held now. Later, both might have to be loaded.
fn has_waited_long(builder: &PlanBuilder<'_, '_>, adapter: usize) -> bool {
    let model = &builder.catalog.models[adapter];
    let bound_ms = u64::from(builder.input.config.weights().wait_max_ms);
    model.wait_ms >= bound_ms / 4
}

/// Places an adapter because of the wait bound, displacing any adapters next to its
/// base model that are past their minimum residence.
pub(crate) fn place_for_wait(builder: &mut PlanBuilder<'_, '_>, adapter: usize) {
    if !builder.holds_adapter(adapter) {
        place_adapter(builder, adapter, f64::INFINITY, PlacementReason::WaitBound);
    }
}

/// Places an adapter next to the base model where its displacements lose least.
fn place_adapter(
    builder: &mut PlanBuilder<'_, '_>,
    adapter: usize,
    value: f64,
    reason: PlacementReason,
) {
    let size_mib = u64::from(builder.catalog.models[adapter].spec.size_mib);
    let group = builder.catalog.models[adapter].group;
    let mut best: Option<(f64, u64, usize)> = None;
    for (index, accelerator) in builder.cell.accelerators.iter().enumerate() {
        let Some(replica) = accelerator
            .current_replica(group)
            .filter(|_| !accelerator.leaving)
        else {
            continue;
        };
        // The engine refuses to load an adapter before its base model is at least
        // being loaded.
        if replica.base.state.is_none() {
            continue;
        }
        let Some(displaced) = adapters_to_displace(
            builder,
            replica,
            accelerator.free_mib(),
            size_mib,
            value,
        ) else {
            continue;
        };
        let loss: f64 = displaced
            .iter()
            .map(|planned| value_of(builder, planned))
            .sum();
        let free_mib = accelerator.free_mib();
        let better = |best: &(f64, u64, usize)| {
            loss < best.0 || (loss == best.0 && free_mib > best.1)
        };
        if best.as_ref().is_none_or(better) {
            best = Some((loss, free_mib, index));
        }
    }
    match best {
        None => builder.note(adapter, PlacementReason::NoRoom),
        Some(_) if !builder.allowance.can_start() => {
            builder.note(adapter, PlacementReason::StoreBudget);
        }
        Some((_, _, index)) => add_adapter(builder, index, adapter, value, reason),
    }
}

/// Returns the adapters to remove to make room for one of the given size; `None` if
/// there are too few or they are worth more.
fn adapters_to_displace<'u>(
    builder: &PlanBuilder<'_, '_>,
    replica: &'u Replica,
    mut free_mib: u64,
    size_mib: u64,
    value: f64,
) -> Option<Vec<&'u PlannedModel>> {
    let mut displaced = Vec::new();
    let adapters = replica.adapters.iter();
    let mut displaceable: Vec<&PlannedModel> = adapters
        .filter(|planned| !builder.within_min_residence(planned))
        .collect();
    displaceable.sort_by(|a, b| {
        let by_loss = value_of(builder, a).total_cmp(&value_of(builder, b));
        by_loss.then(a.model.cmp(&b.model))
    });
    let mut displaceable = displaceable.into_iter();
    let mut total_loss = 0.0;
    while free_mib < size_mib {
        let planned = displaceable.next()?;
        total_loss += value_of(builder, planned);
        if !builder.costs.justifies_move(value, total_loss) {
            return None;
        }
        free_mib += u64::from(planned.size_mib);
        displaced.push(planned);
    }
    Some(displaced)
}

/// Value of holding an adapter.
fn value_of(builder: &PlanBuilder<'_, '_>, planned: &PlannedModel) -> f64 {
    builder
        .costs
        .adapter_value(&builder.catalog.models[planned.model].demand)
}

/// Adds an adapter on an accelerator and removes the adapters that it displaces.
fn add_adapter(
    builder: &mut PlanBuilder<'_, '_>,
    accelerator: usize,
    adapter: usize,
    value: f64,
    reason: PlacementReason,
) {
    let spec = builder.catalog.models[adapter].spec;
    let group = builder.catalog.models[adapter].group;
    let size_mib = u64::from(spec.size_mib);
    let free_mib = builder.cell.accelerators[accelerator].free_mib();
    let Some(replica) = builder.cell.accelerators[accelerator].current_replica(group)
    else {
        return;
    };
    let displaced: Vec<usize> =
        adapters_to_displace(builder, replica, free_mib, size_mib, value)
            .into_iter()
            .flatten()
            .map(|planned| planned.model)
            .collect();
    for model in &displaced {
        builder.note(*model, PlacementReason::Displaced);
    }
    let planned = PlannedModel {
        model: adapter,
        version: spec.version,
        size_mib: spec.size_mib,
        state: None,
        since: builder.input.now,
        reason,
    };
    let mut replicas = builder.cell.accelerators[accelerator].replicas.iter_mut();
    if let Some(replica) =
        replicas.find(|replica| replica.group == group && !replica.outdated)
    {
        replica
            .adapters
            .retain(|planned| !displaced.contains(&planned.model));
        replica.adapters.push(planned);
        builder.allowance.record_start();
    }
}
