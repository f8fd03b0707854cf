//! All known agents, and which models they hold.

use base::prelude::*;
use schema::link::Heartbeat;
use std::collections::{BTreeMap, BTreeSet};

use crate::{Agent, Liveness, Residency, SilenceLimits};

/// Most agents kept, however many other entries relay.
const AGENTS_MAX: usize = 16_384;

/// A change of an agent that affects running or waiting requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentChange {
    /// The agent is silent or its link is down.
    Suspected(AgentId),
    /// The agent is considered dead.
    Lost(AgentId),
    /// The agent is heard again over a link that is up.
    Recovered(AgentId),
    /// The agent has begun to stop.
    Leaving(AgentId),
    /// A new incarnation of the agent has replaced the old one.
    Restarted(AgentId),
    /// The agent's upstream responds again.
    UpstreamUp(AgentId),
    /// The agent's upstream does not respond.
    UpstreamDown(AgentId),
    /// The models that the agent has loaded changed.
    ResidentsChanged(AgentId),
    /// The agent was removed from the directory.
    Removed(AgentId),
}

/// How a heartbeat was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// Over this entry's own link to the agent.
    Direct,
    /// Relayed by another entry.
    Relayed,
}

/// All known agents, indexed by name and by the models that they have loaded.
#[derive(Debug)]
pub struct AgentDirectory {
    silence_limits: SilenceLimits,
    agents: BTreeMap<AgentId, Agent>,
    holders: BTreeMap<ModelId, BTreeSet<AgentId>>,
}

impl AgentDirectory {
    /// Creates an empty directory.
    pub const fn new(silence_limits: SilenceLimits) -> Self {
        Self {
            silence_limits,
            agents: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    /// The silence limits in use.
    pub const fn silence_limits(&self) -> SilenceLimits {
        self.silence_limits
    }

    /// Sets the silence limits, after a change of configuration.
    pub const fn set_silence_limits(&mut self, silence_limits: SilenceLimits) {
        self.silence_limits = silence_limits;
    }

    /// Finds an agent.
    pub fn get(&self, id: &AgentId) -> Option<&Agent> {
        self.agents.get(id)
    }

    /// All agents, ordered by name.
    pub fn agents(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }

    /// Agents that have a model or adapter loaded, ordered by name, including
    /// those that may not be sent work.
    pub fn holders<'a>(&'a self, model: &str) -> impl Iterator<Item = &'a Agent> {
        let holders = self.holders.get(model).into_iter().flatten();
        holders.filter_map(|id| self.agents.get(id))
    }

    /// Whether an agent may be sent work now.
    pub fn usable(&self, now: Instant, agent: &Agent) -> bool {
        agent.usable(now, self.silence_limits)
    }

