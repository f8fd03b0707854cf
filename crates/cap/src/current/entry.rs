//! Costs of an entry, also as a planner of model placement.

use super::{Row, UNIT_CORE, UNIT_MEMORY, UNIT_RATE, link_memory_bytes, row};
use crate::measure::entry::TICK_AGENTS;
use crate::measurements::Measurements;
use crate::target::{CapacityTarget, NodeBudget, core_percent};

/// Default limit of waiting requests at an entry.
const WAITING_MAX: f64 = 4_096.0;
/// Default number of timeline events that a process keeps.
const EVENTS_KEPT: f64 = 20_000.0;
/// Plans per second of an entry.
const PLANS_PER_S: f64 = 2.0;
/// Models in the document for the measurements of plans against agents.
const PLAN_MODELS: f64 = 200.0;

/// CPU time of an entry.
pub(super) fn cpu_time(
    measurements: &Measurements,
    target: &CapacityTarget,
    budget: &NodeBudget,
) -> Vec<Row> {
    let heartbeats_per_s = target.heartbeats_per_s();
    let other_entries = target.entries - 1.0;
    let cpu_percent = |calls_per_s, call_ns| core_percent(calls_per_s, call_ns);
    let received_per_s = target.agents * heartbeats_per_s;
    let core_budget = Some(budget.core_percent);
    let cpu_by_agents = measurements.fit_by_agents(|idle| idle.entry_percent);
    let cpu_by_entries = measurements.fit_by_entries(|idle| idle.entry_percent);
    vec![
        row(
            "entry",
            "heartbeats of all agents, in the machine",
            format!(
                "{received_per_s:.0}/s × {:.0} µs",
                measurements.heartbeat.cost_at(target.agents) / 1e3
            ),
            cpu_percent(
                received_per_s,
                measurements.heartbeat.cost_at(target.agents),
            ),
            UNIT_CORE,
            core_budget,
        ),
        row(
            "entry",
            "idle links to all agents, in the process",
            format!("{:.0} × {:.4} %", target.agents, cpu_by_agents.slope),
            cpu_by_agents.intercept + cpu_by_agents.slope * target.agents,
            UNIT_CORE,
            core_budget,
        ),
        row(
            "entry",
            "gossip of all entries, already known",
            format!(
                "{:.0}/s × {:.2} ms",
                other_entries * heartbeats_per_s,
                measurements.gossip_known.cost_at(target.agents) / 1e6
            ),
            cpu_percent(
                other_entries * heartbeats_per_s,
                measurements.gossip_known.cost_at(target.agents),
            ),
            UNIT_CORE,
            core_budget,
        ),
        row(
            "entry",
            "demands in that gossip",
            format!(
                "{:.0}/s × {:.2} ms",
                other_entries * heartbeats_per_s,
                measurements.gossip_demands.cost_at(target.models) / 1e6
            ),
            cpu_percent(
                other_entries * heartbeats_per_s,
                measurements.gossip_demands.cost_at(target.models),
            ),
            UNIT_CORE,
            core_budget,
        ),
        row(
            "entry",
            "idle links to all entries, 16 agents, in the process",
            format!("{:.0} × {:.4} %", target.entries, cpu_by_entries.slope),
            cpu_by_entries.intercept + cpu_by_entries.slope * target.entries,
            UNIT_CORE,
            core_budget,
        ),
        row(
            "entry",
            "own heartbeat tick, for agents and entries",
            format!(
                "{heartbeats_per_s:.0}/s × {:.1} s",
                own_tick_ns(measurements, target) / 1e9
            ),
            cpu_percent(heartbeats_per_s, own_tick_ns(measurements, target)),
            UNIT_CORE,
            core_budget,
        ),
        row(
            "entry",
            "configuration changes",
            format!(
                "{:.2}/s × {:.2} ms",
                target.changes_per_s(),
                measurements.entry_change.cost_at(target.models) / 1e6
            ),
            cpu_percent(
                target.changes_per_s(),
                measurements.entry_change.cost_at(target.models),
            ),
            UNIT_CORE,
            core_budget,
        ),
        row(
            "entry",
            "requests and parts (work, not control)",
            format!(
                "{:.1}/s × {:.1} µs + {:.0}/s × {:.2} µs",
                target.entry_requests_per_s(),
                measurements.request.cost_at(target.holders()) / 1e3,
                target.entry_parts_per_s(),
                measurements.part.cost_at(target.entry_in_flight()) / 1e3
            ),
            cpu_percent(
                target.entry_requests_per_s(),
                measurements.request.cost_at(target.holders()),
            ) + cpu_percent(
                target.entry_parts_per_s(),
                measurements.part.cost_at(target.entry_in_flight()),
            ),
            UNIT_CORE,
            None,
        ),
    ]
}

/// Duration of one heartbeat tick at the required size. Each of the other
/// entries gets its own copy of every agent's heartbeat.
fn own_tick_ns(measurements: &Measurements, target: &CapacityTarget) -> f64 {
    let agent_factor = target.agents / TICK_AGENTS as f64;
    measurements.tick_by_agents.cost_at(target.agents)
        + measurements.tick_by_entries.cost_at(target.entries) * agent_factor
}

