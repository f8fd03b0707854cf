//! What is wanted where, and its events.

use base::prelude::*;
use place::{PlacementReason, Plan};
use schema::timeline::EventKind;
use std::collections::BTreeMap;

use super::super::EntryAction;
use super::super::tally::Tally;
use super::super::trace::Note;

/// What is wanted where, by agent, accelerator and model.
pub(super) type Wishes = BTreeMap<(AgentId, u32, ModelId), PlacementReason>;

/// What a plan wants.
pub(super) fn wishes(plan: &Plan) -> Wishes {
    let mut wishes = Wishes::new();
    for target in &plan.targets {
        for wish in &target.models {
            let key = (target.agent.clone(), wish.accelerator, wish.model.clone());
            wishes.insert(key, wish.reason);
        }
    }
    wishes
}

/// Records what is wanted and was not, and the reverse.
pub(super) fn trace_changes(
    before: &Wishes,
    after: &Wishes,
    tally: &mut Tally,
    out: &mut Vec<EntryAction>,
) {
    for (key, reason) in after {
        // What was merely found in place is no decision.
        if before.contains_key(key) || *reason == PlacementReason::Kept {
            continue;
        }
        let (agent, accelerator, model) = key;
        let why = sentence(*reason);
        tally.decided("place", reason.as_str());
        Note::new(
            EventKind::ModelPlanned,
            format!("wanted on {agent}, accelerator {accelerator}: {why}"),
        )
        .model(model.as_str())
        .peer(agent)
        .reason(*reason as u32)
        .put(out);
    }
    for (agent, accelerator, model) in before.keys() {
        let key = (agent.clone(), *accelerator, model.clone());
        if after.contains_key(&key) {
            continue;
        }
        tally.decided("place", PlacementReason::Displaced.as_str());
        let detail = format!("no longer wanted on {agent}, accelerator {accelerator}");
        Note::new(EventKind::ModelPlanned, detail)
            .model(model.as_str())
            .peer(agent)
            .reason(PlacementReason::Displaced as u32)
            .put(out);
    }
}

/// A reason in words.
pub(crate) const fn sentence(reason: PlacementReason) -> &'static str {
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
