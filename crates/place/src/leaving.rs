//! Empties the instances that are leaving.

use crate::choose::Choice;
use crate::types::PlacementReason;

/// Takes off leaving instances what is held elsewhere, or not worth a place.
///
/// What still waits for its new place stays wanted: the plan shows what the
/// instance is waited for, and a stop that is called off costs no load.
pub(crate) fn empty(choice: &mut Choice<'_, '_>) {
    let catalog = choice.catalog;
    let mut loaded = vec![false; catalog.groups.len()];
    for slot in choice.board.slots.iter().filter(|slot| !slot.leaving) {
        for unit in slot.units.iter().filter(|unit| unit.serves()) {
            loaded[unit.group] = true;
        }
    }
    let placed = &choice.holders;
    let delayed = &choice.delayed;
    let slots = choice.board.slots.iter_mut();
    for slot in slots.filter(|slot| slot.leaving) {
        slot.units.retain_mut(|unit| {
            unit.base.reason = PlacementReason::Leaving;
            for adapter in &mut unit.adapters {
                adapter.reason = PlacementReason::Leaving;
            }
            let coming = placed[unit.group] > 0 || delayed[unit.group];
            !loaded[unit.group] && coming
        });
    }
}
