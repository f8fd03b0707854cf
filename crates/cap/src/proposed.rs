//! Estimates for the proposed design, whose mechanisms are not built yet.

use crate::current::{Row, UNIT_CORE, UNIT_MEMORY, UNIT_RATE, link_memory_bytes, row};
use crate::measurements::Measurements;
use crate::target::{CapacityTarget, NodeBudget, core_percent};

/// Entries that one agent sends its heartbeats to.
pub const HOME_ENTRIES: f64 = 2.0;
/// Seconds between two full heartbeats; the others carry only what changed.
pub const FULL_HEARTBEAT_INTERVAL_S: f64 = 10.0;
/// Links that an entry keeps to agents that it sent requests to recently.
pub const ON_DEMAND_LINKS: f64 = 400.0;
/// Model moves per second and accelerator: each accelerator changes its model
/// once an hour.
pub const MOVES_PER_ACCELERATOR_S: f64 = 1.0 / 3_600.0;
/// Seconds over which an entry sums demand before it sends it.
pub const DEMAND_INTERVAL_S: f64 = 10.0;
/// Seconds between two identical target messages to an agent.
pub const TARGET_INTERVAL_S: f64 = 2.0;
/// Number of times an entry receives the same change: from two neighbors.
pub const COPIES_RECEIVED: f64 = 2.0;

