//! Orders and intents under faults, with one agent.

use crate::stand::*;
use base::{Epoch, Instant, ModelId, PlatformResult};
use role::agent::{Order, UpstreamEvent};
use schema::link::frame;

pub fn begin() -> (Platform, Engine, Node) {
    let mut platform = Platform::new();
    let engine = Engine::new();
    let now = Instant::from_ms(1_000);
    let node = Node::engine(10, "127.0.0.1:1", now, &mut platform, &engine);
    assert!(node.ready);
    (platform, engine, node)
}

/// A node whose engine holds model `a`.
pub fn with_a() -> (Platform, Engine, Node) {
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
    assert_eq!(order.fencing_token.0, record.epoch);
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
        fencing_token: Epoch(1),
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
