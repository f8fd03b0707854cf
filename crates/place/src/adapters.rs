//! Chooses the adapters beside the bases.

use crate::board::{Held, Unit};
use crate::choose::Choice;
use crate::types::PlacementReason;

/// Adds each adapter that is worth its load where its base is held.
pub(crate) fn place(choice: &mut Choice<'_, '_>) {
    let mut wanted: Vec<(f64, usize)> = Vec::new();
    for (index, model) in choice.catalog.models.iter().enumerate() {
        let adapter = model.spec.base.is_some();
        let held = choice
            .holders
            .get(model.group)
            .is_some_and(|count| *count > 0);
        if adapter && held && (model.work.any() || model.wait_ms > 0) {
            wanted.push((choice.scale.adapter(&model.work), index));
        }
    }
    wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    for (worth, adapter) in wanted {
        if choice.holds_adapter(adapter) {
            continue;
        }
        if waits_long(choice, adapter) {
            give(choice, adapter);
            continue;
        }
        if !choice.scale.worth_move(worth, 0.0) {
            choice.note(adapter, PlacementReason::NotWorthMove);
            continue;
        }
        place_one(choice, adapter, worth, PlacementReason::Demand);
    }
}

/// Whether an adapter is worth its load for the sake of its wait.
///
/// Its base is there now; a turn of its own later would load both.
fn waits_long(choice: &Choice<'_, '_>, adapter: usize) -> bool {
    let model = &choice.catalog.models[adapter];
    let bound_ms = u64::from(choice.input.config.weights().wait_max_ms);
    model.wait_ms >= bound_ms / 4
}

/// Gives an adapter a turn, whatever it displaces beside its base.
pub(crate) fn give(choice: &mut Choice<'_, '_>, adapter: usize) {
    if !choice.holds_adapter(adapter) {
        place_one(choice, adapter, f64::INFINITY, PlacementReason::WaitBound);
    }
}

fn place_one(
    choice: &mut Choice<'_, '_>,
    adapter: usize,
    worth: f64,
    reason: PlacementReason,
) {
    let size = u64::from(choice.catalog.models[adapter].spec.size_mib);
    let group = choice.catalog.models[adapter].group;
    let mut best: Option<(f64, u64, usize)> = None;
    for (index, slot) in choice.board.slots.iter().enumerate() {
        let Some(unit) = slot.unit(group).filter(|_| !slot.leaving) else {
            continue;
        };
        // The base has to be on its way, or the engine would refuse the order.
        if unit.base.state.is_none() {
            continue;
        }
        let Some(off) = displaced(choice, unit, slot.free_mib(), size, worth) else {
            continue;
        };
        let loss: f64 = off.iter().map(|held| loss(choice, held)).sum();
        let free = slot.free_mib();
        let better = |held: &(f64, u64, usize)| {
            loss < held.0 || (loss == held.0 && free > held.1)
        };
        if best.as_ref().is_none_or(better) {
            best = Some((loss, free, index));
        }
    }
    match best {
        None => choice.note(adapter, PlacementReason::NoRoom),
        Some(_) if !choice.allowance.open() => {
            choice.note(adapter, PlacementReason::StoreBudget);
        }
        Some((_, _, index)) => add(choice, index, adapter, worth, reason),
    }
}

/// Adapters that have to go for one of this size; none if they are worth more.
fn displaced<'u>(
    choice: &Choice<'_, '_>,
    unit: &'u Unit,
    mut free: u64,
    size: u64,
    worth: f64,
) -> Option<Vec<&'u Held>> {
    let mut off = Vec::new();
    let adapters = unit.adapters.iter();
    let mut movable: Vec<&Held> =
        adapters.filter(|held| !choice.is_young(held)).collect();
    movable.sort_by(|a, b| {
        let by_loss = loss(choice, a).total_cmp(&loss(choice, b));
        by_loss.then(a.model.cmp(&b.model))
    });
    let mut movable = movable.into_iter();
    let mut lost = 0.0;
    while free < size {
        let held = movable.next()?;
        lost += loss(choice, held);
        if !choice.scale.worth_move(worth, lost) {
            return None;
        }
        free += u64::from(held.size_mib);
        off.push(held);
    }
    Some(off)
}

fn loss(choice: &Choice<'_, '_>, held: &Held) -> f64 {
    choice
        .scale
        .adapter(&choice.catalog.models[held.model].work)
}

fn add(
    choice: &mut Choice<'_, '_>,
    slot: usize,
    adapter: usize,
    worth: f64,
    reason: PlacementReason,
) {
    let spec = choice.catalog.models[adapter].spec;
    let group = choice.catalog.models[adapter].group;
    let size = u64::from(spec.size_mib);
    let free = choice.board.slots[slot].free_mib();
    let Some(unit) = choice.board.slots[slot].unit(group) else {
        return;
    };
    let off: Vec<usize> = displaced(choice, unit, free, size, worth)
        .into_iter()
        .flatten()
        .map(|held| held.model)
        .collect();
    for model in &off {
        choice.note(*model, PlacementReason::Displaced);
    }
    let held = Held {
        model: adapter,
        version: spec.version,
        size_mib: spec.size_mib,
        state: None,
        since: choice.input.now,
        reason,
    };
    let mut units = choice.board.slots[slot].units.iter_mut();
    if let Some(unit) = units.find(|unit| unit.group == group && !unit.outdated) {
        unit.adapters.retain(|held| !off.contains(&held.model));
        unit.adapters.push(held);
        choice.allowance.take();
    }
}
