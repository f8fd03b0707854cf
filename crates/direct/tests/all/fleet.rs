//! What an entry knows about upstreams.

use crate::support::{at, incarnation, name, record, resident};
use base::ObjectVersion;
use direct::{Fleet, PrefillQueue, Usage};

fn usable(fleet: &Fleet, ms: u64, id: &str) -> bool {
    fleet
        .get(id)
        .is_some_and(|upstream| upstream.is_usable(at(ms)))
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new();
    let listed = ids.iter().map(|id| (5, record(id, &["a"])));
    fleet.apply_list(at(0), 5, listed.collect());
    fleet
}

#[test]
fn a_leaving_upstream_is_never_used_again() {
    let mut fleet = fleet(&["1", "2"]);
    let mut leaving = record("1", &["a"]);
    leaving.leaving = true;
    fleet.apply_update(6, leaving);
    assert!(!usable(&fleet, 1, "1"));
    // An outdated record, and a newer one that no longer says that it is leaving.
    fleet.apply_update(4, record("1", &["a"]));
    fleet.apply_update(9, record("1", &["a"]));
    assert!(!usable(&fleet, 1, "1"));
    assert!(usable(&fleet, 1, "2"));
}

#[test]
fn an_older_record_changes_nothing() {
    let mut fleet = fleet(&["1"]);
    fleet.apply_update(9, record("1", &["b"]));
    fleet.apply_update(8, record("1", &["a"]));
    let upstream = fleet.get("1").expect("it is known");
    assert!(upstream.holds(at(0), "b", None) && !upstream.holds(at(0), "a", None));
}

#[test]
fn an_upstream_is_not_used_after_its_record_vanishes() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.remove(at(10), "1", 6);
    assert!(!usable(&fleet, 10, "1"));
    fleet.apply_list(at(20), 8, vec![(5, record("1", &["a"]))]);
    assert!(!usable(&fleet, 20, "1"), "an older list");
    assert!(!usable(&fleet, 20, "2"));
}

/// The platform loses an upstream's writes, so its record expires although it is alive.
/// Its next write restores the record under the same name, and the upstream is used
/// again. Another entry that only knows of the loss must not undo this.
#[test]
fn an_upstream_is_used_again_when_its_record_is_back() {
    let mut fleet = fleet(&["1"]);
    fleet.remove(at(10), "1", 6);
    assert!(!usable(&fleet, 10, "1"));
    fleet.apply_update(9, record("1", &["a"]));
    assert!(usable(&fleet, 20, "1"));
    fleet.peer_reported_leaving(incarnation("1"), 6, true);
    assert!(usable(&fleet, 20, "1"));
    fleet.peer_reported_leaving(incarnation("1"), 10, true);
    assert!(!usable(&fleet, 20, "1"));
    fleet.apply_update(12, record("1", &["a"]));
    assert!(usable(&fleet, 30, "1"));
    fleet.peer_reported_leaving(incarnation("1"), 3, false);
    assert!(
        !usable(&fleet, 30, "1"),
        "the upstream announced that it is leaving"
    );
}

/// The platform was away for longer than records live, and its first list afterwards is
/// empty. The upstreams are alive and write their records again within two seconds;
/// without them every request would be refused meanwhile.
#[test]
fn upstreams_whose_records_expired_in_an_outage_are_used_for_a_grace_period() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.platform_returned(at(10_000));
    fleet.apply_list(at(10_000), 7, Vec::new());
    assert!(usable(&fleet, 10_000, "1"));
    assert!(usable(&fleet, 10_900, "2"));
    assert!(!usable(&fleet, 11_100, "2"), "it may have left just then");
    fleet.apply_update(8, record("1", &["a"]));
    assert!(usable(&fleet, 13_000, "1"));
    assert!(!usable(&fleet, 13_000, "2"), "the record is still missing");
}

/// A version of the platform after a restore.
fn restored(revision: u64) -> u64 {
    ObjectVersion::new(1, revision).0
}

/// Guards against requests to an upstream that has left, because the platform came back
/// from a copy that still lists it. It removes the record again within seconds.
#[test]
fn a_restored_record_does_not_bring_back_an_upstream_that_left() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.remove(at(10_000), "1", 6);
    fleet.platform_restored(at(12_000));
    let listed = || {
        let upstream = |id| (restored(5), record(id, &["a"]));
        vec![upstream("1"), upstream("2")]
    };
    for ms in [12_100, 13_000, 15_000] {
        fleet.apply_list(at(ms), restored(7), listed());
        fleet.forget_gone(at(ms));
        assert!(!usable(&fleet, ms, "1"), "at {ms} ms");
        assert!(usable(&fleet, ms, "2"));
    }
    fleet.remove(at(16_000), "1", restored(8));
    fleet.forget_gone(at(30_000));
    assert!(!usable(&fleet, 30_000, "1"));
}

