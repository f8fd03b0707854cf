//! Upstreams that start again under their name: what is known of the latest start.

use crate::support::{at, born_news, cases, name, news, resident, start};
use direct::{
    AvoidReason, AvoidanceTracker, Fleet, PrefillQueue, UpstreamIncarnation, Usage,
};

const fn born(id: &str, born_ms: u64) -> UpstreamIncarnation<'_> {
    UpstreamIncarnation {
        id,
        started_unix_ms: Some(born_ms),
    }
}

const USED: Usage = Usage {
    running: 2,
    prefill: PrefillQueue::single(0, 10),
    kv_tokens: 100,
};

fn fleet(born_ms: u64) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 5, vec![(5, born_news("1", born_ms, &["a"]))]);
    fleet
}

fn usable(fleet: &Fleet, id: &str) -> bool {
    let upstream = fleet.get(id);
    upstream.is_some_and(|upstream| upstream.is_usable(at(0)))
}

fn holds(fleet: &Fleet, model: &str) -> bool {
    let upstream = fleet.get("1").expect("it is known");
    upstream.holds(at(0), model, None)
}

/// All that an entry may believe of an upstream is believed, and then it starts
/// again. A request would be sent for what it does not hold any more, or kept from
/// it for what its earlier start had done.
#[test]
fn nothing_that_was_known_of_an_earlier_start_is_believed_of_a_later_one() {
    let mut fleet = fleet(100);
    fleet.set_coordinator_holdings(
        at(0),
        born("1", 100),
        vec![resident("b", &[])],
        Vec::new(),
    );
    fleet.set_peer_usage(at(0), "p", [(born("1", 100), USED)].into_iter());
    let upstream = fleet
        .incarnation_mut(born("1", 100))
        .expect("it is the latest");
    upstream.request_sent(at(0), &USED);
    upstream.remember_prompt_parts(at(0), &[(7, 50)]);
    upstream.record_answer(false);
    upstream.connect_failed(at(0));
    upstream.note_not_held(at(0), &name("c"), None);
    fleet.peer_reported_leaving(born("1", 100), 6, false);
    assert!(!usable(&fleet, "1"));
    assert!(fleet.apply_update(7, born_news("1", 200, &["c"])));
    let upstream = fleet.get("1").expect("it is known");
    assert!(upstream.is_usable(at(0)) && !upstream.is_avoided(at(0)));
    assert!(holds(&fleet, "c") && !holds(&fleet, "a") && !holds(&fleet, "b"));
    assert_eq!(upstream.usage(at(0)), Usage::default());
    assert_eq!(upstream.cached_tokens(&[(7, 50)]), 0);
    assert!(upstream.failed_share() < f64::EPSILON);
    assert!(
        fleet.is_superseded(born("1", 100)) && !fleet.is_superseded(born("1", 200))
    );
    assert!(fleet.incarnation_mut(born("1", 100)).is_none());
}

/// The last words of an earlier start come late and by every way, some with a
/// higher version than the later start's entry has: nothing changes.
#[test]
fn late_news_of_an_earlier_start_changes_nothing() {
    let mut fleet = fleet(200);
    let mut leaving = born_news("1", 100, &["old"]);
    leaving.leaving = true;
    assert!(!fleet.apply_update(9, leaving.clone()));
    fleet.apply_list(at(0), 10, vec![(9, leaving)]);
    fleet.apply_update(11, news("1", &["old"]));
    fleet.remove(at(0), "1", 4);
    fleet.peer_reported_leaving(born("1", 100), 12, false);
    fleet.peer_reported_leaving(born("1", 100), 12, true);
    fleet.peer_reported_leaving(start("1"), 12, false);
    fleet.set_coordinator_holdings(
        at(0),
        born("1", 100),
        vec![resident("old", &[])],
        Vec::new(),
    );
    fleet.set_peer_usage(at(0), "p", [(born("1", 100), USED)].into_iter());
    fleet.observe_report(born("1", 100));
    assert!(usable(&fleet, "1"));
    assert!(holds(&fleet, "a") && !holds(&fleet, "old"));
    let upstream = fleet.get("1").expect("it is known");
    assert_eq!(upstream.usage(at(0)), Usage::default());
}

