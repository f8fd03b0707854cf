//! Intents left by a predecessor, and what frees their memory.

use crate::fixtures::*;
use crate::orders::agent_with_empty_engine;
use prost::Message as _;
use role::agent::{AgentEvent, OrderAnswer};

/// When the predecessor was killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Killed {
    BeforeOrder,
    BeforeAnswer,
}

/// An agent is killed between intent and order, or between order and answer,
/// and its successor can't tell which. It counts the load until the engine
/// reports its end, or until the predecessor is known to be dead and none of
/// its orders can still arrive. Only then may another model use the memory.
#[test]
fn a_killed_predecessors_intent_counts_until_it_can_end() {
    for killed in [Killed::BeforeOrder, Killed::BeforeAnswer] {
        let (mut platform, mut engine, mut agent) = agent_with_empty_engine();
        agent.receive_target("p", 1, &[("a", 1)]);
        agent.answer_all_calls(&mut platform);
        let order = agent.orders.pop_front().expect("an order for `a`");
        let now = agent.now.plus_ms(100);
        drop(agent);
        let mut next =
            TestAgent::beside_engine(11, "127.0.0.1:9", now, &mut platform, &engine);
        assert_eq!(next.probes, ["127.0.0.1:1"], "{killed:?}");
        if killed == Killed::BeforeAnswer {
            engine.accept_order(&order);
        }
        for _ in 0..5 {
            next.receive_target("p", 1, &[("b", 1)]);
            next.advance_time(1_000);
            next.answer_all_calls(&mut platform);
            assert!(next.orders.is_empty(), "{killed:?}: `b` could overcommit");
        }
        let dead = true;
        next.handle(AgentEvent::PredecessorProbed { dead });
        next.receive_target("p", 1, &[("b", 1)]);
        next.run_for(ORDER_DELAY_MS - 500, &mut platform, &mut engine);
        if killed == Killed::BeforeOrder {
            assert_eq!(engine.memory_mib(), 0, "{killed:?}");
        }
        next.receive_target("p", 1, &[("b", 1)]);
        next.run_for(2_000, &mut platform, &mut engine);
        assert!(engine.has_loaded("b"), "{killed:?}");
        assert!(engine.peak_mib <= 100, "{killed:?}");
    }
}

/// Two agents die one after the other. The second had found the first dead and
/// taken over its intent, so the third needs to probe only the second.
#[test]
fn an_intent_is_inherited_through_two_deaths() {
    let (mut platform, mut engine, mut first) = agent_with_empty_engine();
    first.receive_target("p", 1, &[("a", 1)]);
    first.answer_all_calls(&mut platform);
    let now = first.now;
    drop(first);
    let mut second =
        TestAgent::beside_engine(11, "127.0.0.1:8", now, &mut platform, &engine);
    second.handle(AgentEvent::PredecessorProbed { dead: true });
    second.answer_all_calls(&mut platform);
    drop(second);
    let mut third =
        TestAgent::beside_engine(12, "127.0.0.1:9", now, &mut platform, &engine);
    assert_eq!(third.probes, ["127.0.0.1:8"]);
    third.receive_target("p", 1, &[("b", 1)]);
    third.run_for(ORDER_DELAY_MS + 500, &mut platform, &mut engine);
    assert_eq!(engine.memory_mib(), 0, "the second agent may still live");
    third.handle(AgentEvent::PredecessorProbed { dead: true });
    for _ in 0..4 {
        third.receive_target("p", 1, &[("b", 1)]);
        third.run_for(1_000, &mut platform, &mut engine);
    }
    assert!(engine.has_loaded("b"));
}

/// Both predecessors leave an intent, and only the second is dead. A probe
/// result must apply to the probed predecessor only: the first is frozen, and
/// its load of `a` may still arrive, so `b` must not be loaded beside it.
#[test]
fn a_probe_frees_only_the_probed_predecessors_orders() {
    let (mut platform, mut engine, mut first) = agent_with_empty_engine();
    first.receive_target("p", 1, &[("a", 1)]);
    first.answer_all_calls(&mut platform);
    let late = first.orders.pop_front().expect("an order for `a`");
    let now = first.now;
    let mut second =
        TestAgent::beside_engine(11, "127.0.0.1:8", now, &mut platform, &engine);
    second.receive_target("p", 1, &[("c", 1)]);
    second.answer_all_calls(&mut platform);
    drop(second);
    let mut third =
        TestAgent::beside_engine(12, "127.0.0.1:9", now, &mut platform, &engine);
    assert_eq!(
        third.probes,
        ["127.0.0.1:1"],
        "the address of the intent's agent, not of the last agent"
    );
    third.run_for(5_000, &mut platform, &mut engine);
    assert_eq!(third.probes.len(), 1, "probed again before the result");
    third.handle(AgentEvent::PredecessorProbed { dead: false });
    third.run_for(2_100, &mut platform, &mut engine);
    assert_eq!(third.probes, ["127.0.0.1:1", "127.0.0.1:8"]);
    assert_eq!(third.in_use_mib(), 90);
    third.handle(AgentEvent::PredecessorProbed { dead: true });
    third.receive_target("p", 1, &[("b", 1)]);
    third.run_for(ORDER_DELAY_MS + 500, &mut platform, &mut engine);
    assert_eq!(
        third.in_use_mib(),
        60,
        "only the second agent's intent has ended"
    );
    engine.accept_order(&late);
    third.report_from(&engine);
    assert!(engine.peak_mib <= 100);
}

