//! Upstreams that restart under their name: knowledge about the latest incarnation.

use crate::support::{
    at, cases, incarnation, name, record, record_with_start, resident,
};
use direct::{
    AvoidReason, AvoidanceTracker, Fleet, PrefillQueue, UpstreamIncarnation, Usage,
};

const fn incarnation_at(id: &str, started_unix_ms: u64) -> UpstreamIncarnation<'_> {
    UpstreamIncarnation {
        id,
        started_unix_ms: Some(started_unix_ms),
    }
}

const USED: Usage = Usage {
    running: 2,
    prefill: PrefillQueue::single(0, 10),
    kv_tokens: 100,
};

fn fleet(started_unix_ms: u64) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.apply_list(
        at(0),
        5,
        vec![(5, record_with_start("1", started_unix_ms, &["a"]))],
    );
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

/// Everything that an entry can know of an upstream is set, and then the upstream
/// restarts. Otherwise requests would be sent there for models it no longer holds, or
/// kept from it because of what its earlier incarnation did.
#[test]
fn no_knowledge_of_an_earlier_incarnation_applies_to_a_later_one() {
    let mut fleet = fleet(100);
    fleet.set_coordinator_holdings(
        at(0),
        incarnation_at("1", 100),
        vec![resident("b", &[])],
        Vec::new(),
    );
    fleet.set_peer_usage(at(0), "p", [(incarnation_at("1", 100), USED)].into_iter());
    let upstream = fleet
        .incarnation_mut(incarnation_at("1", 100))
        .expect("it is the latest incarnation");
    upstream.request_sent(at(0), &USED);
    upstream.remember_prompt_parts(at(0), &[(7, 50)]);
    upstream.record_answer(false);
    upstream.connect_failed(at(0));
    upstream.note_not_held(at(0), &name("c"), None);
    fleet.peer_reported_leaving(incarnation_at("1", 100), 6, false);
    assert!(!usable(&fleet, "1"));
    assert!(fleet.apply_update(7, record_with_start("1", 200, &["c"])));
    let upstream = fleet.get("1").expect("it is known");
    assert!(upstream.is_usable(at(0)) && !upstream.is_avoided(at(0)));
    assert!(holds(&fleet, "c") && !holds(&fleet, "a") && !holds(&fleet, "b"));
    assert_eq!(upstream.usage(at(0)), Usage::default());
    assert_eq!(upstream.cached_tokens(&[(7, 50)]), 0);
    assert!(upstream.failed_share() < f64::EPSILON);
    assert!(
        fleet.is_superseded(incarnation_at("1", 100))
            && !fleet.is_superseded(incarnation_at("1", 200))
    );
    assert!(fleet.incarnation_mut(incarnation_at("1", 100)).is_none());
}

/// Late information from an earlier incarnation arrives in every possible way, some of
/// it with a higher version than the later incarnation's record: nothing changes.
#[test]
fn late_information_from_an_earlier_incarnation_changes_nothing() {
    let mut fleet = fleet(200);
    let mut leaving = record_with_start("1", 100, &["old"]);
    leaving.leaving = true;
    assert!(!fleet.apply_update(9, leaving.clone()));
    fleet.apply_list(at(0), 10, vec![(9, leaving)]);
    fleet.apply_update(11, record("1", &["old"]));
    fleet.remove(at(0), "1", 4);
    fleet.peer_reported_leaving(incarnation_at("1", 100), 12, false);
    fleet.peer_reported_leaving(incarnation_at("1", 100), 12, true);
    fleet.peer_reported_leaving(incarnation("1"), 12, false);
    fleet.set_coordinator_holdings(
        at(0),
        incarnation_at("1", 100),
        vec![resident("old", &[])],
        Vec::new(),
    );
    fleet.set_peer_usage(at(0), "p", [(incarnation_at("1", 100), USED)].into_iter());
    fleet.observe_report(incarnation_at("1", 100));
    assert!(usable(&fleet, "1"));
    assert!(holds(&fleet, "a") && !holds(&fleet, "old"));
    let upstream = fleet.get("1").expect("it is known");
    assert_eq!(upstream.usage(at(0)), Usage::default());
}

