//! Planned placements of models, and the timeline events for their changes.

use base::prelude::*;
use place::{PlacementReason, Plan};
use schema::timeline::EventKind;
use std::collections::BTreeMap;

use super::super::EntryAction;
use super::super::outcome_counts::OutcomeCounts;
use super::super::timeline::TimelineEvent;

/// Reason of each planned placement, by agent, accelerator and model.
pub(super) type PlannedPlacements = BTreeMap<(AgentId, u32, ModelId), PlacementReason>;

/// Collects the placements of a plan.
pub(super) fn planned_placements(plan: &Plan) -> PlannedPlacements {
    let mut placements = PlannedPlacements::new();
    for target in &plan.targets {
        for model in &target.models {
            let key = (target.agent.clone(), model.accelerator, model.model.clone());
            placements.insert(key, model.reason);
        }
    }
    placements
}

/// Records the placements that were added and removed.
pub(super) fn record_changes(
    before: &PlannedPlacements,
    after: &PlannedPlacements,
    outcomes: &mut OutcomeCounts,
    out: &mut Vec<EntryAction>,
) {
    for (key, reason) in after {
        // A model that is only kept where it was loaded is no new decision.
        if before.contains_key(key) || *reason == PlacementReason::Kept {
            continue;
        }
        let (agent, accelerator, model) = key;
        let text = reason_text(*reason);
        outcomes.record_decision("place", reason.as_str());
        TimelineEvent::new(
            EventKind::ModelPlanned,
            format!("planned on {agent}, accelerator {accelerator}: {text}"),
        )
        .model(model.as_str())
        .peer(agent)
        .reason(*reason as u32)
        .record(out);
    }
    for (agent, accelerator, model) in before.keys() {
        let key = (agent.clone(), *accelerator, model.clone());
        if after.contains_key(&key) {
            continue;
        }
        outcomes.record_decision("place", PlacementReason::Displaced.as_str());
        let detail = format!("no longer planned on {agent}, accelerator {accelerator}");
        TimelineEvent::new(EventKind::ModelPlanned, detail)
            .model(model.as_str())
            .peer(agent)
            .reason(PlacementReason::Displaced as u32)
            .record(out);
    }
}

/// Describes a placement reason to operators.
pub(crate) const fn reason_text(reason: PlacementReason) -> &'static str {
    match reason {
        PlacementReason::Kept => {
            "it is already loaded there and no move is worth its cost"
        }
        PlacementReason::Demand => "its demand is worth the cost of the load",
        PlacementReason::WaitBound => {
            "requests waited for it for the configured maximum time"
        }
        PlacementReason::Replica => "one holder can't serve its demand",
        PlacementReason::Spread => "a replica in another failure domain",
        PlacementReason::Leaving => "a holder is leaving",
        PlacementReason::MinResidence => "its minimum residence time has not passed",
        PlacementReason::BaseOfAdapter => "it is the base model of a planned adapter",
        PlacementReason::NewVersion => "a newer version is configured",
        PlacementReason::Displaced => "it was replaced by a model of higher value",
        PlacementReason::StoreBudget => {
            "the load rate of the weight store is currently exhausted"
        }
        PlacementReason::NotWorthMove => "its demand is not worth the cost of a load",
        PlacementReason::NoRoom => "no accelerator has enough free memory",
    }
}
