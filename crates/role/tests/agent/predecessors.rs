//! Intents that a predecessor left, and what frees their memory.

use crate::orders::begin;
use crate::stand::*;
use prost::Message as _;
use role::agent::{AgentEvent, OrderAnswer};

/// What the predecessor had done when it was killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Killed {
    BeforeOrder,
    BeforeAnswer,
}

/// An agent is killed between intent and order, or between order and answer.
/// Its successor can't tell which. It counts the load until the engine shows
/// its end, or until the predecessor is known dead and no order of it can still
/// be under way; only then does another model fit.
#[test]
fn a_killed_predecessors_intent_counts_until_it_can_end() {
    for killed in [Killed::BeforeOrder, Killed::BeforeAnswer] {
        let (mut platform, mut engine, mut node) = begin();
        node.target("p", 1, &[("a", 1)]);
        node.pump(&mut platform);
        let order = node.orders.pop_front().expect("an order for `a`");
        let now = node.now.plus_ms(100);
        drop(node);
        let mut next = Node::engine(11, "127.0.0.1:9", now, &mut platform, &engine);
        assert_eq!(next.probes, ["127.0.0.1:1"], "{killed:?}");
        if killed == Killed::BeforeAnswer {
            engine.take(&order);
        }
        for _ in 0..5 {
            next.target("p", 1, &[("b", 1)]);
            next.pass(1_000);
            next.pump(&mut platform);
            assert!(next.orders.is_empty(), "{killed:?}: `b` could overcommit");
        }
        let dead = true;
        next.handle(AgentEvent::PredecessorProbed { dead });
        next.target("p", 1, &[("b", 1)]);
        next.work(ORDER_DELAY_MS - 500, &mut platform, &mut engine);
        if killed == Killed::BeforeOrder {
            assert_eq!(engine.memory_mib(), 0, "{killed:?}");
        }
        next.target("p", 1, &[("b", 1)]);
        next.work(2_000, &mut platform, &mut engine);
        assert!(engine.holds("b"), "{killed:?}");
        assert!(engine.peak_mib <= 100, "{killed:?}");
    }
}

/// Two agents die one after the other. The third does not know the first one's
/// address; but the second had found it dead and taken over its intent, so the
/// third has only to find out about the second.
#[test]
fn an_intent_passes_on_through_two_deaths() {
    let (mut platform, mut engine, mut first) = begin();
    first.target("p", 1, &[("a", 1)]);
    first.pump(&mut platform);
    let now = first.now;
    drop(first);
    let mut second = Node::engine(11, "127.0.0.1:8", now, &mut platform, &engine);
    second.handle(AgentEvent::PredecessorProbed { dead: true });
    second.pump(&mut platform);
    drop(second);
    let mut third = Node::engine(12, "127.0.0.1:9", now, &mut platform, &engine);
    assert_eq!(third.probes, ["127.0.0.1:8"]);
    third.target("p", 1, &[("b", 1)]);
    third.work(ORDER_DELAY_MS + 500, &mut platform, &mut engine);
    assert_eq!(engine.memory_mib(), 0, "the second may still live");
    third.handle(AgentEvent::PredecessorProbed { dead: true });
    for _ in 0..4 {
        third.target("p", 1, &[("b", 1)]);
        third.work(1_000, &mut platform, &mut engine);
    }
    assert!(engine.holds("b"));
}

/// Both predecessors leave an intent, and only the second is found dead. Each
/// answer counts for the one that was asked about: the first is frozen, and its
/// load of `a` may still come, so `b` must not be loaded beside it.
#[test]
fn a_probe_frees_only_what_its_agent_gave() {
    let (mut platform, mut engine, mut first) = begin();
    first.target("p", 1, &[("a", 1)]);
    first.pump(&mut platform);
    let late = first.orders.pop_front().expect("an order for `a`");
    let now = first.now;
    let mut second = Node::engine(11, "127.0.0.1:8", now, &mut platform, &engine);
    second.target("p", 1, &[("c", 1)]);
    second.pump(&mut platform);
    drop(second);
    let mut third = Node::engine(12, "127.0.0.1:9", now, &mut platform, &engine);
    assert_eq!(
        third.probes,
        ["127.0.0.1:1"],
        "the giver's, not the last agent's"
    );
    third.work(5_000, &mut platform, &mut engine);
    assert_eq!(third.probes.len(), 1, "asked on before the answer");
    third.handle(AgentEvent::PredecessorProbed { dead: false });
    third.work(2_100, &mut platform, &mut engine);
    assert_eq!(third.probes, ["127.0.0.1:1", "127.0.0.1:8"]);
    assert_eq!(third.in_use_mib(), 90);
    third.handle(AgentEvent::PredecessorProbed { dead: true });
    third.target("p", 1, &[("b", 1)]);
    third.work(ORDER_DELAY_MS + 500, &mut platform, &mut engine);
    assert_eq!(
        third.in_use_mib(),
        60,
        "only the second one's intent has ended"
    );
    engine.take(&late);
    third.report(&engine);
    assert!(engine.peak_mib <= 100);
}

