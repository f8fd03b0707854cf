//! Accelerators of a cell and the models that a plan wants on them.

use base::prelude::*;

use crate::catalog::Catalog;
use crate::types::{AgentView, PlacementReason, ResidentState, ResidentView};

/// Multiple of a load's duration at full speed beyond which it counts as slow.
const SLOW_LOAD_FACTOR: u64 = 2;

/// Number of loads in progress in a cell.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadCounts {
    /// All loads in progress or ordered.
    pub(crate) in_progress: u32,
    /// Loads that take much longer than at full speed.
    pub(crate) slow: u32,
}

/// One model or adapter wanted on an accelerator.
#[derive(Debug, Clone)]
pub(crate) struct PlannedModel {
    /// Index of the model.
    pub(crate) model: usize,
    /// Wanted version.
    pub(crate) version: u32,
    /// Memory that it occupies.
    pub(crate) size_mib: u32,
    /// Reported loading state; `None` for a load that no heartbeat has shown yet.
    pub(crate) state: Option<ResidentState>,
    /// When it entered this state.
    pub(crate) since: Instant,
    /// Why it is wanted.
    pub(crate) reason: PlacementReason,
}

impl PlannedModel {
    /// Whether the model can serve requests.
    pub(crate) fn is_loaded(&self) -> bool {
        self.state == Some(ResidentState::Loaded)
    }
}

/// One group on one accelerator.
#[derive(Debug, Clone)]
pub(crate) struct Replica {
    /// Index of the group.
    pub(crate) group: usize,
    /// Base model.
    pub(crate) base: PlannedModel,
    /// Adapters next to the base model.
    pub(crate) adapters: Vec<PlannedModel>,
    /// Whether the base model has a version that no longer receives requests.
    pub(crate) outdated: bool,
}

impl Replica {
    /// Whether requests can be sent to the base model.
    pub(crate) fn serves(&self) -> bool {
        !self.outdated && self.base.is_loaded()
    }

    /// Memory of the base model and its adapters.
    pub(crate) fn size_mib(&self) -> u64 {
        let adapters = self.adapters.iter();
        u64::from(self.base.size_mib)
            + adapters
                .map(|planned| u64::from(planned.size_mib))
                .sum::<u64>()
    }
}

/// One accelerator.
#[derive(Debug)]
pub(crate) struct Accelerator {
    /// Index of the agent.
    pub(crate) agent: usize,
    /// Index of the accelerator on its instance.
    pub(crate) index: u32,
    /// Total memory.
    pub(crate) capacity_mib: u64,
    /// Memory of models that are being unloaded or still have to be.
    pub(crate) unloading_mib: u64,
    /// Whether the instance is shutting down.
    pub(crate) leaving: bool,
    /// Groups wanted on the accelerator.
    pub(crate) replicas: Vec<Replica>,
}

impl Accelerator {
    /// Memory that is occupied neither by wanted models nor by those to be
    /// unloaded.
    pub(crate) fn free_mib(&self) -> u64 {
        self.capacity_mib
            .saturating_sub(self.wanted_mib() + self.unloading_mib)
    }

    /// Memory of all wanted models.
    pub(crate) fn wanted_mib(&self) -> u64 {
        self.replicas.iter().map(Replica::size_mib).sum()
    }

    /// All wanted models: each base model followed by its adapters.
    pub(crate) fn models(&self) -> impl Iterator<Item = &PlannedModel> {
        let replicas = self.replicas.iter();
        replicas
            .flat_map(|replica| std::iter::once(&replica.base).chain(&replica.adapters))
    }

    /// Returns the replica that adapters of a group belong to: the one of the
    /// current version, or an outdated one as long as there is no other.
    pub(crate) fn adapter_host(&mut self, group: usize) -> Option<&mut Replica> {
        let of_group = |replica: &Replica| replica.group == group;
        let current = |replica: &Replica| of_group(replica) && !replica.outdated;
        let index = self.replicas.iter().position(current);
        let index = index.or_else(|| self.replicas.iter().position(of_group));
        index.map(|index| &mut self.replicas[index])
    }

    /// Stops wanting a model that an earlier plan removed; its memory stays
    /// occupied until it has been unloaded.
    pub(crate) fn mark_unloading(&mut self, model: usize) {
        let before = self.wanted_mib();
        self.replicas.retain(|replica| replica.base.model != model);
        for replica in &mut self.replicas {
            replica.adapters.retain(|planned| planned.model != model);
        }
        self.unloading_mib += before - self.wanted_mib();
    }

    /// Returns the replica of a group whose version receives requests.
    pub(crate) fn current_replica(&self, group: usize) -> Option<&Replica> {
        let mut replicas = self.replicas.iter();
        replicas.find(|replica| replica.group == group && !replica.outdated)
    }
}

