//! Costs at the platform's service.

use super::{Row, UNIT_RATE, row};
use crate::measurements::Measurements;
use crate::target::{CapacityTarget, NodeBudget};

/// Interval at which each entry lists the platform's records of instances, in
/// seconds.
const INSTANCE_LIST_INTERVAL_S: f64 = 30.0;
/// Mean time between two polls of an entry for the next revision, in seconds.
const REVISION_POLL_INTERVAL_S: f64 = 7.5;
/// Number of polls between two reads of the snapshot, the revisions and the
/// members.
const POLLS_PER_LIST: f64 = 6.0;
/// Calls that such a poll makes in addition.
const CALLS_PER_LIST: f64 = 3.0;
/// Bytes of one instance or member in a list: key, version, and value in
/// base64.
const LISTED_OBJECT_BYTES: f64 = 90.0;
/// Entries of one failure domain that watch for changes.
const WATCHING_ENTRIES: f64 = 2.0;
/// Watches of each of these entries: configuration, members, instances.
const WATCHES_PER_ENTRY: f64 = 3.0;

/// Costs at the platform's service.
pub fn platform(
    measurements: &Measurements,
    target: &CapacityTarget,
    budget: &NodeBudget,
) -> Vec<Row> {
    let read_budget = Some(budget.platform_reads_per_s);
    let write_budget = Some(budget.platform_writes_per_s);
    let instance_lists_per_s = target.entries / INSTANCE_LIST_INTERVAL_S;
    let polls_per_s = target.entries / REVISION_POLL_INTERVAL_S;
    let full_lists_per_s = polls_per_s / POLLS_PER_LIST;
    let watching_entries = target.domains * WATCHING_ENTRIES;
    let starts_per_s = target.agent_starts_per_s();
    let start_writes = measurements.calls_per_start.writes as f64;
    let start_reads = measurements.calls_per_start.reads as f64;
    let changes_per_s = target.changes_per_s() + starts_per_s * 2.0;
    vec![
        row(
            "platform's service",
            "waiting watches of two entries a failure domain",
            format!("{watching_entries:.0} × {WATCHES_PER_ENTRY}"),
            watching_entries * WATCHES_PER_ENTRY,
            "calls/s",
            read_budget,
        ),
        row(
            "platform's service",
            "watches that end by a change",
            format!("{watching_entries:.0} entries × {changes_per_s:.2}/s"),
            watching_entries * changes_per_s,
            "calls/s",
            read_budget,
        ),
        row(
            "platform's service",
            "looks of entries for the next revision",
            format!("{:.0} / {REVISION_POLL_INTERVAL_S} s", target.entries),
            polls_per_s,
            "calls/s",
            read_budget,
        ),
        row(
            "platform's service",
            "reads of snapshot, revisions and members beside a look",
            format!("{full_lists_per_s:.0}/s × {CALLS_PER_LIST}"),
            full_lists_per_s * CALLS_PER_LIST,
            "calls/s",
            read_budget,
        ),
        row(
            "platform's service",
            "lists of instances by entries",
            format!("{:.0} / {INSTANCE_LIST_INTERVAL_S} s", target.entries),
            instance_lists_per_s,
            "calls/s",
            read_budget,
        ),
        row(
            "platform's service",
            "bytes of the lists of instances and members",
            format!(
                "({instance_lists_per_s:.0} + {full_lists_per_s:.0})/s × {:.0} × {LISTED_OBJECT_BYTES} B",
                target.agents
            ),
            (instance_lists_per_s + full_lists_per_s)
                * target.agents
                * LISTED_OBJECT_BYTES
                / 1e3,
            UNIT_RATE,
            None,
        ),
        row(
            "platform's service",
            "reads by agents' starts",
            format!("{starts_per_s:.3}/s × {start_reads}"),
            starts_per_s * start_reads,
            "calls/s",
            read_budget,
        ),
        row(
            "platform's service",
            "writes by agents' starts and changes",
            format!(
                "{starts_per_s:.3}/s × {start_writes} + {:.2}/s × 2",
                target.changes_per_s()
            ),
            starts_per_s * start_writes + target.changes_per_s() * 2.0,
            "calls/s",
            write_budget,
        ),
        row(
            "platform's service",
            "writes by loads, each accelerator once an hour",
            format!(
                "{:.0} / h × {}",
                target.accelerators, measurements.calls_per_load.writes
            ),
            target.accelerators / 3_600.0 * measurements.calls_per_load.writes as f64,
            "calls/s",
            write_budget,
        ),
        row(
            "platform's service",
            "keyed requests that 64 shards hold for a day",
            format!(
                "64 × 900 kB / {:.0} B",
                measurements.claim_bytes.cost_per_item()
            ),
            64.0 * 900e3 / measurements.claim_bytes.cost_per_item().max(1.0),
            "claims",
            None,
        ),
    ]
}