/// The store is away while an upstream starts again. Its report, or an entry that
/// has read the store, tells of it first; what the later start holds is not known
/// until it is said of that start.
#[test]
fn a_later_start_is_also_heard_of_from_reports_and_other_entries() {
    let ways: [fn(&mut Fleet); 3] = [
        |fleet| fleet.observe_report(born("1", 200)),
        |fleet| fleet.set_peer_usage(at(0), "p", [(born("1", 200), USED)].into_iter()),
        |fleet| {
            fleet.set_coordinator_holdings(
                at(0),
                born("1", 200),
                vec![resident("b", &[])],
                Vec::new(),
            );
        },
    ];
    for way in ways {
        let mut fleet = fleet(100);
        way(&mut fleet);
        assert!(fleet.is_superseded(born("1", 100)));
        assert!(!holds(&fleet, "a") && usable(&fleet, "1"));
        assert!(!fleet.apply_update(6, born_news("1", 100, &["a"])));
        assert!(!holds(&fleet, "a"));
        assert!(!fleet.apply_update(7, born_news("1", 200, &["c"])));
        let entry_is_behind = holds(&fleet, "b");
        assert!(entry_is_behind || holds(&fleet, "c"));
    }
}

/// Another entry says that a later start leaves, of which nothing was heard here.
#[test]
fn a_later_start_that_leaves_is_not_used() {
    let mut fleet = fleet(100);
    fleet.peer_reported_leaving(born("1", 200), 7, false);
    assert!(!usable(&fleet, "1"));
    fleet.apply_update(6, born_news("1", 200, &["a"]));
    assert!(!usable(&fleet, "1"));
    fleet.apply_update(8, born_news("1", 300, &["a"]));
    assert!(usable(&fleet, "1"));
}

/// On a site whose upstreams have a new name at each start, no entry says when it
/// was. Reports that do must not turn the next entries into old news.
#[test]
fn entries_that_never_say_their_start_stay_in_force() {
    let mut fleet = Fleet::new();
    fleet.apply_list(
        at(0),
        5,
        vec![(5, news("1", &["a"])), (5, news("2", &["a"]))],
    );
    fleet.observe_report(born("1", 200));
    let mut leaving = news("1", &["a"]);
    leaving.leaving = true;
    fleet.apply_update(6, leaving);
    assert!(!usable(&fleet, "1") && usable(&fleet, "2"));
}

/// One entry of another writer says a start where no other does, or none where
/// all others do. The others stay in use either way, and the one without a start
/// where it has to be there does not, at its first sight and as an update.
#[test]
fn an_entry_without_a_start_is_used_only_where_most_have_none() {
    let plain = |id: &str| (5, news(id, &["a"]));
    let dated = |id: &str| (5, born_news(id, 100, &["a"]));
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 5, vec![plain("1"), plain("2"), dated("3")]);
    assert!(["1", "2", "3"].iter().all(|id| usable(&fleet, id)));
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 5, vec![plain("1"), dated("2"), dated("3")]);
    assert!(!usable(&fleet, "1") && usable(&fleet, "2") && usable(&fleet, "3"));
    fleet.apply_update(6, news("2", &["b"]));
    assert!(
        usable(&fleet, "2") && !fleet.get("2").expect("known").holds(at(0), "b", None)
    );
    fleet.apply_update(7, born_news("1", 50, &["a"]));
    assert!(usable(&fleet, "1"));
}

/// A site's upstreams are started anew, one after the other, with a version of
/// their software that says the start. Those that are left without it are used
/// until most others have it.
#[test]
fn a_site_may_begin_to_say_its_starts() {
    let mut fleet = Fleet::new();
    let ids = ["1", "2", "3", "4", "5"];
    let listed = ids.map(|id| (5, news(id, &["a"])));
    fleet.apply_list(at(0), 5, listed.to_vec());
    for (index, id) in ids.into_iter().enumerate() {
        let used = ids.into_iter().filter(|id| usable(&fleet, id)).count();
        assert_eq!(used, if index > 2 { index } else { 5 });
        fleet.apply_update(6, born_news(id, 100, &["a"]));
    }
}

