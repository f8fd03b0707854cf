//! The accelerators of a cell and what a plan wants on them.

use base::prelude::*;

use crate::catalog::Catalog;
use crate::types::{AgentView, PlacementReason, ResidentState, ResidentView};

/// Times its duration at full speed after which a load counts as slow.
const SLOW_FACTOR: u64 = 2;

/// Loads in progress in a cell.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Loading {
    /// All of them.
    pub(crate) all: u32,
    /// Those that take much longer than at full speed.
    pub(crate) slow: u32,
}

/// One model or adapter wanted on an accelerator.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    /// Index of the model.
    pub(crate) model: usize,
    /// Version wanted.
    pub(crate) version: u32,
    /// Memory it takes.
    pub(crate) size_mib: u32,
    /// Its place in life; none while its order is still to be seen.
    pub(crate) state: Option<ResidentState>,
    /// When the state was entered.
    pub(crate) since: Instant,
    /// Why it is wanted.
    pub(crate) reason: PlacementReason,
}

impl Held {
    /// Whether the model can serve.
    pub(crate) fn is_loaded(&self) -> bool {
        self.state == Some(ResidentState::Loaded)
    }
}

/// One group on one accelerator.
#[derive(Debug, Clone)]
pub(crate) struct Unit {
    /// Index of the group.
    pub(crate) group: usize,
    /// The base model.
    pub(crate) base: Held,
    /// Adapters beside it.
    pub(crate) adapters: Vec<Held>,
    /// The base is of a version that no request is sent to any more.
    pub(crate) outdated: bool,
}

impl Unit {
    /// Whether requests can be sent to the base.
    pub(crate) fn serves(&self) -> bool {
        !self.outdated && self.base.is_loaded()
    }

    /// Memory of the base and its adapters.
    pub(crate) fn size_mib(&self) -> u64 {
        let adapters = self.adapters.iter();
        u64::from(self.base.size_mib)
            + adapters.map(|held| u64::from(held.size_mib)).sum::<u64>()
    }
}

/// One accelerator.
#[derive(Debug)]
pub(crate) struct Slot {
    /// Index of the agent.
    pub(crate) agent: usize,
    /// Index on the instance.
    pub(crate) accelerator: u32,
    /// Memory.
    pub(crate) capacity_mib: u64,
    /// Memory of what is being unloaded, or has to be, and is not wanted.
    pub(crate) going_mib: u64,
    /// The instance is leaving.
    pub(crate) leaving: bool,
    /// Groups wanted here.
    pub(crate) units: Vec<Unit>,
}

impl Slot {
    /// Memory that nothing wanted and nothing on its way out takes.
    pub(crate) fn free_mib(&self) -> u64 {
        self.capacity_mib
            .saturating_sub(self.wanted_mib() + self.going_mib)
    }

    /// Memory of everything wanted.
    pub(crate) fn wanted_mib(&self) -> u64 {
        self.units.iter().map(Unit::size_mib).sum()
    }

    /// Everything wanted: each base, then its adapters.
    pub(crate) fn held(&self) -> impl Iterator<Item = &Held> {
        let units = self.units.iter();
        units.flat_map(|unit| std::iter::once(&unit.base).chain(&unit.adapters))
    }

    /// The unit that a group's adapters belong to: of the present version, or of
    /// an old one until that is there.
    pub(crate) fn unit_for(&mut self, group: usize) -> Option<&mut Unit> {
        let of_group = |unit: &Unit| unit.group == group;
        let present = |unit: &Unit| of_group(unit) && !unit.outdated;
        let index = self.units.iter().position(present);
        let index = index.or_else(|| self.units.iter().position(of_group));
        index.map(|index| &mut self.units[index])
    }

    /// Takes off a model that an earlier plan took off; its memory stays taken.
    pub(crate) fn going(&mut self, model: usize) {
        let before = self.wanted_mib();
        self.units.retain(|unit| unit.base.model != model);
        for unit in &mut self.units {
            unit.adapters.retain(|held| held.model != model);
        }
        self.going_mib += before - self.wanted_mib();
    }

