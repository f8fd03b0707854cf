//! Rates that upstreams ask for.

use crate::support::{at, born_news, cases, engine, name, news, start};
use direct::{
    Fleet, RateNotice, SelectionError, SelectionInput, UpstreamIncarnation,
    select_upstream,
};

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    let listed = ["1", "2"].map(|id| (1, news(id, &["a"])));
    fleet.apply_list(at(0), 1, listed.to_vec());
    fleet
}

fn notice(per_s: Option<f64>, asked_ms: u64, heard_ms: u64) -> RateNotice {
    RateNotice {
        per_s,
        request_sent_at: at(asked_ms),
        answered_at: at(heard_ms),
    }
}

fn rate(fleet: &Fleet) -> Option<f64> {
    fleet.get("1").expect("known").rate_per_s()
}

fn picked(fleet: &Fleet, ms: u64) -> Result<String, SelectionError> {
    let engine = engine(&["a"]);
    let input = SelectionInput {
        now: at(ms),
        service: "oracle",
        engine: Some(&engine),
        model: Some(("a", None)),
        prompt_parts: &[],
        priority: 0,
        prompt_tokens: 100,
        time_factor: 1.0,
        kv_tokens: 200,
        excluded: &[name("2")],
        domain: "east",
        random: 42,
    };
    select_upstream(fleet, &input).map(|picked| picked.id.to_string())
}

/// An answer from before the bound was named comes behind the one that names it: taken
/// for its end, the upstream would get everything again.
#[test]
fn an_answer_that_was_overtaken_does_not_end_a_bound() {
    let mut fleet = fleet();
    assert!(fleet.note_rate(start("1"), notice(Some(2.0), 100, 200)));
    assert!(!fleet.note_rate(start("1"), notice(None, 150, 210)));
    assert_eq!(rate(&fleet), Some(2.0));
    assert!(fleet.note_rate(start("1"), notice(None, 200, 300)));
    assert_eq!(rate(&fleet), None);
}

/// Of two answers that may have overtaken one another the lower bound holds, in either
/// order; a later one may raise it.
#[test]
fn the_lower_of_two_bounds_holds_until_a_later_answer() {
    for order in [[1.0, 3.0], [3.0, 1.0]] {
        let mut fleet = fleet();
        for per_s in order {
            fleet.note_rate(start("1"), notice(Some(per_s), 100, 200));
        }
        assert_eq!(rate(&fleet), Some(1.0));
        fleet.note_rate(start("1"), notice(Some(3.0), 250, 300));
        assert_eq!(rate(&fleet), Some(3.0));
    }
}

/// Another entry has not heard the bound's end yet and tells of the bound for seconds.
#[test]
fn an_old_word_of_another_entry_does_not_bring_a_bound_back() {
    let mut fleet = fleet();
    fleet.note_rate(start("1"), notice(Some(2.0), 0, 100));
    fleet.note_rate(start("1"), notice(None, 2_000, 2_100));
    for now in (2_200..9_000).step_by(100) {
        let heard_ms_ago = now - 100;
        let ago = (now, heard_ms_ago);
        assert!(!fleet.peer_reported_rate(at(now), start("1"), Some(2.0), ago));
        fleet.forget_gone(at(now));
    }
    assert_eq!(rate(&fleet), None);
}

/// The end of a bound reaches entries that send the upstream nothing themselves.
#[test]
fn another_entry_tells_that_a_bound_has_ended() {
    let mut fleet = fleet();
    assert!(fleet.peer_reported_rate(at(1_000), start("1"), Some(2.0), (100, 50)));
    assert!(!fleet.peer_reported_rate(at(1_500), start("1"), None, (300, 100)));
    assert!(fleet.peer_reported_rate(at(4_000), start("1"), None, (300, 100)));
    assert_eq!(rate(&fleet), None);
}

/// The same id started again has asked for nothing, and what its earlier start said
/// does not reach it.
#[test]
fn the_next_start_has_no_bound() {
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 1, vec![(1, born_news("1", 10, &["a"]))]);
    let earlier = UpstreamIncarnation {
        id: "1",
        started_unix_ms: Some(10),
    };
    fleet.note_rate(earlier, notice(Some(1.0), 100, 200));
    fleet.apply_update(2, born_news("1", 20, &["a"]));
    assert_eq!(rate(&fleet), None);
    assert!(!fleet.note_rate(earlier, notice(Some(1.0), 300, 400)));
    assert!(!fleet.peer_reported_rate(at(500), earlier, Some(1.0), (200, 100)));
    assert_eq!(rate(&fleet), None);
}

