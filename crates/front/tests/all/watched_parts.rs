//! Changes that are passed on in several messages.

use front::{WatchedParts, split_watched};
use schema::peer::Watched;

/// Changes that take three messages, told apart by their bytes.
fn large(first_byte: u8) -> Watched {
    let packed = (0..120_000_u32).map(|at| first_byte.wrapping_add((at % 251) as u8));
    Watched {
        age_ms: 7,
        packed: packed.collect(),
        ..Watched::default()
    }
}

/// Guards against changes that are incomplete, or in a wrong order, when their parts
/// arrive out of order or twice.
#[test]
fn parts_arrive_in_any_order() {
    let mut sent = split_watched(large(1));
    assert_eq!(sent.len(), 3);
    sent.swap(0, 2);
    let mut parts = WatchedParts::default();
    assert_eq!(parts.add(&sent[0]), None);
    assert_eq!(parts.add(&sent[0]), None);
    assert_eq!(parts.add(&sent[1]), None);
    assert_eq!(parts.add(&sent[2]), Some(large(1)));
    assert_eq!(parts.add(&sent[2]), None);
}

/// Guards against a lost part that makes the next changes incomplete, and against a mix
/// of the parts of two.
#[test]
fn a_lost_part_ends_with_the_next_changes() {
    let mut parts = WatchedParts::default();
    let lost = split_watched(large(1));
    assert_eq!(parts.add(&lost[0]), None);
    assert_eq!(parts.add(&lost[2]), None);
    let next = split_watched(large(2));
    assert_eq!(parts.add(&next[0]), None);
    assert_eq!(parts.add(&next[1]), None);
    assert_eq!(parts.add(&next[2]), Some(large(2)));
}

/// Guards against changes in one message, as those of earlier builds, that wait for more
/// parts.
#[test]
fn changes_in_one_message_are_whole() {
    let small = Watched {
        packed: vec![1; 100],
        ..Watched::default()
    };
    assert_eq!(split_watched(small.clone()), std::slice::from_ref(&small));
    let mut parts = WatchedParts::default();
    assert_eq!(parts.add(&small), Some(small));
}

/// Guards against memory that a forged message reserves, and against forged parts that
/// are taken for the sender's.
#[test]
fn forged_parts_are_dropped() {
    let mut parts = WatchedParts::default();
    let sent = split_watched(large(1));
    let forged = [
        Watched {
            count: u32::MAX,
            ..sent[0].clone()
        },
        Watched {
            number: 3,
            ..sent[0].clone()
        },
        Watched {
            packed: vec![0; 1 << 20],
            ..sent[0].clone()
        },
    ];
    for part in &forged {
        assert_eq!(parts.add(part), None);
    }
    assert_eq!(parts.add(&sent[0]), None);
    assert_eq!(
        parts.add(&Watched {
            packed: vec![0; 10],
            ..sent[1].clone()
        }),
        None
    );
    assert_eq!(parts.add(&sent[2]), None);
    for part in &sent[..2] {
        assert_eq!(parts.add(part), None);
    }
    assert_eq!(parts.add(&sent[2]), Some(large(1)));
}
