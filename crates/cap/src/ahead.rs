//! What the mechanisms that are not built would leave of the budget.

use crate::built::{BYTES_S, CORE, MEMORY, Row, link_bytes, row};
use crate::measured::Measured;
use crate::target::{Budget, Target, core_percent};

/// Home entries of one agent in the design ahead.
pub const HOMES: f64 = 2.0;
/// Seconds between two whole heartbeats in that design.
pub const WHOLE_EVERY_S: f64 = 10.0;
/// Links that an entry keeps to agents it has sent work to lately.
pub const LAZY_LINKS: f64 = 400.0;
/// Moves of the whole fleet a second: each accelerator changes its model once
/// an hour.
pub const MOVES_PER_ACCELERATOR_S: f64 = 1.0 / 3_600.0;
/// Seconds over which demand is summed up and told.
pub const SUM_EVERY_S: f64 = 10.0;
/// Seconds between two targets that say the same.
pub const TARGET_EVERY_S: f64 = 2.0;
/// How often an entry hears the same news: two neighbours tell it.
pub const HEARD_TWICE: f64 = 2.0;

/// The design ahead: each agent's heartbeats go to two home entries of its
/// region as deltas, entries pass on only changes of residency and of life, and
/// other links are dialled when a request needs them.
pub fn ahead(m: &Measured, t: &Target, b: &Budget, delta_bytes: f64) -> Vec<Row> {
    let beats = t.beats_per_s();
    let whole = m.heartbeat_bytes.at(t.residents);
    let stream = beats * delta_bytes + whole / WHOLE_EVERY_S;
    let homed = t.agents * HOMES / t.entries;
    let moves = t.accelerators * MOVES_PER_ACCELERATOR_S;
    let news = m.heartbeat_bytes.per_item() + 40.0;
    let told = (moves + t.starts_per_s() * t.residents) * news * HEARD_TWICE * 2.0;
    let links = homed + LAZY_LINKS;
    let memory = m.memory_of("agent known") * t.agents
        + link_bytes(m) * links
        + m.memory_of("model") * t.models
        + m.memory_of("event kept") * 20_000.0
        + m.memory_of("request in flight") * t.entry_in_flight();
    let base = m.links.first().map_or(0, |rest| rest.entry_bytes) as f64;
    let resting = m.by_agents(|rest| rest.entry_percent);
    let heard_ns = m.heartbeat.samples.first().map_or(0.0, |first| first.cost);
    let percent = resting.start.max(0.0)
        + resting.slope * homed
        + core_percent(moves * HEARD_TWICE, heard_ns)
        + core_percent(t.changes_per_s(), m.entry_change.at(t.models))
        + core_percent(0.2, m.heartbeat.at(t.agents));
    let agent = m.by_entries(|rest| rest.agent_percent);
    let demand = m.gossip_demands_bytes.per_item();
    let seen = (t.entry_requests_per_s() * SUM_EVERY_S).min(t.models);
    // What all send to home entries is what these receive.
    let demands = 2.0 * HOMES * seen * demand / SUM_EVERY_S;
    let targets = 64.0 * t.agents / 64.0 / t.entries * m.target_bytes.at(t.residents)
        / TARGET_EVERY_S;
    let bytes = homed * stream + told + demands + targets;
    let budget = Some(b.bytes_per_s / 1e3);
    let share_ns = m.entry_plan_agents.at(t.agents / t.regions)
        * m.entry_plan_models.at(t.models)
        / m.entry_plan_models.at(200.0).max(1.0);
    let cell_models = 256.0;
    let cells = t.agents / 64.0 / t.entries;
    vec![
        row(
            "entry as planner",
            "plans of own cells, each with its part of the models",
            format!("{cells:.2} cells × 2/s × 256 models"),
            core_percent(cells * 2.0, m.plan_models.at(cell_models)),
            CORE,
            Some(b.core_percent),
        ),
        row(
            "entry as planner",
            "models shared out over the region's cells, every 10 s",
            format!("0.1/s × {:.2} s", share_ns / 1e9),
            core_percent(0.1, share_ns),
            CORE,
            Some(b.core_percent),
        ),
        row(
            "agent",
            "process at rest, with links to 2 homes and 10 others",
            format!("{:.2} % + 12 × {:.4} %", agent.start, agent.slope),
            agent.start + agent.slope * 12.0,
            CORE,
            Some(b.core_percent),
        ),
        row(
            "agent",
            "heartbeats to its home entries",
            format!("{HOMES} × (2/s × {delta_bytes:.0} B + {whole:.0} B / 10 s)"),
            HOMES * stream / 1e3,
            BYTES_S,
            budget,
        ),
        row(
            "entry",
            "heartbeats of the agents it is home to",
            format!("{homed:.1} × (2/s × {delta_bytes:.0} B + {whole:.0} B / 10 s)"),
            homed * stream / 1e3,
            BYTES_S,
            budget,
        ),
        row(
            "entry",
            "changes of residency and life, heard and told on",
            format!("{moves:.1}/s × {news:.0} B × 4"),
            told / 1e3,
            BYTES_S,
            budget,
        ),
        row(
            "entry",
            "demands sent to and summed at home entries of models",
            format!("{seen:.0} models × {demand:.0} B × 4 / {SUM_EVERY_S} s"),
            demands / 1e3,
            BYTES_S,
            budget,
        ),
        row(
            "entry",
            "all of these, with targets each 2 s",
            "sum".to_owned(),
            bytes / 1e3,
            BYTES_S,
            budget,
        ),
        row(
            "entry",
            "homed links, moves, changes, one judgement in 5 s",
            format!("{:.2} % + {homed:.1} links", resting.start.max(0.0)),
            percent,
            CORE,
            Some(b.core_percent),
        ),
        row(
            "entry",
            "memory: process, all agents, links it needs",
            format!("{base:.0} B + {:.0} agents + {links:.0} links", t.agents),
            (base + memory) / 1e6,
            MEMORY,
            Some(b.memory_bytes / 1e6),
        ),
        row(
            "platform's service",
            "watches of two entries in each failure domain",
            format!("{:.0} × 2 × 3 prefixes", t.domains),
            t.domains * 2.0 * 3.0,
            "calls/s",
            Some(b.platform_reads_per_s),
        ),
    ]
}
