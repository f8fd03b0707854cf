//! All agents that are known, and which of them hold what.

use base::prelude::*;
use schema::link::Heartbeat;
use std::collections::{BTreeMap, BTreeSet};

use crate::{Agent, Liveness, Residency, SilenceLimits};

/// Agents kept at most, whatever peers relay.
const AGENTS_MAX: usize = 16_384;

/// Something that changed and matters to work in flight or waiting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentChange {
    /// It is silent or its link is down.
    Suspected(AgentId),
    /// It is given up.
    Lost(AgentId),
    /// It is heard again.
    Recovered(AgentId),
    /// It began to leave.
    Leaving(AgentId),
    /// A new run of the agent took the place of the old one.
    Restarted(AgentId),
    /// Its upstream answers again.
    UpstreamUp(AgentId),
    /// Its upstream does not answer.
    UpstreamDown(AgentId),
    /// What it can serve changed.
    ResidentsChanged(AgentId),
    /// It was forgotten.
    Removed(AgentId),
}

/// How a heartbeat came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// Over this entry's own link.
    Direct,
    /// Through another entry.
    Relayed,
}

/// The agents.
#[derive(Debug)]
pub struct AgentDirectory {
    silence_limits: SilenceLimits,
    agents: BTreeMap<AgentId, Agent>,
    holders: BTreeMap<ModelId, BTreeSet<AgentId>>,
}

impl AgentDirectory {
    /// An empty directory.
    pub const fn new(silence_limits: SilenceLimits) -> Self {
        Self {
            silence_limits,
            agents: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    /// Bounds on silence in use.
    pub const fn silence_limits(&self) -> SilenceLimits {
        self.silence_limits
    }

    /// Changes the bounds on silence, as a new configuration may.
    pub const fn set_silence_limits(&mut self, silence_limits: SilenceLimits) {
        self.silence_limits = silence_limits;
    }

    /// Finds an agent.
    pub fn get(&self, id: &AgentId) -> Option<&Agent> {
        self.agents.get(id)
    }

    /// Agents in order of name.
    pub fn agents(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }

    /// Agents that have a model or adapter loaded, in order of name, whether
    /// they may be sent work or not.
    pub fn holders<'a>(&'a self, model: &str) -> impl Iterator<Item = &'a Agent> {
        let held = self.holders.get(model).into_iter().flatten();
        held.filter_map(|id| self.agents.get(id))
    }

    /// Whether an agent may be sent work now.
    pub fn usable(&self, now: Instant, agent: &Agent) -> bool {
        agent.usable(now, self.silence_limits)
    }

    /// Takes a heartbeat; an old one changes nothing.
    ///
    /// Returns whether it was news.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
        heard: HeartbeatSource,
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
        // The same heartbeat comes both directly and through each peer. The
        // direct copy still shows that the link works.
        if heard == HeartbeatSource::Direct && heartbeat.sequence >= agent.sequence {
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
        let gone = before.affected_models(&self.agents[&id].residents);
        self.update_index(&id, &gone);
        true
    }

    /// Notes that the far end of a link said hello.
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
            let held: Vec<ModelId> = models_of(&agent.residents).cloned().collect();
            agent.restart(incarnation);
            if was_known {
                changes.push(AgentChange::Restarted(id.clone()));
            }
            self.remove_from_index(id, &held);
        }
        if let Some(agent) = self.agents.get_mut(id) {
            agent.connected = agent.incarnation == incarnation;
        }
    }

    /// Notes that a link ended.
    pub fn link_down(&mut self, id: &AgentId) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.connected = false;
            agent.last_heard_directly_at = None;
        }
    }

    /// An agent said that it stops.
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

    /// Takes the platform's word on which instances are leaving.
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

    /// Takes all that another entry says about silences, in place of what it
    /// said before.
    pub fn record_silences(
        &mut self,
        now: Instant,
        by: &EntryId,
        said: &[(AgentId, Incarnation)],
    ) {
        for agent in self.agents.values_mut() {
            agent.remove_silence_report_of(by);
        }
        for (id, incarnation) in said {
            if let Some(agent) = self.agents.get_mut(id) {
                agent.add_silence_report(now, by, *incarnation);
            }
        }
    }

    /// Judges every agent anew. `alone` tells that no other entry is alive, so
    /// this one's word is enough.
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

    /// Judges one agent anew, after something was heard of it.
    ///
    /// Judging all of them for each heartbeat would cost an entry the square of
    /// the number of its agents; those not heard of are judged by
    /// [`AgentDirectory::tick`].
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

    /// When a verdict may change if nothing more is heard.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let verdicts = self.agents.values();
        verdicts
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
        let held: Vec<ModelId> = models_of(&agent.residents).cloned().collect();
        self.remove_from_index(id, &held);
    }

    fn update_index(&mut self, id: &AgentId, gone: &[ModelId]) {
        self.remove_from_index(id, gone);
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let loaded = models_of(&agent.residents);
        for model in
            loaded.filter(|model| agent.loaded_version(model.as_str()).is_some())
        {
            let held = self.holders.entry(model.clone()).or_default();
            held.insert(id.clone());
        }
    }

    fn remove_from_index(&mut self, id: &AgentId, gone: &[ModelId]) {
        for model in gone {
            if let Some(held) = self.holders.get_mut(model) {
                held.remove(id);
                if held.is_empty() {
                    self.holders.remove(model);
                }
            }
        }
    }
}

/// What was shown of an agent before a heartbeat.
struct AgentSnapshot {
    leaving: bool,
    upstream_up: bool,
    loaded: BTreeSet<(ModelId, u32)>,
    all: BTreeSet<ModelId>,
}

impl AgentSnapshot {
    fn of(agent: &Agent) -> Self {
        Self {
            leaving: agent.leaving(),
            upstream_up: agent.upstream_up,
            loaded: loaded_versions(agent),
            all: models_of(&agent.residents).cloned().collect(),
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

    /// Models whose place in the index has to be looked at.
    fn affected_models(&self, now: &[Residency]) -> Vec<ModelId> {
        let both = self.all.iter().chain(models_of(now));
        both.cloned().collect()
    }
}

fn loaded_versions(agent: &Agent) -> BTreeSet<(ModelId, u32)> {
    let residents = agent.residents.iter();
    residents
        .filter(|held| held.state == crate::ResidencyState::Loaded)
        .map(|held| (held.model.clone(), held.version))
        .collect()
}

fn models_of(residents: &[Residency]) -> impl Iterator<Item = &ModelId> {
    residents.iter().map(|held| &held.model)
}

/// Judges an agent anew; the change of its life, if there is one.
fn update_agent(
    now: Instant,
    silence_limits: SilenceLimits,
    only_entry: bool,
    id: &AgentId,
    agent: &mut Agent,
) -> Option<AgentChange> {
    let life = agent.assess_liveness(now, silence_limits, only_entry);
    if life == agent.liveness {
        return None;
    }
    agent.liveness = life;
    Some(match life {
        Liveness::Up => AgentChange::Recovered(id.clone()),
        Liveness::Suspected => AgentChange::Suspected(id.clone()),
        Liveness::Lost => AgentChange::Lost(id.clone()),
    })
}
