//! What entries tell one another about upstreams that leave.

use crate::support::*;
use direct::{
    Fleet, UpstreamIncarnation, peer_message_interval_ms, upstreams_per_message,
};
use std::collections::BTreeSet;

/// Upstreams whose records are of version 5, in a state that is known up to version 20.
fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new();
    let listed = ids.iter().map(|id| (5, record(id, &["a"])));
    fleet.apply_list(at(0), 20, listed.collect());
    fleet.set_known_version(20);
    fleet
}

fn usable(fleet: &Fleet, id: &str) -> bool {
    fleet
        .get(id)
        .is_some_and(|upstream| upstream.is_usable(at(0)))
}

/// Guards against upstreams that all entries stop using because one of them lacks their
/// records.
#[test]
fn a_report_that_a_record_is_missing_counts_until_a_later_state_is_known() {
    let mut fleet = fleet(&["1"]);
    fleet.peer_reported_leaving(incarnation("1"), 15, true);
    assert!(usable(&fleet, "1"), "the known state is later");
    fleet.peer_reported_leaving(incarnation("1"), 25, true);
    assert!(!usable(&fleet, "1"));
    fleet.set_known_version(24);
    assert!(!usable(&fleet, "1"));
    fleet.set_known_version(25);
    assert!(usable(&fleet, "1"));
}

/// Guards against requests to an upstream that is gone: the platform's removal stays.
#[test]
fn a_removal_that_was_reported_before_stays_once_it_is_known() {
    let mut fleet = fleet(&["1"]);
    fleet.peer_reported_leaving(incarnation("1"), 25, true);
    fleet.remove(at(0), "1", 25);
    fleet.set_known_version(30);
    assert!(!usable(&fleet, "1"));
}

/// Guards against a lost update: the report hides the upstream and not its records.
#[test]
fn records_are_applied_while_an_upstream_is_reported_missing() {
    let mut fleet = fleet(&["1"]);
    fleet.peer_reported_leaving(incarnation("1"), 25, true);
    fleet.apply_update(22, record("1", &["b"]));
    assert!(!usable(&fleet, "1"));
    fleet.set_known_version(30);
    assert!(usable(&fleet, "1"));
    let upstream = fleet.get("1").expect("it is known");
    assert!(upstream.holds(at(0), "b", None));
}

/// Guards against requests to an upstream that is gone where the platform reports a
/// deletion with the version of the object's last change.
#[test]
fn a_deletion_with_the_version_of_the_last_change_counts() {
    let mut fleet = fleet(&["1"]);
    fleet.peer_reported_leaving(incarnation("1"), 5, true);
    assert!(!usable(&fleet, "1"));
    fleet.apply_update(26, record("1", &["a"]));
    assert!(usable(&fleet, "1"), "its record is back");
}

/// Names of the upstreams in one message.
fn announced(fleet: &Fleet, message: u64, limit: usize) -> BTreeSet<String> {
    let announced = fleet.leaving_to_announce(at(0), message, limit);
    assert!(announced.len() <= limit);
    let names = announced
        .iter()
        .map(|(upstream, ..)| upstream.record.id.to_string());
    let names: BTreeSet<String> = names.collect();
    assert_eq!(names.len(), announced.len(), "one is named twice");
    names
}

/// Guards against messages that fill all links when a failure domain is lost: entries
/// lost one another, and callers were late.
#[test]
fn a_message_names_some_of_many_leaving_upstreams_and_all_in_turn() {
    let names: Vec<String> = (0..300).map(|number| number.to_string()).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fleet = fleet(&names);
    fleet.forget_gone(at(0));
    for name in &names[..200] {
        fleet.remove(at(0), name, 25);
    }
    for limit in [1, 4, 5, 48, 199, 200, 1_000] {
        let messages = 200_u64.div_ceil(limit as u64);
        let told = (7..7 + messages).map(|message| announced(&fleet, message, limit));
        let told: BTreeSet<String> = told.flatten().collect();
        assert_eq!(told.len(), 200, "limit {limit}");
    }
}

/// Guards against requests to an upstream that only its own responses report as leaving, sent
/// late because many others are gone.
#[test]
fn what_the_platform_does_not_list_is_named_first() {
    let names: Vec<String> = (0..300).map(|number| number.to_string()).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fleet = fleet(&names);
    fleet.forget_gone(at(0));
    for name in &names[..200] {
        fleet.remove(at(0), name, 25);
    }
    fleet.note_leaving(incarnation("250"));
    fleet.note_leaving(incarnation("251"));
    for message in 0..100 {
        let named = announced(&fleet, message, 5);
        assert!(named.contains("250") && named.contains("251"), "{named:?}");
        assert_eq!(named.len(), 5);
    }
}

/// Guards against messages about leaving upstreams that take the link from callers.
#[test]
fn leaving_upstreams_take_at_most_a_quarter_of_the_smallest_link() {
    const SMALLEST_LINK_BYTES_PER_S: usize = 10_000_000 / 8;
    const UPSTREAM_BYTES: usize = 45;
    for peers in 1..=1_300 {
        let interval_ms = peer_message_interval_ms(peers) as usize;
        let bytes = upstreams_per_message(peers) * UPSTREAM_BYTES * peers;
        let per_s = bytes * 1_000 / interval_ms;
        assert!(
            per_s <= SMALLEST_LINK_BYTES_PER_S / 4,
            "{peers} peers: {per_s}"
        );
    }
}

/// Guards against a state of another entry that adds an upstream anew, and against others
/// that are not told: one that left right after it was listed was forgotten at once.
#[test]
fn an_upstream_that_is_gone_right_after_it_was_listed_is_remembered() {
    let mut fleet = fleet(&["1"]);
    fleet.remove(at(0), "1", 25);
    fleet.forget_gone(at(100));
    assert!(fleet.get("1").is_some());
    assert_eq!(fleet.leaving_upstreams(at(100)).count(), 1);
    fleet.forget_gone(at(61_000));
    assert!(fleet.get("1").is_none());
}

/// Guards against requests to a leaving upstream from an entry that was told of it before
/// it had the list.
#[test]
fn a_report_before_the_first_list_counts_for_its_incarnation() {
    let mut fleet = Fleet::new();
    for id in ["1", "2"] {
        let started_unix_ms = Some(100);
        let reported = UpstreamIncarnation {
            id,
            started_unix_ms,
        };
        fleet.peer_reported_leaving(reported, 5, false);
    }
    assert!(!fleet.knows_unlisted_leaving());
    let restarted = record_with_start("2", 200, &["a"]);
    let listed = vec![(5, record_with_start("1", 100, &["a"])), (6, restarted)];
    fleet.apply_page(listed.clone());
    assert!(!usable(&fleet, "1") && usable(&fleet, "2"));
    fleet.apply_list(at(0), 20, listed);
    assert!(!usable(&fleet, "1") && usable(&fleet, "2"));
    assert!(fleet.knows_unlisted_leaving());
}