    /// Applies a heartbeat. Returns false if it is not newer than the last one, in
    /// which case at most the state of the link and the time when the agent was
    /// last heard change, or if the directory is full.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
        source: HeartbeatSource,
        changes: &mut Vec<AgentChange>,
    ) -> bool {
        let Some(agent) = self.get_or_insert(now, &heartbeat.agent) else {
            return false;
        };
        let incarnation = Incarnation(heartbeat.incarnation);
        if incarnation < agent.incarnation {
            return false;
        }
        let before = AgentSnapshot::of(agent);
        let restarted = incarnation > agent.incarnation;
        if restarted {
            let was_known = agent.incarnation.0 > 0;
            agent.restart(incarnation);
            if was_known {
                changes.push(AgentChange::Restarted(agent.id.clone()));
            }
        }
        // The same heartbeat arrives both directly and through each peer. The
        // direct copy shows that the link works even if a relayed one was
        // faster.
        if source == HeartbeatSource::Direct && heartbeat.sequence >= agent.sequence {
            agent.connected = true;
            agent.last_heard_directly_at = Some(now);
            agent.last_heard_at = now;
        }
        if !restarted && heartbeat.sequence <= agent.sequence {
            return false;
        }
        agent.apply_heartbeat(now, heartbeat);
        before.push_changes(agent, changes);
        let id = agent.id.clone();
        let affected = before.affected_models(&self.agents[&id].residents);
        self.update_index(&id, &affected);
        true
    }

    /// Records that the agent at the other end of a link sent its hello.
    pub fn link_up(
        &mut self,
        now: Instant,
        id: &AgentId,
        incarnation: Incarnation,
        changes: &mut Vec<AgentChange>,
    ) {
        let Some(agent) = self.get_or_insert(now, id.as_str()) else {
            return;
        };
        if incarnation > agent.incarnation {
            let was_known = agent.incarnation.0 > 0;
            let models: Vec<ModelId> = models_of(&agent.residents).cloned().collect();
            agent.restart(incarnation);
            if was_known {
                changes.push(AgentChange::Restarted(id.clone()));
            }
            self.remove_from_index(id, &models);
        }
        if let Some(agent) = self.agents.get_mut(id) {
            agent.connected = agent.incarnation == incarnation;
        }
    }

    /// Records that the link to an agent ended.
    pub fn link_down(&mut self, id: &AgentId) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.connected = false;
            agent.last_heard_directly_at = None;
        }
    }

    /// Records that an agent announced its shutdown.
    pub fn mark_leaving(
        &mut self,
        id: &AgentId,
        incarnation: Incarnation,
        changes: &mut Vec<AgentChange>,
    ) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        if agent.incarnation == incarnation && !agent.leaving() {
            agent.announce_leaving();
            changes.push(AgentChange::Leaving(id.clone()));
        }
    }

    /// Applies the platform's list of instances that are leaving.
    pub fn set_platform_leaving(
        &mut self,
        leaving: &BTreeSet<AgentId>,
        changes: &mut Vec<AgentChange>,
    ) {
        for (id, agent) in &mut self.agents {
            let before = agent.leaving();
            agent.platform_leaving = leaving.contains(id);
            if agent.leaving() && !before {
                changes.push(AgentChange::Leaving(id.clone()));
            }
        }
    }

    /// Records which agents another entry reports as silent. Replaces its
    /// earlier reports.
    pub fn record_silences(
        &mut self,
        now: Instant,
        by: &EntryId,
        reports: &[(AgentId, Incarnation)],
    ) {
        for agent in self.agents.values_mut() {
            agent.remove_silence_report_by(by);
        }
        for (id, incarnation) in reports {
            if let Some(agent) = self.agents.get_mut(id) {
                agent.add_silence_report(now, by, *incarnation);
            }
        }
    }

    /// Updates the liveness of all agents and removes those whose silence has
    /// reached the limit for removal. `only_entry` is true if no other entry is
    /// alive, so that no report of another entry is needed to consider an agent
    /// lost.
    pub fn tick(
        &mut self,
        now: Instant,
        only_entry: bool,
        changes: &mut Vec<AgentChange>,
    ) {
        let silence_limits = self.silence_limits;
        let mut forgotten = Vec::new();
        for (id, agent) in &mut self.agents {
            changes.extend(update_agent(now, silence_limits, only_entry, id, agent));
            if now.ms_since(agent.last_heard_at) >= silence_limits.forget_ms() {
                forgotten.push(id.clone());
            }
        }
        for id in forgotten {
            self.remove_agent(&id);
            changes.push(AgentChange::Removed(id));
        }
    }

    /// Updates the liveness of one agent, after a message of it or about it.
    ///
    /// Updating all agents for each heartbeat would cost time proportional to
    /// the square of their number. [`AgentDirectory::tick`] updates those that
    /// send nothing.
    pub fn update_liveness(
        &mut self,
        now: Instant,
        id: &AgentId,
        only_entry: bool,
        changes: &mut Vec<AgentChange>,
    ) {
        let silence_limits = self.silence_limits;
        if let Some(agent) = self.agents.get_mut(id) {
            changes.extend(update_agent(now, silence_limits, only_entry, id, agent));
        }
    }

    /// When the liveness of an agent may change if nothing more is heard.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let agents = self.agents.values();
        agents
            .filter_map(|agent| agent.next_liveness_change(now, self.silence_limits))
            .min()
    }

    fn get_or_insert(&mut self, now: Instant, id: &str) -> Option<&mut Agent> {
        if id.is_empty() {
            return None;
        }
        if !self.agents.contains_key(id) && self.agents.len() >= AGENTS_MAX {
            return None;
        }
        let id = AgentId::new(id);
        let agent = self.agents.entry(id.clone());
        Some(agent.or_insert_with(|| Agent::new(id, now)))
    }

    fn remove_agent(&mut self, id: &AgentId) {
        let Some(agent) = self.agents.remove(id) else {
            return;
        };
        let models: Vec<ModelId> = models_of(&agent.residents).cloned().collect();
        self.remove_from_index(id, &models);
    }

    fn update_index(&mut self, id: &AgentId, models: &[ModelId]) {
        self.remove_from_index(id, models);
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let loaded = models_of(&agent.residents);
        for model in
            loaded.filter(|model| agent.loaded_version(model.as_str()).is_some())
        {
            let holders = self.holders.entry(model.clone()).or_default();
            holders.insert(id.clone());
        }
    }

    fn remove_from_index(&mut self, id: &AgentId, models: &[ModelId]) {
        for model in models {
            if let Some(holders) = self.holders.get_mut(model) {
                holders.remove(id);
                if holders.is_empty() {
                    self.holders.remove(model);
                }
            }
        }
    }
}

