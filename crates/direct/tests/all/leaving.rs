//! What entries tell one another about upstreams that leave.

use crate::support::*;
use direct::Fleet;

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

/// Guards against requests to an upstream that is gone: the platform's own word stays.
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
