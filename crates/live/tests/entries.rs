//! Other entries, their ranking, and the addresses of processes.

use base::prelude::*;
use live::{EntryTable, MemberAddresses, MemberKind, SilenceLimits, rendezvous_rank};
use schema::link::Gossip;

fn gossip(entry: &str, incarnation: u64, sequence: u64) -> Gossip {
    Gossip {
        entry: entry.to_owned(),
        incarnation,
        sequence,
        ..Gossip::default()
    }
}

/// Each planning cell has one planner among entries that hear each other. When
/// an entry leaves, its cells move to others, and all other cells stay.
#[test]
fn each_key_has_one_entry_that_ranks_first() {
    let names = ["e1", "e2", "e3"];
    let now = Instant::from_ms(100);
    let first_of = |entries: &[&str], key: &str| -> Vec<String> {
        let ranks = entries.iter().filter(|me| {
            let mut table = EntryTable::new(SilenceLimits::new(500));
            for other in entries.iter().filter(|other| other != me) {
                table.record_gossip(now, &gossip(other, 1, 1));
            }
            table.ranks_first(now, &EntryId::new(me), key)
        });
        ranks.map(|name| (*name).to_owned()).collect()
    };
    let mut moved = 0;
    for index in 0..60 {
        let key = format!("cell{index}");
        let all = first_of(&names, &key);
        assert_eq!(all.len(), 1);
        let without = first_of(&names[..2], &key);
        assert_eq!(without.len(), 1);
        if all[0] == "e3" {
            moved += 1;
        } else {
            assert_eq!(all, without, "{key}");
        }
    }
    assert!((10..=30).contains(&moved), "{moved} of 60");
}

/// A stopping or silent entry is skipped. Late or duplicate gossip does not
/// bring it back.
#[test]
fn stopping_and_silent_entries_are_skipped() {
    let me = EntryId::new("e1");
    let key = (0..)
        .map(|index| format!("cell{index}"))
        .find(|key| rendezvous_rank(key, "e2") > rendezvous_rank(key, "e1"))
        .expect("some key ranks e2 first");
    let mut table = EntryTable::new(SilenceLimits::new(500));
    let at = Instant::from_ms;
    assert!(table.record_gossip(at(0), &gossip("e2", 1, 5)));
    assert!(!table.ranks_first(at(0), &me, &key));
    assert!(
        !table.record_gossip(at(1_900), &gossip("e2", 1, 5)),
        "duplicate gossip"
    );
    assert!(
        !table.record_gossip(at(1_900), &gossip("e2", 1, 4)),
        "late gossip"
    );
    assert!(table.ranks_first(at(2_000), &me, &key), "silent entry");
    assert!(table.record_gossip(at(2_100), &gossip("e2", 1, 6)));
    assert!(!table.ranks_first(at(2_100), &me, &key));
    table.mark_leaving(&EntryId::new("e2"), Incarnation(1));
    assert!(table.ranks_first(at(2_100), &me, &key), "stopping entry");
    assert!(
        table.record_gossip(at(2_200), &gossip("e2", 2, 1)),
        "a new incarnation"
    );
    assert!(!table.ranks_first(at(2_200), &me, &key));
}

/// An old member record must not replace the address of a newer incarnation.
#[test]
fn addresses_never_go_back_to_an_older_incarnation() {
    let mut members = MemberAddresses::new();
    let mut record = |incarnation, address| {
        members.record_address(
            MemberKind::Agent,
            "a1",
            Incarnation(incarnation),
            address,
        )
    };
    assert!(record(2, "10.0.0.1:1"));
    assert!(!record(2, "10.0.0.1:1"));
    assert!(!record(1, "10.0.0.9:9"));
    assert!(!record(3, ""));
    assert!(record(3, "10.0.0.2:1"));
    let address = members.address(MemberKind::Agent, "a1");
    assert_eq!(address, Some("10.0.0.2:1"));
    assert_eq!(members.address(MemberKind::Entry, "a1"), None);
}
