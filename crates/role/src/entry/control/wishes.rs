//! What is wanted where, and its events.

use base::prelude::*;
use place::{PlaceReason, Plan};
use schema::timeline::EventKind;
use std::collections::BTreeMap;

use super::super::EntryAction;
use super::super::tally::Tally;
use super::super::trace::Note;

/// What is wanted where, by agent, accelerator and model.
pub(super) type Wishes = BTreeMap<(AgentId, u32, ModelId), PlaceReason>;

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
        if before.contains_key(key) || *reason == PlaceReason::Kept {
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
        tally.decided("place", PlaceReason::Displaced.as_str());
        let detail = format!("no longer wanted on {agent}, accelerator {accelerator}");
        Note::new(EventKind::ModelPlanned, detail)
            .model(model.as_str())
            .peer(agent)
            .reason(PlaceReason::Displaced as u32)
            .put(out);
    }
}

/// A reason in words.
pub(crate) const fn sentence(reason: PlaceReason) -> &'static str {
    match reason {
        PlaceReason::Kept => "it was there and nothing is worth moving it",
        PlaceReason::Demand => "its demand is worth the move",
        PlaceReason::WaitBound => "work waited for it and it got its turn",
        PlaceReason::Replica => "one holder does not serve its demand",
        PlaceReason::Spread => "a replica in another failure domain",
        PlaceReason::Leaving => "a holder is leaving",
        PlaceReason::MinResidence => "it stays for its minimum residence",
        PlaceReason::BaseOfAdapter => "it is the base of a wanted adapter",
        PlaceReason::NewVersion => "a newer version is to be held",
        PlaceReason::Displaced => "it was taken off for a model worth more",
        PlaceReason::StoreBudget => "the weight store's budget is used up for now",
        PlaceReason::NotWorthMove => "its demand is not worth a move",
        PlaceReason::NoRoom => "no accelerator has room",
    }
}
