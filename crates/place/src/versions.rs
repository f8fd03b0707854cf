//! Replaces units of versions that no request is sent to any more.

use crate::choose::{Choice, Spot};
use crate::types::PlacementReason;

/// Ends units of old versions.
///
/// Demand has brought the new versions that are asked for; here the rest of the
/// old ones go. A group that nothing else holds is renewed in its place, so that
/// a change of version doesn't make a model wait that was held before.
pub(crate) fn renew(choice: &mut Choice<'_, '_>) {
    for index in 0..choice.board.slots.len() {
        let slot = &choice.board.slots[index];
        let old = slot.units.iter().position(|unit| unit.outdated);
        let Some(old) = old.filter(|_| !slot.leaving) else {
            continue;
        };
        let group = slot.units[old].group;
        let loaded = choice.board.slots.iter().any(|slot| {
            !slot.leaving && slot.unit(group).is_some_and(|unit| unit.serves())
        });
        if loaded {
            choice.take_off(index, old);
            continue;
        }
        if choice.holders[group] > 0 {
            // The new version is on its way; the old one can end its streams.
            continue;
        }
        let size = choice.base_size(group);
        if size > slot.free_mib() + slot.units[old].size_mib() {
            choice.take_off(index, old);
            choice.note_base(group, PlacementReason::NoRoom);
        } else if choice.allowance.open() {
            let spot = Spot::in_place_of(index, old);
            choice.add(group, &spot, PlacementReason::NewVersion);
        } else {
            choice.note_base(group, PlacementReason::StoreBudget);
        }
    }
}
