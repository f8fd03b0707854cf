//! Agents that were replaced, or might believe that they were.

use crate::gate::go;
use crate::orders::{begin, with_a};
use crate::stand::*;
use base::{PlatformOp, PlatformResult};
use prost::Message as _;
use schema::link::frame;
use schema::store::Member;

/// How a frozen agent wakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wake {
    /// With the answer to the write of an intent.
    Answer,
    /// With a tick.
    Tick,
    /// With a target that would need another order.
    Target,
}

/// An agent is frozen past its lease with an intent written, and a successor
/// takes the epoch. When it wakes it still believes to be the one; it must read
/// its record before it gives any order, find itself replaced, and say so.
#[test]
fn an_agent_that_was_frozen_and_replaced_gives_no_order() {
    for wake in [Wake::Answer, Wake::Tick, Wake::Target] {
        let (mut platform, mut engine, mut frozen) = begin();
        frozen.target("p", 1, &[("a", 1)]);
        let write = frozen.calls.pop_front().expect("the intent is written");
        assert!(matches!(write.op, PlatformOp::Write { .. }));
        let written = platform.apply(&write.op);
        let later = frozen.now.plus_ms(60_000);
        let mut next = Node::engine(11, "127.0.0.1:9", later, &mut platform, &engine);
        next.target("p", 1, &[("c", 1)]);
        next.work(1_000, &mut platform, &mut engine);
        assert!(engine.holds("c"));

        frozen.now = later.plus_ms(1_000);
        match wake {
            Wake::Answer => frozen.answer(write.id, written),
            Wake::Tick => frozen.handle(role::agent::AgentEvent::Tick),
            Wake::Target => frozen.target("p", 1, &[("a", 1), ("c", 1)]),
        }
        assert!(frozen.orders.is_empty(), "{wake:?}: before it has read");
        if wake != Wake::Answer {
            frozen.answer(write.id, PlatformResult::Unanswered);
        }
        frozen.frames.clear();
        frozen.pump(&mut platform);
        assert!(frozen.orders.is_empty(), "{wake:?}");
        assert!(frozen.role.status().fenced, "{wake:?}");
        assert!(!frozen.ready, "{wake:?}");
        let goodbye = |body: &frame::Body| matches!(body, frame::Body::Goodbye(_));
        assert!(frozen.frames.iter().any(|(_, body)| goodbye(body)));
        frozen.target("p", 1, &[("a", 1)]);
        frozen.pass(5_000);
        frozen.frame(frame::Body::Run(model_run(1, 10, "c")));
        assert_eq!(frozen.refusal(1), Some(base::Code::NotReady), "{wake:?}");
        assert!(frozen.orders.is_empty() && frozen.starts.is_empty());
        assert_eq!(frozen.role.counters().freezes, 1);
        assert!(
            frozen.exited,
            "{wake:?}: its memory counts as long as it lives"
        );
    }
}

/// An agent is replaced without having been frozen. Its next intent meets the
/// successor's epoch in the record, and no order goes out.
#[test]
fn a_replaced_agents_next_intent_is_refused() {
    let (mut platform, mut engine, mut node) = begin();
    let now = node.now;
    let mut next = Node::engine(11, "127.0.0.1:9", now, &mut platform, &engine);
    node.target("p", 1, &[("a", 1)]);
    node.pump(&mut platform);
    assert!(node.orders.is_empty());
    assert!(node.role.status().fenced);
    next.target("p", 1, &[("a", 1)]);
    next.work(500, &mut platform, &mut engine);
    assert!(engine.holds("a"));
}

/// An agent is replaced while a request runs. It finishes that and then ends:
/// its successor counts what it may have ordered until its process is gone. The
/// registration is the successor's by then and must stay.
#[test]
fn a_replaced_agent_ends_when_its_work_has_ended() {
    let (mut platform, engine, mut node) = with_a();
    go(&mut node, 1);
    let now = node.now;
    let _next = Node::engine(11, "127.0.0.1:9", now, &mut platform, &engine);
    node.target("p", 1, &[("a", 1), ("c", 1)]);
    node.pump(&mut platform);
    assert!(node.role.status().fenced);
    assert!(!node.exited, "one still runs");
    node.serve(1);
    assert_eq!(node.end(1).map(|end| end.code), Some(0));
    node.pass(100);
    assert!(node.exited);
    assert!(
        node.calls.is_empty(),
        "nothing of the registration is its own"
    );
    let (_, value) = &platform.objects["live/agent/one"];
    let member = Member::decode(value.as_slice()).expect("a registration");
    assert_eq!((member.incarnation, member.leaving), (11, false));
}

/// The write of an intent gets no answer, and reading it back gives the value
/// before the agent's own: its predecessor's. That is no successor; the agent
/// reads again, and gives its order once it has seen its own record.
#[test]
fn an_old_value_of_the_record_is_no_successor() {
    let (mut platform, engine, first) = begin();
    let old = platform.objects["agents/one"].clone();
    let now = first.now;
    drop(first);
    let mut node = Node::engine(11, "127.0.0.1:1", now, &mut platform, &engine);
    node.target("p", 1, &[("a", 1)]);
    let write = node.calls.pop_front().expect("the intent is written");
    platform.apply(&write.op);
    node.answer(write.id, PlatformResult::Unanswered);
    let read = node.calls.pop_front().expect("read back");
    let old = (base::Version(old.0), old.1);
    node.answer(read.id, PlatformResult::Object(Some(old)));
    assert!(!node.role.status().fenced && node.ready);
    assert!(node.orders.is_empty(), "its own record was not seen");
    for _ in 0..20 {
        node.pass(500);
        node.pump(&mut platform);
    }
    assert!(!node.orders.is_empty());
}