/// Guards against an upstream that stays unused because its record expired shortly before
/// the platform was restored, and the copy has it unchanged.
#[test]
fn an_upstream_whose_restored_record_stays_is_used_again() {
    let mut fleet = fleet(&["1"]);
    fleet.remove(at(10_000), "1", 6);
    fleet.platform_restored(at(12_000));
    fleet.apply_list(
        at(12_100),
        restored(7),
        vec![(restored(5), record("1", &["a"]))],
    );
    fleet.forget_gone(at(20_000));
    assert!(usable(&fleet, 20_000, "1"));
}

/// Guards against an upstream that stays unused because its entry lists the restored
/// records only when the platform has already had the time to remove them.
#[test]
fn an_upstream_in_a_late_list_after_a_restore_is_used_again() {
    let mut fleet = fleet(&["1"]);
    fleet.remove(at(10_000), "1", 6);
    fleet.platform_restored(at(12_000));
    fleet.forget_gone(at(20_000));
    fleet.apply_list(
        at(21_000),
        restored(7),
        vec![(restored(5), record("1", &["a"]))],
    );
    fleet.forget_gone(at(22_000));
    assert!(usable(&fleet, 22_000, "1"));
}

/// Guards against an upstream that stays unused although it writes its record after the
/// platform was restored.
#[test]
fn an_upstream_that_writes_its_record_after_a_restore_is_used_at_once() {
    let mut fleet = fleet(&["1"]);
    fleet.remove(at(10_000), "1", 6);
    fleet.platform_restored(at(12_000));
    fleet.apply_list(
        at(12_100),
        restored(7),
        vec![(restored(5), record("1", &["a"]))],
    );
    fleet.apply_update(restored(8), record("1", &["a"]));
    assert!(usable(&fleet, 12_200, "1"));
}

/// Guards against upstreams that are lost because they registered after the copy was made
/// from which the platform was restored.
#[test]
fn an_upstream_missing_after_a_restore_is_used_until_it_can_be_back() {
    let mut fleet = fleet(&["1"]);
    fleet.platform_restored(at(12_000));
    fleet.apply_list(at(12_100), restored(3), Vec::new());
    assert!(usable(&fleet, 12_200, "1"));
    fleet.apply_update(restored(4), record("1", &["a"]));
    assert!(usable(&fleet, 20_000, "1"));
}

#[test]
fn holdings_are_valid_until_the_coordinator_falls_silent() {
    let mut fleet = fleet(&["1"]);
    fleet.set_coordinator_holdings(
        at(0),
        incarnation("1"),
        vec![resident("b", &["x"])],
        vec![(name("c"), at(900))],
    );
    let holds = |fleet: &Fleet, ms, model, adapter| {
        let upstream = fleet.get("1").expect("it is known");
        upstream.holds(at(ms), model, adapter)
    };
    assert!(holds(&fleet, 100, "b", Some("x")));
    assert!(!holds(&fleet, 100, "a", None));
    assert_eq!(fleet.model_ready_at(at(100), "oracle", "c"), Some(at(900)));
    assert!(holds(&fleet, 5_000, "a", None));
    assert!(!holds(&fleet, 5_000, "b", None));
    assert_eq!(fleet.model_ready_at(at(5_000), "oracle", "c"), None);
}

/// With many entries, the coordinator sends the holdings of each upstream only every
/// few seconds, and changes at once. Holdings stay valid while the coordinator is
/// heard. Otherwise entries would use the platform's older list between two messages
/// and send requests to upstreams that have unloaded their model.
#[test]
fn holdings_stay_valid_while_the_coordinator_is_heard() {
    let mut fleet = fleet(&["1"]);
    let holds = |fleet: &Fleet, ms, model| {
        let upstream = fleet.get("1").expect("it is known");
        upstream.holds(at(ms), model, None)
    };
    fleet.record_coordinator_message(at(0), 4);
    fleet.set_coordinator_holdings(
        at(0),
        incarnation("1"),
        vec![resident("b", &[])],
        Vec::new(),
    );
    for ms in (300..6_000).step_by(300) {
        fleet.record_coordinator_message(at(ms), 4);
        assert!(holds(&fleet, ms + 1_200, "b"), "{ms}");
    }
    // Once another coordinator was heard, its predecessor's messages are ignored, and
    // the predecessor's holdings expire.
    for ms in (6_000..7_500).step_by(300) {
        fleet.record_coordinator_message(at(ms), 5);
        fleet.record_coordinator_message(at(ms), 4);
    }
    assert!(holds(&fleet, 7_500, "a") && !holds(&fleet, 7_500, "b"));
    // An earlier coordinator that keeps sending doesn't keep the later one's holdings
    // valid.
    fleet.set_coordinator_holdings(
        at(7_500),
        incarnation("1"),
        vec![resident("c", &[])],
        Vec::new(),
    );
    for ms in (7_600..9_400).step_by(300) {
        fleet.record_coordinator_message(at(ms), 4);
    }
    assert!(holds(&fleet, 9_400, "a") && !holds(&fleet, 9_400, "c"));
    fleet.record_coordinator_message(at(7_500), 5);
    fleet.set_coordinator_holdings(
        at(7_500),
        incarnation("1"),
        vec![resident("c", &[])],
        Vec::new(),
    );
    fleet.record_coordinator_message(at(9_000), 5);
    assert!(holds(&fleet, 10_400, "c"));
    // The coordinator sends the holdings of other upstreams and not of this one: it no
    // longer knows it.
    for ms in (9_000..21_000).step_by(300) {
        fleet.record_coordinator_message(at(ms), 5);
    }
    assert!(holds(&fleet, 21_100, "a"));
}

