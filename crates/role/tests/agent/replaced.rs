//! Agents that were replaced, or that might mistake a stale read for a
//! replacement.

use crate::admission::start_attempt;
use crate::fixtures::*;
use crate::orders::{agent_with_empty_engine, agent_with_model_a};
use base::{PlatformOp, PlatformResult};
use prost::Message as _;
use schema::link::frame;
use schema::store::Member;

/// First event after a frozen agent wakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wake {
    /// The answer to the write of an intent.
    Answer,
    /// A tick.
    Tick,
    /// A target that needs another order.
    Target,
}

/// An agent records an intent and is frozen until a successor has taken the
/// epoch. When it wakes it must read its record before it sends any order, find
/// that it was replaced, and tell the entries.
#[test]
fn an_agent_that_was_frozen_and_replaced_gives_no_order() {
    for wake in [Wake::Answer, Wake::Tick, Wake::Target] {
        let (mut platform, mut engine, mut frozen) = agent_with_empty_engine();
        frozen.receive_target("p", 1, &[("a", 1)]);
        let write = frozen.calls.pop_front().expect("the intent is written");
        assert!(matches!(write.op, PlatformOp::Write { .. }));
        let written = platform.apply(&write.op);
        let later = frozen.now.plus_ms(60_000);
        let mut next =
            TestAgent::beside_engine(11, "127.0.0.1:9", later, &mut platform, &engine);
        next.receive_target("p", 1, &[("c", 1)]);
        next.run_for(1_000, &mut platform, &mut engine);
        assert!(engine.has_loaded("c"));

        frozen.now = later.plus_ms(1_000);
        match wake {
            Wake::Answer => frozen.answer_call(write.id, written),
            Wake::Tick => frozen.handle(role::agent::AgentEvent::Tick),
            Wake::Target => frozen.receive_target("p", 1, &[("a", 1), ("c", 1)]),
        }
        assert!(
            frozen.orders.is_empty(),
            "{wake:?}: before it has read its record"
        );
        if wake != Wake::Answer {
            frozen.answer_call(write.id, PlatformResult::Unanswered);
        }
        frozen.frames.clear();
        frozen.answer_all_calls(&mut platform);
        assert!(frozen.orders.is_empty(), "{wake:?}");
        assert!(frozen.role.status().fenced, "{wake:?}");
        assert!(!frozen.ready, "{wake:?}");
        let goodbye = |body: &frame::Body| matches!(body, frame::Body::Goodbye(_));
        assert!(frozen.frames.iter().any(|(_, body)| goodbye(body)));
        frozen.receive_target("p", 1, &[("a", 1)]);
        frozen.advance_time(5_000);
        frozen.receive_frame(frame::Body::Run(model_run(1, 10, "c")));
        assert_eq!(
            frozen.refusal(1),
            Some(base::ErrorCode::NotReady),
            "{wake:?}"
        );
        assert!(frozen.orders.is_empty() && frozen.starts.is_empty());
        assert_eq!(frozen.role.counters().freezes, 1);
        assert!(
            frozen.exited,
            "{wake:?}: its orders count as long as it lives"
        );
    }
}

/// An agent is replaced without having been frozen. Its next intent conflicts
/// with the successor's epoch in the record, so no order is sent.
#[test]
fn a_replaced_agents_next_intent_is_refused() {
    let (mut platform, mut engine, mut agent) = agent_with_empty_engine();
    let now = agent.now;
    let mut next =
        TestAgent::beside_engine(11, "127.0.0.1:9", now, &mut platform, &engine);
    agent.receive_target("p", 1, &[("a", 1)]);
    agent.answer_all_calls(&mut platform);
    assert!(agent.orders.is_empty());
    assert!(agent.role.status().fenced);
    next.receive_target("p", 1, &[("a", 1)]);
    next.run_for(500, &mut platform, &mut engine);
    assert!(engine.has_loaded("a"));
}

/// An agent is replaced while a request runs. It finishes the request and then
/// exits, because its successor counts the orders it may have sent until its
/// process is gone. By then the registration is the successor's and must stay.
#[test]
fn a_replaced_agent_ends_when_its_work_has_ended() {
    let (mut platform, engine, mut agent) = agent_with_model_a();
    start_attempt(&mut agent, 1);
    let now = agent.now;
    let _next =
        TestAgent::beside_engine(11, "127.0.0.1:9", now, &mut platform, &engine);
    agent.receive_target("p", 1, &[("a", 1), ("c", 1)]);
    agent.answer_all_calls(&mut platform);
    assert!(agent.role.status().fenced);
    assert!(!agent.exited, "one attempt still runs");
    agent.complete_attempt(1);
    assert_eq!(agent.end_frame(1).map(|end| end.code), Some(0));
    agent.advance_time(100);
    assert!(agent.exited);
    assert!(
        agent.calls.is_empty(),
        "the registration belongs to the successor"
    );
    let (_, value) = &platform.objects["live/agent/one"];
    let member = Member::decode(value.as_slice()).expect("a registration");
    assert_eq!((member.incarnation, member.leaving), (11, false));
}

/// The write of an intent gets no answer, and reading the record back returns
/// the predecessor's old value. This must not be taken for a successor: the
/// agent reads again, and sends its order once it has seen its own record.
#[test]
fn a_stale_read_of_the_record_does_not_fence() {
    let (mut platform, engine, first) = agent_with_empty_engine();
    let old = platform.objects["agents/one"].clone();
    let now = first.now;
    drop(first);
    let mut agent =
        TestAgent::beside_engine(11, "127.0.0.1:1", now, &mut platform, &engine);
    agent.receive_target("p", 1, &[("a", 1)]);
    let write = agent.calls.pop_front().expect("the intent is written");
    platform.apply(&write.op);
    agent.answer_call(write.id, PlatformResult::Unanswered);
    let read = agent.calls.pop_front().expect("read back");
    let old = (base::ObjectVersion(old.0), old.1);
    agent.answer_call(read.id, PlatformResult::Object(Some(old)));
    assert!(!agent.role.status().fenced && agent.ready);
    assert!(agent.orders.is_empty(), "it has not seen its own record");
    for _ in 0..20 {
        agent.advance_time(500);
        agent.answer_all_calls(&mut platform);
    }
    assert!(!agent.orders.is_empty());
}
