//! Converts the planned state of the cell into a plan.

use crate::catalog::Catalog;
use crate::cell::{Accelerator, CellState, PlannedModel};
use crate::types::{
    AgentTarget, Assignment, PlacementReason, Plan, PlanInput, PlanNote,
};

/// Returns one target for each agent, sorted by name, and the sorted notes without
/// duplicates.
pub(crate) fn to_plan(
    cell: &CellState<'_>,
    catalog: &Catalog<'_>,
    mut notes: Vec<PlanNote>,
    input: &PlanInput<'_>,
) -> Plan {
    let agents = cell.agents.iter();
    let mut targets: Vec<AgentTarget> = agents
        .map(|agent| AgentTarget {
            agent: agent.id.clone(),
            models: Vec::new(),
        })
        .collect();
    for accelerator in &cell.accelerators {
        let planned = accelerator.models();
        let assigned =
            planned.map(|planned| assignment(accelerator, planned, catalog, input));
        targets[accelerator.agent].models.extend(assigned);
    }
    notes.sort_by(|a, b| (&a.model, a.reason).cmp(&(&b.model, b.reason)));
    notes.dedup_by(|a, b| a.model == b.model && a.reason == b.reason);
    Plan { targets, notes }
}

fn assignment(
    accelerator: &Accelerator,
    planned: &PlannedModel,
    catalog: &Catalog<'_>,
    input: &PlanInput<'_>,
) -> Assignment {
    let model = &catalog.models[planned.model];
    let min_residence_ms = u64::from(input.config.weights().min_residence_ms);
    let within_min_residence =
        planned.is_loaded() && input.now.ms_since(planned.since) < min_residence_ms;
    let reason = match planned.reason {
        PlacementReason::Kept if within_min_residence && !model.demand.is_active() => {
            PlacementReason::MinResidence
        }
        reason => reason,
    };
    Assignment {
        model: model.spec.id.clone(),
        version: planned.version,
        accelerator: accelerator.index,
        reason,
    }
}