/// The second agent dies before it has found the first dead. The third finds
/// the first one's address in the intent itself and asks about it; without that
/// the memory would count for good.
#[test]
fn an_earlier_predecessor_is_found_by_the_intents_address() {
    let (mut platform, mut engine, mut first) = begin();
    first.target("p", 1, &[("a", 1)]);
    first.pump(&mut platform);
    let now = first.now;
    drop(first);
    drop(Node::engine(11, "127.0.0.1:8", now, &mut platform, &engine));
    let mut third = Node::engine(12, "127.0.0.1:9", now, &mut platform, &engine);
    assert_eq!(third.probes, ["127.0.0.1:1"]);
    third.handle(AgentEvent::PredecessorProbed { dead: true });
    for _ in 0..5 {
        third.target("p", 1, &[("b", 1)]);
        third.work(1_000, &mut platform, &mut engine);
    }
    assert!(engine.holds("b"));
    assert_eq!(engine.peak_mib, 60);
}

/// A predecessor from before intents carried addresses is known by that of its
/// record.
#[test]
fn an_intent_without_an_address_has_that_of_its_record() {
    let (mut platform, engine, mut first) = begin();
    first.target("p", 1, &[("a", 1)]);
    first.pump(&mut platform);
    let mut record = platform.record();
    record.intents[0].link_address.clear();
    let object = platform.objects.get_mut("agents/one").expect("a record");
    object.1 = record.encode_to_vec();
    let next = Node::engine(11, "127.0.0.1:8", first.now, &mut platform, &engine);
    assert_eq!(next.probes, ["127.0.0.1:1"]);
}

/// A successor at the predecessor's own address has bound it, so the
/// predecessor is dead without a probe.
#[test]
fn a_bound_address_shows_the_predecessor_dead() {
    let (mut platform, mut engine, mut node) = begin();
    node.target("p", 1, &[("a", 1)]);
    node.pump(&mut platform);
    let now = node.now;
    let mut next = Node::engine(11, "127.0.0.1:1", now, &mut platform, &engine);
    assert!(next.probes.is_empty());
    assert_eq!(next.in_use_mib(), 60);
    next.target("p", 1, &[("b", 1)]);
    next.work(ORDER_DELAY_MS + 500, &mut platform, &mut engine);
    assert!(engine.holds("b"));
}

/// The predecessor is frozen, not dead, with an order on its way that arrives
/// after the successor's. Engines that check fencing refuse it; with those that
/// don't, only the counted intent keeps the memory from being overcommitted.
#[test]
fn a_late_order_of_a_frozen_predecessor_does_not_overcommit() {
    for checks_fencing in [true, false] {
        let (mut platform, mut engine, mut frozen) = begin();
        engine.checks_fencing = checks_fencing;
        frozen.target("p", 1, &[("a", 1)]);
        frozen.pump(&mut platform);
        let late = frozen.orders.pop_front().expect("an order for `a`");
        let now = frozen.now.plus_ms(30_000);
        let mut next = Node::engine(11, "127.0.0.1:9", now, &mut platform, &engine);
        next.handle(AgentEvent::PredecessorProbed { dead: false });
        for _ in 0..10 {
            next.target("p", 1, &[("b", 1), ("c", 1)]);
            next.work(1_000, &mut platform, &mut engine);
        }
        assert!(engine.holds("c") && !engine.holds("b"));
        let answer = engine.take(&late);
        if checks_fencing {
            assert_eq!(answer, OrderAnswer::Fenced);
        }
        assert!(engine.peak_mib <= 100, "{} MiB", engine.peak_mib);
    }
}
