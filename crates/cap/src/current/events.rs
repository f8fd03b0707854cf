//! Costs of the loss of a failure domain, and of the end of a network partition
//! between regions.

use super::{Row, UNIT_RATE, row};
use crate::measurements::Measurements;
use crate::target::{CapacityTarget, NodeBudget};

/// Missed heartbeats after which an agent counts as lost.
const LOST_AFTER_HEARTBEATS: f64 = 10.0;
/// Duration of the partition, in seconds.
const PARTITION_S: f64 = 600.0;

/// Costs of the loss of a failure domain, and of the end of a partition between
/// one region and the others.
pub fn events(
    measurements: &Measurements,
    target: &CapacityTarget,
    budget: &NodeBudget,
) -> Vec<Row> {
    let lost_agents = target.domain_agents();
    let remaining_entries = target.entries - target.domain_entries();
    let silence_bytes = measurements.silence_bytes.cost_per_item() * lost_agents;
    let loss_ns = measurements.agents_lost.cost_at(lost_agents);
    let region_agents = target.agents / target.regions;
    let region_entries = target.entries / target.regions;
    let other_entries = target.entries - region_entries;
    let gossip_bytes = measurements.gossip_agents_bytes.cost_per_item() * region_agents;
    let missed_changes = PARTITION_S * target.changes_per_s();
    let start_writes = measurements.calls_per_start.writes as f64 * lost_agents;
    vec![
        row(
            "loss of a domain",
            "until its agents count as lost",
            format!("{LOST_AFTER_HEARTBEATS} heartbeats; no new work after 3"),
            LOST_AFTER_HEARTBEATS * target.heartbeat_s,
            "s",
            None,
        ),
        row(
            "loss of a domain",
            "one entry marks them as lost and moves their requests",
            format!("{lost_agents:.0} agents, about a request in flight at each"),
            loss_ns / 1e6,
            "ms",
            None,
        ),
        row(
            "loss of a domain",
            "messages a second between entries",
            format!(
                "{remaining_entries:.0} × {:.0} × 2/s",
                remaining_entries - 1.0
            ),
            remaining_entries * (remaining_entries - 1.0) * target.heartbeats_per_s(),
            "messages/s",
            None,
        ),
        row(
            "loss of a domain",
            "silences sent by one entry, until they are forgotten (300 s)",
            format!(
                "{:.0} × 2/s × {:.0} kB",
                remaining_entries - 1.0,
                silence_bytes / 1e3
            ),
            (remaining_entries - 1.0) * target.heartbeats_per_s() * silence_bytes / 1e3,
            UNIT_RATE,
            Some(budget.bytes_per_s / 1e3),
        ),
        row(
            "loss of a domain",
            "loads to bring its models back elsewhere",
            format!(
                "{lost_agents:.0} × {}; the store's rate decides",
                target.residents
            ),
            lost_agents * target.residents,
            "loads",
            None,
        ),
        row(
            "loss of a domain",
            "when it returns: writes to the platform, at 300 per second",
            format!("{lost_agents:.0} × {}", measurements.calls_per_start.writes),
            start_writes / budget.platform_writes_per_s,
            "s",
            None,
        ),
        row(
            "end of a partition",
            "links re-established between the region and the rest",
            format!(
                "{region_entries:.0} × {:.0} + {other_entries:.0} × {region_agents:.0} + entries",
                target.agents - region_agents
            ),
            region_entries * (target.agents - region_agents)
                + other_entries * region_agents
                + 2.0 * region_entries * other_entries,
            "links",
            None,
        ),
        row(
            "end of a partition",
            "an entry handles its first gossip from the other side",
            format!(
                "{region_entries:.0} gossips of {region_agents:.0} heartbeats, {:.1} MB",
                region_entries * gossip_bytes / 1e6
            ),
            (measurements.gossip_agents.cost_at(region_agents)
                + (region_entries - 1.0)
                    * measurements.gossip_known.cost_at(region_agents))
                / 1e9,
            "s of a core",
            None,
        ),
        row(
            "end of a partition",
            "changes missed in 10 min, applied by one process",
            format!(
                "{missed_changes:.0} changes, {:.0} B, resolved once in {:.1} ms",
                missed_changes * measurements.change_bytes.cost_per_item(),
                measurements.agent_change.cost_at(target.models) / 1e6
            ),
            measurements.agent_change.cost_at(target.models) / 1e6,
            "ms",
            None,
        ),
    ]
}
