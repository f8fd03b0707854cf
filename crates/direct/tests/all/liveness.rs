//! Which upstreams are considered silent: dead ones soon, full ones not.

use crate::support::{at, incarnation, name, record};
use direct::{Activity, Fleet, PrefillQueue, Usage};

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.apply_list(at(0), 1, vec![(1, record("1", &["a"]))]);
    fleet
}

fn send(fleet: &mut Fleet, ms: u64, tokens: u64) {
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

fn report(fleet: &mut Fleet, ms: u64, peer: &str, answering: u32, silent_ms: u64) {
    let activity = Activity {
        answering,
        silent_ms,
    };
    fleet.set_peer_activity(at(ms), peer, [(incarnation("1"), activity)].into_iter());
}

fn is_silent(fleet: &Fleet, ms: u64) -> bool {
    fleet.get("1").expect("known").is_silent(at(ms))
}

/// Sixty entries each have a stream at a full engine, where this entry's request waits
/// 1.4 s for a free slot. The others hear from the engine all the time. If the request
/// were withdrawn after 0.7 s, its prompt would be prefilled again by an engine that is
/// as full.
#[test]
fn a_full_upstream_that_peers_hear_is_not_silent() {
    let mut fleet = fleet();
    send(&mut fleet, 0, 2_000);
    for ms in (100..1_400).step_by(300) {
        report(&mut fleet, ms, "p", 1, 30);
        assert!(!is_silent(&fleet, ms + 250), "after {ms} ms");
    }
}

/// The engine dies. Peers with streams there report 0.7 s of silence, and this entry's
/// request, which has had no answer yet, is sent elsewhere at that moment.
#[test]
fn a_dead_upstream_is_detected_by_any_entry_with_a_stream() {
    let mut fleet = fleet();
    report(&mut fleet, 900, "p", 2, 20);
    send(&mut fleet, 1_000, 20_000);
    report(&mut fleet, 1_650, "p", 2, 770);
    assert!(
        !is_silent(&fleet, 1_650),
        "the time allowed for this entry is not over"
    );
    assert!(is_silent(&fleet, 1_710));
}

/// One peer's connection to the engine is cut: its stream is silent while others hear
/// the engine. A newer report of another peer outweighs its report.
#[test]
fn a_silent_stream_of_one_peer_is_outweighed_by_another_peer() {
    let mut fleet = fleet();
    send(&mut fleet, 0, 2_000);
    report(&mut fleet, 700, "cut off", 1, 900);
    report(&mut fleet, 700, "p", 1, 10);
    assert!(!is_silent(&fleet, 900));
}

/// This entry's own connection is cut before its request has an answer. No peer can
/// notice, so the request is given up while another upstream can still serve it in
/// time.
#[test]
fn an_upstream_unreachable_only_from_here_is_given_up_in_time() {
    let mut fleet = fleet();
    send(&mut fleet, 0, 2_000);
    for ms in (0..2_400).step_by(300) {
        report(&mut fleet, ms, "p", 1, 10);
    }
    assert!(!is_silent(&fleet, 1_900));
    assert!(is_silent(&fleet, 2_100));
}

/// A stream that has started isn't interrupted by the prefill of other prompts.
#[test]
fn an_own_stream_without_events_is_silent_soon() {
    let mut fleet = fleet();
    send(&mut fleet, 0, 2_000);
    let upstream = fleet.get_mut("1").expect("known");
    upstream.bytes_received(at(100));
    upstream.first_answer_received(&PrefillQueue::single(1, 2_000));
    report(&mut fleet, 700, "p", 1, 10);
    assert!(!is_silent(&fleet, 800));
    assert!(is_silent(&fleet, 810));
    let upstream = fleet.get_mut("1").expect("known");
    upstream.requests_ended(1, 0);
    assert!(!is_silent(&fleet, 900), "it has no requests of this entry");
}

/// No other entry has a request there. A long queue takes its time, but a dead upstream
/// isn't waited for more than an additional second because of it.
#[test]
fn queued_prompts_extend_the_allowed_silence_up_to_a_limit() {
    let mut fleet = fleet();
    send(&mut fleet, 0, 8_000);
    assert!(!is_silent(&fleet, 1_090));
    assert!(is_silent(&fleet, 1_110));
    send(&mut fleet, 1_200, 400_000);
    assert!(!is_silent(&fleet, 1_690));
    assert!(is_silent(&fleet, 1_710));
}

/// An engine is dead from the start, and other entries keep sending it requests.
/// Requests that were just sent don't show that it is alive, so this entry's request
/// doesn't wait any longer because of them.
#[test]
fn requests_just_sent_by_peers_are_no_sign_of_life() {
    let mut fleet = fleet();
    send(&mut fleet, 0, 0);
    for ms in (100..1_000).step_by(100) {
        report(&mut fleet, ms, "p", 0, 10);
    }
    assert!(!is_silent(&fleet, 690));
    assert!(is_silent(&fleet, 910));
}

/// An entry that has ended sends no more reports, and one without requests at the
/// upstream no longer names it: the earlier reports of both expire.
#[test]
fn peer_reports_end_with_the_peer_and_its_requests() {
    let mut fleet = fleet();
    send(&mut fleet, 0, 0);
    report(&mut fleet, 100, "p", 1, 10);
    assert!(!is_silent(&fleet, 1_500));
    assert!(is_silent(&fleet, 1_650), "its report is too old");
    report(&mut fleet, 1_700, "p", 1, 10);
    assert!(!is_silent(&fleet, 1_750));
    fleet.set_peer_activity(at(1_760), "p", std::iter::empty());
    assert!(is_silent(&fleet, 1_770));
}

/// A report about an earlier incarnation is ignored.
#[test]
fn a_report_about_another_incarnation_is_ignored() {
    let mut fleet = fleet();
    send(&mut fleet, 0, 0);
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