/// A failure domain is lost. Its upstreams are announced as gone for some seconds and
/// not for as long as they are remembered, since each message would hold all of them
/// for a minute.
#[test]
fn upstreams_that_left_are_announced_for_a_limited_time() {
    let mut fleet = fleet(&["1", "2", "3"]);
    fleet.forget_gone(at(1_000));
    fleet.remove(at(1_500), "1", 6);
    let mut leaving = record("2", &["a"]);
    leaving.leaving = true;
    fleet.apply_update(7, leaving);
    let announced = |fleet: &Fleet, ms| {
        let leaving = fleet.leaving_upstreams(at(ms));
        let leaving = leaving.map(|(upstream, version, vanished)| {
            (upstream.record.id.to_string(), version, vanished)
        });
        leaving.collect::<Vec<_>>()
    };
    fleet.forget_gone(at(2_000));
    let both = [("1".to_owned(), 6, true), ("2".to_owned(), 7, false)];
    assert_eq!(announced(&fleet, 2_000), both);
    assert_eq!(announced(&fleet, 8_900), both);
    assert_eq!(announced(&fleet, 9_100), []);
    assert!(fleet.get("1").is_some(), "it is remembered all the same");
}

/// An upstream announces in its responses that it is leaving while the platform is away
/// and lists it as serving. If it were used again because of that record, or forgotten
/// in a long outage and then added as new, it would get requests that end with it.
#[test]
fn an_upstream_that_announced_leaving_is_not_used_because_of_an_older_record() {
    let mut fleet = fleet(&["1", "2"]);
    assert!(fleet.note_leaving(incarnation("1")));
    assert!(
        !fleet.note_leaving(incarnation("1")),
        "only the first announcement is new"
    );
    for ms in (0..150_000).step_by(1_000) {
        fleet.forget_gone(at(ms));
        assert!(!usable(&fleet, ms, "1"), "{ms}");
    }
    fleet.apply_list(
        at(150_000),
        9,
        ["1", "2"].map(|id| (9, record(id, &["a"]))).to_vec(),
    );
    assert!(!usable(&fleet, 150_000, "1"));
    assert!(usable(&fleet, 150_000, "2"));
}

/// Other entries are told until the platform lists it as leaving; an entry that starts
/// meanwhile couldn't know otherwise.
#[test]
fn leaving_is_announced_until_the_platform_lists_it() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.note_leaving(incarnation("1"));
    fleet.note_leaving(incarnation("2"));
    fleet.forget_gone(at(30_000));
    assert_eq!(fleet.leaving_upstreams(at(30_000)).count(), 2);
    let mut listed = record("1", &["a"]);
    listed.leaving = true;
    fleet.apply_update(9, listed);
    fleet.remove(at(30_000), "2", 10);
    assert_eq!(fleet.leaving_upstreams(at(30_000)).count(), 0);
    fleet.forget_gone(at(100_000));
    assert!(fleet.get("1").is_none() && fleet.get("2").is_none());
}

#[test]
fn an_upstreams_own_answer_briefly_overrides_late_records() {
    let mut fleet = fleet(&["1"]);
    let upstream = fleet.get_mut("1").expect("it is known");
    upstream.note_not_held(at(0), &name("a"), None);
    assert!(!upstream.holds(at(100), "a", None));
    assert!(upstream.holds(at(400), "a", None));
}

