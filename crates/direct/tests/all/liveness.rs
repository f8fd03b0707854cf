//! Which upstreams are held silent: dead ones soon, full ones not.

use crate::support::{at, name, news, start};
use direct::{Activity, Fleet, PrefillQueue, Usage};

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 1, vec![(1, news("1", &["a"]))]);
    fleet
}

fn sent(fleet: &mut Fleet, ms: u64, tokens: u64) {
    let used = Usage {
        running: 1,
        prefill: PrefillQueue::single(1, tokens),
        ..Usage::default()
    };
    fleet
        .get_mut("1")
        .expect("known")
        .request_sent(at(ms), &used);
}

fn tells(fleet: &mut Fleet, ms: u64, peer: &str, begun: u32, silent_ms: u64) {
    let activity = Activity {
        answering: begun,
        silent_ms,
    };
    fleet.set_peer_activity(at(ms), peer, [(start("1"), activity)].into_iter());
}

fn is_silent(fleet: &Fleet, ms: u64) -> bool {
    fleet.get("1").expect("known").is_silent(at(ms))
}

/// Sixty entries have a stream each at a full engine, and this one's request waits
/// there for 1.4 s until a place is free. Others hear from the engine all the while.
/// Taken back after 0.7 s, the prompt was read again by an engine that was as full.
#[test]
fn a_full_upstream_that_others_hear_is_waited_for() {
    let mut fleet = fleet();
    sent(&mut fleet, 0, 2_000);
    for ms in (100..1_400).step_by(300) {
        tells(&mut fleet, ms, "p", 1, 30);
        assert!(!is_silent(&fleet, ms + 250), "after {ms} ms");
    }
}

/// The engine dies. Others with streams there hear nothing for 0.7 s and say so; this
/// entry's request, which has heard nothing yet, is sent elsewhere at that moment.
#[test]
fn a_dead_upstream_is_found_as_soon_as_anybody_streams_from_it() {
    let mut fleet = fleet();
    tells(&mut fleet, 900, "p", 2, 20);
    sent(&mut fleet, 1_000, 20_000);
    tells(&mut fleet, 1_650, "p", 2, 770);
    assert!(!is_silent(&fleet, 1_650), "its own time is not over");
    assert!(is_silent(&fleet, 1_710));
}

/// One entry's way to the engine is cut: its stream is silent, and others hear the
/// engine. Their word goes before its, as long as it is newer.
#[test]
fn one_entrys_silent_stream_does_not_condemn_what_another_hears() {
    let mut fleet = fleet();
    sent(&mut fleet, 0, 2_000);
    tells(&mut fleet, 700, "cut off", 1, 900);
    tells(&mut fleet, 700, "p", 1, 10);
    assert!(!is_silent(&fleet, 900));
}

/// This entry's own way is cut, before its request has begun: nobody can tell from
/// outside, so it is given up while its caller can still be served elsewhere.
#[test]
fn a_request_that_only_this_entry_hears_nothing_of_is_given_up_in_time() {
    let mut fleet = fleet();
    sent(&mut fleet, 0, 2_000);
    for ms in (0..2_400).step_by(300) {
        tells(&mut fleet, ms, "p", 1, 10);
    }
    assert!(!is_silent(&fleet, 1_900));
    assert!(is_silent(&fleet, 2_100));
}

/// A stream that has begun pauses for nobody's prompt.
#[test]
fn an_own_stream_without_an_event_is_silent_soon() {
    let mut fleet = fleet();
    sent(&mut fleet, 0, 2_000);
    let upstream = fleet.get_mut("1").expect("known");
    upstream.bytes_received(at(100));
    upstream.first_answer_received(&PrefillQueue::single(1, 2_000));
    tells(&mut fleet, 700, "p", 1, 10);
    assert!(!is_silent(&fleet, 800));
    assert!(is_silent(&fleet, 810));
    let upstream = fleet.get_mut("1").expect("known");
    upstream.requests_ended(1, 0);
    assert!(!is_silent(&fleet, 900), "it has no work from here");
}

/// Nobody else has a request there. A long queue takes its time, and a dead upstream
/// is not waited for longer than a second for it.
#[test]
fn prompts_that_wait_are_granted_their_time_up_to_a_bound() {
    let mut fleet = fleet();
    sent(&mut fleet, 0, 8_000);
    assert!(!is_silent(&fleet, 1_090));
    assert!(is_silent(&fleet, 1_110));
    sent(&mut fleet, 1_200, 400_000);
    assert!(!is_silent(&fleet, 1_690));
    assert!(is_silent(&fleet, 1_710));
}

/// An engine is dead from the start, and other entries go on sending it requests. That
/// they have just sent one is no sign of life: this entry's request is not kept there
/// any longer for it.
#[test]
fn requests_that_others_have_just_sent_are_no_sign_of_life() {
    let mut fleet = fleet();
    sent(&mut fleet, 0, 0);
    for ms in (100..1_000).step_by(100) {
        tells(&mut fleet, ms, "p", 0, 10);
    }
    assert!(!is_silent(&fleet, 690));
    assert!(is_silent(&fleet, 910));
}

/// An entry that has ended says nothing more, and one that has no request left there
/// names the upstream no more: neither's word counts.
#[test]
fn words_end_with_their_entry_and_its_requests() {
    let mut fleet = fleet();
    sent(&mut fleet, 0, 0);
    tells(&mut fleet, 100, "p", 1, 10);
    assert!(!is_silent(&fleet, 1_500));
    assert!(is_silent(&fleet, 1_650), "its word is too old");
    tells(&mut fleet, 1_700, "p", 1, 10);
    assert!(!is_silent(&fleet, 1_750));
    fleet.set_peer_activity(at(1_760), "p", std::iter::empty());
    assert!(is_silent(&fleet, 1_770));
}

/// A word of an earlier start says nothing of this one.
#[test]
fn a_word_of_another_start_does_not_count() {
    let mut fleet = fleet();
    sent(&mut fleet, 0, 0);
    let activity = Activity {
        answering: 1,
        silent_ms: 10,
    };
    let other = direct::UpstreamIncarnation {
        id: &name("1"),
        started_unix_ms: Some(5),
    };
    fleet.set_peer_activity(at(700), "p", [(other, activity)].into_iter());
    assert!(is_silent(&fleet, 710));
}
