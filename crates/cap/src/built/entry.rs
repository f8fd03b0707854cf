//! The entry, and the entry as planner.

use super::{BYTES_S, CORE, MEMORY, Row, link_bytes, row};
use crate::measure::entry::BEAT_AGENTS;
use crate::measured::Measured;
use crate::target::{Budget, Target, core_percent};

/// Requests that an entry may hold waiting, by default.
const WAITING_MAX: f64 = 4_096.0;
/// Events that a process keeps, by default.
const EVENTS_KEPT: f64 = 20_000.0;
/// Plans a second of an entry.
const PLANS_PER_S: f64 = 2.0;
/// Models of the document with which plans were measured against agents.
const PLAN_MODELS: f64 = 200.0;

/// Processor time.
pub(super) fn time(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let beats = t.beats_per_s();
    let others = t.entries - 1.0;
    let cost = |calls, ns| core_percent(calls, ns);
    let heartbeats = t.agents * beats;
    let budget = Some(b.core_percent);
    let resting = m.by_agents(|rest| rest.entry_percent);
    let meshed = m.by_entries(|rest| rest.entry_percent);
    vec![
        row(
            "entry",
            "heartbeats of all agents, in the machine",
            format!(
                "{heartbeats:.0}/s × {:.0} µs",
                m.heartbeat.at(t.agents) / 1e3
            ),
            cost(heartbeats, m.heartbeat.at(t.agents)),
            CORE,
            budget,
        ),
        row(
            "entry",
            "links to all agents at rest, in the process",
            format!("{:.0} × {:.4} %", t.agents, resting.slope),
            resting.start + resting.slope * t.agents,
            CORE,
            budget,
        ),
        row(
            "entry",
            "gossip of all entries, already known",
            format!(
                "{:.0}/s × {:.2} ms",
                others * beats,
                m.gossip_known.at(t.agents) / 1e6
            ),
            cost(others * beats, m.gossip_known.at(t.agents)),
            CORE,
            budget,
        ),
        row(
            "entry",
            "demands in that gossip",
            format!(
                "{:.0}/s × {:.2} ms",
                others * beats,
                m.gossip_demands.at(t.models) / 1e6
            ),
            cost(others * beats, m.gossip_demands.at(t.models)),
            CORE,
            budget,
        ),
        row(
            "entry",
            "links to all entries at rest, 16 agents, in the process",
            format!("{:.0} × {:.4} %", t.entries, meshed.slope),
            meshed.start + meshed.slope * t.entries,
            CORE,
            budget,
        ),
        row(
            "entry",
            "own beat, for agents and entries",
            format!("{beats:.0}/s × {:.1} s", own_beat_ns(m, t) / 1e9),
            cost(beats, own_beat_ns(m, t)),
            CORE,
            budget,
        ),
        row(
            "entry",
            "configuration changes",
            format!(
                "{:.2}/s × {:.2} ms",
                t.changes_per_s(),
                m.entry_change.at(t.models) / 1e6
            ),
            cost(t.changes_per_s(), m.entry_change.at(t.models)),
            CORE,
            budget,
        ),
        row(
            "entry",
            "requests and parts (work, not control)",
            format!(
                "{:.1}/s × {:.1} µs + {:.0}/s × {:.2} µs",
                t.entry_requests_per_s(),
                m.request.at(t.holders()) / 1e3,
                t.entry_parts_per_s(),
                m.part.at(t.entry_in_flight()) / 1e3
            ),
            cost(t.entry_requests_per_s(), m.request.at(t.holders()))
                + cost(t.entry_parts_per_s(), m.part.at(t.entry_in_flight())),
            CORE,
            None,
        ),
    ]
}

/// One beat at the target: each peer gets a copy with each agent's heartbeat.
fn own_beat_ns(m: &Measured, t: &Target) -> f64 {
    let agents = t.agents / BEAT_AGENTS as f64;
    m.beat_agents.at(t.agents) + m.beat_entries.at(t.entries) * agents
}