/// The platform is away while an upstream restarts. Its report, or another entry that
/// has read the platform's record, is the first source to name the new incarnation.
/// What it holds is unknown until a source says so for that incarnation.
#[test]
fn a_later_incarnation_is_learned_from_reports_and_other_entries() {
    let sources: [fn(&mut Fleet); 3] = [
        |fleet| fleet.observe_report(incarnation_at("1", 200)),
        |fleet| {
            fleet.set_peer_usage(
                at(0),
                "p",
                [(incarnation_at("1", 200), USED)].into_iter(),
            );
        },
        |fleet| {
            fleet.set_coordinator_holdings(
                at(0),
                incarnation_at("1", 200),
                vec![resident("b", &[])],
                Vec::new(),
            );
        },
    ];
    for source in sources {
        let mut fleet = fleet(100);
        source(&mut fleet);
        assert!(fleet.is_superseded(incarnation_at("1", 100)));
        assert!(!holds(&fleet, "a") && usable(&fleet, "1"));
        assert!(!fleet.apply_update(6, record_with_start("1", 100, &["a"])));
        assert!(!holds(&fleet, "a"));
        assert!(!fleet.apply_update(7, record_with_start("1", 200, &["c"])));
        let record_is_outdated = holds(&fleet, "b");
        assert!(record_is_outdated || holds(&fleet, "c"));
    }
}

/// Another entry reports that a later incarnation, unknown here so far, is leaving.
#[test]
fn a_later_incarnation_that_is_leaving_is_not_used() {
    let mut fleet = fleet(100);
    fleet.peer_reported_leaving(incarnation_at("1", 200), 7, false);
    assert!(!usable(&fleet, "1"));
    fleet.apply_update(6, record_with_start("1", 200, &["a"]));
    assert!(!usable(&fleet, "1"));
    fleet.apply_update(8, record_with_start("1", 300, &["a"]));
    assert!(usable(&fleet, "1"));
}

/// Where upstreams get a new name at each start, records have no start time. Reports
/// that have one must not make later records look outdated.
#[test]
fn records_that_never_have_a_start_time_stay_in_use() {
    let mut fleet = Fleet::new();
    fleet.apply_list(
        at(0),
        5,
        vec![(5, record("1", &["a"])), (5, record("2", &["a"]))],
    );
    fleet.observe_report(incarnation_at("1", 200));
    let mut leaving = record("1", &["a"]);
    leaving.leaving = true;
    fleet.apply_update(6, leaving);
    assert!(!usable(&fleet, "1") && usable(&fleet, "2"));
}

/// One record of another writer has a start time where no other has one, or has none
/// where all others do. The other records stay in use either way. A record without a
/// required start time isn't used, whether it is new or an update.
#[test]
fn a_record_without_a_start_time_is_used_only_if_most_have_none() {
    let plain = |id: &str| (5, record(id, &["a"]));
    let with_start = |id: &str| (5, record_with_start(id, 100, &["a"]));
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 5, vec![plain("1"), plain("2"), with_start("3")]);
    assert!(["1", "2", "3"].iter().all(|id| usable(&fleet, id)));
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 5, vec![plain("1"), with_start("2"), with_start("3")]);
    assert!(!usable(&fleet, "1") && usable(&fleet, "2") && usable(&fleet, "3"));
    fleet.apply_update(6, record("2", &["b"]));
    assert!(
        usable(&fleet, "2") && !fleet.get("2").expect("known").holds(at(0), "b", None)
    );
    fleet.apply_update(7, record_with_start("1", 50, &["a"]));
    assert!(usable(&fleet, "1"));
}

/// Upstreams are restarted one after the other with a software version that provides
/// start times. Those without one are used until most others have one.
#[test]
fn upstreams_may_begin_to_provide_start_times() {
    let mut fleet = Fleet::new();
    let ids = ["1", "2", "3", "4", "5"];
    let listed = ids.map(|id| (5, record(id, &["a"])));
    fleet.apply_list(at(0), 5, listed.to_vec());
    for (index, id) in ids.into_iter().enumerate() {
        let used = ids.into_iter().filter(|id| usable(&fleet, id)).count();
        assert_eq!(used, if index > 2 { index } else { 5 });
        fleet.apply_update(6, record_with_start(id, 100, &["a"]));
    }
}

