//! Planning cells: groups of agents that one entry plans together.

use base::prelude::*;
use conf::Config;
use live::{Agent, AgentDirectory, Liveness, ResidencyState};
use place::{AgentView, ResidentState, ResidentView};
use std::collections::BTreeMap;

/// Limit of agents in one planning cell.
const CELL_AGENTS_MAX: usize = 64;

/// Agents of engines in one pool and region, planned together.
///
/// A cell spans the failure domains of its region, so that one plan considers all
/// accelerators that can hold a model and spreads the replicas over the domains.
#[derive(Debug)]
pub(super) struct PlanningCell {
    /// Name; the entry that plans the cell is chosen by rendezvous hashing of it.
    pub(super) key: String,
    /// Pool of the agents.
    pub(super) pool: PoolId,
    /// Agents in order of name.
    pub(super) agents: Vec<AgentView>,
}

/// All planning cells, in order of pool and region.
pub(super) fn planning_cells(
    directory: &AgentDirectory,
    config: &Config,
) -> Vec<PlanningCell> {
    let mut groups: BTreeMap<(&str, &str), Vec<AgentView>> = BTreeMap::new();
    for agent in directory
        .agents()
        .filter(|agent| agent.liveness != Liveness::Lost)
    {
        let Some(pool) = config.pool(agent.pool.as_str()) else {
            continue;
        };
        if !pool.is_engine || !agent.upstream_up {
            continue;
        }
        let key = (agent.pool.as_str(), region(config, &agent.failure_domain));
        groups.entry(key).or_default().push(agent_view(agent));
    }
    let mut cells = Vec::new();
    for ((pool, region), agents) in groups {
        for (index, agents) in agents.chunks(CELL_AGENTS_MAX).enumerate() {
            cells.push(PlanningCell {
                key: format!("{pool}/{region}/{index}"),
                pool: PoolId::new(pool),
                agents: agents.to_vec(),
            });
        }
    }
    cells
}

/// Region of a failure domain; a domain without a configured region forms its own.
fn region<'a>(config: &'a Config, domain: &'a FailureDomainId) -> &'a str {
    let configured = config.fleet().failure_domains.get(domain.as_str());
    let configured = configured.filter(|domain| !domain.region.is_empty());
    configured.map_or(domain.as_str(), |domain| domain.region.as_str())
}

fn agent_view(agent: &Agent) -> AgentView {
    let residents = agent.residents.iter().map(|resident| ResidentView {
        model: resident.model.clone(),
        version: resident.version,
        accelerator: resident.accelerator,
        size_mib: resident.size_mib,
        state: match resident.state {
            ResidencyState::Loading => ResidentState::Loading,
            ResidencyState::Loaded => ResidentState::Loaded,
            ResidencyState::Unloading => ResidentState::Unloading,
        },
        since: resident.since,
    });
    AgentView {
        id: agent.id.clone(),
        domain: agent.failure_domain.clone(),
        pool: agent.pool.clone(),
        accelerators_mib: agent.accelerators_mib.clone(),
        residents: residents.collect(),
        leaving: agent.leaving(),
    }
}
