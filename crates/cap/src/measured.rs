//! Everything that is measured, by name.

use crate::fit::{Line, Sample, Series, line};
use crate::measure::agent::{self, Calls};
use crate::measure::{
    bytes, choose, claims, config, entry, links, memory, outage, plan, timeline,
};

/// Slopes of processor time, bytes and memory.
#[derive(Debug, Clone, Default)]
#[allow(missing_docs)] // Each field has the name of the series it holds.
pub struct Measured {
    pub choose: Series,
    pub plan_agents: Series,
    pub plan_models: Series,
    pub heartbeat: Series,
    pub gossip_agents: Series,
    pub gossip_known: Series,
    pub gossip_demands: Series,
    pub beat_agents: Series,
    pub beat_entries: Series,
    pub entry_plan_agents: Series,
    pub entry_plan_models: Series,
    pub request: Series,
    pub part: Series,
    pub lost: Series,
    pub entry_change: Series,
    pub agent_run: Series,
    pub agent_report: Series,
    pub agent_beat_residents: Series,
    pub agent_beat_entries: Series,
    pub agent_target: Series,
    pub agent_change: Series,
    pub claim: Series,
    pub check: Series,
    pub record: Series,
    pub heartbeat_bytes: Series,
    pub gossip_agents_bytes: Series,
    pub gossip_demands_bytes: Series,
    pub silence_bytes: Series,
    pub target_bytes: Series,
    pub change_bytes: Series,
    pub agent_record_bytes: Series,
    pub claim_bytes: Series,
    pub document_bytes: Series,
    pub memory: Vec<Series>,
    pub calls_of_start: Calls,
    pub calls_of_load: Calls,
    pub writes_per_claim: u64,
    pub notes_per_request: usize,
    pub links: Vec<links::Rest>,
    pub mesh: Vec<links::Rest>,
    pub outages: Vec<outage::Outage>,
}

impl Measured {
    /// Measures everything but links between processes.
    pub fn run() -> Self {
        Self {
            choose: choose::run(),
            plan_agents: plan::by_agents(),
            plan_models: plan::by_models(),
            heartbeat: entry::heartbeat(),
            gossip_agents: entry::gossip_agents(),
            gossip_known: entry::gossip_known(),
            gossip_demands: entry::gossip_demands(),
            beat_agents: entry::beat_by_agents(),
            beat_entries: entry::beat_by_entries(),
            entry_plan_agents: entry::plan_by_agents(),
            entry_plan_models: entry::plan_by_models(),
            request: entry::request(),
            part: entry::part(),
            lost: entry::lost(),
            entry_change: entry::config_change(),
            agent_run: agent::run(),
            agent_report: agent::report(),
            agent_beat_residents: agent::beat_by_residents(),
            agent_beat_entries: agent::beat_by_entries(),
            agent_target: agent::target(),
            agent_change: agent::config_change(),
            claim: claims::call(),
            check: config::check(),
            record: timeline::record(),
            heartbeat_bytes: bytes::heartbeat(),
            gossip_agents_bytes: bytes::gossip_agents(),
            gossip_demands_bytes: bytes::gossip_demands(),
            silence_bytes: bytes::gossip_silences(),
            target_bytes: bytes::target(),
            change_bytes: bytes::config_changes(),
            agent_record_bytes: bytes::agent_record(),
            claim_bytes: claims::write_bytes(),
            document_bytes: config::document_bytes(),
            memory: memory::run(),
            calls_of_start: agent::calls_of_start(),
            calls_of_load: agent::calls_of_load(),
            writes_per_claim: claims::writes_per_call(),
            notes_per_request: entry::notes_per_request(),
            links: Vec::new(),
            mesh: Vec::new(),
            outages: Vec::new(),
        }
    }

    /// Every series, in the order of the tables.
    pub fn series(&self) -> Vec<&Series> {
        let times = [
            &self.choose,
            &self.plan_agents,
            &self.plan_models,
            &self.heartbeat,
            &self.gossip_agents,
            &self.gossip_known,
            &self.gossip_demands,
            &self.beat_agents,
            &self.beat_entries,
            &self.entry_plan_agents,
            &self.entry_plan_models,
            &self.request,
            &self.part,
            &self.lost,
            &self.entry_change,
            &self.agent_run,
            &self.agent_report,
            &self.agent_beat_residents,
            &self.agent_beat_entries,
            &self.agent_target,
            &self.agent_change,
            &self.claim,
            &self.check,
            &self.record,
        ];
        let bytes = [
            &self.heartbeat_bytes,
            &self.gossip_agents_bytes,
            &self.gossip_demands_bytes,
            &self.silence_bytes,
            &self.target_bytes,
            &self.change_bytes,
            &self.agent_record_bytes,
            &self.claim_bytes,
            &self.document_bytes,
        ];
        times.into_iter().chain(bytes).chain(&self.memory).collect()
    }

    /// A straight line through what real processes showed against agents.
    pub fn by_agents(&self, of: fn(&links::Rest) -> f64) -> Line {
        through(&self.links, |rest| rest.agents, of)
    }

    /// The same against entries before 16 agents.
    pub fn by_entries(&self, of: fn(&links::Rest) -> f64) -> Line {
        through(&self.mesh, |rest| rest.entries, of)
    }

    /// Memory of one thing kept, in bytes, by what is counted; 0 if it was not
    /// measured.
    pub fn memory_of(&self, size_of: &str) -> f64 {
        let mut memory = self.memory.iter();
        let found = memory.find(|series| series.size_of == size_of);
        found.map_or(0.0, Series::per_item)
    }
}

fn through(
    rests: &[links::Rest],
    size: fn(&links::Rest) -> usize,
    of: fn(&links::Rest) -> f64,
) -> Line {
    let sample = |rest: &links::Rest| Sample {
        size: size(rest) as f64,
        cost: of(rest),
    };
    let samples: Vec<Sample> = rests.iter().map(sample).collect();
    line(&samples).unwrap_or(Line {
        start: 0.0,
        slope: 0.0,
    })
}
