//! What an entry knows of upstreams.

use crate::support::{at, name, news, resident, start};
use direct::{Fleet, PrefillQueue, Usage};

fn usable(fleet: &Fleet, ms: u64, id: &str) -> bool {
    fleet
        .get(id)
        .is_some_and(|upstream| upstream.is_usable(at(ms)))
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new();
    let listed = ids.iter().map(|id| (5, news(id, &["a"])));
    fleet.apply_list(at(0), 5, listed.collect());
    fleet
}

#[test]
fn an_upstream_that_leaves_gets_nothing_more_and_never_comes_back() {
    let mut fleet = fleet(&["1", "2"]);
    let mut leaving = news("1", &["a"]);
    leaving.leaving = true;
    fleet.apply_update(6, leaving);
    assert!(!usable(&fleet, 1, "1"));
    // An old list, and one that is newer but says otherwise.
    fleet.apply_update(4, news("1", &["a"]));
    fleet.apply_update(9, news("1", &["a"]));
    assert!(!usable(&fleet, 1, "1"));
    assert!(usable(&fleet, 1, "2"));
}

#[test]
fn older_news_changes_nothing() {
    let mut fleet = fleet(&["1"]);
    fleet.apply_update(9, news("1", &["b"]));
    fleet.apply_update(8, news("1", &["a"]));
    let upstream = fleet.get("1").expect("it is known");
    assert!(upstream.holds(at(0), "b", None) && !upstream.holds(at(0), "a", None));
}

#[test]
fn an_entry_that_vanishes_means_that_the_upstream_leaves() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.remove(at(10), "1", 6);
    assert!(!usable(&fleet, 10, "1"));
    fleet.apply_list(at(20), 8, vec![(5, news("1", &["a"]))]);
    assert!(!usable(&fleet, 20, "1"), "an older list");
    assert!(!usable(&fleet, 20, "2"));
}

/// The store loses what an upstream writes, so its entry lapses though it lives.
/// Its next word brings the entry back, under the same name, and it is used again.
/// Another entry that heard only of the loss must not undo that.
#[test]
fn an_entry_that_is_back_is_used_again() {
    let mut fleet = fleet(&["1"]);
    fleet.remove(at(10), "1", 6);
    assert!(!usable(&fleet, 10, "1"));
    fleet.apply_update(9, news("1", &["a"]));
    assert!(usable(&fleet, 20, "1"));
    fleet.peer_reported_leaving(start("1"), 6, true);
    assert!(usable(&fleet, 20, "1"));
    fleet.peer_reported_leaving(start("1"), 10, true);
    assert!(!usable(&fleet, 20, "1"));
    fleet.apply_update(12, news("1", &["a"]));
    assert!(usable(&fleet, 30, "1"));
    fleet.peer_reported_leaving(start("1"), 3, false);
    assert!(!usable(&fleet, 30, "1"), "it said itself that it leaves");
}

/// The platform was away for longer than entries live, and its first list after
/// that is empty. Upstreams are there all the same and write their entries anew
/// within two seconds; without them every request would be refused meanwhile.
#[test]
fn entries_that_lapsed_while_the_platform_was_away_stay_in_use_for_a_while() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.platform_returned(at(10_000));
    fleet.apply_list(at(10_000), 7, Vec::new());
    assert!(usable(&fleet, 10_000, "1"));
    assert!(usable(&fleet, 10_900, "2"));
    assert!(
        !usable(&fleet, 11_100, "2"),
        "it may have left at that moment"
    );
    fleet.apply_update(8, news("1", &["a"]));
    assert!(usable(&fleet, 13_000, "1"));
    assert!(!usable(&fleet, 13_000, "2"), "still missing: gone");
}

