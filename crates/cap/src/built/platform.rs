//! The platform's service.

use super::{BYTES_S, Row, row};
use crate::measured::Measured;
use crate::target::{Budget, Target};

/// Interval at which each entry lists the platform's words on instances.
const INSTANCES_EVERY_S: f64 = 3.0;
/// A watch that saw nothing ends and is asked again after this time.
const WATCH_S: f64 = 25.0;
/// Bytes of one instance in that list: key, version and value in base64.
const INSTANCE_BYTES: f64 = 90.0;
/// Watches that wait at the platform for each entry: configuration and members.
const WATCHES: f64 = 2.0;

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