/// Network traffic and memory of an entry.
pub(super) fn traffic_and_memory(
    measurements: &Measurements,
    target: &CapacityTarget,
    budget: &NodeBudget,
) -> Vec<Row> {
    let heartbeats_per_s = target.heartbeats_per_s();
    let heartbeat_bytes = measurements.heartbeat_bytes.cost_at(target.residents);
    let other_entries = target.entries - 1.0;
    let gossip_bytes = measurements.gossip_agents_bytes.cost_at(target.agents)
        + measurements.gossip_demands_bytes.cost_per_item() * target.models;
    let agent_bytes = measurements.memory_per_item("agent known") * target.agents;
    let entry_bytes = measurements.memory_per_item("entry known") * target.entries;
    let request_bytes = measurements.memory_per_item("request in flight")
        * target.entry_in_flight()
        + measurements.memory_per_item("request waiting") * WAITING_MAX;
    let event_bytes = measurements.memory_per_item("event kept") * EVENTS_KEPT;
    let config_and_events =
        measurements.memory_per_item("model") * target.models + event_bytes;
    vec![
        row(
            "entry",
            "heartbeats received",
            format!(
                "{:.0}/s × {heartbeat_bytes:.0} B",
                target.agents * heartbeats_per_s
            ),
            target.agents * heartbeats_per_s * heartbeat_bytes / 1e3,
            UNIT_RATE,
            Some(budget.bytes_per_s / 1e3),
        ),
        row(
            "entry",
            "gossip sent, and as much received",
            format!(
                "{:.0}/s × {:.2} MB",
                other_entries * heartbeats_per_s,
                gossip_bytes / 1e6
            ),
            other_entries * heartbeats_per_s * gossip_bytes / 1e3,
            UNIT_RATE,
            Some(budget.bytes_per_s / 1e3),
        ),
        row(
            "entry",
            "memory for agents and their links",
            format!(
                "{:.0} × ({:.2} + {:.1}) kB",
                target.agents,
                measurements.memory_per_item("agent known") / 1e3,
                link_memory_bytes(measurements) / 1e3
            ),
            (agent_bytes + link_memory_bytes(measurements) * target.agents) / 1e6,
            UNIT_MEMORY,
            Some(budget.memory_bytes / 1e6),
        ),
        row(
            "entry",
            "memory for entries and their demands",
            format!(
                "{:.0} × {:.0} kB",
                target.entries,
                measurements.memory_per_item("entry known") / 1e3
            ),
            entry_bytes / 1e6,
            UNIT_MEMORY,
            Some(budget.memory_bytes / 1e6),
        ),
        row(
            "entry",
            "memory for requests, configuration, timeline",
            format!(
                "{:.0} in flight, {WAITING_MAX} waiting, {EVENTS_KEPT} events",
                target.entry_in_flight()
            ),
            (request_bytes + config_and_events) / 1e6,
            UNIT_MEMORY,
            Some(budget.memory_bytes / 1e6),
        ),
    ]
}

/// Costs of planning.
pub(super) fn planner(
    measurements: &Measurements,
    target: &CapacityTarget,
    budget: &NodeBudget,
) -> Vec<Row> {
    let model_factor = measurements.entry_plan_models.cost_at(target.models)
        / measurements.entry_plan_models.cost_at(PLAN_MODELS).max(1.0);
    let plan_ns = measurements.entry_plan_agents.cost_at(target.agents) * model_factor;
    let cells = target.agents / 64.0;
    let own_cells = cells / target.entries;
    let cell_plan_ns = measurements.plan_agents.cost_at(64.0)
        * measurements.plan_models.cost_at(target.models)
        / measurements.plan_models.cost_at(PLAN_MODELS).max(1.0);
    let target_bytes = measurements.target_bytes.cost_at(target.residents);
    vec![
        row(
            "entry as planner",
            "assignment of all cells and models, by each entry",
            format!("{PLANS_PER_S}/s × {:.1} s", plan_ns / 1e9),
            core_percent(PLANS_PER_S, plan_ns),
            UNIT_CORE,
            Some(budget.core_percent),
        ),
        row(
            "entry as planner",
            "own cells, if each is planned with all models",
            format!(
                "{cells:.0} cells / {:.0} entries × {PLANS_PER_S}/s × {:.1} ms",
                target.entries,
                cell_plan_ns / 1e6
            ),
            core_percent(PLANS_PER_S * own_cells, cell_plan_ns),
            UNIT_CORE,
            Some(budget.core_percent),
        ),
        row(
            "entry as planner",
            "targets sent",
            format!(
                "{:.1} agents × {PLANS_PER_S}/s × {target_bytes:.0} B",
                64.0 * own_cells
            ),
            64.0 * own_cells * PLANS_PER_S * target_bytes / 1e3,
            UNIT_RATE,
            Some(budget.bytes_per_s / 1e3),
        ),
    ]
}
