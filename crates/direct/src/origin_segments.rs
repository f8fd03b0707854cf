//! Batches in which an entry records where its streams began.
//!
//! Entries tell a few others where a stream began, and all of them may end at once. So
//! each entry also records its streams in the platform. It gathers them in segments;
//! each is one object, which is written again as the segment grows. A record stays true
//! whatever happens later; where one is missing, a stream can't be taken up.

use base::prelude::*;

use crate::{OriginProof, StreamId, StreamOrigin, StreamOrigins};

/// Time for which streams are added to a segment. Each write carries the whole segment,
/// and each reader reads one object for each segment.
const SEGMENT_MS: u64 = 2_000;

/// Maximum number of streams in a segment, about 70 kB.
const SEGMENT_STREAMS_MAX: usize = 4_096;

/// Maximum number of objects of an entry.
const SLOTS_MAX: usize = 64;

/// Time after the end of its streams for which an object isn't used for others. A write
/// without an answer may take effect seconds later, and would replace them.
const SLOT_REST_MS: u64 = 10_000;

/// Interval between two writes of an entry while several software versions serve.
const SEVERAL_VERSIONS_INTERVAL_MS: u64 = 250;

/// The same while one version serves. Each write is a call that the platform charges for;
/// a sole version needs no records once an entry has known it for as long as a stream
/// lasts.
const SOLE_VERSION_INTERVAL_MS: u64 = 5_000;

/// Part of the writes that the platform accepts from all entries together which is used
/// for these records.
const WRITES_SHARE: f64 = 0.1;

/// Returns the interval at which each of `entries` writes its segment.
pub fn origin_write_interval_ms(
    several_versions: bool,
    entries: usize,
    platform_writes_per_s: f64,
) -> u64 {
    let interval_ms = if several_versions {
        SEVERAL_VERSIONS_INTERVAL_MS
    } else {
        SOLE_VERSION_INTERVAL_MS
    };
    let shared_ms = entries as f64 * 1_000.0 / (platform_writes_per_s * WRITES_SHARE);
    interval_ms.max(shared_ms as u64)
}

/// Streams that are recorded in one object.
#[derive(Debug)]
pub struct OriginSegment {
    /// Number of the object, among those of the entry.
    pub slot: usize,
    /// The streams and where they began.
    pub streams: Vec<(StreamId, StreamOrigin)>,
    /// Until when their callers may ask for one of them.
    pub expires_at: Instant,
    began_at: Instant,
    is_written: bool,
}

/// A stream that is to be recorded.
#[derive(Debug, Clone, Copy)]
struct PendingStream {
    id: StreamId,
    /// Whether it is recorded, but not as certain.
    is_recorded: bool,
}

impl From<StreamId> for PendingStream {
    fn from(id: StreamId) -> Self {
        Self {
            id,
            is_recorded: false,
        }
    }
}

/// Streams of an entry that are to be recorded, and the objects for them.
#[derive(Debug, Default)]
pub struct OriginSegments {
    /// Streams that are in no segment yet, or not as certain.
    pending: Vec<PendingStream>,
    /// The segment to which streams are added.
    current: Option<OriginSegment>,
    /// For each object, when it may be used for other streams.
    slots: Vec<Instant>,
}

impl OriginSegments {
    /// Adds a stream whose first event is about to be forwarded.
    pub fn add(&mut self, id: StreamId) {
        self.pending.push(id.into());
    }

    /// Whether streams wait for a write.
    pub fn has_unwritten(&self) -> bool {
        let current = self.current.as_ref();
        let is_grown = current.is_some_and(|segment| !segment.is_written);
        is_grown || !self.pending.is_empty()
    }

    /// Reserves the first `count` objects until `until`: an earlier process of the entry
    /// wrote them.
    pub fn reserve_slots(&mut self, count: usize, until: Instant) {
        let count = count.min(SLOTS_MAX);
        if self.slots.len() < count {
            self.slots.resize(count, until);
        }
    }

