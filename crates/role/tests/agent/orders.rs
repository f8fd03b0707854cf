//! Orders, intents and epochs under faults.

use crate::gate::go;
use crate::stand::*;
use base::{Epoch, Instant, ModelId, PlatformOp, PlatformResult};
use prost::Message as _;
use role::agent::{AgentEvent, Order, OrderAnswer, UpstreamEvent};
use schema::link::frame;
use schema::store::Member;

fn begin() -> (Platform, Engine, Node) {
    let mut platform = Platform::new();
    let engine = Engine::new();
    let now = Instant::from_ms(1_000);
    let node = Node::engine(10, "127.0.0.1:1", now, &mut platform, &engine);
    assert!(node.ready);
    (platform, engine, node)
}

/// A node whose engine holds model `a`.
fn with_a() -> (Platform, Engine, Node) {
    let (mut platform, mut engine, mut node) = begin();
    node.target("p", 1, &[("a", 1)]);
    node.work(300, &mut platform, &mut engine);
    assert!(engine.holds("a"));
    (platform, engine, node)
}

/// The order goes out only after its intent is in the record; a successor that
/// reads the record then counts it.
#[test]
fn an_intent_is_recorded_before_its_order() {
    let (mut platform, _, mut node) = begin();
    node.target("p", 1, &[("a", 1)]);
    assert!(node.orders.is_empty(), "ordered before the intent stood");
    assert_eq!(node.in_use_mib(), 60);
    node.pump(&mut platform);
    assert_eq!(node.orders.len(), 1);
    let order = &node.orders[0];
    let record = platform.record();
    assert_eq!(record.intents.len(), 1);
    assert_eq!(record.intents[0].order, order.id);
    assert_eq!(order.fence.0, record.epoch);
}

/// What becomes of an order's way to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Lost,
    AnswerLost,
}

/// An order or its answer is lost on the way. The order stays counted, so
/// nothing that would not fit is begun, and it is given again under the same
/// number until the engine's report shows its end.
#[test]
fn an_unanswered_order_counts_and_is_given_again() {
    for way in [Way::Lost, Way::AnswerLost] {
        let (mut platform, mut engine, mut node) = begin();
        node.target("p", 1, &[("a", 1)]);
        node.pump(&mut platform);
        let first = node.orders.pop_front().expect("an order for `a`");
        if way == Way::AnswerLost {
            engine.take(&first);
        }
        node.unanswered(first.id);
        node.target("p", 1, &[("b", 1)]);
        node.pump(&mut platform);
        assert!(
            node.orders.is_empty(),
            "{way:?}: `b` does not fit beside `a`"
        );
        assert_eq!(node.in_use_mib(), 60);
        node.pass(1_100);
        let second = node.orders.pop_front().expect("given again");
        assert_eq!(second.id, first.id, "{way:?}");
        let answer = engine.take(&second);
        let order = second.id;
        node.upstream(UpstreamEvent::OrderAnswered { order, answer });
        node.target("p", 1, &[("b", 1)]);
        node.work(ORDER_DELAY_MS + 1_000, &mut platform, &mut engine);
        assert!(engine.holds("b") && !engine.holds("a"), "{way:?}");
        assert_eq!(engine.peak_mib, 60, "{way:?}");
    }
}

/// An unload gets no answer. Its memory may be free or not; nothing is loaded
/// into it until the engine's report shows the model gone.
#[test]
fn an_unanswered_unload_frees_nothing() {
    let (mut platform, mut engine, mut node) = with_a();
    node.target("p", 1, &[("b", 1)]);
    node.pump(&mut platform);
    let unload = node.orders.pop_front().expect("an unload of `a`");
    assert!(!unload.load);
    node.unanswered(unload.id);
    engine.take(&unload);
    engine.finish();
    node.pump(&mut platform);
    assert!(node.orders.is_empty());
    assert_eq!(node.in_use_mib(), 60);
    node.report(&engine);
    node.pump(&mut platform);
    let load = node.orders.pop_front().expect("now `b` fits");
    assert!(load.load);
    assert_eq!(load.model.as_str(), "b");
}

/// Old and new do not fit together. The old one goes first, and goes only when
/// no attempt runs on it; new work for it is refused meanwhile, else it would
/// never go.
#[test]
fn a_model_is_replaced_when_its_last_attempt_ends() {
    let (mut platform, mut engine, mut node) = with_a();
    node.frame(frame::Body::Run(model_run(1, 10, "a")));
    node.upstream(UpstreamEvent::Started { attempt: id(1) });
    node.target("p", 1, &[("b", 1)]);
    node.work(1_000, &mut platform, &mut engine);
    assert!(engine.holds("a"), "unloaded under an attempt");
    node.frame(frame::Body::Run(model_run(2, 10, "a")));
    assert_eq!(node.refusal(2), Some(base::Code::NotHeld));
    node.serve(1);
    node.work(1_000, &mut platform, &mut engine);
    assert!(engine.holds("b") && !engine.holds("a"));
    assert_eq!(engine.peak_mib, 60);
}