/// An upstream that was sent all that it takes is passed over until it takes more, and
/// not at all once it asks for nothing.
#[test]
fn an_upstream_whose_rate_is_spent_is_passed_over() {
    let mut fleet = fleet();
    fleet.note_rate(start("1"), notice(Some(1.0), 0, 10));
    assert_eq!(picked(&fleet, 20).as_deref(), Ok("1"));
    fleet
        .get_mut("1")
        .expect("known")
        .set_rate_spent_until(at(1_000));
    assert_eq!(picked(&fleet, 20), Err(SelectionError::RateSpent));
    let returns = fleet.accepts_again_at(at(20), "oracle", Some("a"));
    assert_eq!(returns, Some(at(1_000)));
    assert_eq!(picked(&fleet, 1_000).as_deref(), Ok("1"));
    fleet.note_rate(start("1"), notice(None, 30, 40));
    assert_eq!(picked(&fleet, 50).as_deref(), Ok("1"));
}

/// An upstream that takes nothing is asked now and then, or nobody would hear that it
/// takes requests again.
#[test]
fn a_bound_of_nothing_leaves_a_request_now_and_then() {
    let mut fleet = fleet();
    fleet.note_rate(start("1"), notice(Some(0.0), 0, 10));
    let limit = fleet.get("1").expect("known").rate_limit();
    let per_s = limit.expect("a bound").per_s;
    assert!(0.0 < per_s && per_s * 4.0 < 1.0, "{per_s}");
}

/// Words in any order, own and others': a bound that the newest answer names is never
/// taken for ended.
#[test]
fn the_newest_bound_survives_words_in_any_order() {
    cases(200, |random| {
        let mut fleet = fleet();
        // The upstream names its bound from the 5,000th millisecond on.
        for _ in 0..40 {
            let asked: u64 = random.int_in_range(0..=9_000)?;
            let heard = asked + random.int_in_range(0..=2_000)?;
            let named = heard >= 5_000 && (asked >= 5_000 || random.arbitrary()?);
            let per_s = named.then_some(2.0);
            if random.arbitrary()? {
                fleet.note_rate(start("1"), notice(per_s, asked, heard));
            } else {
                let ago = (12_000 - asked, 12_000 - heard);
                fleet.peer_reported_rate(at(12_000), start("1"), per_s, ago);
            }
        }
        fleet.note_rate(start("1"), notice(Some(2.0), 11_000, 11_100));
        let late: u64 = random.int_in_range(0..=4_999)?;
        fleet.note_rate(start("1"), notice(None, late, late + 2_000));
        assert_eq!(rate(&fleet), Some(2.0));
        Ok(())
    });
}

/// The end of a bound is told for a while and not for as long as answers come: else each
/// upstream that was once in need is in every message from then on.
#[test]
fn the_end_of_a_bound_is_told_for_a_while() {
    let mut fleet = fleet();
    fleet.note_rate(start("1"), notice(Some(2.0), 0, 100));
    for now in (200..20_000).step_by(100) {
        fleet.note_rate(start("1"), notice(None, now, now + 50));
        fleet.forget_gone(at(now + 50));
    }
    assert_eq!(fleet.rate_notices(at(20_000)).count(), 0);
    assert!(!fleet.note_rate(start("1"), notice(None, 20_000, 20_050)));
}

/// An upstream that turned a request away is passed over for as long as it said, also
/// where an answer that was on its way names a shorter time.
#[test]
fn an_upstream_that_wants_nothing_is_passed_over() {
    let mut fleet = fleet();
    let upstream = fleet.get_mut("1").expect("known");
    upstream.back_off(at(3_000));
    upstream.back_off(at(1_000));
    assert_eq!(picked(&fleet, 2_999), Err(SelectionError::BackedOff));
    let again = fleet.accepts_again_at(at(20), "oracle", Some("a"));
    assert_eq!(again, Some(at(3_000)));
    assert_eq!(picked(&fleet, 3_000).as_deref(), Ok("1"));
}

/// Where both hold, the later of the two decides when callers are to come back.
#[test]
fn a_spent_rate_and_a_time_that_was_named_hold_together() {
    let mut fleet = fleet();
    fleet.note_rate(start("1"), notice(Some(1.0), 0, 10));
    let upstream = fleet.get_mut("1").expect("known");
    upstream.set_rate_spent_until(at(1_000));
    upstream.back_off(at(3_000));
    let again = fleet.accepts_again_at(at(20), "oracle", Some("a"));
    assert_eq!(again, Some(at(3_000)));
    let other = fleet.accepts_again_at(at(20), "oracle", Some("b"));
    assert_eq!(other, None);
}
