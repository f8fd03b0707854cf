//! Cells: the agents that one planner plans together.

use base::prelude::*;
use conf::Config;
use live::{Agent, Directory, Life, ResidencyState};
use place::{AgentView, ResidentState, ResidentView};
use std::collections::BTreeMap;

/// Agents in one cell at most.
const CELL_AGENTS_MAX: usize = 64;

/// Engines of one pool in one region that are planned together.
///
/// A cell spans the region's failure domains: one plan then sees all the room
/// there is for a model, and places its replicas apart.
#[derive(Debug)]
pub(super) struct PlanningCell {
    /// Name, the key of its planner's rank.
    pub(super) key: String,
    /// Pool.
    pub(super) pool: PoolId,
    /// Agents in order of name.
    pub(super) agents: Vec<AgentView>,
}

/// All cells of engines, in order of name.
pub(super) fn planning_cells(
    directory: &Directory,
    config: &Config,
) -> Vec<PlanningCell> {
    let mut groups: BTreeMap<(&str, &str), Vec<AgentView>> = BTreeMap::new();
    for agent in directory.agents().filter(|agent| agent.life != Life::Lost) {
        let Some(pool) = config.pool(agent.pool.as_str()) else {
            continue;
        };
        if !pool.engine || !agent.upstream_up {
            continue;
        }
        let key = (agent.pool.as_str(), region(config, &agent.domain));
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

/// Region of a failure domain; a domain without one is a region of its own.
fn region<'a>(config: &'a Config, domain: &'a DomainId) -> &'a str {
    let known = config.fleet().failure_domains.get(domain.as_str());
    let named = known.filter(|known| !known.region.is_empty());
    named.map_or(domain.as_str(), |known| known.region.as_str())
}

fn agent_view(agent: &Agent) -> AgentView {
    let residents = agent.residents.iter().map(|held| ResidentView {
        model: held.model.clone(),
        version: held.version,
        accelerator: held.accelerator,
        size_mib: held.size_mib,
        state: match held.state {
            ResidencyState::Loading => ResidentState::Loading,
            ResidencyState::Loaded => ResidentState::Loaded,
            ResidencyState::Unloading => ResidentState::Unloading,
        },
        since: held.since,
    });
    AgentView {
        id: agent.id.clone(),
        domain: agent.domain.clone(),
        pool: agent.pool.clone(),
        accelerators_mib: agent.accelerators_mib.clone(),
        residents: residents.collect(),
        leaving: agent.leaving(),
    }
}