    /// The unit of a group, of the version that requests are sent to.
    pub(crate) fn unit(&self, group: usize) -> Option<&Unit> {
        let mut units = self.units.iter();
        units.find(|unit| unit.group == group && !unit.outdated)
    }
}

/// The accelerators of a cell.
#[derive(Debug)]
pub(crate) struct Board<'a> {
    /// Agents, in order of name.
    pub(crate) agents: &'a [AgentView],
    /// Accelerators, in order of agent and index.
    pub(crate) slots: Vec<Slot>,
}

impl<'a> Board<'a> {
    /// The residency as the agents report it, without what is on its way out.
    pub(crate) fn new(agents: &'a [AgentView], catalog: &Catalog<'_>) -> Self {
        let mut slots = Vec::new();
        for (index, agent) in agents.iter().enumerate() {
            for (accelerator, capacity) in (0u32..).zip(&agent.accelerators_mib) {
                slots.push(slot(agent, index, accelerator, *capacity, catalog));
            }
        }
        Self { agents, slots }
    }

    /// Loads in progress, and how many of them take much longer than they should.
    pub(crate) fn loading(&self, now: Instant, load_time_ms: u32) -> Loading {
        let slow_ms = u64::from(load_time_ms) * SLOW_FACTOR;
        let mut loading = Loading::default();
        for held in self.slots.iter().flat_map(Slot::held) {
            loading.all += u32::from(!held.is_loaded());
            let age_ms = now.ms_since(held.since);
            let slow = held.state == Some(ResidentState::Loading) && age_ms > slow_ms;
            loading.slow += u32::from(slow);
        }
        loading
    }

    /// Finds an accelerator.
    pub(crate) fn slot_index(
        &self,
        agent: &AgentId,
        accelerator: u32,
    ) -> Option<usize> {
        let agent = self
            .agents
            .binary_search_by(|view| view.id.cmp(agent))
            .ok()?;
        self.slots
            .binary_search_by_key(&(agent, accelerator), |slot| {
                (slot.agent, slot.accelerator)
            })
            .ok()
    }
}

fn slot(
    agent: &AgentView,
    index: usize,
    accelerator: u32,
    capacity_mib: u32,
    catalog: &Catalog<'_>,
) -> Slot {
    let here = || {
        let all = agent.residents.iter();
        all.filter(move |resident| resident.accelerator == accelerator)
    };
    let mut slot = Slot {
        agent: index,
        accelerator,
        capacity_mib: u64::from(capacity_mib),
        going_mib: 0,
        leaving: agent.leaving,
        units: Vec::new(),
    };
    for resident in here() {
        match known(resident, catalog) {
            Some(model) if catalog.models[model].spec.base.is_none() => {
                slot.units.push(unit(model, resident, catalog));
            }
            Some(_) => {}
            None => slot.going_mib += u64::from(resident.size_mib),
        }
    }
    for resident in here() {
        let Some(model) = known(resident, catalog) else {
            continue;
        };
        if catalog.models[model].spec.base.is_none() {
            continue;
        }
        let current = catalog.models[model].spec.version == resident.version;
        let group = catalog.models[model].group;
        let base = slot.unit_for(group);
        match base {
            Some(base) if current => base.adapters.push(held(model, resident)),
            _ => slot.going_mib += u64::from(resident.size_mib),
        }
    }
    slot
}

/// The model of a resident that stays, if the configuration still has it.
fn known(resident: &ResidentView, catalog: &Catalog<'_>) -> Option<usize> {
    if resident.state == ResidentState::Unloading {
        return None;
    }
    let model = catalog.find(resident.model.as_str())?;
    catalog
        .groups
        .get(catalog.models[model].group)
        .map(|_| model)
}

fn unit(model: usize, resident: &ResidentView, catalog: &Catalog<'_>) -> Unit {
    Unit {
        group: catalog.models[model].group,
        base: held(model, resident),
        adapters: Vec::new(),
        outdated: catalog.models[model].spec.version != resident.version,
    }
}

fn held(model: usize, resident: &ResidentView) -> Held {
    Held {
        model,
        version: resident.version,
        size_mib: resident.size_mib,
        state: Some(resident.state),
        since: resident.since,
        reason: PlacementReason::Kept,
    }
}