/// State of an agent before a heartbeat is applied.
struct AgentSnapshot {
    leaving: bool,
    upstream_up: bool,
    loaded: BTreeSet<(ModelId, u32)>,
    all_models: BTreeSet<ModelId>,
}

impl AgentSnapshot {
    fn of(agent: &Agent) -> Self {
        Self {
            leaving: agent.leaving(),
            upstream_up: agent.upstream_up,
            loaded: loaded_versions(agent),
            all_models: models_of(&agent.residents).cloned().collect(),
        }
    }

    fn push_changes(&self, agent: &Agent, changes: &mut Vec<AgentChange>) {
        if agent.leaving() && !self.leaving {
            changes.push(AgentChange::Leaving(agent.id.clone()));
        }
        if agent.upstream_up && !self.upstream_up {
            changes.push(AgentChange::UpstreamUp(agent.id.clone()));
        }
        if !agent.upstream_up && self.upstream_up {
            changes.push(AgentChange::UpstreamDown(agent.id.clone()));
        }
        if loaded_versions(agent) != self.loaded {
            changes.push(AgentChange::ResidentsChanged(agent.id.clone()));
        }
    }

    /// Models whose index entries may have to change.
    fn affected_models(&self, current: &[Residency]) -> Vec<ModelId> {
        let models = self.all_models.iter().chain(models_of(current));
        models.cloned().collect()
    }
}

fn loaded_versions(agent: &Agent) -> BTreeSet<(ModelId, u32)> {
    let residents = agent.residents.iter();
    residents
        .filter(|resident| resident.state == crate::ResidencyState::Loaded)
        .map(|resident| (resident.model.clone(), resident.version))
        .collect()
}

fn models_of(residents: &[Residency]) -> impl Iterator<Item = &ModelId> {
    residents.iter().map(|resident| &resident.model)
}

/// Updates the liveness of an agent and returns the change, if any.
fn update_agent(
    now: Instant,
    silence_limits: SilenceLimits,
    only_entry: bool,
    id: &AgentId,
    agent: &mut Agent,
) -> Option<AgentChange> {
    let liveness = agent.assess_liveness(now, silence_limits, only_entry);
    if liveness == agent.liveness {
        return None;
    }
    agent.liveness = liveness;
    Some(match liveness {
        Liveness::Up => AgentChange::Recovered(id.clone()),
        Liveness::Suspected => AgentChange::Suspected(id.clone()),
        Liveness::Lost => AgentChange::Lost(id.clone()),
    })
}
