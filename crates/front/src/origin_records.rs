//! Records in the platform of where streams began.
//!
//! Entries tell one another where a stream began (see [`stream_origins`]). After all of
//! them have ended, these records are what is left of it. Each entry writes those of its
//! own streams, a moment after their first event, and reads those of all entries when it
//! is asked for the rest of a stream of which no entry knows.
//!
//! [`stream_origins`]: crate::stream_origins

mod segment;

use base::prelude::*;
use base::{PlatformOp, PlatformResult, Precondition};
use direct::{OriginSegments, SoftwareVersion, StreamId, origin_write_interval_ms};
use parking_lot::Mutex;
use plat::ListedObject;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

use self::segment::SegmentRecord;
use crate::refused_parts::unix_now_ms;
use crate::state::Node;
use crate::state::unreadable::ObjectKind;

/// Time for which a read of the records serves further requests. The streams that they
/// ask for broke off before.
const READ_VALID_MS: u64 = 500;

/// Longest time for which a stream that was read is remembered.
const KEEP_MAX_MS: u64 = 120_000;

/// Difference by which the times of day of two entries may differ, with a margin.
const CLOCK_MARGIN_MS: u64 = 30_000;

/// Time after the end of its streams at which a record is deleted by whoever reads it.
/// Entries that run use their objects again, so it is one of an entry that is gone.
const ABANDONED_MS: u64 = 600_000;

/// Maximum number of abandoned records that are deleted after a read.
const DELETIONS_MAX: usize = 16;

/// Streams that are to be recorded, and reads of the records.
#[derive(Debug, Default)]
pub(crate) struct OriginRecords {
    segments: Mutex<OriginSegments>,
    /// When the records were last read, or that was tried. Held during a read.
    read_at: tokio::sync::Mutex<Option<Instant>>,
}

impl OriginRecords {
    /// Records that the first event of a stream is about to be forwarded.
    pub(crate) fn add(&self, id: StreamId) {
        self.segments.lock().add(id);
    }
}

/// Writes the records of this entry's streams, forever.
pub(crate) async fn record_origins(node: Arc<Node>) {
    let mut knows_slots = node.options.is_first_start;
    let mut generation = node.platform.generation();
    let mut written_at = None;
    loop {
        // Another version may begin to serve at any moment.
        sleep(Duration::from_millis(interval_ms(&node, true))).await;
        let now = node.now();
        let several_versions = node.fleet.lock().has_several_versions();
        let interval_ms = interval_ms(&node, several_versions);
        if written_at.is_some_and(|at| now.ms_since(at) < interval_ms) {
            continue;
        }
        if generation < node.platform.generation() {
            generation = node.platform.generation();
            let known = node.stream_origins.known.lock();
            node.origin_records.segments.lock().restored(known.ids());
        }
        if !node.origin_records.segments.lock().has_unwritten() {
            continue;
        }
        // The objects of an earlier process hold streams that callers may ask for.
        knows_slots = knows_slots || read(&node).await;
        if knows_slots {
            write(&node).await;
            written_at = Some(now);
        }
    }
}

fn interval_ms(node: &Node, several_versions: bool) -> u64 {
    let writes_per_s = node.options.deployment.platform_writes_per_s;
    origin_write_interval_ms(several_versions, node.peers.entry_count(), writes_per_s)
}

/// Writes the segment that has grown, if any.
async fn write(node: &Node) {
    let now = node.now();
    let op = {
        let known = node.stream_origins.known.lock();
        let fleet = node.fleet.lock();
        let mut segments = node.origin_records.segments.lock();
        let is_certain = |origin: &_| fleet.confirms_origin(origin);
        let Some(segment) = segments.next_write(now, &known, is_certain) else {
            return;
        };
        let expires_unix_ms = unix_now_ms() + segment.expires_at.ms_since(now);
        PlatformOp::Write {
            key: format!("{}{}", own_prefix(node), segment.slot),
            precondition: Precondition::Any,
            value: SegmentRecord::new(&segment.streams, expires_unix_ms).encode(),
        }
    };
    let result = node.platform.call(&op).await;
    let mut segments = node.origin_records.segments.lock();
    match result {
        PlatformResult::Written(_) => segments.written(),
        PlatformResult::Unanswered => segments.unanswered(now),
        // It is written again at the next interval.
        _ => {}
    }
}

/// Prefix of the keys of this entry's records.
fn own_prefix(node: &Node) -> String {
    let keys = &node.options.keys;
    format!("{}{}-", keys.stream_origin_prefix, node.options.entry)
}

/// Reads the records of all entries, unless that was done lately.
pub(crate) async fn refresh(node: &Node) {
    let mut read_at = node.origin_records.read_at.lock().await;
    let began_at = node.now();
    if read_at.is_none_or(|at| began_at.ms_since(at) >= READ_VALID_MS) {
        *read_at = Some(began_at);
        // A stream that isn't found is refused, and its caller comes back.
        read(node).await;
    }
}

/// Reads the records of all entries. Returns whether the platform answered.
async fn read(node: &Node) -> bool {
    let prefix = node.options.keys.stream_origin_prefix.clone();
    let result = node.platform.call(&PlatformOp::List { prefix }).await;
    let PlatformResult::Objects(objects, _) = result else {
        return false;
    };
    let abandoned = adopt_all(node, &objects);
    for key in abandoned.into_iter().take(DELETIONS_MAX) {
        let precondition = Precondition::Any;
        let delete = PlatformOp::Delete { key, precondition };
        // If this fails, the next read deletes it.
        let _ = node.platform.call(&delete).await;
    }
    true
}

/// Remembers the streams of all records; returns the keys of abandoned ones.
fn adopt_all(node: &Node, objects: &[ListedObject]) -> Vec<String> {
    let own_prefix = own_prefix(node);
    let (mut own_slots, mut streams) = (0, 0);
    let mut abandoned = Vec::new();
    for (key, _, value) in objects {
        let record = match SegmentRecord::decode(value) {
            Ok(record) => record,
            Err(error) => {
                node.report_unreadable(ObjectKind::StreamOrigins, key, value, error);
                continue;
            }
        };
        let own_slot = key.strip_prefix(&own_prefix).map(str::parse::<usize>);
        if let Some(Ok(slot)) = own_slot {
            own_slots = own_slots.max(slot.saturating_add(1));
        } else if record.expires_unix_ms.saturating_add(ABANDONED_MS) < unix_now_ms() {
            abandoned.push(key.clone());
        }
        streams += adopt(node, &record);
    }
    let reserved_until = node.now().plus_ms(KEEP_MAX_MS);
    let mut segments = node.origin_records.segments.lock();
    segments.reserve_slots(own_slots, reserved_until);
    drop(segments);
    node.log.line(
        "stream_origins_read",
        json!({ "records": objects.len(), "streams": streams }),
    );
    abandoned
}

/// Remembers the streams of a record that callers may still ask for; returns how many.
fn adopt(node: &Node, record: &SegmentRecord) -> usize {
    let expires_unix_ms = record.expires_unix_ms.saturating_add(CLOCK_MARGIN_MS);
    let keep_ms = expires_unix_ms.saturating_sub(unix_now_ms());
    if keep_ms == 0 {
        return 0;
    }
    let now = node.now();
    let expires_at = now.plus_ms(keep_ms.min(KEEP_MAX_MS));
    let mut known = node.stream_origins.known.lock();
    let mut streams = 0;
    for (id, origin) in record.streams(now) {
        known.insert(id, origin, expires_at);
        streams += 1;
    }
    streams
}
