//! What is wanted where, and its events.

use base::prelude::*;
use place::{PlacementReason, Plan};
use schema::timeline::EventKind;
use std::collections::BTreeMap;

use super::super::EntryAction;
use super::super::outcome_counts::OutcomeCounts;
use super::super::timeline::TimelineEvent;

/// What is wanted where, by agent, accelerator and model.
pub(super) type PlannedPlacements = BTreeMap<(AgentId, u32, ModelId), PlaceReason>;

/// What a plan wants.
pub(super) fn planned_placements(plan: &Plan) -> PlannedPlacements {
    let mut placements = PlannedPlacements::new();
    for target in &plan.targets {
        for wish in &target.models {
            let key = (target.agent.clone(), wish.accelerator, wish.model.clone());
            placements.insert(key, wish.reason);
        }
    }
    placements
}

/// Records what is wanted and was not, and the reverse.
pub(super) fn record_changes(
    before: &PlannedPlacements,
    after: &PlannedPlacements,
    outcomes: &mut OutcomeCounts,
    out: &mut Vec<EntryAction>,
) {
    for (key, reason) in after {
        // What was merely found in place is no decision.
        if before.contains_key(key) || *reason == PlacementReason::Kept {
            continue;
        }
        let (agent, accelerator, model) = key;
        let why = reason_text(*reason);
        outcomes.record_decision("place", reason.as_str());
        TimelineEvent::new(
            EventKind::ModelPlanned,
            format!("wanted on {agent}, accelerator {accelerator}: {why}"),
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
        outcomes.record_decision("place", PlaceReason::Displaced.as_str());
        let detail = format!("no longer wanted on {agent}, accelerator {accelerator}");
        TimelineEvent::new(EventKind::ModelPlanned, detail)
            .model(model.as_str())
            .peer(agent)
            .reason(PlaceReason::Displaced as u32)
            .record(out);
    }
}

/// A reason in words.
pub(crate) const fn reason_text(reason: PlaceReason) -> &'static str {
    match reason {
        PlacementReason::Kept => "it was there and nothing is worth moving it",
        PlacementReason::Demand => "its demand is worth the move",
        PlacementReason::WaitBound => "work waited for it and it got its turn",
        PlacementReason::Replica => "one holder does not serve its demand",
        PlacementReason::Spread => "a replica in another failure domain",
        PlacementReason::Leaving => "a holder is leaving",
        PlacementReason::MinResidence => "it stays for its minimum residence",
        PlacementReason::BaseOfAdapter => "it is the base of a wanted adapter",
        PlacementReason::NewVersion => "a newer version is to be held",
        PlacementReason::Displaced => "it was taken off for a model worth more",
        PlacementReason::StoreBudget => "the weight store's budget is used up for now",
        PlacementReason::NotWorthMove => "its demand is not worth a move",
        PlacementReason::NoRoom => "no accelerator has room",
    }
}
