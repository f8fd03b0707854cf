//! Chooses the units of a cell by their worth.

use crate::board::{Board, Held, Slot, Unit};
use crate::budget::Allowance;
use crate::catalog::Catalog;
pub(crate) use crate::spot::Spot;
use crate::types::{PlacementReason, PlanInput, PlanNote};
use crate::worth::Scale;

/// Whom a new unit may displace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Force {
    /// Units after their minimum residence.
    Residence,
    /// Any loaded unit.
    Any,
}

/// One plan in the making.
#[derive(Debug)]
pub(crate) struct Choice<'a, 'b> {
    /// What the plan depends on.
    pub(crate) input: &'b PlanInput<'a>,
    /// Models and their demand.
    pub(crate) catalog: &'b Catalog<'a>,
    /// What is wanted so far.
    pub(crate) board: Board<'a>,
    /// Loads that may still start.
    pub(crate) allowance: &'b mut Allowance,
    /// Weighs gains and losses.
    pub(crate) scale: Scale,
    /// What operators may ask about.
    pub(crate) notes: Vec<PlanNote>,
    /// Units of each group, of the present version, on instances that stay.
    pub(crate) holders: Vec<u32>,
    /// Places that the holders of each group have for it.
    pub(crate) places: Vec<f64>,
    /// Groups that are worth a unit once the store's budget allows it.
    pub(crate) delayed: Vec<bool>,
    /// Groups with units on leaving instances or of old versions.
    ending: Vec<Ending>,
}

/// Units of a group that can't take new work.
#[derive(Debug, Clone, Copy, Default)]
struct Ending {
    leaving: bool,
    outdated: bool,
}

impl<'a, 'b> Choice<'a, 'b> {
    /// Starts from what is wanted already.
    pub(crate) fn new(
        input: &'b PlanInput<'a>,
        catalog: &'b Catalog<'a>,
        board: Board<'a>,
        allowance: &'b mut Allowance,
    ) -> Self {
        let load_s = f64::from(input.config.store().load_time_ms) / 1_000.0;
        let groups = catalog.groups.len();
        let mut choice = Self {
            scale: Scale::new(input.config.weights(), load_s),
            input,
            catalog,
            board,
            allowance,
            notes: Vec::new(),
            holders: vec![0; groups],
            places: vec![0.0; groups],
            delayed: vec![false; groups],
            ending: vec![Ending::default(); groups],
        };
        for slot in &choice.board.slots {
            for unit in &slot.units {
                let ending = &mut choice.ending[unit.group];
                ending.leaving |= slot.leaving;
                ending.outdated |= unit.outdated;
                if !slot.leaving && !unit.outdated {
                    choice.holders[unit.group] += 1;
                }
            }
        }
        for slot in choice.board.slots.iter().filter(|slot| !slot.leaving) {
            for unit in slot.units.iter().filter(|unit| !unit.outdated) {
                choice.places[unit.group] += choice.places_on(slot, unit.group, &[]);
            }
        }
        choice
    }

    /// Places an accelerator has for a group beside what else it holds.
    ///
    /// The groups on one accelerator share its places. Each is counted with its
    /// part of its own demand, and a group has at least an even share.
    pub(crate) fn places_on(&self, slot: &Slot, group: usize, off: &[usize]) -> f64 {
        let places = self.catalog.groups[group].places;
        let mut units = 1.0;
        let mut taken = 0.0;
        for (index, unit) in slot.units.iter().enumerate() {
            if unit.group == group || unit.outdated || off.contains(&index) {
                continue;
            }
            units += 1.0;
            let holders = f64::from(self.holders[unit.group].max(1));
            taken += self.catalog.groups[unit.group].needed_places() / holders;
        }
        (places - taken).max(places / units)
    }

    /// The board and the notes.
    pub(crate) fn finish(self) -> (Board<'a>, Vec<PlanNote>) {
        (self.board, self.notes)
    }

    /// Adds units in the order of their worth while a move pays.
    ///
    /// Only a group whose gain is above the least loss anywhere looks at every
    /// accelerator, and only while the store's budget is open. So the cost is
    /// that of the sort, n log n over the groups, and of one pass over the
    /// accelerators for each load of the plan and each group in between.
    pub(crate) fn by_worth(&mut self) {
        let mut gains: Vec<(f64, usize)> = (0..self.catalog.groups.len())
            .filter(|group| self.catalog.groups[*group].work.any())
            .map(|group| (self.next_gain(group), group))
            .filter(|(gain, _)| *gain > 0.0)
            .collect();
        gains.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let largest_mib = self.largest_mib();
        let mut least_loss = self.least_loss();
        for (_, group) in gains {
            if self.base_size(group) > largest_mib {
                self.note_missing(group, PlacementReason::NoRoom);
                continue;
            }
            while self.grow(group, least_loss) {
                least_loss = self.least_loss();
            }
        }
    }

    /// Worth of one more unit that has an accelerator for itself.
    fn next_gain(&self, group: usize) -> f64 {
        let known = &self.catalog.groups[group];
        self.scale.gain(known, self.places[group], known.places)
    }

    /// Worth of one more unit in a certain place.
    fn gain_at(&self, group: usize, spot: &Spot) -> f64 {
        let slot = &self.board.slots[spot.slot];
        let more = self.places_on(slot, group, &spot.off);
        let known = &self.catalog.groups[group];
        self.scale.gain(known, self.places[group], more)
    }