/// A new version that fits beside the old one is loaded before the old one
/// goes, so that the model is served throughout.
#[test]
fn a_version_that_fits_is_loaded_first() {
    let (mut platform, mut engine, mut node) = begin();
    node.target("p", 1, &[("c", 1)]);
    node.work(300, &mut platform, &mut engine);
    node.target("p", 1, &[("c", 2)]);
    node.pump(&mut platform);
    assert_eq!(node.orders.len(), 1);
    assert!(node.orders[0].load);
    node.work(500, &mut platform, &mut engine);
    assert_eq!(engine.memory_mib(), 30, "the old version has gone");
}

/// Two entries both believe to plan the cell. The agent follows the higher
/// rank, does not swing between them, and turns to the other when the first
/// has fallen silent.
#[test]
fn of_two_planners_the_higher_rank_is_followed() {
    let (mut platform, mut engine, mut node) = begin();
    for _ in 0..10 {
        node.target("high", 2, &[("a", 1)]);
        node.target("low", 1, &[("b", 1)]);
        node.work(200, &mut platform, &mut engine);
    }
    assert!(engine.holds("a"));
    assert_eq!(node.role.counters().loads, 1, "it swung");
    assert_eq!(node.role.counters().unloads, 0);
    for _ in 0..40 {
        node.target("low", 1, &[("b", 1)]);
        node.work(200, &mut platform, &mut engine);
    }
    assert!(engine.holds("b"), "the silent planner is still followed");
    assert!(engine.peak_mib <= 100);
}

/// The platform is away. No intent can be recorded, so no order goes out and no
/// model stops being served; when the platform is back the plan is carried out.
#[test]
fn while_the_platform_is_away_models_stay_and_are_served() {
    let (mut platform, mut engine, mut node) = with_a();
    platform.away = true;
    node.target("p", 1, &[("b", 1)]);
    node.pump(&mut platform);
    for attempt in 1..=5 {
        node.target("p", 1, &[("b", 1)]);
        node.frame(frame::Body::Run(model_run(attempt, 10, "a")));
        assert!(
            node.started(attempt),
            "attempt {attempt}: `a` is not served"
        );
        node.serve(attempt);
        node.work(1_000, &mut platform, &mut engine);
        assert!(node.orders.is_empty());
    }
    assert!(engine.holds("a"));
    platform.away = false;
    node.target("p", 1, &[("b", 1)]);
    node.work(5_000, &mut platform, &mut engine);
    assert!(engine.holds("b"));
}

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

/// The answer to the write of an intent is lost, with or without its effect.
/// The agent reads the record back and goes on from what it finds.
#[test]
fn a_lost_answer_of_the_record_is_read_back() {
    for effect in [true, false] {
        let (mut platform, mut engine, mut node) = begin();
        node.target("p", 1, &[("a", 1)]);
        let write = node.calls.pop_front().expect("the intent is written");
        if effect {
            platform.apply(&write.op);
        }
        node.answer(write.id, PlatformResult::Unanswered);
        assert!(node.orders.is_empty());
        node.work(1_000, &mut platform, &mut engine);
        assert!(engine.holds("a"), "effect {effect}");
        assert_eq!(node.role.counters().orders, 1);
    }
}

/// While the intent of a load is being written, somebody else puts a model on
/// the accelerator. There is no room for both, so the load is not given.
#[test]
fn a_load_that_no_longer_fits_is_not_given() {
    let (mut platform, mut engine, mut node) = begin();
    node.target("p", 1, &[("a", 1)]);
    engine.take(&Order {
        id: 1,
        fence: Epoch(1),
        load: true,
        model: ModelId::new("b"),
        version: 1,
        base: None,
        accelerator: 0,
        size_mib: 60,
    });
    node.report(&engine);
    node.pump(&mut platform);
    assert!(node.orders.iter().all(|order| !order.load));
}

/// Intents that have ended are taken out of the record after a while, so that a
/// successor does not count them.
#[test]
fn ended_intents_leave_the_record() {
    let (mut platform, mut engine, mut node) = with_a();
    assert_eq!(platform.record().intents.len(), 1);
    node.work(6_000, &mut platform, &mut engine);
    assert!(platform.record().intents.is_empty());
}

/// The engine restarts with an order on its way. The order may still reach the
/// new run, so its memory counts for the longest order delay.
#[test]
fn an_order_on_its_way_counts_past_a_restart() {
    let (mut platform, mut engine, mut node) = begin();
    node.target("p", 1, &[("a", 1)]);
    node.pump(&mut platform);
    let late = node.orders.pop_front().expect("an order for `a`");
    node.unanswered(late.id);
    engine.restart();
    node.report(&engine);
    node.target("p", 1, &[("b", 1)]);
    node.work(ORDER_DELAY_MS - 500, &mut platform, &mut engine);
    assert_eq!(engine.memory_mib(), 0, "`b` could overcommit with `a`");
    engine.take(&late);
    node.target("p", 1, &[("b", 1)]);
    node.work(5_000, &mut platform, &mut engine);
    assert!(engine.holds("b"));
    assert!(engine.peak_mib <= 100);
}
