//! All measurements, by name.

use crate::fit::{Line, Sample, Series, fit_line};
use crate::measure::agent::{self, PlatformCalls};
use crate::measure::{
    bytes, choose_holder, claims, config, entry, idle, memory, outage, plan, timeline,
};

/// Measured CPU time, bytes and memory.
#[derive(Debug, Clone, Default)]
#[allow(missing_docs)] // Each field is named after its series.
pub struct Measurements {
    pub choose_holder: Series,
    pub plan_agents: Series,
    pub plan_models: Series,
    pub heartbeat: Series,
    pub gossip_agents: Series,
    pub gossip_known: Series,
    pub gossip_demands: Series,
    pub tick_by_agents: Series,
    pub tick_by_entries: Series,
    pub entry_plan_agents: Series,
    pub entry_plan_models: Series,
    pub request: Series,
    pub part: Series,
    pub agents_lost: Series,
    pub entry_change: Series,
    pub agent_run: Series,
    pub agent_report: Series,
    pub agent_heartbeat_by_residents: Series,
    pub agent_heartbeat_by_entries: Series,
    pub agent_target: Series,
    pub agent_change: Series,
    pub keyed_request: Series,
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
    pub calls_per_start: PlatformCalls,
    pub calls_per_load: PlatformCalls,
    pub writes_per_request: u64,
    pub events_per_request: usize,
    pub idle_by_agents: Vec<idle::IdleMeasurement>,
    pub idle_by_entries: Vec<idle::IdleMeasurement>,
    pub outages: Vec<outage::Outage>,
}

impl Measurements {
    /// Makes all measurements except those with real processes.
    pub fn run() -> Self {
        Self {
            choose_holder: choose_holder::run(),
            plan_agents: plan::by_agents(),
            plan_models: plan::by_models(),
            heartbeat: entry::heartbeat(),
            gossip_agents: entry::gossip_agents(),
            gossip_known: entry::gossip_known(),
            gossip_demands: entry::gossip_demands(),
            tick_by_agents: entry::tick_by_agents(),
            tick_by_entries: entry::tick_by_entries(),
            entry_plan_agents: entry::plan_by_agents(),
            entry_plan_models: entry::plan_by_models(),
            request: entry::request(),
            part: entry::part(),
            agents_lost: entry::agents_lost(),
            entry_change: entry::config_change(),
            agent_run: agent::complete_run(),
            agent_report: agent::upstream_report(),
            agent_heartbeat_by_residents: agent::heartbeat_by_residents(),
            agent_heartbeat_by_entries: agent::heartbeat_by_entries(),
            agent_target: agent::target(),
            agent_change: agent::config_change(),
            keyed_request: claims::keyed_request(),
            check: config::document_check(),
            record: timeline::record_event(),
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
            calls_per_start: agent::calls_per_start(),
            calls_per_load: agent::calls_per_load(),
            writes_per_request: claims::writes_per_request(),
            events_per_request: entry::events_per_request(),
            idle_by_agents: Vec::new(),
            idle_by_entries: Vec::new(),
            outages: Vec::new(),
        }
    }

    /// All series, in the order of the tables.
    pub fn series(&self) -> Vec<&Series> {
        let times = [
            &self.choose_holder,
            &self.plan_agents,
            &self.plan_models,
            &self.heartbeat,
            &self.gossip_agents,
            &self.gossip_known,
            &self.gossip_demands,
            &self.tick_by_agents,
            &self.tick_by_entries,
            &self.entry_plan_agents,
            &self.entry_plan_models,
            &self.request,
            &self.part,
            &self.agents_lost,
            &self.entry_change,
            &self.agent_run,
            &self.agent_report,
            &self.agent_heartbeat_by_residents,
            &self.agent_heartbeat_by_entries,
            &self.agent_target,
            &self.agent_change,
            &self.keyed_request,
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

    /// Fits a line through a measurement of idle processes, against the number
    /// of agents.
    pub fn fit_by_agents(&self, cost: fn(&idle::IdleMeasurement) -> f64) -> Line {
        fit(&self.idle_by_agents, |idle| idle.agents, cost)
    }

    /// The same against the number of entries, with 16 agents.
    pub fn fit_by_entries(&self, cost: fn(&idle::IdleMeasurement) -> f64) -> Line {
        fit(&self.idle_by_entries, |idle| idle.entries, cost)
    }

    /// Bytes of memory per item of a kind, named by what its series counts; 0
    /// if it was not measured.
    pub fn memory_per_item(&self, size_of: &str) -> f64 {
        let mut memory = self.memory.iter();
        let series = memory.find(|series| series.size_of == size_of);
        series.map_or(0.0, Series::cost_per_item)
    }
}

fn fit(
    measurements: &[idle::IdleMeasurement],
    size: fn(&idle::IdleMeasurement) -> usize,
    cost: fn(&idle::IdleMeasurement) -> f64,
) -> Line {
    let sample = |idle: &idle::IdleMeasurement| Sample {
        size: size(idle) as f64,
        cost: cost(idle),
    };
    let samples: Vec<Sample> = measurements.iter().map(sample).collect();
    fit_line(&samples).unwrap_or(Line {
        intercept: 0.0,
        slope: 0.0,
    })
}
