//! The platform's service, the rows of a lost failure domain and of a healed
//! cut, as things are built now; and what the mechanisms that are missing would
//! leave of the control budget.

use crate::measured::Measured;
use crate::now::{BYTES_S, CORE, MEMORY, Row, link_bytes, row};
use crate::target::{Budget, Target, core_percent};

/// Interval at which each entry lists the platform's words on instances.
const INSTANCES_EVERY_S: f64 = 3.0;
/// A watch that saw nothing ends and is asked again after this time.
const WATCH_S: f64 = 25.0;
/// Bytes of one instance in that list: key, version and value in base64.
const INSTANCE_BYTES: f64 = 90.0;
/// Watches that wait at the platform for each entry: configuration and members.
const WATCHES: f64 = 2.0;
/// Silence after which an agent is given up, in heartbeats.
const LOST_BEATS: f64 = 10.0;
/// Minutes for which regions lose each other.
const CUT_S: f64 = 600.0;

/// The platform's service.
pub fn platform(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let reads = Some(b.platform_reads_per_s);
    let writes = Some(b.platform_writes_per_s);
    let lists = t.entries / INSTANCES_EVERY_S;
    let starts = t.starts_per_s();
    let start_writes = m.calls_of_start.writes as f64;
    let start_reads = m.calls_of_start.reads as f64;
    let changed = t.changes_per_s() + starts * 2.0;
    vec![
        row(
            "platform's service",
            "waiting watches of entries",
            format!("{:.0} × {WATCHES}, each again after {WATCH_S} s", t.entries),
            t.entries * WATCHES,
            "calls/s",
            reads,
        ),
        row(
            "platform's service",
            "watches that end by a change",
            format!("{:.0} entries × {changed:.2}/s", t.entries),
            t.entries * changed,
            "calls/s",
            reads,
        ),
        row(
            "platform's service",
            "lists of instances by entries",
            format!("{:.0} / {INSTANCES_EVERY_S} s", t.entries),
            lists,
            "calls/s",
            reads,
        ),
        row(
            "platform's service",
            "bytes of those lists",
            format!("{lists:.0}/s × {:.0} × {INSTANCE_BYTES} B", t.agents),
            lists * t.agents * INSTANCE_BYTES / 1e3,
            BYTES_S,
            None,
        ),
        row(
            "platform's service",
            "reads by agents' starts",
            format!("{starts:.3}/s × {start_reads}"),
            starts * start_reads,
            "calls/s",
            reads,
        ),
        row(
            "platform's service",
            "writes by agents' starts and changes",
            format!(
                "{starts:.3}/s × {start_writes} + {:.2}/s × 2",
                t.changes_per_s()
            ),
            starts * start_writes + t.changes_per_s() * 2.0,
            "calls/s",
            writes,
        ),
        row(
            "platform's service",
            "writes by loads, each accelerator once an hour",
            format!("{:.0} / h × {}", t.accelerators, m.calls_of_load.writes),
            t.accelerators / 3_600.0 * m.calls_of_load.writes as f64,
            "calls/s",
            writes,
        ),
        row(
            "platform's service",
            "keyed calls that 64 shards' bound holds for a day",
            format!("64 × 900 kB / {:.0} B", m.claim_bytes.per_item()),
            64.0 * 900e3 / m.claim_bytes.per_item().max(1.0),
            "claims",
            None,
        ),
    ]
}

/// Loss of a failure domain, and a healed cut between one region and the rest.
pub fn events(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let lost = t.domain_agents();
    let left = t.entries - t.domain_entries();
    let silences = m.silence_bytes.per_item() * lost;
    let judged = m.lost.at(lost);
    let region_agents = t.agents / t.regions;
    let region_entries = t.entries / t.regions;
    let far = t.entries - region_entries;
    let gossip = m.gossip_agents_bytes.per_item() * region_agents;
    let missed = CUT_S * t.changes_per_s();
    let starts = m.calls_of_start.writes as f64 * lost;
    vec![
        row(
            "loss of a domain",
            "until its agents are given up",
            format!("{LOST_BEATS} heartbeats; no new work after 3"),
            LOST_BEATS * t.heartbeat_s,
            "s",
            None,
        ),
        row(
            "loss of a domain",
            "one entry gives them up and moves their requests",
            format!("{lost:.0} agents, about a request in flight at each"),
            judged / 1e6,
            "ms",
            None,
        ),
        row(
            "loss of a domain",
            "messages a second between entries",
            format!("{left:.0} × {:.0} × 2/s", left - 1.0),
            left * (left - 1.0) * t.beats_per_s(),
            "messages/s",
            None,
        ),
        row(
            "loss of a domain",
            "silences sent by one entry, until they are forgotten (300 s)",
            format!("{:.0} × 2/s × {:.0} kB", left - 1.0, silences / 1e3),
            (left - 1.0) * t.beats_per_s() * silences / 1e3,
            BYTES_S,
            Some(b.bytes_per_s / 1e3),
        ),
        row(
            "loss of a domain",
            "when it comes back: platform's writes, at 300 a second",
            format!("{lost:.0} × {}", m.calls_of_start.writes),
            starts / b.platform_writes_per_s,
            "s",
            None,
        ),
        row(
            "healed cut",
            "links made anew between the region and the rest",
            format!(
                "{region_entries:.0} × {:.0} + {far:.0} × {region_agents:.0} + entries",
                t.agents - region_agents
            ),
            region_entries * (t.agents - region_agents)
                + far * region_agents
                + 2.0 * region_entries * far,
            "links",
            None,
        ),
        row(
            "healed cut",
            "an entry takes its first news from the other side",
            format!(
                "{region_entries:.0} gossips of {region_agents:.0} heartbeats, {:.1} MB",
                region_entries * gossip / 1e6
            ),
            (m.gossip_agents.at(region_agents)
                + (region_entries - 1.0) * m.gossip_known.at(region_agents))
                / 1e9,
            "s of a core",
            None,
        ),
        row(
            "healed cut",
            "changes missed in 10 min, taken by one process",
            format!(
                "{missed:.0} changes, {:.0} B, {:.1} ms each",
                missed * m.change_bytes.per_item(),
                m.agent_change.at(t.models) / 1e6
            ),
            missed * m.agent_change.at(t.models) / 1e6,
            "ms",
            None,
        ),
    ]
}

/// Home entries of one agent in the design ahead.
pub const HOMES: f64 = 2.0;
/// Seconds between two whole heartbeats in that design.
pub const WHOLE_EVERY_S: f64 = 10.0;
/// Links that an entry keeps to agents it has sent work to lately.
pub const LAZY_LINKS: f64 = 400.0;
/// Moves of the whole fleet a second: each accelerator changes its model once
/// an hour.
pub const MOVES_PER_ACCELERATOR_S: f64 = 1.0 / 3_600.0;
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
    let percent = core_percent(homed * beats + moves * HEARD_TWICE, HEARD_NS)
        + core_percent(t.changes_per_s(), m.entry_change.at(t.models))
        + core_percent(0.2, m.beat_agents.at(t.agents));
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
            "heartbeats, moves, changes, one judgement in 5 s",
            "heartbeat at one cost whatever is known".to_owned(),
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

/// Duration that a heartbeat takes where not all agents are judged at each: that
/// measured with 16 agents known, rounded up.
const HEARD_NS: f64 = 10_000.0;