/// An upstream was avoided and starts again: it is no turn of a doubt, since it
/// was held of another start.
#[test]
fn a_doubt_ends_with_its_start() {
    let (mut fleet, mut doubts) = (fleet(100), AvoidanceTracker::new());
    let upstream = fleet.get_mut("1").expect("it is known");
    upstream.connect_failed(at(0));
    let turns = doubts.update_all(at(1), &fleet);
    assert_eq!(turns[0].after, Some(AvoidReason::Unreached));
    fleet.apply_update(6, born_news("1", 200, &["a"]));
    assert_eq!(doubts.update_all(at(2), &fleet), []);
}

/// News of four starts comes by every way and in any order, most of it late. What
/// is known is always of the latest start that was heard of, and once that was
/// heard of from the store, it is usable and holds just what it said.
#[test]
fn in_whatever_order_news_comes_the_latest_start_wins() {
    cases(400, |random| {
        let mut fleet = fleet(1);
        let (mut latest, mut version) = (1u64, 5u64);
        for step in 0..80u64 {
            let of = random.int_in_range(1..=4u64)?;
            let model = of.to_string();
            let now = at(step);
            version += 1;
            match random.int_in_range(0..=5)? {
                0 => {
                    fleet.apply_update(version, born_news("1", of, &[&model]));
                }
                1 => {
                    let listed = vec![(version, born_news("1", of, &[&model]))];
                    fleet.apply_list(now, version, listed);
                }
                2 => fleet.observe_report(born("1", of)),
                3 => {
                    let held = vec![resident(&model, &[])];
                    fleet.set_coordinator_holdings(
                        now,
                        born("1", of),
                        held,
                        Vec::new(),
                    );
                }
                4 => {
                    fleet.set_peer_usage(now, "p", [(born("1", of), USED)].into_iter());
                }
                _ if of < latest => {
                    fleet.peer_reported_leaving(born("1", of), version, false);
                }
                _ => continue,
            }
            latest = latest.max(of);
            let upstream = fleet.get_mut("1").expect("it is known");
            assert_eq!(upstream.record.started_unix_ms, Some(latest));
            assert!(upstream.is_usable(now));
            let of_earlier =
                (1..latest).any(|of| upstream.holds(now, &of.to_string(), None));
            assert!(!of_earlier || latest == 1, "step {step}");
            let running = upstream.usage(now).running;
            assert!(running == 0 || running == USED.running);
        }
        fleet.apply_update(version + 1, born_news("1", latest, &[&latest.to_string()]));
        let upstream = fleet.get("1").expect("it is known");
        assert!(upstream.holds(at(5_000), &latest.to_string(), None));
        Ok(())
    });
}

/// Entries of another writer that name a start are in the majority for a while,
/// and go. Once they are forgotten, an upstream without one, which is still known for
/// its requests, is used again.
#[test]
fn entries_that_are_forgotten_count_no_more() {
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 5, vec![(5, news("1", &["a"]))]);
    let upstream = fleet.get_mut("1").expect("it is known");
    upstream.request_sent(at(0), &USED);
    fleet.apply_update(6, born_news("2", 100, &["a"]));
    fleet.apply_update(6, born_news("3", 100, &["a"]));
    assert!(!usable(&fleet, "1"));
    fleet.forget_gone(at(0));
    fleet.apply_list(at(0), 7, vec![(5, news("1", &["a"]))]);
    fleet.forget_gone(at(50_000));
    assert!(!usable(&fleet, "1"));
    fleet.forget_gone(at(90_000));
    assert!(usable(&fleet, "1"));
}

/// Leaving belongs to one start: the next one under the id serves, and an answer of the
/// earlier start that comes late says nothing of it.
#[test]
fn the_next_start_of_an_upstream_that_left_serves() {
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 1, vec![(1, born_news("1", 100, &[]))]);
    assert!(fleet.note_leaving(born("1", 100)));
    fleet.apply_update(2, born_news("1", 200, &[]));
    assert!(!fleet.note_leaving(born("1", 100)));
    fleet.peer_reported_leaving(born("1", 100), 2, false);
    let upstream = fleet.get("1").expect("known");
    assert!(upstream.is_usable(at(1)));
}
