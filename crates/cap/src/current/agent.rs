//! Costs of the agent and of `sesamectl`.

use super::{Row, UNIT_CORE, UNIT_MEMORY, UNIT_RATE, row};
use crate::measurements::Measurements;
use crate::target::{CapacityTarget, NodeBudget, core_percent};

/// How long an agent remembers an attempt whose deadline is one minute, in
/// seconds.
const ATTEMPT_RETENTION_S: f64 = 600.0;
/// An agent asks for configuration changes at every fourth heartbeat.
const CONFIG_ASKS_PER_HEARTBEAT: f64 = 0.25;
/// Longest time until an agent that receives no messages asks for changes, in
/// seconds.
const CONFIG_ASK_MAX_S: f64 = 2.0;
/// Reports of the upstream per second.
const REPORTS_PER_S: f64 = 1.0 / 0.15;

/// Costs of an agent.
pub(super) fn agent(
    measurements: &Measurements,
    target: &CapacityTarget,
    budget: &NodeBudget,
) -> Vec<Row> {
    let heartbeats_per_s = target.heartbeats_per_s();
    let heartbeat_bytes = measurements.heartbeat_bytes.cost_at(target.residents);
    let heartbeat_ns = measurements
        .agent_heartbeat_by_entries
        .cost_at(target.entries);
    let config_asks_per_s = heartbeats_per_s * CONFIG_ASKS_PER_HEARTBEAT;
    let agent_cpu = measurements.fit_by_entries(|idle| idle.agent_percent);
    let agent_memory = measurements.fit_by_entries(|idle| idle.agent_bytes as f64);
    let attempt_bytes = measurements.memory_per_item("attempt kept")
        * target.agent_requests_per_s()
        * ATTEMPT_RETENTION_S;
    vec![
        row(
            "agent",
            "heartbeats sent to every entry",
            format!(
                "{:.0} × {heartbeats_per_s:.0}/s × {heartbeat_bytes:.0} B",
                target.entries
            ),
            target.entries * heartbeats_per_s * heartbeat_bytes / 1e3,
            UNIT_RATE,
            Some(budget.bytes_per_s / 1e3),
        ),
        row(
            "agent",
            "heartbeats built and copied for every entry, in the state machine",
            format!("{heartbeats_per_s:.0}/s × {:.2} ms", heartbeat_ns / 1e6),
            core_percent(heartbeats_per_s, heartbeat_ns),
            UNIT_CORE,
            Some(budget.core_percent),
        ),
        row(
            "agent",
            "idle process, links to every entry",
            format!(
                "{:.2} % + {:.0} × {:.4} %",
                agent_cpu.intercept, target.entries, agent_cpu.slope
            ),
            agent_cpu.intercept + agent_cpu.slope * target.entries,
            UNIT_CORE,
            Some(budget.core_percent),
        ),
        row(
            "agent",
            "state machine: upstream reports, configuration changes, asks for changes",
            format!(
                "{REPORTS_PER_S:.1}/s × {:.0} µs + {:.2}/s × {:.1} ms; {config_asks_per_s} asks/s",
                measurements.agent_report.cost_at(target.residents) / 1e3,
                target.changes_per_s(),
                measurements.agent_change.cost_at(target.models) / 1e6
            ),
            core_percent(
                REPORTS_PER_S,
                measurements.agent_report.cost_at(target.residents),
            ) + core_percent(
                target.changes_per_s(),
                measurements.agent_change.cost_at(target.models),
            ),
            UNIT_CORE,
            Some(budget.core_percent),
        ),
        row(
            "agent",
            "memory: process, attempts kept, a link to every entry",
            format!(
                "{:.1} MB + {:.1} MB + {:.0} × {:.1} kB",
                agent_memory.intercept / 1e6,
                attempt_bytes / 1e6,
                target.entries,
                agent_memory.slope / 1e3
            ),
            (agent_memory.intercept
                + attempt_bytes
                + agent_memory.slope * target.entries)
                / 1e6,
            UNIT_MEMORY,
            Some(budget.memory_bytes / 1e6),
        ),
    ]
}

/// Costs of `sesamectl`.
pub(super) fn operator_tool(
    measurements: &Measurements,
    target: &CapacityTarget,
) -> Vec<Row> {
    let slowest_change_ms = measurements
        .idle_by_agents
        .iter()
        .map(|idle| idle.change_ms)
        .fold(0.0, f64::max);
    let status_time = measurements.fit_by_agents(|idle| idle.status_ms);
    vec![
        row(
            "operator's tool",
            "check of the document",
            format!("exponent {:.2}", measurements.check.tail_exponent()),
            measurements.check.cost_at(target.models) / 1e6,
            "ms",
            None,
        ),
        row(
            "operator's tool",
            "size of the document",
            format!(
                "{:.0} B a model",
                measurements.document_bytes.cost_per_item()
            ),
            measurements.document_bytes.cost_at(target.models) / 1e3,
            "kB",
            Some(900.0),
        ),
        row(
            "operator's tool",
            "change in force everywhere",
            format!(
                "worst of 1 to 256 agents, {slowest_change_ms:.0} ms, and {CONFIG_ASK_MAX_S} s"
            ),
            slowest_change_ms / 1e3 + CONFIG_ASK_MAX_S,
            "s",
            Some(target.change_deadline_s),
        ),
        row(
            "operator's tool",
            "status query to every process",
            format!(
                "{:.0} ms + {:.3} ms a process",
                status_time.intercept, status_time.slope
            ),
            (status_time.intercept
                + status_time.slope * (target.agents + target.entries))
                / 1e3,
            "s",
            None,
        ),
    ]
}
