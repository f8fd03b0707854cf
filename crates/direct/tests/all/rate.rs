//! Request rates that upstreams advertise.

use crate::support::{at, cases, engine, incarnation, name, record, record_with_start};
use direct::{
    Fleet, RateNotice, SelectionError, SelectionInput, UpstreamIncarnation,
    select_upstream,
};
use std::collections::BTreeSet;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    let listed = ["1", "2"].map(|id| (1, record(id, &["a"])));
    fleet.apply_list(at(0), 1, listed.to_vec());
    fleet
}

fn notice(per_s: Option<f64>, sent_ms: u64, received_ms: u64) -> RateNotice {
    RateNotice {
        per_s,
        request_sent_at: at(sent_ms),
        answered_at: at(received_ms),
    }
}

fn rate(fleet: &Fleet) -> Option<f64> {
    fleet.get("1").expect("known").rate_per_s()
}

fn selected(fleet: &Fleet, ms: u64) -> Result<String, SelectionError> {
    let engine = engine(&["a"]);
    let input = SelectionInput {
        now: at(ms),
        service: "oracle",
        engine: Some(&engine),
        model: Some(("a", None)),
        prompt_parts: &[],
        priority: 0,
        is_ordered: false,
        prompt_tokens: 100,
        time_factor: 1.0,
        kv_tokens: 200,
        excluded: &[name("2")],
        origin: None,
        domain: "east",
        random: 42,
    };
    select_upstream(fleet, &input).map(|selected| selected.id.to_string())
}

/// A response from before the limit was set arrives after the one that sets it. If it
/// ended the limit, the upstream would get all requests again.
#[test]
fn an_overtaken_response_does_not_end_a_limit() {
    let mut fleet = fleet();
    assert!(fleet.note_rate(incarnation("1"), notice(Some(2.0), 100, 200)));
    assert!(!fleet.note_rate(incarnation("1"), notice(None, 150, 210)));
    assert_eq!(rate(&fleet), Some(2.0));
    assert!(fleet.note_rate(incarnation("1"), notice(None, 200, 300)));
    assert_eq!(rate(&fleet), None);
}

/// If two responses may have overtaken one another, the lower limit applies, in either
/// order; a later response may raise it.
#[test]
fn the_lower_of_two_limits_applies_until_a_later_response() {
    for order in [[1.0, 3.0], [3.0, 1.0]] {
        let mut fleet = fleet();
        for per_s in order {
            fleet.note_rate(incarnation("1"), notice(Some(per_s), 100, 200));
        }
        assert_eq!(rate(&fleet), Some(1.0));
        fleet.note_rate(incarnation("1"), notice(Some(3.0), 250, 300));
        assert_eq!(rate(&fleet), Some(3.0));
    }
}

/// Another entry hasn't learned of the limit's end yet and reports the limit for
/// seconds.
#[test]
fn an_old_peer_report_does_not_restore_a_limit() {
    let mut fleet = fleet();
    fleet.note_rate(incarnation("1"), notice(Some(2.0), 0, 100));
    fleet.note_rate(incarnation("1"), notice(None, 2_000, 2_100));
    for now in (2_200..9_000).step_by(100) {
        let received_ms_ago = now - 100;
        let ago = (now, received_ms_ago);
        assert!(!fleet.peer_reported_rate(at(now), incarnation("1"), Some(2.0), ago));
        fleet.forget_gone(at(now));
    }
    assert_eq!(rate(&fleet), None);
}

/// Entries that send the upstream no requests themselves learn of the limit's end.
#[test]
fn a_peer_report_can_end_a_limit() {
    let mut fleet = fleet();
    assert!(fleet.peer_reported_rate(
        at(1_000),
        incarnation("1"),
        Some(2.0),
        (100, 50)
    ));
    assert!(!fleet.peer_reported_rate(at(1_500), incarnation("1"), None, (300, 100)));
    assert!(fleet.peer_reported_rate(at(4_000), incarnation("1"), None, (300, 100)));
    assert_eq!(rate(&fleet), None);
}

/// An upstream that restarts under its name has advertised no limit yet, and what its
/// earlier incarnation advertised doesn't apply.
#[test]
fn the_next_incarnation_has_no_limit() {
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 1, vec![(1, record_with_start("1", 10, &["a"]))]);
    let earlier = UpstreamIncarnation {
        id: "1",
        started_unix_ms: Some(10),
    };
    fleet.note_rate(earlier, notice(Some(1.0), 100, 200));
    fleet.apply_update(2, record_with_start("1", 20, &["a"]));
    assert_eq!(rate(&fleet), None);
    assert!(!fleet.note_rate(earlier, notice(Some(1.0), 300, 400)));
    assert!(!fleet.peer_reported_rate(at(500), earlier, Some(1.0), (200, 100)));
    assert_eq!(rate(&fleet), None);
}

/// An upstream whose allowed rate is used up isn't selected until more is allowed, and
/// is selected normally once it advertises no limit.
#[test]
fn an_upstream_whose_rate_is_used_up_is_not_selected() {
    let mut fleet = fleet();
    fleet.note_rate(incarnation("1"), notice(Some(1.0), 0, 10));
    assert_eq!(selected(&fleet, 20).as_deref(), Ok("1"));
    fleet
        .get_mut("1")
        .expect("known")
        .set_rate_spent_until(at(1_000));
    assert_eq!(selected(&fleet, 20), Err(SelectionError::RateSpent));
    let returns = fleet.accepts_again_at(at(20), "oracle", Some("a"));
    assert_eq!(returns, Some(at(1_000)));
    assert_eq!(selected(&fleet, 1_000).as_deref(), Ok("1"));
    fleet.note_rate(incarnation("1"), notice(None, 30, 40));
    assert_eq!(selected(&fleet, 50).as_deref(), Ok("1"));
}

