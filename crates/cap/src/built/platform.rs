//! The platform's service.

use super::{BYTES_S, Row, row};
use crate::measured::Measured;
use crate::target::{Budget, Target};

/// Interval at which each entry lists the platform's words on instances.
const INSTANCES_EVERY_S: f64 = 30.0;
/// Mean time between two looks of an entry for the next revision.
const LOOK_EVERY_S: f64 = 7.5;
/// Looks between two reads of the snapshot, the revisions and the members.
const LOOKS_PER_LIST: f64 = 6.0;
/// Calls that such a look makes besides.
const CALLS_PER_LIST: f64 = 3.0;
/// Bytes of one instance or member in a list: key, version, value in base64.
const LISTED_BYTES: f64 = 90.0;
/// Entries of one failure domain that wait for news.
const WATCHERS: f64 = 2.0;
/// Watches that wait for each of them: configuration, members, instances.
const WATCHES: f64 = 3.0;

/// The platform's service.
pub fn platform(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let reads = Some(b.platform_reads_per_s);
    let writes = Some(b.platform_writes_per_s);
    let lists = t.entries / INSTANCES_EVERY_S;
    let looks = t.entries / LOOK_EVERY_S;
    let whole = looks / LOOKS_PER_LIST;
    let watchers = t.domains * WATCHERS;
    let starts = t.starts_per_s();
    let start_writes = m.calls_of_start.writes as f64;
    let start_reads = m.calls_of_start.reads as f64;
    let changed = t.changes_per_s() + starts * 2.0;
    vec![
        row(
            "platform's service",
            "waiting watches of two entries a failure domain",
            format!("{watchers:.0} × {WATCHES}"),
            watchers * WATCHES,
            "calls/s",
            reads,
        ),
        row(
            "platform's service",
            "watches that end by a change",
            format!("{watchers:.0} entries × {changed:.2}/s"),
            watchers * changed,
            "calls/s",
            reads,
        ),
        row(
            "platform's service",
            "looks of entries for the next revision",
            format!("{:.0} / {LOOK_EVERY_S} s", t.entries),
            looks,
            "calls/s",
            reads,
        ),
        row(
            "platform's service",
            "reads of snapshot, revisions and members beside a look",
            format!("{whole:.0}/s × {CALLS_PER_LIST}"),
            whole * CALLS_PER_LIST,
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
            "bytes of the lists of instances and members",
            format!(
                "({lists:.0} + {whole:.0})/s × {:.0} × {LISTED_BYTES} B",
                t.agents
            ),
            (lists + whole) * t.agents * LISTED_BYTES / 1e3,
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
