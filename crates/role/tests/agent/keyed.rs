//! Calls that may not be repeated, through whole agents.

use crate::stand::*;
use base::prelude::*;
use role::agent::{AgentEvent, UpstreamEvent};
use schema::link::{Cancel, Revoke, frame};

const NOW: Instant = Instant::from_ms(1_000);

fn call(node: &mut Node, sequence: u64, key: &str) {
    let incarnation = node.incarnation();
    node.frame(frame::Body::Run(service_run(sequence, incarnation, key)));
}

/// The call is not run before its claim stands, and a resend gets the stored
/// answer without a run.
#[test]
fn a_resend_gets_the_stored_answer() {
    let mut platform = Platform::new();
    let mut node = Node::service(10, NOW, &mut platform);
    call(&mut node, 1, "key");
    assert!(node.starts.is_empty(), "run before it was claimed");
    node.pump(&mut platform);
    assert!(node.started(1));
    node.serve(1);
    node.pump(&mut platform);
    assert_eq!(node.end(1).map(|end| end.code), Some(0));

    let mut other = Node::service(20, NOW, &mut platform);
    call(&mut other, 2, "key");
    other.pump(&mut platform);
    assert!(other.starts.is_empty(), "run twice");
    let end = other.end(2).expect("an end");
    assert!(end.replayed);
    assert_eq!((end.code, end.status, end.total_units), (0, 200, 2));
    let body = other.frames.iter().find_map(|(_, body)| match body {
        frame::Body::Answer(answer) => Some(answer.payload.clone()),
        _ => None,
    });
    assert_eq!(body.as_deref(), Some(&b"ok"[..]));
}

/// While the platform is away no claim can be written. The call is refused at
/// once as `not_run`, with a time to come back, and really is not run.
#[test]
fn while_the_platform_is_away_a_call_is_not_run() {
    let mut platform = Platform::new();
    let mut node = Node::service(10, NOW, &mut platform);
    platform.away = true;
    call(&mut node, 1, "key");
    node.pump(&mut platform);
    assert_eq!(node.refusal(1), Some(Code::PlatformAway));
    platform.away = false;
    for _ in 0..100 {
        node.pass(100);
        node.pump(&mut platform);
    }
    assert!(node.starts.is_empty());
    call(&mut node, 2, "key");
    node.pump(&mut platform);
    assert!(node.started(2), "the key is free");
}

