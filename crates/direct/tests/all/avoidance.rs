//! When an upstream starts and stops being avoided.

use crate::support::{at, name, record};
use direct::{AvoidReason, AvoidanceChange, AvoidanceTracker, Fleet, Usage};

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    let listed = ["1", "2"].map(|id| (5, record(id, &["a"])));
    fleet.apply_list(at(0), 5, listed.to_vec());
    fleet
}

fn change(
    id: &str,
    before: Option<AvoidReason>,
    after: Option<AvoidReason>,
) -> AvoidanceChange {
    AvoidanceChange {
        upstream: name(id),
        before,
        after,
    }
}

/// An upstream with work falls silent and answers again after a while. Each change is
/// reported once, however often the state is checked, and none is reported for the
/// other upstream.
#[test]
fn silence_is_reported_once_when_it_starts_and_once_when_it_ends() {
    let (mut fleet, mut tracker) = (fleet(), AvoidanceTracker::new());
    let upstream = fleet.get_mut("1").expect("it is known");
    upstream.request_sent(
        at(0),
        &Usage {
            running: 1,
            ..Usage::default()
        },
    );
    assert_eq!(tracker.update_all(at(600), &fleet), []);
    let started = change("1", None, Some(AvoidReason::Silent));
    assert_eq!(tracker.update_all(at(800), &fleet), [started]);
    assert_eq!(tracker.update_all(at(900), &fleet), []);
    fleet
        .get_mut("1")
        .expect("it is known")
        .bytes_received(at(950));
    let ended = change("1", Some(AvoidReason::Silent), None);
    assert_eq!(tracker.update_all(at(1_000), &fleet), [ended]);
}

#[test]
fn an_upstream_is_avoided_for_a_second_after_a_failed_connection() {
    let (mut fleet, mut tracker) = (fleet(), AvoidanceTracker::new());
    fleet
        .get_mut("2")
        .expect("it is known")
        .connect_failed(at(100));
    let started = change("2", None, Some(AvoidReason::Unreached));
    assert_eq!(tracker.update_all(at(200), &fleet), [started]);
    let ended = change("2", Some(AvoidReason::Unreached), None);
    assert_eq!(tracker.update_all(at(1_200), &fleet), [ended]);
}

/// The platform was away, and when it is back one record is missing, which may only
/// have expired. The upstream is avoided until its record is back.
#[test]
fn an_upstream_with_a_missing_record_is_avoided_until_the_record_is_back() {
    let (mut fleet, mut tracker) = (fleet(), AvoidanceTracker::new());
    fleet.platform_returned(at(0));
    fleet.remove(at(100), "1", 6);
    let started = change("1", None, Some(AvoidReason::Vanished));
    assert_eq!(tracker.update_all(at(200), &fleet), [started]);
    fleet.apply_update(9, record("1", &["a"]));
    let ended = change("1", Some(AvoidReason::Vanished), None);
    assert_eq!(tracker.update_all(at(300), &fleet), [ended]);
}
