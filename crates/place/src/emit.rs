//! Turns the board into a plan.

use crate::board::{Board, Held, Slot};
use crate::catalog::Catalog;
use crate::types::{
    AgentTarget, Assignment, PlacementReason, Plan, PlanInput, PlanNote,
};

/// The plan: one target for each agent, in order of name, and the notes.
pub(crate) fn plan(
    board: &Board<'_>,
    catalog: &Catalog<'_>,
    mut notes: Vec<PlanNote>,
    input: &PlanInput<'_>,
) -> Plan {
    let agents = board.agents.iter();
    let mut targets: Vec<AgentTarget> = agents
        .map(|agent| AgentTarget {
            agent: agent.id.clone(),
            models: Vec::new(),
        })
        .collect();
    for slot in &board.slots {
        let held = slot.held();
        let assigned = held.map(|held| assignment(slot, held, catalog, input));
        targets[slot.agent].models.extend(assigned);
    }
    notes.sort_by(|a, b| (&a.model, a.reason).cmp(&(&b.model, b.reason)));
    notes.dedup_by(|a, b| a.model == b.model && a.reason == b.reason);
    Plan { targets, notes }
}

fn assignment(
    slot: &Slot,
    held: &Held,
    catalog: &Catalog<'_>,
    input: &PlanInput<'_>,
) -> Assignment {
    let model = &catalog.models[held.model];
    let least_ms = u64::from(input.config.weights().min_residence_ms);
    let young = held.is_loaded() && input.now.ms_since(held.since) < least_ms;
    let reason = match held.reason {
        PlacementReason::Kept if young && !model.work.any() => {
            PlacementReason::MinResidence
        }
        reason => reason,
    };
    Assignment {
        model: model.spec.id.clone(),
        version: held.version,
        accelerator: slot.accelerator,
        reason,
    }
}