    /// Adds one unit if it is worth it.
    fn grow(&mut self, group: usize, least_loss: f64) -> bool {
        let gain = self.next_gain(group);
        if gain <= 0.0 {
            return false;
        }
        if !self.is_worth(group, gain, least_loss) {
            return self.omit(group, PlacementReason::NotWorthMove);
        }
        if !self.allowance.open() {
            self.delayed[group] = true;
            return self.omit(group, PlacementReason::StoreBudget);
        }
        let Some(spot) = self.spot(group, Force::Residence) else {
            return self.omit(group, PlacementReason::NoRoom);
        };
        if !self.is_worth(group, self.gain_at(group, &spot), spot.loss) {
            return self.omit(group, PlacementReason::NotWorthMove);
        }
        let reason = self.reason(group, &spot);
        self.add(group, &spot, reason);
        true
    }

    fn is_worth(&self, group: usize, gain: f64, loss: f64) -> bool {
        if self.has_to_move(group) {
            self.scale.worth_loss(gain, loss)
        } else {
            self.scale.worth_move(gain, loss)
        }
    }

    /// Notes why a group does not grow.
    fn omit(&mut self, group: usize, reason: PlacementReason) -> bool {
        self.note_missing(group, reason);
        false
    }

    /// Whether the group is held, but only where it can't take new work.
    ///
    /// The price of a move is not weighed then: it is the operators' own step
    /// that makes the move, and without it a held model would become a waiting
    /// one.
    fn has_to_move(&self, group: usize) -> bool {
        let ending = self.ending[group];
        self.holders[group] == 0 && (ending.leaving || ending.outdated)
    }

    fn reason(&self, group: usize, spot: &Spot) -> PlacementReason {
        let ending = self.ending[group];
        if self.holders[group] == 0 && ending.outdated {
            return PlacementReason::NewVersion;
        }
        if self.holders[group] == 0 && ending.leaving {
            return PlacementReason::Leaving;
        }
        if self.holders[group] > 0 {
            let domain = |slot: &Slot| &self.board.agents[slot.agent].domain;
            let here = domain(&self.board.slots[spot.slot]);
            let mut holders = self.board.slots.iter();
            let near = holders.any(|slot| {
                !slot.leaving && slot.unit(group).is_some() && domain(slot) == here
            });
            return if near {
                PlacementReason::Replica
            } else {
                PlacementReason::Spread
            };
        }
        let base = &self.catalog.models[self.catalog.groups[group].base];
        if base.work.any() {
            PlacementReason::Demand
        } else {
            PlacementReason::BaseOfAdapter
        }
    }

    /// Whether a model is within its minimum residence.
    pub(crate) fn is_young(&self, held: &Held) -> bool {
        let least_ms = self.input.config.weights().min_residence_ms;
        !held.is_loaded() || self.input.now.ms_since(held.since) < u64::from(least_ms)
    }

    /// Whether a unit has to stay: its base or an adapter is still young.
    ///
    /// An adapter that comes beside a base keeps the base. Otherwise a base
    /// with a turn would be displaced as its adapters arrive, and work for the
    /// adapters would wait for ever while the base is loaded again and again.
    pub(crate) fn stays(&self, unit: &Unit) -> bool {
        let mut adapters = unit.adapters.iter();
        self.is_young(&unit.base) || adapters.any(|held| self.is_young(held))
    }

    /// Whether an instance that stays holds, or will hold, an adapter.
    pub(crate) fn holds_adapter(&self, adapter: usize) -> bool {
        let group = self.catalog.models[adapter].group;
        let slots = self.board.slots.iter().filter(|slot| !slot.leaving);
        let mut units = slots.filter_map(|slot| slot.unit(group));
        units.any(|unit| unit.adapters.iter().any(|held| held.model == adapter))
    }

    /// Wants a unit.
    pub(crate) fn add(&mut self, group: usize, spot: &Spot, reason: PlacementReason) {
        for unit in &spot.off {
            self.take_off(spot.slot, *unit);
        }
        let more = self.places_on(&self.board.slots[spot.slot], group, &[]);
        self.places[group] += more;
        let base = self.catalog.groups[group].base;
        let spec = self.catalog.models[base].spec;
        self.board.slots[spot.slot].units.push(Unit {
            group,
            base: Held {
                model: base,
                version: spec.version,
                size_mib: spec.size_mib,
                state: None,
                since: self.input.now,
                reason,
            },
            adapters: Vec::new(),
            outdated: false,
        });
        self.holders[group] += 1;
        self.allowance.take();
    }

    /// Wants a unit no longer.
    pub(crate) fn take_off(&mut self, slot: usize, unit: usize) {
        let unit = self.board.slots[slot].units.remove(unit);
        if unit.outdated {
            return;
        }
        if !self.board.slots[slot].leaving {
            let less = self.places_on(&self.board.slots[slot], unit.group, &[]);
            self.places[unit.group] = (self.places[unit.group] - less).max(0.0);
            self.holders[unit.group] -= 1;
        }
        self.note_base(unit.group, PlacementReason::Displaced);
    }

    /// Memory of a group's base.
    pub(crate) fn base_size(&self, group: usize) -> u64 {
        let base = self.catalog.groups[group].base;
        u64::from(self.catalog.models[base].spec.size_mib)
    }

    /// Notes something of a model.
    pub(crate) fn note(&mut self, model: usize, reason: PlacementReason) {
        self.notes.push(PlanNote {
            model: self.catalog.models[model].spec.id.clone(),
            reason,
        });
    }

    /// Notes something of a group's base.
    pub(crate) fn note_base(&mut self, group: usize, reason: PlacementReason) {
        self.note(self.catalog.groups[group].base, reason);
    }

    /// Notes a group that nothing holds.
    fn note_missing(&mut self, group: usize, reason: PlacementReason) {
        if self.holders[group] == 0 {
            self.note_base(group, reason);
        }
    }
}
