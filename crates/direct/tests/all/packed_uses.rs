//! Uses of upstreams as columns of small numbers.

use crate::support::*;
use direct::{Fleet, IncarnationIndex};
use schema::peer::{UpstreamUse, UpstreamUses};

/// Time after which no incarnation is new.
const LATER_MS: u64 = 3_000;

/// Upstreams of which the second has this start time.
fn fleet(born_ms: u64) -> Fleet {
    let mut fleet = Fleet::new();
    let records = vec![
        (5, record_with_start("1", 500, &["a"])),
        (5, record_with_start("2", born_ms, &["a"])),
        (5, record("3", &["a"])),
    ];
    fleet.apply_list(at(0), 20, records);
    fleet
}

fn index(fleet: &Fleet) -> IncarnationIndex {
    let mut index = IncarnationIndex::default();
    index.update(at(0), fleet);
    index.update(at(LATER_MS - 100), fleet);
    index
}

fn upstream_use(upstream: &str, born_ms: u64) -> UpstreamUse {
    UpstreamUse {
        upstream: upstream.to_owned(),
        born_ms,
        running: 9,
        begun: 7,
        kept_tokens: 20_000,
        silent_ms: 83,
        reading_tokens: vec![2_400, 0, 64],
        pace_percent: None,
    }
}

/// A receiver must get what was sent, up to the rounding.
#[test]
fn uses_are_the_same_after_unpacking() {
    let fleet = fleet(700);
    let slow = UpstreamUse {
        pace_percent: Some(170),
        ..upstream_use("3", 0)
    };
    let uses = vec![upstream_use("1", 500), slow];
    let (packed, others) = index(&fleet).pack(at(LATER_MS), uses.clone());
    assert!(others.is_empty());
    let unpacked = index(&fleet).unpack(&packed);
    assert_eq!(unpacked.len(), uses.len());
    for (unpacked, sent) in unpacked.iter().zip(&uses) {
        assert_eq!(unpacked.upstream, sent.upstream);
        assert_eq!(unpacked.born_ms, sent.born_ms);
        assert_eq!((unpacked.running, unpacked.begun), (9, 7));
        assert_eq!(unpacked.silent_ms, 80);
        assert_eq!(unpacked.kept_tokens, 20_032);
        assert_eq!(unpacked.reading_tokens, [2_432, 0, 64]);
        assert_eq!(unpacked.pace_percent, sent.pace_percent);
    }
}

/// Guards against entries that don't learn of an upstream's restart from other entries,
/// because they can't resolve its hash: a new incarnation is named in full for a while.
#[test]
fn new_incarnations_are_named_in_full() {
    let mut index = index(&fleet(700));
    index.update(at(LATER_MS), &fleet(800));
    let uses = vec![upstream_use("1", 500), upstream_use("2", 800)];
    let (packed, others) = index.pack(at(LATER_MS + 100), uses.clone());
    assert_eq!(packed.upstreams.len(), 1);
    assert_eq!(others, [upstream_use("2", 800)]);
    let (packed, others) = index.pack(at(2 * LATER_MS), uses);
    assert_eq!(packed.upstreams.len(), 2);
    assert!(others.is_empty());
}

/// A use of an earlier incarnation must not count for the later one.
#[test]
fn uses_of_incarnations_that_are_not_known_are_left_out() {
    let (packed, _) =
        index(&fleet(700)).pack(at(LATER_MS), vec![upstream_use("2", 700)]);
    assert_eq!(packed.upstreams.len(), 1);
    assert!(index(&fleet(800)).unpack(&packed).is_empty());
}

/// Columns of a wrong length and places out of range come from a faulty peer. They must
/// not stop the entry.
#[test]
fn malformed_columns_are_tolerated() {
    let index = index(&fleet(700));
    let (mut packed, _) = index.pack(at(LATER_MS), vec![upstream_use("1", 500)]);
    packed.kept_units = Vec::new();
    packed.silent_units = vec![u32::MAX; 5];
    packed.reading_places = vec![u32::MAX, 7, 3];
    packed.reading_units = vec![1];
    let uses = index.unpack(&packed);
    assert_eq!(uses.len(), 1);
    assert_eq!(uses[0].kept_tokens, 0);
    assert_eq!(uses[0].reading_tokens, [0, 0, 0]);
    let many = UpstreamUses {
        upstreams: vec![packed.upstreams[0]; 10_000],
        ..UpstreamUses::default()
    };
    assert!(index.unpack(&many).len() <= 4_096);
}
