//! Finds the cheapest place for one more unit of a group.

use std::cmp::Ordering;

use crate::board::{Slot, Unit};
use crate::choose::{Choice, Force};

/// Where a new unit goes and what it costs.
#[derive(Debug)]
pub(crate) struct Spot {
    /// Index of the accelerator.
    pub(crate) slot: usize,
    /// Worth lost with what is taken off.
    pub(crate) loss: f64,
    /// Units to be taken off, highest index first.
    pub(crate) off: Vec<usize>,
}

impl Spot {
    /// The place of one unit, whatever it is worth.
    pub(crate) fn in_place_of(slot: usize, unit: usize) -> Self {
        Self {
            slot,
            loss: 0.0,
            off: vec![unit],
        }
    }
}

/// Order among places with the same loss.
#[derive(Debug)]
struct Rank {
    loss: f64,
    /// The place does not hold an old version of the group.
    elsewhere: bool,
    /// Units of the group in the same failure domain and on the same instance:
    /// one loss should not take all of them.
    shared: [u32; 2],
    /// Places the accelerator has for the group.
    places: f64,
    free_mib: u64,
}

impl Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.loss
            .total_cmp(&other.loss)
            .then(self.elsewhere.cmp(&other.elsewhere))
            .then(self.shared.cmp(&other.shared))
            .then(other.places.total_cmp(&self.places))
            .then(other.free_mib.cmp(&self.free_mib))
    }
}

impl Choice<'_, '_> {
    /// The cheapest place for one more unit of a group.
    pub(crate) fn spot(&self, group: usize, force: Force) -> Option<Spot> {
        let holders = self.holding_agents(group);
        let mut best: Option<(Rank, Spot)> = None;
        for index in 0..self.board.slots.len() {
            let Some(spot) = self.spot_on(group, index, force) else {
                continue;
            };
            let rank = self.rank(group, &spot, &holders);
            if best.as_ref().is_none_or(|(held, _)| rank.cmp(held).is_lt()) {
                best = Some((rank, spot));
            }
        }
        best.map(|(_, spot)| spot)
    }

    /// Agent of each unit of a group on instances that stay.
    fn holding_agents(&self, group: usize) -> Vec<usize> {
        if self.holders[group] == 0 {
            return Vec::new();
        }
        let slots = self.board.slots.iter();
        slots
            .filter(|slot| !slot.leaving && slot.unit(group).is_some())
            .map(|slot| slot.agent)
            .collect()
    }

    /// A loss that no place for any group is below.
    pub(crate) fn least_loss(&self) -> f64 {
        let groups = 0..self.catalog.groups.len();
        let smallest = groups.map(|group| self.base_size(group)).min().unwrap_or(0);
        let slots = self.board.slots.iter().filter(|slot| !slot.leaving);
        let losses = slots.map(|slot| {
            if slot.free_mib() >= smallest {
                return 0.0;
            }
            let movable = self.movable(slot, Force::Residence);
            movable.first().map_or(f64::INFINITY, |(loss, _)| *loss)
        });
        losses.fold(f64::INFINITY, f64::min)
    }

    /// Memory of the largest accelerator on an instance that stays.
    pub(crate) fn largest_mib(&self) -> u64 {
        let slots = self.board.slots.iter().filter(|slot| !slot.leaving);
        slots.map(|slot| slot.capacity_mib).max().unwrap_or(0)
    }

    fn spot_on(&self, group: usize, index: usize, force: Force) -> Option<Spot> {
        let slot = &self.board.slots[index];
        let size = self.base_size(group);
        if !self.admits(slot, group) || size > slot.capacity_mib {
            return None;
        }
        let mut free = slot.free_mib();
        let mut spot = Spot {
            slot: index,
            loss: 0.0,
            off: Vec::new(),
        };
        if free >= size {
            return Some(spot);
        }
        for (loss, unit) in self.movable(slot, force) {
            free += slot.units[unit].size_mib();
            spot.loss += loss;
            spot.off.push(unit);
            if free >= size {
                spot.off.sort_unstable_by(|a, b| b.cmp(a));
                return Some(spot);
            }
        }
        None
    }

    /// Whether a unit of the group may go on the accelerator at all.
    fn admits(&self, slot: &Slot, group: usize) -> bool {
        let base = &self.catalog.models[self.catalog.groups[group].base];
        let agent = &self.board.agents[slot.agent];
        !slot.leaving && agent.pool == base.spec.pool && slot.unit(group).is_none()
    }

    /// Units that may be taken off, the cheapest first.
    fn movable(&self, slot: &Slot, force: Force) -> Vec<(f64, usize)> {
        let units = slot.units.iter().enumerate();
        let mut movable: Vec<(f64, usize)> = units
            .filter(|(_, unit)| self.may_go(unit, force))
            .map(|(index, unit)| (self.loss(unit), index))
            .collect();
        movable.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        movable
    }

    fn may_go(&self, unit: &Unit, force: Force) -> bool {
        if unit.outdated {
            return true;
        }
        // Taking off a load in progress would waste the store's budget.
        unit.base.is_loaded() && (force == Force::Any || !self.stays(unit))
    }

    /// Worth lost with a unit; the holders of a group count alike.
    fn loss(&self, unit: &Unit) -> f64 {
        if unit.outdated {
            return 0.0;
        }
        let group = &self.catalog.groups[unit.group];
        let held = self.places[unit.group];
        let less = held / f64::from(self.holders[unit.group].max(1));
        self.scale.loss(group, held, less)
    }

    fn rank(&self, group: usize, spot: &Spot, holders: &[usize]) -> Rank {
        let slot = &self.board.slots[spot.slot];
        let agent = &self.board.agents[slot.agent];
        let mut shared = [0u32; 2];
        for holder in holders {
            let beside = &self.board.agents[*holder];
            shared[0] += u32::from(beside.domain == agent.domain);
            shared[1] += u32::from(*holder == slot.agent);
        }
        Rank {
            loss: spot.loss,
            elsewhere: !slot.units.iter().any(|unit| unit.group == group),
            shared,
            places: self.places_on(slot, group, &spot.off),
            free_mib: slot.free_mib(),
        }
    }
}