/// How an attempt is recalled while its claim is being written.
type Recall = (&'static str, fn(&mut Node));

const RECALLS: [Recall; 3] = [
    ("cancelled", |node| {
        let attempt = attempt(1);
        node.frame(frame::Body::Cancel(Cancel { attempt }));
    }),
    ("revoked", |node| {
        let agent_incarnation = node.incarnation();
        let attempt = attempt(1);
        node.frame(frame::Body::Revoke(Revoke {
            attempt,
            agent_incarnation,
        }));
        assert_eq!(node.revoked(1), Some(Ran::NotRun));
    }),
    ("its link lost", |node| node.link_down(ENTRY)),
];

/// The caller goes away while the claim is being written. The grant comes too
/// late: the call is not run and its key is free again.
#[test]
fn a_grant_that_comes_too_late_is_given_back() {
    for (name, recall) in RECALLS {
        let mut platform = Platform::new();
        let mut node = Node::service(10, NOW, &mut platform);
        call(&mut node, 1, "key");
        node.step(&mut platform);
        assert_eq!(node.calls.len(), 1, "{name}: the write is under way");
        recall(&mut node);
        node.pump(&mut platform);
        assert!(node.starts.is_empty(), "{name}");
        node.link_up(ENTRY);
        call(&mut node, 2, "key");
        node.pump(&mut platform);
        assert!(node.started(2), "{name}: the key is not free");
    }
}

/// The platform answers slowly and the deadline passes before the claim stands.
/// The call is refused as `not_run`, is not run, and its key is free again when
/// the caller hears of it.
#[test]
fn a_grant_behind_the_deadline_is_given_back() {
    let mut platform = Platform::new();
    let mut node = Node::service(10, NOW, &mut platform);
    let mut run = service_run(1, 10, "key");
    run.remaining_ms = 1_000;
    node.frame(frame::Body::Run(run));
    node.step(&mut platform);
    node.pass(1_100);
    node.pump(&mut platform);
    assert!(node.starts.is_empty());
    assert_eq!(node.refusal(1), Some(Code::DeadlineBeforeRun));
    call(&mut node, 2, "key");
    node.pump(&mut platform);
    assert!(node.started(2), "the key is not free");
}

/// The upstream itself refuses the call. The claim is released before the
/// caller hears of it, so that the resend does not meet it.
#[test]
fn a_call_the_upstream_refused_frees_its_key_first() {
    let mut platform = Platform::new();
    let mut node = Node::service(10, NOW, &mut platform);
    call(&mut node, 1, "key");
    node.pump(&mut platform);
    node.upstream(UpstreamEvent::Failed {
        attempt: id(1),
        ran: Ran::NotRun,
        status: 503,
        broken: false,
    });
    assert_eq!(node.refusal(1), None, "told before the key was free");
    node.pump(&mut platform);
    assert_eq!(node.refusal(1), Some(Code::UpstreamFault));
    call(&mut node, 2, "key");
    node.pump(&mut platform);
    assert!(node.started(2));
}

/// The agent dies between claim and run, or between run and answer. A resend
/// through its successor is never run: the successor can't tell whether the
/// first was.
#[test]
fn a_call_of_a_dead_agent_is_not_run_again() {
    for ran in [false, true] {
        let mut platform = Platform::new();
        let mut node = Node::service(10, NOW, &mut platform);
        call(&mut node, 1, "key");
        node.pump(&mut platform);
        if ran {
            node.upstream(UpstreamEvent::Started { attempt: id(1) });
        }
        drop(node);
        let mut next = Node::service(11, NOW.plus_ms(500), &mut platform);
        call(&mut next, 2, "key");
        next.pump(&mut platform);
        let end = next.end(2).expect("an end");
        assert_eq!(end.code, Code::KeyInProgress.number());
        assert_eq!(Ran::from_number(end.ran), Ran::Unknown);
        next.pass(20_000);
        call(&mut next, 3, "key");
        next.pump(&mut platform);
        let end = next.end(3).expect("an end");
        assert_eq!(end.code, Code::OutcomeUnknown.number());
        assert!(next.starts.is_empty(), "run again");
    }
}

/// The entry is gone in mid run. The call can't be undone, so it finishes and
/// its answer is kept for the resend.
#[test]
fn a_call_without_its_entry_still_stores_its_answer() {
    let mut platform = Platform::new();
    let mut node = Node::service(10, NOW, &mut platform);
    call(&mut node, 1, "key");
    node.pump(&mut platform);
    node.upstream(UpstreamEvent::Started { attempt: id(1) });
    node.link_down(ENTRY);
    assert!(node.stops.is_empty());
    node.serve(1);
    node.pump(&mut platform);
    node.link_up(ENTRY);
    call(&mut node, 2, "key");
    node.pump(&mut platform);
    assert!(node.end(2).is_some_and(|end| end.replayed));
}

/// The upstream dies with the call in flight. It may have taken effect, so a
/// resend is told that it ran and that nobody knows how it ended.
#[test]
fn a_call_lost_in_a_crash_is_not_run_again() {
    let mut platform = Platform::new();
    let mut node = Node::service(10, NOW, &mut platform);
    call(&mut node, 1, "key");
    node.pump(&mut platform);
    node.upstream(UpstreamEvent::Started { attempt: id(1) });
    node.upstream(UpstreamEvent::Down);
    node.pump(&mut platform);
    node.report(&Engine::new());
    call(&mut node, 2, "key");
    node.pump(&mut platform);
    let end = node.end(2).expect("an end");
    assert_eq!(end.code, Code::OutcomeUnknown.number());
    assert_eq!(Ran::from_number(end.ran), Ran::Ran);
    assert_eq!(node.starts.len(), 1);
}

/// A planned stop: the call in progress finishes, its answer is stored, and
/// only then does the process end.
#[test]
fn a_stop_waits_for_the_answer_to_be_stored() {
    let mut platform = Platform::new();
    let mut node = Node::service(10, NOW, &mut platform);
    call(&mut node, 1, "key");
    node.pump(&mut platform);
    node.handle(AgentEvent::Drain);
    node.pump(&mut platform);
    assert!(!node.exited);
    node.serve(1);
    let goodbye = |body: &frame::Body| matches!(body, frame::Body::Goodbye(_));
    let left = node.frames.iter().any(|(_, body)| goodbye(body));
    assert!(!left && !node.exited, "the answer is not stored yet");
    node.pump(&mut platform);
    assert!(node.exited);
    let mut next = Node::service(11, NOW, &mut platform);
    call(&mut next, 2, "key");
    next.pump(&mut platform);
    assert!(next.end(2).is_some_and(|end| end.replayed));
}
