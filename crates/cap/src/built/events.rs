//! The loss of a failure domain, and a healed cut between regions.

use super::{BYTES_S, Row, row};
use crate::measured::Measured;
use crate::target::{Budget, Target};

/// Silence after which an agent is given up, in heartbeats.
const LOST_BEATS: f64 = 10.0;
/// Time for which regions lose each other.
const CUT_S: f64 = 600.0;

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
            "loads to bring its models back elsewhere",
            format!("{lost:.0} × {}; the store's rate decides", t.residents),
            lost * t.residents,
            "loads",
            None,
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
                "{missed:.0} changes, {:.0} B, resolved once in {:.1} ms",
                missed * m.change_bytes.per_item(),
                m.agent_change.at(t.models) / 1e6
            ),
            m.agent_change.at(t.models) / 1e6,
            "ms",
            None,
        ),
    ]
}