/// An upstream was avoided and restarts. No change is reported, because the reason
/// applied to the earlier incarnation.
#[test]
fn avoidance_ends_with_the_incarnation() {
    let (mut fleet, mut tracker) = (fleet(100), AvoidanceTracker::new());
    let upstream = fleet.get_mut("1").expect("it is known");
    upstream.connect_failed(at(0));
    let changes = tracker.update_all(at(1), &fleet);
    assert_eq!(changes[0].after, Some(AvoidReason::Unreached));
    fleet.apply_update(6, record_with_start("1", 200, &["a"]));
    assert_eq!(tracker.update_all(at(2), &fleet), []);
}

/// Information about four incarnations arrives in every way and in any order, most of
/// it late. The known state is always that of the latest incarnation, and after a
/// record of it was read from the platform, it is usable and holds exactly what that
/// record says.
#[test]
fn the_latest_incarnation_wins_in_any_order_of_events() {
    cases(400, |random| {
        let mut fleet = fleet(1);
        let (mut latest, mut version) = (1u64, 5u64);
        for step in 0..80u64 {
            let start = random.int_in_range(1..=4u64)?;
            let model = start.to_string();
            let now = at(step);
            version += 1;
            match random.int_in_range(0..=5)? {
                0 => {
                    fleet.apply_update(
                        version,
                        record_with_start("1", start, &[&model]),
                    );
                }
                1 => {
                    let listed =
                        vec![(version, record_with_start("1", start, &[&model]))];
                    fleet.apply_list(now, version, listed);
                }
                2 => fleet.observe_report(incarnation_at("1", start)),
                3 => {
                    let held = vec![resident(&model, &[])];
                    fleet.set_coordinator_holdings(
                        now,
                        incarnation_at("1", start),
                        held,
                        Vec::new(),
                    );
                }
                4 => {
                    fleet.set_peer_usage(
                        now,
                        "p",
                        [(incarnation_at("1", start), USED)].into_iter(),
                    );
                }
                _ if start < latest => {
                    fleet.peer_reported_leaving(
                        incarnation_at("1", start),
                        version,
                        false,
                    );
                }
                _ => continue,
            }
            latest = latest.max(start);
            let upstream = fleet.get_mut("1").expect("it is known");
            assert_eq!(upstream.record.started_unix_ms, Some(latest));
            assert!(upstream.is_usable(now));
            let of_earlier =
                (1..latest).any(|start| upstream.holds(now, &start.to_string(), None));
            assert!(!of_earlier || latest == 1, "step {step}");
            let running = upstream.usage(now).running;
            assert!(running == 0 || running == USED.running);
        }
        fleet.apply_update(
            version + 1,
            record_with_start("1", latest, &[&latest.to_string()]),
        );
        let upstream = fleet.get("1").expect("it is known");
        assert!(upstream.holds(at(5_000), &latest.to_string(), None));
        Ok(())
    });
}

/// Records of another writer with start times are in the majority for a while and then
/// disappear. Once they are forgotten, an upstream without a start time, which is still
/// known because of its requests, is used again.
#[test]
fn forgotten_records_do_not_count_for_the_majority() {
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 5, vec![(5, record("1", &["a"]))]);
    let upstream = fleet.get_mut("1").expect("it is known");
    upstream.request_sent(at(0), &USED);
    fleet.apply_update(6, record_with_start("2", 100, &["a"]));
    fleet.apply_update(6, record_with_start("3", 100, &["a"]));
    assert!(!usable(&fleet, "1"));
    fleet.forget_gone(at(0));
    fleet.apply_list(at(0), 7, vec![(5, record("1", &["a"]))]);
    fleet.forget_gone(at(50_000));
    assert!(!usable(&fleet, "1"));
    fleet.forget_gone(at(90_000));
    assert!(usable(&fleet, "1"));
}

/// Leaving applies to one incarnation: the next one under the same name is used, and a
/// late response of the earlier one doesn't change this.
#[test]
fn the_next_incarnation_of_an_upstream_that_left_is_used() {
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 1, vec![(1, record_with_start("1", 100, &[]))]);
    assert!(fleet.note_leaving(incarnation_at("1", 100)));
    fleet.apply_update(2, record_with_start("1", 200, &[]));
    assert!(!fleet.note_leaving(incarnation_at("1", 100)));
    fleet.peer_reported_leaving(incarnation_at("1", 100), 2, false);
    let upstream = fleet.get("1").expect("known");
    assert!(upstream.is_usable(at(1)));
}
