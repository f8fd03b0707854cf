//! Runs that must have the upstream to themselves.

use crate::gate::{go, node, revoke, run};
use crate::stand::*;
use base::prelude::*;
use role::agent::{AgentEvent, UpstreamEvent};
use schema::link::{Cancel, Load, frame};

fn run_alone(node: &mut Node, sequence: u64, remaining_ms: u64) {
    let mut message = model_run(sequence, 10, "a");
    message.alone = true;
    message.remaining_ms = remaining_ms;
    run(node, message);
}

/// Load of the last frame that carried one.
fn last_load(node: &Node) -> Load {
    let loads = node.frames.iter().rev().filter_map(|(_, body)| match body {
        frame::Body::Heartbeat(beat) => beat.load,
        frame::Body::Refused(refused) => refused.load,
        frame::Body::End(end) => end.load,
        _ => None,
    });
    loads.into_iter().next().expect("a frame with a load")
}

/// A suspect comes to an upstream that is never idle. Refused, it would go from
/// agent to agent until its deadline. It is held instead: the agent takes
/// nothing else, says so to all entries, and starts it when the batch is empty.
#[test]
fn a_run_alone_starts_when_the_batch_is_empty() {
    let (_, _, mut node) = node();
    go(&mut node, 1);
    go(&mut node, 2);
    run_alone(&mut node, 99, 10_000);
    assert_eq!(node.refusal(99), None);
    assert!(!node.started(99), "not alone");
    assert_eq!(
        last_load(&node).running_max,
        0,
        "entries go on sending work"
    );
    run(&mut node, model_run(3, 10, "a"));
    assert_eq!(node.refusal(3), Some(Code::GateFull));
    node.serve(1);
    assert!(!node.started(99), "one still runs");
    node.serve(2);
    assert!(node.started(99), "the batch is empty");
    run(&mut node, model_run(4, 10, "a"));
    assert_eq!(node.refusal(4), Some(Code::GateFull));
    node.serve(99);
    assert_eq!(node.end(99).map(|end| end.code), Some(0));
    assert_eq!(last_load(&node).running_max, 4);
    go(&mut node, 5);
}

/// What happens while a run is held, and its refusal, if it gets one.
type Case = (&'static str, u64, fn(&mut Node), Option<Code>);

/// A held run ends in exactly one way: it starts, or its entry is told at once
/// that it was not run. Whatever ends the wait, it must not start later, for by
/// then the request runs elsewhere; and it must not keep its place.
#[test]
fn a_held_run_that_can_t_start_is_given_back() {
    let cases: &[Case] = &[
        (
            "held too long",
            60_000,
            |n| n.pass(10_000),
            Some(Code::GateFull),
        ),
        (
            "deadline",
            900,
            |n| n.pass(900),
            Some(Code::DeadlineBeforeRun),
        ),
        (
            "drain",
            9_000,
            |n| n.handle(AgentEvent::Drain),
            Some(Code::Leaving),
        ),
        (
            "down",
            9_000,
            |n| n.upstream(UpstreamEvent::Down),
            Some(Code::NotReady),
        ),
        ("unloaded", 9_000, unload, Some(Code::NotHeld)),
        ("link lost", 9_000, |n| n.link_down(ENTRY), None),
        ("cancelled", 9_000, cancel, None),
        ("revoked", 9_000, |n| revoke(n, 99, 10), None),
    ];
    for (name, remaining_ms, happen, code) in cases {
        let (mut platform, mut engine, mut node) = node();
        let mut other = model_run(1, 10, "a");
        other.remaining_ms = 60_000;
        other.idempotent = false;
        run(&mut node, other);
        node.upstream(UpstreamEvent::Started { attempt: id(1) });
        run_alone(&mut node, 99, *remaining_ms);
        happen(&mut node);
        assert_eq!(node.refusal(99), *code, "{name}");
        let (held, alone) = (node.role.status().attempts, last_load(&node).running_max);
        assert!(held <= 1, "{name}: the place is kept");
        assert!(
            alone > 0 || code.is_none(),
            "{name}: still closed to others"
        );
        node.link_up(ENTRY);
        node.serve(1);
        node.work(3_000, &mut platform, &mut engine);
        assert!(!node.started(99), "{name}: run though given back");
        revoke(&mut node, 99, 10);
        assert_eq!(node.revoked(99), Some(Ran::NotRun), "{name}");
    }
}

fn cancel(node: &mut Node) {
    let attempt = attempt(99);
    node.frame(frame::Body::Cancel(Cancel { attempt }));
}

/// The upstream restarts empty while the run is held.
fn unload(node: &mut Node) {
    let mut engine = Engine::new();
    engine.restart();
    node.report(&engine);
}

/// A suspect call with a key is held, too. Its key is claimed only when it may
/// start: a claim made before would have to be released for each refusal.
#[test]
fn a_held_call_claims_its_key_when_it_may_start() {
    let mut platform = Platform::new();
    let now = Instant::from_ms(1_000);
    let mut node = Node::service(10, now, &mut platform);
    run(&mut node, service_run(1, 10, "first"));
    node.pump(&mut platform);
    node.upstream(UpstreamEvent::Started { attempt: id(1) });
    let mut held = service_run(99, 10, "second");
    held.alone = true;
    run(&mut node, held);
    assert!(node.calls.is_empty(), "claimed while it is held");
    node.serve(1);
    node.pump(&mut platform);
    assert!(node.started(99));
    node.serve(99);
    assert_eq!(node.end(99).map(|end| end.code), Some(0));
}