#[test]
fn usage_of_all_entries_is_summed_and_expires() {
    let mut fleet = fleet(&["1"]);
    let used = Usage {
        running: 2,
        prefill: PrefillQueue::single(0, 10),
        kv_tokens: 100,
    };
    fleet.set_peer_usage(at(0), "p", [(incarnation("1"), used)].into_iter());
    fleet.set_peer_usage(at(0), "q", [(incarnation("1"), used)].into_iter());
    fleet
        .get_mut("1")
        .expect("known")
        .request_sent(at(0), &used);
    let running =
        |fleet: &Fleet, ms| fleet.get("1").expect("known").usage(at(ms)).running;
    assert_eq!(running(&fleet, 100), 6);
    fleet.set_peer_usage(at(200), "p", std::iter::empty());
    assert_eq!(running(&fleet, 200), 4);
    assert_eq!(running(&fleet, 10_000), 2);
}

#[test]
fn a_silent_upstream_with_work_is_avoided() {
    let mut fleet = fleet(&["1"]);
    let upstream = fleet.get_mut("1").expect("known");
    let used = Usage {
        running: 1,
        ..Usage::default()
    };
    assert!(!upstream.is_avoided(at(5_000)), "it has no requests");
    upstream.request_sent(at(5_000), &used);
    assert!(!upstream.is_avoided(at(5_500)));
    assert!(upstream.is_avoided(at(6_000)));
    upstream.bytes_received(at(6_000));
    assert!(!upstream.is_avoided(at(6_500)));
}

#[test]
fn gone_upstreams_are_forgotten_after_a_delay() {
    let mut fleet = fleet(&["1"]);
    fleet.forget_gone(at(0));
    fleet.remove(at(10), "1", 6);
    fleet.forget_gone(at(1_000));
    assert!(fleet.get("1").is_some());
    fleet.forget_gone(at(90_000));
    assert!(fleet.get("1").is_none());
}

/// Another writer replaces the record of an upstream by one that can't be decoded. The
/// upstream gets no requests until it has a newer record of its own, and other
/// upstreams aren't affected. An older record, as in an outdated list, doesn't restore
/// it.
#[test]
fn an_upstream_with_an_unreadable_record_is_unused_until_a_newer_record() {
    let mut fleet = fleet(&["1", "2"]);
    assert!(fleet.mark_unreadable("1", 7));
    assert!(!usable(&fleet, 1, "1") && usable(&fleet, 1, "2"));
    fleet.apply_update(6, record("1", &["a"]));
    assert!(!usable(&fleet, 1, "1"), "an older record");
    fleet.apply_update(8, record("1", &["a"]));
    assert!(usable(&fleet, 1, "1"));
    fleet.mark_unreadable("1", 7);
    assert!(usable(&fleet, 1, "1"), "an older unreadable record");
    assert!(
        !fleet.mark_unreadable("3", 9),
        "the upstream was never known"
    );
    assert!(!usable(&fleet, 1, "3"));
}

/// The platform is back after an outage, and in the first list an upstream's record is
/// replaced. The record hasn't expired, so there is no grace period, not even if the
/// unreadable record is missing from the next list.
#[test]
fn an_unreadable_record_gets_no_grace_period_after_an_outage() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.platform_returned(at(100));
    fleet.apply_list(at(100), 9, vec![(5, record("2", &["a"]))]);
    assert!(usable(&fleet, 100, "1"), "its record may have expired");
    fleet.mark_unreadable("1", 8);
    assert!(!usable(&fleet, 100, "1"));
    fleet.apply_list(at(150), 10, vec![(5, record("2", &["a"]))]);
    assert!(!usable(&fleet, 150, "1"));
}

/// An upstream announces that it is leaving, its record is replaced, and a later record
/// says that it is ready. That record is another writer's, because a leaving upstream
/// never returns.
#[test]
fn a_leaving_upstream_does_not_return_through_an_unreadable_record() {
    let mut fleet = fleet(&["1"]);
    let mut leaving = record("1", &["a"]);
    leaving.leaving = true;
    fleet.apply_update(6, leaving);
    fleet.mark_unreadable("1", 7);
    fleet.apply_update(8, record("1", &["a"]));
    assert!(!usable(&fleet, 1, "1"));
}

/// An upstream's record is removed while the platform is reachable, so it has left.
/// Later the platform is away for a moment, and its first list afterwards doesn't
/// contain the upstream either. The record hasn't expired in the outage, so the
/// upstream isn't used.
#[test]
fn an_upstream_that_left_before_an_outage_is_not_used_after_it() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.remove(at(10), "1", 6);
    fleet.platform_returned(at(5_000));
    fleet.apply_list(at(5_000), 9, vec![(5, record("2", &["a"]))]);
    assert!(!usable(&fleet, 5_000, "1"));
}
