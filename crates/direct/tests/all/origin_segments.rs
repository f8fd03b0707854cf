//! Batches in which an entry records where its streams began.

use base::prelude::*;
use direct::{
    OriginProof, OriginSegments, SoftwareVersion, StreamId, StreamOrigin,
    StreamOrigins, origin_write_interval_ms,
};
use std::collections::BTreeSet;

fn at(ms: u64) -> Instant {
    Instant::ZERO.plus_ms(ms)
}

fn origin(proof: OriginProof) -> StreamOrigin {
    StreamOrigin {
        service: "oracle".into(),
        software: Some(SoftwareVersion::new("v1")),
        upstream: "1".into(),
        proof,
    }
}

const IN_DOUBT: OriginProof = OriginProof::Recorded {
    started_unix_ms: Some(100),
    connected_at: Instant::ZERO,
};

/// An entry that begins streams and writes its segments.
#[derive(Default)]
struct Writer {
    origins: StreamOrigins,
    segments: OriginSegments,
}

impl Writer {
    fn begin(&mut self, id: u64, proof: OriginProof, expires_at: Instant) {
        let id = StreamId(id);
        self.origins.insert(id, origin(proof), expires_at);
        self.segments.add(id);
    }

    /// The object that is written now, with the streams in it and whether each is certain.
    fn next(
        &mut self,
        now: u64,
        is_certain: bool,
    ) -> Option<(usize, Vec<(u64, bool)>)> {
        let next = self
            .segments
            .next_write(at(now), &self.origins, |_| is_certain);
        next.map(|segment| {
            let streams = segment.streams.iter();
            let streams = streams
                .map(|(id, origin)| (id.0, origin.proof == OriginProof::Confirmed));
            (segment.slot, streams.collect())
        })
    }
}

#[test]
fn a_segment_is_written_again_as_it_grows_and_then_left() {
    let mut writer = Writer::default();
    assert_eq!(writer.next(0, true), None);
    writer.begin(1, OriginProof::Confirmed, at(9_000));
    assert_eq!(writer.next(100, true), Some((0, vec![(1, true)])));
    // The write failed, so it is due again.
    writer.begin(2, OriginProof::Confirmed, at(9_000));
    let both = Some((0, vec![(1, true), (2, true)]));
    assert_eq!(writer.next(400, true), both);
    writer.segments.written();
    assert!(!writer.segments.has_unwritten());
    assert_eq!(writer.next(700, true), None);
    writer.begin(3, OriginProof::Confirmed, at(9_000));
    assert_eq!(writer.next(2_200, true), Some((1, vec![(3, true)])));
}

/// Guards against a stream that is refused for ever, as it was in doubt where it began
/// when it was recorded, and against one that is written at each interval until then.
#[test]
fn a_stream_in_doubt_is_recorded_again_once_it_is_certain() {
    let mut writer = Writer::default();
    writer.begin(1, IN_DOUBT, at(9_000));
    assert_eq!(writer.next(100, false), Some((0, vec![(1, false)])));
    writer.segments.written();
    assert_eq!(writer.next(400, false), None);
    let certain = Some((0, vec![(1, false), (1, true)]));
    assert_eq!(writer.next(700, true), certain);
    writer.segments.written();
    assert_eq!(writer.next(900, true), None);
    assert!(!writer.segments.has_unwritten());
}

/// Guards against a write without an answer that takes effect after a later one and
/// replaces it by fewer streams.
#[test]
fn a_segment_moves_to_another_object_after_a_write_without_an_answer() {
    let mut writer = Writer::default();
    writer.begin(1, OriginProof::Confirmed, at(9_000));
    assert_eq!(writer.next(100, true), Some((0, vec![(1, true)])));
    writer.segments.unanswered(at(3_000));
    assert_eq!(writer.next(3_100, true), Some((1, vec![(1, true)])));
}

/// Guards against an object that is used again while callers may ask for its streams,
/// also those that an earlier process of the entry recorded.
#[test]
fn an_object_is_used_again_after_the_end_of_its_streams() {
    let mut writer = Writer::default();
    writer.segments.reserve_slots(2, at(60_000));
    let mut used = BTreeSet::new();
    for number in 0..30 {
        let now = number * 3_000;
        writer.begin(number, OriginProof::Confirmed, at(now + 15_000));
        let (slot, streams) = writer.next(now, true).expect("it has grown");
        assert_eq!(streams, [(number, true)]);
        writer.segments.written();
        assert!(now >= 60_000 || slot >= 2, "{slot} at {now} ms");
        used.insert(slot);
    }
    assert!(used.len() <= 12, "{used:?}");
}

/// Guards against streams that are forgotten with the platform's latest writes.
#[test]
fn all_known_streams_are_recorded_again_after_a_restore() {
    let mut writer = Writer::default();
    for id in 1..=3 {
        writer.begin(id, OriginProof::Confirmed, at(9_000));
    }
    writer.next(100, true);
    writer.segments.written();
    writer.origins.expire(at(200));
    writer.segments.restored(writer.origins.ids());
    let (_, mut streams) = writer.next(400, true).expect("they are due");
    streams.sort_unstable();
    assert_eq!(streams, [(1, true), (2, true), (3, true)]);
}

/// Guards against records that use up the platform's writes: at 4 entries, 384 and 1,300.
#[test]
fn the_entries_together_use_a_part_of_the_platforms_writes() {
    for (entries, writes_per_s) in
        [(4, 400.0), (68, 3_200.0), (384, 3_200.0), (1_300, 3_200.0)]
    {
        for several_versions in [false, true] {
            let interval_ms =
                origin_write_interval_ms(several_versions, entries, writes_per_s);
            let writes = entries as f64 * 1_000.0 / interval_ms as f64;
            assert!(
                writes <= writes_per_s * 0.101,
                "{entries}: {writes} a second"
            );
        }
    }
    assert_eq!(origin_write_interval_ms(true, 4, 400.0), 250);
}
