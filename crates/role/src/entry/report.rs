//! Data for the operators' endpoints: counters, status and explanations.

use base::prelude::*;
use live::{Agent, Liveness, ResidencyState};

use super::control::{Control, reason_text};
use super::resolve::Resource;
use super::role::EntryRole;
use super::{AgentSummary, EntryCounters, EntryStatus, ModelSummary, PeerEntrySummary};

impl EntryRole {
    /// Counters and gauges for `/metrics`.
    pub fn counters(&self) -> EntryCounters {
        let (known, up) = {
            let control = self.control.read();
            let up = control.directory.agents();
            let up = up.filter(|agent| agent.liveness == Liveness::Up).count();
            (control.directory.agents().count(), up)
        };
        let outcomes = self.shared.outcomes.lock();
        let (profiles, decisions) = (outcomes.profiles(), outcomes.decisions());
        drop(outcomes);
        EntryCounters {
            profiles,
            decisions,
            waiting: self.waiting(),
            running: self.running(),
            agents_up: up as u64,
            agents_known: known as u64,
            ..self.shared.counts.snapshot()
        }
    }

    /// Status for `/status`.
    pub fn status(&self) -> EntryStatus {
        let (waiting, running) = (self.waiting(), self.running());
        let control = self.control.read();
        let now = control.ticked_at();
        let options = &self.shared.options;
        let agents = control.directory.agents();
        let entries = control.entries.all().map(|entry| PeerEntrySummary {
            id: entry.id.to_string(),
            alive: control.entries.is_alive(now, &entry.id),
            leaving: entry.leaving,
        });
        EntryStatus {
            id: options.id.to_string(),
            incarnation: options.incarnation.0,
            failure_domain: options.failure_domain.to_string(),
            ready: control.ready,
            leaving: control.leaving,
            platform_up: control.platform_up(),
            revision: control.config_log.revision().0,
            agents: agents.map(|agent| agent_summary(now, agent)).collect(),
            entries: entries.collect(),
            models: self.model_summaries(&control, now),
            waiting,
            running,
            planned_cells: control.planning.cells().map(str::to_owned).collect(),
        }
    }

    /// Explains where a model is loaded, its demand and the plans for it, for
    /// `/explain`.
    pub fn explain_model(&self, model: &str) -> Vec<String> {
        let control = self.control.read();
        let now = control.ticked_at();
        let Some(config) = control.config() else {
            return vec!["no configuration is in force yet".to_owned()];
        };
        let Some(spec) = config.model(model) else {
            return vec![format!(
                "the configuration has no model or adapter `{model}`"
            )];
        };
        let mut lines = vec![format!(
            "configured version {}, {} MiB, pool {}",
            spec.version, spec.size_mib, spec.pool
        )];
        for agent in control.directory.agents() {
            lines.extend(residency_lines(agent, model));
        }
        if lines.len() == 1 {
            lines.push("no agent holds it".to_owned());
        }
        lines.push(self.demand_line(&control, now, model));
        for (agent, reason) in control.planning.placements(model) {
            lines.push(format!("planned on {agent}: {}", reason_text(reason)));
        }
        for reason in control.planning.notes(model) {
            lines.push(format!(
                "not placed as its demand calls for: {}",
                reason_text(reason)
            ));
        }
        if control.planning.cells().next().is_none() {
            lines.push(
                "this entry plans no models; query the other entries for reasons"
                    .to_owned(),
            );
        }
        lines
    }

    fn demand_line(&self, control: &Control, now: Instant, model: &str) -> String {
        let demands = match control.config() {
            Some(config) => control.total_demands(now, &self.shared, config),
            None => Vec::new(),
        };
        let demand = demands.iter().find(|demand| demand.model.as_str() == model);
        match demand {
            None => "no demand".to_owned(),
            Some(demand) => format!(
                "{:.2} requests per second over all entries, {} waiting, the oldest for \
                 {} ms, mean service time {} ms",
                demand.rate_per_s,
                demand.waiting,
                demand.oldest_wait_ms,
                demand.service_time_ms
            ),
        }
    }

    fn model_summaries(&self, control: &Control, now: Instant) -> Vec<ModelSummary> {
        let Some(config) = control.config() else {
            return Vec::new();
        };
        let demands = control.total_demands(now, &self.shared, config);
        let summaries = config.models().map(|spec| {
            let id = spec.id.as_str();
            let demand = demands.iter().find(|demand| demand.model == spec.id);
            let resource = Resource::Model(spec.id.clone());
            let holders = control.directory.holders(id);
            ModelSummary {
                model: id.to_owned(),
                holders: holders.map(|agent| agent.id.to_string()).collect(),
                waiting: self.shared.wait_queue.lock().depth_and_oldest(&resource).0,
                rate_per_s: demand.map_or(0.0, |demand| demand.rate_per_s),
            }
        });
        let shown = summaries.filter(|model| {
            !model.holders.is_empty() || model.waiting > 0 || model.rate_per_s > 0.0
        });
        shown.collect()
    }

    fn waiting(&self) -> u64 {
        self.shared.wait_queue.lock().len() as u64
    }

    fn running(&self) -> u64 {
        let shards = self.shards.iter();
        shards.map(|shard| shard.lock().in_flight() as u64).sum()
    }
}

fn agent_summary(now: Instant, agent: &Agent) -> AgentSummary {
    let load = agent.load.latest(now);
    let loaded = agent.residents.iter();
    let loaded = loaded.filter(|resident| resident.state == ResidencyState::Loaded);
    AgentSummary {
        id: agent.id.to_string(),
        pool: agent.pool.to_string(),
        failure_domain: agent.failure_domain.to_string(),
        state: liveness_name(agent.liveness),
        leaving: agent.leaving(),
        upstream_up: agent.upstream_up,
        connected: agent.connected,
        running: load.running,
        waiting: load.waiting,
        running_max: load.running_max,
        models: loaded.map(|resident| resident.model.to_string()).collect(),
        silent_ms: now.ms_since(agent.last_heard_at),
    }
}

const fn liveness_name(liveness: Liveness) -> &'static str {
    match liveness {
        Liveness::Up => "up",
        Liveness::Suspected => "suspected",
        Liveness::Lost => "lost",
    }
}

fn residency_lines(agent: &Agent, model: &str) -> Vec<String> {
    let residents = agent.residents.iter();
    let residents = residents.filter(|resident| resident.model.as_str() == model);
    residents
        .map(|resident| {
            let state = match resident.state {
                ResidencyState::Loading => "is loading",
                ResidencyState::Loaded => "holds",
                ResidencyState::Unloading => "is unloading",
            };
            format!(
                "{} {state} version {} on accelerator {}; the agent is {}{}",
                agent.id,
                resident.version,
                resident.accelerator,
                liveness_name(agent.liveness),
                if agent.leaving() { " and leaving" } else { "" },
            )
        })
        .collect()
}