/// Costs of the proposed design: each agent sends its heartbeats to two home
/// entries of its region as deltas, entries forward only changes of residency
/// and liveness, and other links are dialed when a request needs them.
pub fn rows(
    measurements: &Measurements,
    target: &CapacityTarget,
    budget: &NodeBudget,
    delta_bytes: f64,
) -> Vec<Row> {
    let heartbeats_per_s = target.heartbeats_per_s();
    let full_heartbeat_bytes = measurements.heartbeat_bytes.cost_at(target.residents);
    let agent_bytes_per_s = heartbeats_per_s * delta_bytes
        + full_heartbeat_bytes / FULL_HEARTBEAT_INTERVAL_S;
    let agents_per_home = target.agents * HOME_ENTRIES / target.entries;
    let moves_per_s = target.accelerators * MOVES_PER_ACCELERATOR_S;
    let change_bytes = measurements.heartbeat_bytes.cost_per_item() + 40.0;
    let forwarded_bytes_per_s = (moves_per_s
        + target.agent_starts_per_s() * target.residents)
        * change_bytes
        * COPIES_RECEIVED
        * 2.0;
    let link_count = agents_per_home + ON_DEMAND_LINKS;
    let memory_bytes = measurements.memory_per_item("agent known") * target.agents
        + link_memory_bytes(measurements) * link_count
        + measurements.memory_per_item("model") * target.models
        + measurements.memory_per_item("event kept") * 20_000.0
        + measurements.memory_per_item("request in flight") * target.entry_in_flight();
    let process_bytes = measurements
        .idle_by_agents
        .first()
        .map_or(0, |idle| idle.entry_bytes) as f64;
    let entry_cpu = measurements.fit_by_agents(|idle| idle.entry_percent);
    let heartbeat_ns = measurements
        .heartbeat
        .samples
        .first()
        .map_or(0.0, |first| first.cost);
    let cpu_percent = entry_cpu.intercept.max(0.0)
        + entry_cpu.slope * agents_per_home
        + core_percent(moves_per_s * COPIES_RECEIVED, heartbeat_ns)
        + core_percent(
            target.changes_per_s(),
            measurements.entry_change.cost_at(target.models),
        )
        + core_percent(0.2, measurements.heartbeat.cost_at(target.agents));
    let agent_cpu = measurements.fit_by_entries(|idle| idle.agent_percent);
    let demand_bytes = measurements.gossip_demands_bytes.cost_per_item();
    let models_with_demand =
        (target.entry_requests_per_s() * DEMAND_INTERVAL_S).min(target.models);
    // The home entries together receive as much as all entries send.
    let demand_bytes_per_s =
        2.0 * HOME_ENTRIES * models_with_demand * demand_bytes / DEMAND_INTERVAL_S;
    let target_bytes_per_s = 64.0 * target.agents / 64.0 / target.entries
        * measurements.target_bytes.cost_at(target.residents)
        / TARGET_INTERVAL_S;
    let total_bytes_per_s = agents_per_home * agent_bytes_per_s
        + forwarded_bytes_per_s
        + demand_bytes_per_s
        + target_bytes_per_s;
    let bytes_budget = Some(budget.bytes_per_s / 1e3);
    let assignment_ns = measurements
        .entry_plan_agents
        .cost_at(target.agents / target.regions)
        * measurements.entry_plan_models.cost_at(target.models)
        / measurements.entry_plan_models.cost_at(200.0).max(1.0);
    let cell_models = 256.0;
    let cells_per_entry = target.agents / 64.0 / target.entries;
    vec![
        row(
            "entry as planner",
            "plans of own cells, each with its part of the models",
            format!("{cells_per_entry:.2} cells × 2/s × 256 models"),
            core_percent(
                cells_per_entry * 2.0,
                measurements.plan_models.cost_at(cell_models),
            ),
            UNIT_CORE,
            Some(budget.core_percent),
        ),
        row(
            "entry as planner",
            "models assigned to the region's cells, every 10 s",
            format!("0.1/s × {:.2} s", assignment_ns / 1e9),
            core_percent(0.1, assignment_ns),
            UNIT_CORE,
            Some(budget.core_percent),
        ),
        row(
            "agent",
            "idle process, with links to 2 home entries and 10 others",
            format!(
                "{:.2} % + 12 × {:.4} %",
                agent_cpu.intercept, agent_cpu.slope
            ),
            agent_cpu.intercept + agent_cpu.slope * 12.0,
            UNIT_CORE,
            Some(budget.core_percent),
        ),
        row(
            "agent",
            "heartbeats to its home entries",
            format!(
                "{HOME_ENTRIES} × (2/s × {delta_bytes:.0} B + {full_heartbeat_bytes:.0} B / 10 s)"
            ),
            HOME_ENTRIES * agent_bytes_per_s / 1e3,
            UNIT_RATE,
            bytes_budget,
        ),
        row(
            "entry",
            "heartbeats of the agents whose home entry it is",
            format!(
                "{agents_per_home:.1} × (2/s × {delta_bytes:.0} B + {full_heartbeat_bytes:.0} B / 10 s)"
            ),
            agents_per_home * agent_bytes_per_s / 1e3,
            UNIT_RATE,
            bytes_budget,
        ),
        row(
            "entry",
            "changes of residency and liveness, received and forwarded",
            format!("{moves_per_s:.1}/s × {change_bytes:.0} B × 4"),
            forwarded_bytes_per_s / 1e3,
            UNIT_RATE,
            bytes_budget,
        ),
        row(
            "entry",
            "demands sent to and summed at home entries of models",
            format!(
                "{models_with_demand:.0} models × {demand_bytes:.0} B × 4 / {DEMAND_INTERVAL_S} s"
            ),
            demand_bytes_per_s / 1e3,
            UNIT_RATE,
            bytes_budget,
        ),
        row(
            "entry",
            "all of these, with targets each 2 s",
            "sum".to_owned(),
            total_bytes_per_s / 1e3,
            UNIT_RATE,
            bytes_budget,
        ),
        row(
            "entry",
            "links to own agents, moves, configuration changes, one liveness check in 5 s",
            format!(
                "{:.2} % + {agents_per_home:.1} links",
                entry_cpu.intercept.max(0.0)
            ),
            cpu_percent,
            UNIT_CORE,
            Some(budget.core_percent),
        ),
        row(
            "entry",
            "memory: process, all agents, links it needs",
            format!(
                "{process_bytes:.0} B + {:.0} agents + {link_count:.0} links",
                target.agents
            ),
            (process_bytes + memory_bytes) / 1e6,
            UNIT_MEMORY,
            Some(budget.memory_bytes / 1e6),
        ),
        row(
            "platform's service",
            "watches of two entries in each failure domain",
            format!("{:.0} × 2 × 3 prefixes", target.domains),
            target.domains * 2.0 * 3.0,
            "calls/s",
            Some(budget.platform_reads_per_s),
        ),
    ]
}
