//! Empties instances that are shutting down.

use crate::plan_builder::PlanBuilder;
use crate::types::PlacementReason;

/// Removes from instances that are shutting down the models that are served
/// elsewhere or not worth placing elsewhere.
///
/// Models that still wait for their replacement stay wanted. The plan then shows
/// what the shutdown waits for, and cancelling the shutdown needs no load.
pub(crate) fn evacuate(builder: &mut PlanBuilder<'_, '_>) {
    let catalog = builder.catalog;
    let mut served_elsewhere = vec![false; catalog.groups.len()];
    for accelerator in builder
        .cell
        .accelerators
        .iter()
        .filter(|accelerator| !accelerator.leaving)
    {
        for replica in accelerator
            .replicas
            .iter()
            .filter(|replica| replica.serves())
        {
            served_elsewhere[replica.group] = true;
        }
    }
    let replica_counts = &builder.replica_counts;
    let awaiting_budget = &builder.awaiting_budget;
    let accelerators = builder.cell.accelerators.iter_mut();
    for accelerator in accelerators.filter(|accelerator| accelerator.leaving) {
        accelerator.replicas.retain_mut(|replica| {
            replica.base.reason = PlacementReason::Leaving;
            for adapter in &mut replica.adapters {
                adapter.reason = PlacementReason::Leaving;
            }
            let replacement_coming =
                replica_counts[replica.group] > 0 || awaiting_budget[replica.group];
            !served_elsewhere[replica.group] && replacement_coming
        });
    }
}