/// Accelerators of a cell.
#[derive(Debug)]
pub(crate) struct CellState<'a> {
    /// Agents, sorted by name.
    pub(crate) agents: &'a [AgentView],
    /// Accelerators, sorted by agent and index.
    pub(crate) accelerators: Vec<Accelerator>,
}

impl<'a> CellState<'a> {
    /// Builds the state that the agents report; models being unloaded only count by
    /// their memory.
    pub(crate) fn new(agents: &'a [AgentView], catalog: &Catalog<'_>) -> Self {
        let mut accelerators = Vec::new();
        for (index, agent) in agents.iter().enumerate() {
            for (accelerator, capacity_mib) in (0u32..).zip(&agent.accelerators_mib) {
                accelerators.push(reported_accelerator(
                    agent,
                    index,
                    accelerator,
                    *capacity_mib,
                    catalog,
                ));
            }
        }
        Self {
            agents,
            accelerators,
        }
    }

    /// Counts the loads in progress and the slow ones among them.
    pub(crate) fn loads_in_progress(
        &self,
        now: Instant,
        load_time_ms: u32,
    ) -> LoadCounts {
        let slow_ms = u64::from(load_time_ms) * SLOW_LOAD_FACTOR;
        let mut loads = LoadCounts::default();
        for planned in self.accelerators.iter().flat_map(Accelerator::models) {
            loads.in_progress += u32::from(!planned.is_loaded());
            let age_ms = now.ms_since(planned.since);
            let slow =
                planned.state == Some(ResidentState::Loading) && age_ms > slow_ms;
            loads.slow += u32::from(slow);
        }
        loads
    }

    /// Returns the position of an accelerator in `accelerators`.
    pub(crate) fn accelerator_index(
        &self,
        agent: &AgentId,
        index: u32,
    ) -> Option<usize> {
        let agent = self
            .agents
            .binary_search_by(|view| view.id.cmp(agent))
            .ok()?;
        self.accelerators
            .binary_search_by_key(&(agent, index), |accelerator| {
                (accelerator.agent, accelerator.index)
            })
            .ok()
    }
}

fn reported_accelerator(
    agent: &AgentView,
    agent_index: usize,
    index: u32,
    capacity_mib: u32,
    catalog: &Catalog<'_>,
) -> Accelerator {
    let residents_here = || {
        let all = agent.residents.iter();
        all.filter(move |resident| resident.accelerator == index)
    };
    let mut accelerator = Accelerator {
        agent: agent_index,
        index,
        capacity_mib: u64::from(capacity_mib),
        unloading_mib: 0,
        leaving: agent.leaving,
        replicas: Vec::new(),
    };
    for resident in residents_here() {
        match configured_model(resident, catalog) {
            Some(model) if catalog.models[model].spec.base.is_none() => {
                accelerator
                    .replicas
                    .push(reported_replica(model, resident, catalog));
            }
            Some(_) => {}
            None => accelerator.unloading_mib += u64::from(resident.size_mib),
        }
    }
    for resident in residents_here() {
        let Some(model) = configured_model(resident, catalog) else {
            continue;
        };
        if catalog.models[model].spec.base.is_none() {
            continue;
        }
        let current = catalog.models[model].spec.version == resident.version;
        let group = catalog.models[model].group;
        let host = accelerator.adapter_host(group);
        match host {
            Some(host) if current => {
                host.adapters.push(reported_model(model, resident));
            }
            _ => accelerator.unloading_mib += u64::from(resident.size_mib),
        }
    }
    accelerator
}

/// Returns the index of a resident's model, unless it is being unloaded or no
/// longer configured.
fn configured_model(resident: &ResidentView, catalog: &Catalog<'_>) -> Option<usize> {
    if resident.state == ResidentState::Unloading {
        return None;
    }
    let model = catalog.find(resident.model.as_str())?;
    catalog
        .groups
        .get(catalog.models[model].group)
        .map(|_| model)
}

fn reported_replica(
    model: usize,
    resident: &ResidentView,
    catalog: &Catalog<'_>,
) -> Replica {
    Replica {
        group: catalog.models[model].group,
        base: reported_model(model, resident),
        adapters: Vec::new(),
        outdated: catalog.models[model].spec.version != resident.version,
    }
}

fn reported_model(model: usize, resident: &ResidentView) -> PlannedModel {
    PlannedModel {
        model,
        version: resident.version,
        size_mib: resident.size_mib,
        state: Some(resident.state),
        since: resident.since,
        reason: PlacementReason::Kept,
    }
}
