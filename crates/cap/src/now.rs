//! What each role costs at the target as it is built now: every entry connects to
//! every agent and to every other entry, and tells all it hears.

use crate::measure::entry::BEAT_AGENTS;
use crate::measured::Measured;
use crate::target::{Budget, Target, core_percent};

/// One line of a table of results.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Who pays.
    pub role: &'static str,
    /// What for.
    pub quantity: &'static str,
    /// How the result comes about.
    pub from: String,
    /// At the target.
    pub result: f64,
    /// Unit of result and budget.
    pub unit: &'static str,
    /// What may be spent, where the users gave it.
    pub budget: Option<f64>,
}

impl Row {
    /// Whether the result is over its budget.
    pub fn is_missed(&self) -> bool {
        self.budget.is_some_and(|budget| self.result > budget)
    }
}

pub(crate) fn row(
    role: &'static str,
    quantity: &'static str,
    from: String,
    result: f64,
    unit: &'static str,
    budget: Option<f64>,
) -> Row {
    Row {
        role,
        quantity,
        from,
        result,
        unit,
        budget,
    }
}

pub(crate) const CORE: &str = "% of a core";
pub(crate) const BYTES_S: &str = "kB/s";
pub(crate) const MEMORY: &str = "MB";

/// Requests that an entry may hold waiting, by default.
const WAITING_MAX: f64 = 4_096.0;
/// Events that a process keeps, by default.
const EVENTS_KEPT: f64 = 20_000.0;
/// Time for which an agent remembers an attempt, with a deadline of a minute.
const ATTEMPT_LIFE_S: f64 = 600.0;
/// Plans a second of an entry.
const PLANS_PER_S: f64 = 2.0;
/// Models of the document with which plans were measured against agents.
const PLAN_MODELS: f64 = 200.0;
/// An agent asks for changes at each fourth heartbeat.
const ASKS_PER_BEAT: f64 = 0.25;
/// Reports of the upstream a second.
const REPORTS_PER_S: f64 = 1.0 / 0.15;

/// Every row.
pub fn rows(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let mut rows = entry_time(m, t, b);
    rows.extend(entry_rest(m, t, b));
    rows.extend(planner(m, t, b));
    rows.extend(agent(m, t, b));
    rows.extend(operator(m, t));
    rows
}

fn entry_time(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let beats = t.beats_per_s();
    let others = t.entries - 1.0;
    let cost = |calls, ns| core_percent(calls, ns);
    let heartbeats = t.agents * beats;
    let budget = Some(b.core_percent);
    vec![
        row(
            "entry",
            "heartbeats of all agents",
            format!("{heartbeats:.0}/s × {:.0} ns", m.heartbeat.at(t.agents)),
            cost(heartbeats, m.heartbeat.at(t.agents)),
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

fn entry_rest(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
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

/// Memory of one more agent at a real entry, less what the directory keeps of
/// it: the link with its buffers and tasks.
pub fn link_bytes(m: &Measured) -> f64 {
    let samples: Vec<_> = m
        .links
        .iter()
        .map(|rest| crate::fit::Sample {
            size: rest.agents as f64,
            cost: rest.entry_bytes as f64,
        })
        .collect();
    let line = crate::fit::line(&samples);
    line.map_or(0.0, |line| {
        (line.slope - m.memory_of("agent known")).max(0.0)
    })
}

fn planner(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
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

fn agent(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let beats = t.beats_per_s();
    let heartbeat = m.heartbeat_bytes.at(t.residents);
    let beat_ns = m.agent_beat_entries.at(t.entries);
    let asks = beats * ASKS_PER_BEAT;
    let idle = m.links.last().map_or(0.0, |rest| rest.agent_percent);
    let resident = m.links.last().map_or(0, |rest| rest.agent_bytes) as f64;
    let kept = m.memory_of("attempt kept") * t.agent_requests_per_s() * ATTEMPT_LIFE_S;
    let links = link_bytes(m) * t.entries;
    vec![
        row(
            "agent",
            "heartbeats sent to every entry",
            format!("{:.0} × {beats:.0}/s × {heartbeat:.0} B", t.entries),
            t.entries * beats * heartbeat / 1e3,
            BYTES_S,
            Some(b.bytes_per_s / 1e3),
        ),
        row(
            "agent",
            "heartbeats made and copied for every entry",
            format!("{beats:.0}/s × {:.2} ms", beat_ns / 1e6),
            core_percent(beats, beat_ns),
            CORE,
            Some(b.core_percent),
        ),
        row(
            "agent",
            "process at rest, one entry",
            "measured, with the poll of its upstream".to_owned(),
            idle,
            CORE,
            Some(b.core_percent),
        ),
        row(
            "agent",
            "machine: reports, changes, questions",
            format!(
                "{REPORTS_PER_S:.1}/s × {:.0} µs + {:.2}/s × {:.1} ms; {asks} asks/s",
                m.agent_report.at(t.residents) / 1e3,
                t.changes_per_s(),
                m.agent_change.at(t.models) / 1e6
            ),
            core_percent(REPORTS_PER_S, m.agent_report.at(t.residents))
                + core_percent(t.changes_per_s(), m.agent_change.at(t.models)),
            CORE,
            Some(b.core_percent),
        ),
        row(
            "agent",
            "memory: process, attempts kept, a link to every entry",
            format!(
                "{:.1} MB + {:.1} MB + {:.0} × {:.1} kB",
                resident / 1e6,
                kept / 1e6,
                t.entries,
                link_bytes(m) / 1e3
            ),
            (resident + kept + links) / 1e6,
            MEMORY,
            Some(b.memory_bytes / 1e6),
        ),
    ]
}

fn operator(m: &Measured, t: &Target) -> Vec<Row> {
    let last = m.links.last();
    let each_ms = last.map_or(0.0, |rest| rest.change_ms / rest.agents as f64);
    vec![
        row(
            "operator's tool",
            "check of the document",
            format!("exponent {:.2}", m.check.tail_exponent()),
            m.check.at(t.models) / 1e6,
            "ms",
            None,
        ),
        row(
            "operator's tool",
            "size of the document",
            format!("{:.0} B a model", m.document_bytes.per_item()),
            m.document_bytes.at(t.models) / 1e3,
            "kB",
            Some(900.0),
        ),
        row(
            "operator's tool",
            "publish and see it in force in every process",
            format!("{each_ms:.2} ms a process, carried on in proportion"),
            each_ms * (t.agents + t.entries) / 1e3,
            "s",
            Some(t.change_s),
        ),
    ]
}
