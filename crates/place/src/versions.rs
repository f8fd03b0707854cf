//! Replaces replicas whose version no longer receives requests.

use crate::plan_builder::{Candidate, PlanBuilder};
use crate::types::PlacementReason;

/// Removes replicas of old versions.
///
/// New versions with demand have been placed by now. Of the old replicas that
/// remain, one whose group has no other replica is replaced in place, so that
/// publishing a version does not make a model unavailable that was held before.
pub(crate) fn replace_outdated(builder: &mut PlanBuilder<'_, '_>) {
    for index in 0..builder.cell.accelerators.len() {
        let accelerator = &builder.cell.accelerators[index];
        let old = accelerator
            .replicas
            .iter()
            .position(|replica| replica.outdated);
        let Some(old) = old.filter(|_| !accelerator.leaving) else {
            continue;
        };
        let group = accelerator.replicas[old].group;
        let new_version_serves = builder.cell.accelerators.iter().any(|accelerator| {
            !accelerator.leaving
                && accelerator
                    .current_replica(group)
                    .is_some_and(|replica| replica.serves())
        });
        if new_version_serves {
            builder.remove_replica(index, old);
            continue;
        }
        if builder.replica_counts[group] > 0 {
            // The new version is loading; meanwhile the old one can finish its
            // responses.
            continue;
        }
        let size = builder.base_size_mib(group);
        if size > accelerator.free_mib() + accelerator.replicas[old].size_mib() {
            builder.remove_replica(index, old);
            builder.note_base(group, PlacementReason::NoRoom);
        } else if builder.allowance.can_start() {
            let candidate = Candidate::replacing(index, old);
            builder.add_replica(group, &candidate, PlacementReason::NewVersion);
        } else {
            builder.note_base(group, PlacementReason::StoreBudget);
        }
    }
}