/// The second agent dies before it has found the first dead. The third takes
/// the first one's address from the intent and probes it; otherwise the memory
/// would stay counted forever.
#[test]
fn an_earlier_predecessor_is_found_by_the_intents_address() {
    let (mut platform, mut engine, mut first) = agent_with_empty_engine();
    first.receive_target("p", 1, &[("a", 1)]);
    first.answer_all_calls(&mut platform);
    let now = first.now;
    drop(first);
    drop(TestAgent::beside_engine(
        11,
        "127.0.0.1:8",
        now,
        &mut platform,
        &engine,
    ));
    let mut third =
        TestAgent::beside_engine(12, "127.0.0.1:9", now, &mut platform, &engine);
    assert_eq!(third.probes, ["127.0.0.1:1"]);
    third.handle(AgentEvent::PredecessorProbed { dead: true });
    for _ in 0..5 {
        third.receive_target("p", 1, &[("b", 1)]);
        third.run_for(1_000, &mut platform, &mut engine);
    }
    assert!(engine.has_loaded("b"));
    assert_eq!(engine.peak_mib, 60);
}

/// An intent written by an earlier version has no address; the address of its
/// record is probed instead.
#[test]
fn an_intent_without_an_address_has_that_of_its_record() {
    let (mut platform, engine, mut first) = agent_with_empty_engine();
    first.receive_target("p", 1, &[("a", 1)]);
    first.answer_all_calls(&mut platform);
    let mut record = platform.agent_record();
    record.intents[0].link_address.clear();
    let object = platform.objects.get_mut("agents/one").expect("a record");
    object.1 = record.encode_to_vec();
    let next =
        TestAgent::beside_engine(11, "127.0.0.1:8", first.now, &mut platform, &engine);
    assert_eq!(next.probes, ["127.0.0.1:1"]);
}

/// A successor that has bound its predecessor's link address knows without a
/// probe that the predecessor is dead.
#[test]
fn a_bound_address_shows_the_predecessor_dead() {
    let (mut platform, mut engine, mut agent) = agent_with_empty_engine();
    agent.receive_target("p", 1, &[("a", 1)]);
    agent.answer_all_calls(&mut platform);
    let now = agent.now;
    let mut next =
        TestAgent::beside_engine(11, "127.0.0.1:1", now, &mut platform, &engine);
    assert!(next.probes.is_empty());
    assert_eq!(next.in_use_mib(), 60);
    next.receive_target("p", 1, &[("b", 1)]);
    next.run_for(ORDER_DELAY_MS + 500, &mut platform, &mut engine);
    assert!(engine.has_loaded("b"));
}

/// The predecessor is frozen, not dead, and an order of it arrives after the
/// successor's orders. Engines that check fencing refuse it; with engines that
/// don't, only the counted intent prevents an overcommit.
#[test]
fn a_late_order_of_a_frozen_predecessor_does_not_overcommit() {
    for checks_fencing in [true, false] {
        let (mut platform, mut engine, mut frozen) = agent_with_empty_engine();
        engine.checks_fencing = checks_fencing;
        frozen.receive_target("p", 1, &[("a", 1)]);
        frozen.answer_all_calls(&mut platform);
        let late = frozen.orders.pop_front().expect("an order for `a`");
        let now = frozen.now.plus_ms(30_000);
        let mut next =
            TestAgent::beside_engine(11, "127.0.0.1:9", now, &mut platform, &engine);
        next.handle(AgentEvent::PredecessorProbed { dead: false });
        for _ in 0..10 {
            next.receive_target("p", 1, &[("b", 1), ("c", 1)]);
            next.run_for(1_000, &mut platform, &mut engine);
        }
        assert!(engine.has_loaded("c") && !engine.has_loaded("b"));
        let answer = engine.accept_order(&late);
        if checks_fencing {
            assert_eq!(answer, OrderAnswer::Fenced);
        }
        assert!(engine.peak_mib <= 100, "{} MiB", engine.peak_mib);
    }
}