/// Bytes a second, and memory.
pub(super) fn rest(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let beats = t.beats_per_s();
    let heartbeat = m.heartbeat_bytes.at(t.residents);
    let others = t.entries - 1.0;
    let gossip = m.gossip_agents_bytes.at(t.agents)
        + m.gossip_demands_bytes.per_item() * t.models;
    let agents = m.memory_of("agent known") * t.agents;
    let entries = m.memory_of("entry known") * t.entries;
    let requests = m.memory_of("request in flight") * t.entry_in_flight()
        + m.memory_of("request waiting") * WAITING_MAX;
    let events = m.memory_of("event kept") * EVENTS_KEPT;
    let rest = m.memory_of("model") * t.models + events;
    vec![
        row(
            "entry",
            "heartbeats received",
            format!("{:.0}/s × {heartbeat:.0} B", t.agents * beats),
            t.agents * beats * heartbeat / 1e3,
            BYTES_S,
            Some(b.bytes_per_s / 1e3),
        ),
        row(
            "entry",
            "gossip sent, and as much received",
            format!("{:.0}/s × {:.2} MB", others * beats, gossip / 1e6),
            others * beats * gossip / 1e3,
            BYTES_S,
            Some(b.bytes_per_s / 1e3),
        ),
        row(
            "entry",
            "memory for agents and their links",
            format!(
                "{:.0} × ({:.2} + {:.1}) kB",
                t.agents,
                m.memory_of("agent known") / 1e3,
                link_bytes(m) / 1e3
            ),
            (agents + link_bytes(m) * t.agents) / 1e6,
            MEMORY,
            Some(b.memory_bytes / 1e6),
        ),
        row(
            "entry",
            "memory for entries and their demands",
            format!(
                "{:.0} × {:.0} kB",
                t.entries,
                m.memory_of("entry known") / 1e3
            ),
            entries / 1e6,
            MEMORY,
            Some(b.memory_bytes / 1e6),
        ),
        row(
            "entry",
            "memory for requests, configuration, time line",
            format!(
                "{:.0} in flight, {WAITING_MAX} waiting, {EVENTS_KEPT} events",
                t.entry_in_flight()
            ),
            (requests + rest) / 1e6,
            MEMORY,
            Some(b.memory_bytes / 1e6),
        ),
    ]
}

/// Planning.
pub(super) fn planner(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let by_models =
        m.entry_plan_models.at(t.models) / m.entry_plan_models.at(PLAN_MODELS).max(1.0);
    let plan_ns = m.entry_plan_agents.at(t.agents) * by_models;
    let cells = t.agents / 64.0;
    let own_cells = cells / t.entries;
    let cell_ns = m.plan_agents.at(64.0) * m.plan_models.at(t.models)
        / m.plan_models.at(PLAN_MODELS).max(1.0);
    let target = m.target_bytes.at(t.residents);
    vec![
        row(
            "entry as planner",
            "all cells and models shared out, by each entry",
            format!("{PLANS_PER_S}/s × {:.1} s", plan_ns / 1e9),
            core_percent(PLANS_PER_S, plan_ns),
            CORE,
            Some(b.core_percent),
        ),
        row(
            "entry as planner",
            "own cells, were they given all models",
            format!(
                "{cells:.0} cells / {:.0} entries × {PLANS_PER_S}/s × {:.1} ms",
                t.entries,
                cell_ns / 1e6
            ),
            core_percent(PLANS_PER_S * own_cells, cell_ns),
            CORE,
            Some(b.core_percent),
        ),
        row(
            "entry as planner",
            "targets sent",
            format!(
                "{:.1} agents × {PLANS_PER_S}/s × {target:.0} B",
                64.0 * own_cells
            ),
            64.0 * own_cells * PLANS_PER_S * target / 1e3,
            BYTES_S,
            Some(b.bytes_per_s / 1e3),
        ),
    ]
}
