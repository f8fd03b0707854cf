//! The floor under every model: a turn within the bound on its wait.

use std::cmp::Reverse;

use crate::adapters;
use crate::choose::{Choice, Force};
use crate::types::PlacementReason;

/// Part of the bound from which a turn goes before everything else; the rest is
/// for late reports, slow loads and running work that delays an unload.
const URGENT_PART: f64 = 0.75;

/// Part of the bound from which a turn takes what the store's budget has left.
const EARLY_PART: f64 = 0.6;

/// Time for orders and heartbeats to arrive and running work to end.
const SETTLE_S: f64 = 2.0;

/// A model or adapter with work that no accelerator can serve.
#[derive(Debug)]
struct Waiting {
    model: usize,
    wait_ms: u64,
    /// Loads it needs.
    loads: u32,
    /// Its bound can't be kept any more without breaking a minimum residence.
    late: bool,
}

/// Gives turns that would come too late if anything went before them.
pub(crate) fn give_urgent(choice: &mut Choice<'_, '_>) {
    give(choice, URGENT_PART);
}

/// Gives turns with what the store's budget has left.
pub(crate) fn give_early(choice: &mut Choice<'_, '_>) {
    give(choice, EARLY_PART);
}

fn give(choice: &mut Choice<'_, '_>, part: f64) {
    for waiting in due(choice, part) {
        let group = choice.catalog.models[waiting.model].group;
        if choice.holders[group] == 0 {
            give_base(choice, group, waiting.late);
        }
        if choice.catalog.models[waiting.model].spec.base.is_some() {
            adapters::give(choice, waiting.model);
        }
    }
}

fn give_base(choice: &mut Choice<'_, '_>, group: usize, late: bool) {
    if !choice.allowance.open() {
        choice.note_base(group, PlacementReason::StoreBudget);
        return;
    }
    let mut spot = choice.spot(group, Force::Residence);
    if late {
        spot = spot.or_else(|| choice.spot(group, Force::Any));
    }
    match spot {
        Some(spot) => choice.add(group, &spot, PlacementReason::WaitBound),
        None => choice.note_base(group, PlacementReason::NoRoom),
    }
}

/// What has to be loaded now, the longest wait first.
///
/// Loads start at the store's rate, so the last of a queue waits for all before
/// it: the queue is due up to the last entry that would otherwise be late. With
/// a due time for each entry alone, many models asked for at once would all
/// become due at once, and most would be late.
fn due(choice: &Choice<'_, '_>, part: f64) -> Vec<Waiting> {
    let mut queue = queue(choice);
    let bound_s = f64::from(choice.input.config.weights().wait_max_ms) / 1_000.0;
    let load_s = f64::from(choice.input.config.store().load_time_ms) / 1_000.0;
    let rate_per_s = choice.allowance.rate_per_s.max(1e-6);
    let mut loads = 0;
    let mut due = 0;
    for (index, waiting) in queue.iter_mut().enumerate() {
        loads += waiting.loads;
        let wait_s = waiting.wait_ms as f64 / 1_000.0;
        let loaded_s = load_s * f64::from(waiting.loads) + SETTLE_S;
        if wait_s + f64::from(loads) / rate_per_s + loaded_s >= bound_s * part {
            due = index + 1;
        }
        waiting.late = wait_s + loaded_s >= bound_s;
    }
    queue.truncate(due);
    queue
}

fn queue(choice: &Choice<'_, '_>) -> Vec<Waiting> {
    let mut queue = Vec::new();
    for (index, model) in choice.catalog.models.iter().enumerate() {
        let Some(holders) = choice.holders.get(model.group) else {
            continue;
        };
        if model.work.waiting <= 0.0 || model.wait_ms == 0 {
            continue;
        }
        let adapter = model.spec.base.is_some();
        let missing = adapter && !choice.holds_adapter(index);
        let loads = u32::from(*holders == 0) + u32::from(missing);
        if loads > 0 {
            queue.push(Waiting {
                model: index,
                wait_ms: model.wait_ms,
                loads,
                late: false,
            });
        }
    }
    queue.sort_by_key(|waiting| (Reverse(waiting.wait_ms), waiting.model));
    queue
}