/// An upstream that allows no requests still gets one occasionally; otherwise no entry
/// would learn that it accepts requests again.
#[test]
fn a_limit_of_zero_still_allows_an_occasional_request() {
    let mut fleet = fleet();
    fleet.note_rate(incarnation("1"), notice(Some(0.0), 0, 10));
    let limit = fleet.get("1").expect("known").rate_limit();
    let per_s = limit.expect("a bound").per_s;
    assert!(0.0 < per_s && per_s * 4.0 < 1.0, "{per_s}");
}

/// Own and peer reports arrive in any order: a limit set by the newest response never
/// counts as ended.
#[test]
fn the_newest_limit_applies_whatever_the_order_of_reports() {
    cases(200, |random| {
        let mut fleet = fleet();
        // The upstream advertises its limit from 5,000 ms on.
        for _ in 0..40 {
            let sent: u64 = random.int_in_range(0..=9_000)?;
            let received = sent + random.int_in_range(0..=2_000)?;
            let named = received >= 5_000 && (sent >= 5_000 || random.arbitrary()?);
            let per_s = named.then_some(2.0);
            if random.arbitrary()? {
                fleet.note_rate(incarnation("1"), notice(per_s, sent, received));
            } else {
                let ago = (12_000 - sent, 12_000 - received);
                fleet.peer_reported_rate(at(12_000), incarnation("1"), per_s, ago);
            }
        }
        fleet.note_rate(incarnation("1"), notice(Some(2.0), 11_000, 11_100));
        let late: u64 = random.int_in_range(0..=4_999)?;
        fleet.note_rate(incarnation("1"), notice(None, late, late + 2_000));
        assert_eq!(rate(&fleet), Some(2.0));
        Ok(())
    });
}

/// The end of a limit is announced for a limited time, not for as long as responses
/// arrive. Otherwise each upstream that ever had a limit would be in every message.
#[test]
fn the_end_of_a_limit_is_announced_for_a_limited_time() {
    let mut fleet = fleet();
    fleet.note_rate(incarnation("1"), notice(Some(2.0), 0, 100));
    for now in (200..20_000).step_by(100) {
        fleet.note_rate(incarnation("1"), notice(None, now, now + 50));
        fleet.forget_gone(at(now + 50));
    }
    assert_eq!(fleet.rate_notices(at(20_000)).count(), 0);
    assert!(!fleet.note_rate(incarnation("1"), notice(None, 20_000, 20_050)));
}

/// An upstream that refused a request isn't selected for as long as it asked, even if a
/// response that was in transit names a shorter time.
#[test]
fn an_upstream_that_asked_for_no_requests_is_not_selected() {
    let mut fleet = fleet();
    let upstream = fleet.get_mut("1").expect("known");
    upstream.back_off(at(3_000));
    upstream.back_off(at(1_000));
    assert_eq!(selected(&fleet, 2_999), Err(SelectionError::BackedOff));
    let again = fleet.accepts_again_at(at(20), "oracle", Some("a"));
    assert_eq!(again, Some(at(3_000)));
    assert_eq!(selected(&fleet, 3_000).as_deref(), Ok("1"));
}

/// If both apply, the later of the two times decides when callers should come back.
#[test]
fn a_used_up_rate_and_a_back_off_time_apply_together() {
    let mut fleet = fleet();
    fleet.note_rate(incarnation("1"), notice(Some(1.0), 0, 10));
    let upstream = fleet.get_mut("1").expect("known");
    upstream.set_rate_spent_until(at(1_000));
    upstream.back_off(at(3_000));
    let again = fleet.accepts_again_at(at(20), "oracle", Some("a"));
    assert_eq!(again, Some(at(3_000)));
    let other = fleet.accepts_again_at(at(20), "oracle", Some("b"));
    assert_eq!(other, None);
}

/// Guards against messages that fill all links when many upstreams advertise a rate.
#[test]
fn a_message_has_the_latest_rates_and_the_others_in_turn() {
    let names: Vec<String> = (0..300).map(|number| number.to_string()).collect();
    let mut fleet = Fleet::new();
    let listed = names.iter().map(|id| (1, record(id, &["a"])));
    fleet.apply_list(at(0), 1, listed.collect());
    for (ms, id) in (0..200).zip(&names) {
        fleet.note_rate(incarnation(id), notice(Some(2.0), ms, ms + 10));
    }
    let announced = |message, limit| {
        let rates = fleet.rates_to_announce(at(500), message, limit).into_iter();
        let names = rates.map(|(upstream, _)| upstream.record.id.to_string());
        names.collect::<Vec<_>>()
    };
    for limit in [4, 5, 30, 200, 1_000] {
        let mut told = BTreeSet::new();
        for message in 7..107 {
            let names = announced(message, limit);
            assert_eq!(names.len(), limit.min(200));
            assert!(names.contains(&"199".to_owned()), "the latest is missing");
            told.extend(names);
        }
        assert_eq!(told.len(), 200, "limit {limit}");
    }
}