    /// Returns the segment that is to be written now, if it has grown. `origins` or
    /// `is_certain` says whether it is certain where a stream began. One of which it is
    /// not is recorded all the same, and once more when it is.
    pub fn next_write(
        &mut self,
        now: Instant,
        origins: &StreamOrigins,
        is_certain: impl Fn(&StreamOrigin) -> bool,
    ) -> Option<&OriginSegment> {
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain_mut(|stream| {
            let known = origins.get(now, stream.id);
            let Some((origin, expires_at)) = known else {
                return false;
            };
            if origin.software.is_none() {
                return false;
            }
            let mut origin = origin.clone();
            let is_certain =
                origin.proof == OriginProof::Confirmed || is_certain(&origin);
            if is_certain {
                origin.proof = OriginProof::Confirmed;
            }
            if is_certain || !stream.is_recorded {
                self.add_to_segment(now, stream.id, origin, expires_at);
                stream.is_recorded = true;
            }
            !is_certain
        });
        self.pending = pending;
        self.current.as_ref().filter(|segment| !segment.is_written)
    }

    /// Records that the segment was written.
    pub fn written(&mut self) {
        if let Some(segment) = &mut self.current {
            segment.is_written = true;
        }
    }

    /// Records that it isn't known whether the segment was written. It moves to another
    /// object, as that write may take effect after a later one.
    pub fn unanswered(&mut self, now: Instant) {
        if let Some(segment) = self.current.take() {
            let slot = self.take_slot(now, segment.expires_at);
            self.current = Some(OriginSegment { slot, ..segment });
        }
    }

    /// Records that the platform lost its latest writes. The streams of which this entry
    /// knows where they began are recorded again.
    pub fn restored(&mut self, ids: impl IntoIterator<Item = StreamId>) {
        self.current = None;
        self.pending.clear();
        self.pending
            .extend(ids.into_iter().map(PendingStream::from));
    }

    fn add_to_segment(
        &mut self,
        now: Instant,
        id: StreamId,
        origin: StreamOrigin,
        expires_at: Instant,
    ) {
        let segment = self.segment_with_room(now);
        segment.streams.push((id, origin));
        segment.expires_at = segment.expires_at.max(expires_at);
        segment.is_written = false;
        let (slot, expires_at) = (segment.slot, segment.expires_at);
        self.slots[slot] = expires_at.plus_ms(SLOT_REST_MS);
    }

    fn segment_with_room(&mut self, now: Instant) -> &mut OriginSegment {
        let has_room = |segment: &OriginSegment| {
            let is_due = now.ms_since(segment.began_at) >= SEGMENT_MS;
            // One that is not written may not be left behind.
            let may_end = is_due && segment.is_written;
            !may_end && segment.streams.len() < SEGMENT_STREAMS_MAX
        };
        let current = self.current.take().filter(has_room);
        let segment = current.unwrap_or_else(|| OriginSegment {
            slot: self.take_slot(now, now),
            streams: Vec::new(),
            expires_at: now,
            began_at: now,
            is_written: true,
        });
        self.current.insert(segment)
    }

    /// Takes the object that was unused for longest, or a new one if none is free.
    fn take_slot(&mut self, now: Instant, expires_at: Instant) -> usize {
        let slots = self.slots.iter().enumerate();
        let oldest = slots.min_by_key(|(_, reusable_at)| **reusable_at);
        let oldest = oldest.map(|(slot, reusable_at)| (slot, *reusable_at));
        let reusable_at = expires_at.plus_ms(SLOT_REST_MS);
        match oldest {
            Some((slot, at)) if at <= now || self.slots.len() >= SLOTS_MAX => {
                self.slots[slot] = reusable_at;
                slot
            }
            _ => {
                self.slots.push(reusable_at);
                self.slots.len() - 1
            }
        }
    }
}