#[test]
fn the_giver_of_orders_is_believed_until_it_falls_silent() {
    let mut fleet = fleet(&["1"]);
    fleet.set_coordinator_holdings(
        at(0),
        start("1"),
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

/// With many entries, the giver of orders tells of each upstream every few seconds and
/// of changes at once. What it said stands for as long as it is heard; else entries
/// would go by the platform's older list between two words, and send requests to
/// upstreams that have unloaded their model.
#[test]
fn what_the_giver_said_stands_while_it_is_heard() {
    let mut fleet = fleet(&["1"]);
    let holds = |fleet: &Fleet, ms, model| {
        let upstream = fleet.get("1").expect("it is known");
        upstream.holds(at(ms), model, None)
    };
    fleet.coordinator_heard(at(0), 4);
    fleet.set_coordinator_holdings(
        at(0),
        start("1"),
        vec![resident("b", &[])],
        Vec::new(),
    );
    for ms in (300..6_000).step_by(300) {
        fleet.coordinator_heard(at(ms), 4);
        assert!(holds(&fleet, ms + 1_200, "b"), "{ms}");
    }
    // A giver that was followed by another one says nothing that counts, and what it
    // said counts no longer than its silence.
    for ms in (6_000..7_500).step_by(300) {
        fleet.coordinator_heard(at(ms), 5);
        fleet.coordinator_heard(at(ms), 4);
    }
    assert!(holds(&fleet, 7_500, "a") && !holds(&fleet, 7_500, "b"));
    // Nor does an earlier giver that goes on talking keep a later one's word alive.
    fleet.set_coordinator_holdings(
        at(7_500),
        start("1"),
        vec![resident("c", &[])],
        Vec::new(),
    );
    for ms in (7_600..9_400).step_by(300) {
        fleet.coordinator_heard(at(ms), 4);
    }
    assert!(holds(&fleet, 9_400, "a") && !holds(&fleet, 9_400, "c"));
    fleet.coordinator_heard(at(7_500), 5);
    fleet.set_coordinator_holdings(
        at(7_500),
        start("1"),
        vec![resident("c", &[])],
        Vec::new(),
    );
    fleet.coordinator_heard(at(9_000), 5);
    assert!(holds(&fleet, 10_400, "c"));
    // It tells of others and not of this one: it knows nothing of it any more.
    for ms in (9_000..21_000).step_by(300) {
        fleet.coordinator_heard(at(ms), 5);
    }
    assert!(holds(&fleet, 21_100, "a"));
}

/// A failure domain is lost. Its upstreams are told of for some seconds, and not for
/// as long as they are remembered: each message would hold all of them for a minute.
#[test]
fn upstreams_that_left_are_told_of_for_a_while() {
    let mut fleet = fleet(&["1", "2", "3"]);
    fleet.forget_gone(at(1_000));
    fleet.remove(at(1_500), "1", 6);
    let mut leaving = news("2", &["a"]);
    leaving.leaving = true;
    fleet.apply_update(7, leaving);
    let told = |fleet: &Fleet, ms| {
        let leaving = fleet.leaving_upstreams(at(ms));
        let leaving = leaving.map(|(upstream, version, vanished)| {
            (upstream.record.id.to_string(), version, vanished)
        });
        leaving.collect::<Vec<_>>()
    };
    fleet.forget_gone(at(2_000));
    let both = [("1".to_owned(), 6, true), ("2".to_owned(), 7, false)];
    assert_eq!(told(&fleet, 2_000), both);
    assert_eq!(told(&fleet, 8_900), both);
    assert_eq!(told(&fleet, 9_100), []);
    assert!(fleet.get("1").is_some(), "it is remembered all the same");
}

/// An upstream says in its answers that it leaves while the platform is away, whose
/// entry of it is that of one that serves. Used again for that entry, or forgotten in a
/// long outage and taken for a new one, it would get requests that end with it.
#[test]
fn an_upstream_that_says_that_it_leaves_is_not_used_for_an_older_entry() {
    let mut fleet = fleet(&["1", "2"]);
    assert!(fleet.note_leaving(start("1")));
    assert!(!fleet.note_leaving(start("1")), "told of once");
    for ms in (0..150_000).step_by(1_000) {
        fleet.forget_gone(at(ms));
        assert!(!usable(&fleet, ms, "1"), "{ms}");
    }
    fleet.apply_list(
        at(150_000),
        9,
        ["1", "2"].map(|id| (9, news(id, &["a"]))).to_vec(),
    );
    assert!(!usable(&fleet, 150_000, "1"));
    assert!(usable(&fleet, 150_000, "2"));
}

/// Others are told of it until the platform says it, or one that starts meanwhile would
/// not know.
#[test]
fn what_the_platform_does_not_say_yet_is_told_for_as_long() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.note_leaving(start("1"));
    fleet.note_leaving(start("2"));
    fleet.forget_gone(at(30_000));
    assert_eq!(fleet.leaving_upstreams(at(30_000)).count(), 2);
    let mut listed = news("1", &["a"]);
    listed.leaving = true;
    fleet.apply_update(9, listed);
    fleet.remove(at(30_000), "2", 10);
    assert_eq!(fleet.leaving_upstreams(at(30_000)).count(), 0);
    fleet.forget_gone(at(100_000));
    assert!(fleet.get("1").is_none() && fleet.get("2").is_none());
}

#[test]
fn an_upstreams_own_word_goes_before_late_news_for_a_moment() {
    let mut fleet = fleet(&["1"]);
    let upstream = fleet.get_mut("1").expect("it is known");
    upstream.note_not_held(at(0), &name("a"), None);
    assert!(!upstream.holds(at(100), "a", None));
    assert!(upstream.holds(at(400), "a", None));
}

#[test]
fn the_use_of_all_entries_adds_up_and_old_news_of_it_ends() {
    let mut fleet = fleet(&["1"]);
    let used = Usage {
        running: 2,
        prefill: PrefillQueue::single(0, 10),
        kv_tokens: 100,
    };
    fleet.set_peer_usage(at(0), "p", [(start("1"), used)].into_iter());
    fleet.set_peer_usage(at(0), "q", [(start("1"), used)].into_iter());
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
fn an_upstream_with_work_that_says_nothing_is_suspected() {
    let mut fleet = fleet(&["1"]);
    let upstream = fleet.get_mut("1").expect("known");
    let used = Usage {
        running: 1,
        ..Usage::default()
    };
    assert!(!upstream.is_avoided(at(5_000)), "it has no work");
    upstream.request_sent(at(5_000), &used);
    assert!(!upstream.is_avoided(at(5_500)));
    assert!(upstream.is_avoided(at(6_000)));
    upstream.bytes_received(at(6_000));
    assert!(!upstream.is_avoided(at(6_500)));
}

#[test]
fn gone_upstreams_are_forgotten_only_after_a_while() {
    let mut fleet = fleet(&["1"]);
    fleet.forget_gone(at(0));
    fleet.remove(at(10), "1", 6);
    fleet.forget_gone(at(1_000));
    assert!(fleet.get("1").is_some());
    fleet.forget_gone(at(90_000));
    assert!(fleet.get("1").is_none());
}

/// Another writer replaces the entry of an upstream by one that can't be read. The
/// upstream gets nothing until a newer entry of its own is there, and the others go
/// on; an older entry, as in a list that is behind, brings nothing back.
#[test]
fn an_entry_that_cant_be_read_names_no_upstream_until_a_newer_one_can() {
    let mut fleet = fleet(&["1", "2"]);
    assert!(fleet.mark_unreadable("1", 7));
    assert!(!usable(&fleet, 1, "1") && usable(&fleet, 1, "2"));
    fleet.apply_update(6, news("1", &["a"]));
    assert!(!usable(&fleet, 1, "1"), "an older entry");
    fleet.apply_update(8, news("1", &["a"]));
    assert!(usable(&fleet, 1, "1"));
    fleet.mark_unreadable("1", 7);
    assert!(usable(&fleet, 1, "1"), "older news of it");
    assert!(!fleet.mark_unreadable("3", 9), "it was never known");
    assert!(!usable(&fleet, 1, "3"));
}

/// The platform is back after an outage, and the first list has an upstream's entry
/// replaced. It is no lapse, so there is no time in which the upstream is still used;
/// nor when the entry that can't be read is missing from the next list.
#[test]
fn an_entry_that_cant_be_read_has_not_lapsed_in_an_outage() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.platform_returned(at(100));
    fleet.apply_list(at(100), 9, vec![(5, news("2", &["a"]))]);
    assert!(usable(&fleet, 100, "1"), "it may have lapsed");
    fleet.mark_unreadable("1", 8);
    assert!(!usable(&fleet, 100, "1"));
    fleet.apply_list(at(150), 10, vec![(5, news("2", &["a"]))]);
    assert!(!usable(&fleet, 150, "1"));
}

/// An upstream that leaves says so, its entry is replaced, and then says that it is
/// ready: another writer's, as an upstream that leaves never comes back.
#[test]
fn an_upstream_that_leaves_does_not_come_back_by_way_of_an_unreadable_entry() {
    let mut fleet = fleet(&["1"]);
    let mut leaving = news("1", &["a"]);
    leaving.leaving = true;
    fleet.apply_update(6, leaving);
    fleet.mark_unreadable("1", 7);
    fleet.apply_update(8, news("1", &["a"]));
    assert!(!usable(&fleet, 1, "1"));
}

/// An upstream's entry is removed while the platform answers, so it leaves. Later the
/// platform is away for a moment, and the first list behind that does not name the
/// upstream either: nothing lapsed, and it gets nothing.
#[test]
fn an_upstream_that_left_before_an_outage_is_not_used_after_it() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.remove(at(10), "1", 6);
    fleet.platform_returned(at(5_000));
    fleet.apply_list(at(5_000), 9, vec![(5, news("2", &["a"]))]);
    assert!(!usable(&fleet, 5_000, "1"));
}
