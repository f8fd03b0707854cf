//! Orders and intents under faults, with one agent.

use crate::fixtures::*;
use base::{FencingEpoch, Instant, ModelId, PlatformResult};
use role::agent::{Order, UpstreamEvent};
use schema::link::frame;

pub fn agent_with_empty_engine() -> (Platform, Engine, TestAgent) {
    let mut platform = Platform::new();
    let engine = Engine::new();
    let now = Instant::from_ms(1_000);
    let agent =
        TestAgent::beside_engine(10, "127.0.0.1:1", now, &mut platform, &engine);
    assert!(agent.ready);
    (platform, engine, agent)
}

/// An agent whose engine has loaded model `a`.
pub fn agent_with_model_a() -> (Platform, Engine, TestAgent) {
    let (mut platform, mut engine, mut agent) = agent_with_empty_engine();
    agent.receive_target("p", 1, &[("a", 1)]);
    agent.run_for(300, &mut platform, &mut engine);
    assert!(engine.has_loaded("a"));
    (platform, engine, agent)
}

/// The order is sent only after its intent is recorded, so that a successor
/// that reads the record counts it.
#[test]
fn an_intent_is_recorded_before_its_order() {
    let (mut platform, _, mut agent) = agent_with_empty_engine();
    agent.receive_target("p", 1, &[("a", 1)]);
    assert!(
        agent.orders.is_empty(),
        "ordered before the intent was recorded"
    );
    assert_eq!(agent.in_use_mib(), 60);
    agent.answer_all_calls(&mut platform);
    assert_eq!(agent.orders.len(), 1);
    let order = &agent.orders[0];
    let record = platform.agent_record();
    assert_eq!(record.intents.len(), 1);
    assert_eq!(record.intents[0].order, order.id);
    assert_eq!(order.fencing_epoch.0, record.epoch);
}

/// Which message is lost between agent and engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Order,
    Answer,
}

/// An order or its answer is lost. The order stays counted, so that nothing is
/// started that would not fit, and it is resent under the same number until the
/// engine's report shows its end.
#[test]
fn an_unanswered_order_counts_and_is_given_again() {
    for loss in [Loss::Order, Loss::Answer] {
        let (mut platform, mut engine, mut agent) = agent_with_empty_engine();
        agent.receive_target("p", 1, &[("a", 1)]);
        agent.answer_all_calls(&mut platform);
        let first = agent.orders.pop_front().expect("an order for `a`");
        if loss == Loss::Answer {
            engine.accept_order(&first);
        }
        agent.leave_unanswered(first.id);
        agent.receive_target("p", 1, &[("b", 1)]);
        agent.answer_all_calls(&mut platform);
        assert!(
            agent.orders.is_empty(),
            "{loss:?}: `b` does not fit beside `a`"
        );
        assert_eq!(agent.in_use_mib(), 60);
        agent.advance_time(1_100);
        let second = agent.orders.pop_front().expect("the order is resent");
        assert_eq!(second.id, first.id, "{loss:?}");
        let answer = engine.accept_order(&second);
        let order = second.id;
        agent.upstream_event(UpstreamEvent::OrderAnswered { order, answer });
        agent.receive_target("p", 1, &[("b", 1)]);
        agent.run_for(ORDER_DELAY_MS + 1_000, &mut platform, &mut engine);
        assert!(
            engine.has_loaded("b") && !engine.has_loaded("a"),
            "{loss:?}"
        );
        assert_eq!(engine.peak_mib, 60, "{loss:?}");
    }
}

/// An unload gets no answer, so its memory may be free or not. Nothing is
/// loaded into it until the engine's report shows that the model is gone.
#[test]
fn an_unanswered_unload_frees_nothing() {
    let (mut platform, mut engine, mut agent) = agent_with_model_a();
    agent.receive_target("p", 1, &[("b", 1)]);
    agent.answer_all_calls(&mut platform);
    let unload = agent.orders.pop_front().expect("an unload of `a`");
    assert!(!unload.load);
    agent.leave_unanswered(unload.id);
    engine.accept_order(&unload);
    engine.finish_orders();
    agent.answer_all_calls(&mut platform);
    assert!(agent.orders.is_empty());
    assert_eq!(agent.in_use_mib(), 60);
    agent.report_from(&engine);
    agent.answer_all_calls(&mut platform);
    let load = agent.orders.pop_front().expect("now `b` fits");
    assert!(load.load);
    assert_eq!(load.model.as_str(), "b");
}

/// The old and the new model do not fit together. The old one is unloaded
/// first, but only once no attempt runs on it. New work for it is refused
/// meanwhile; otherwise it would never be idle.
#[test]
fn a_model_is_replaced_when_its_last_attempt_ends() {
    let (mut platform, mut engine, mut agent) = agent_with_model_a();
    agent.receive_frame(frame::Body::Run(model_run(1, 10, "a")));
    agent.upstream_event(UpstreamEvent::Started {
        attempt: attempt_id(1),
    });
    agent.receive_target("p", 1, &[("b", 1)]);
    agent.run_for(1_000, &mut platform, &mut engine);
    assert!(engine.has_loaded("a"), "unloaded during an attempt");
    agent.receive_frame(frame::Body::Run(model_run(2, 10, "a")));
    assert_eq!(agent.refusal(2), Some(base::ErrorCode::NotHeld));
    agent.complete_attempt(1);
    agent.run_for(1_000, &mut platform, &mut engine);
    assert!(engine.has_loaded("b") && !engine.has_loaded("a"));
    assert_eq!(engine.peak_mib, 60);
}

/// A new version that fits beside the old one is loaded before the old one is
/// unloaded, so that the model is served throughout.
#[test]
fn a_version_that_fits_is_loaded_first() {
    let (mut platform, mut engine, mut agent) = agent_with_empty_engine();
    agent.receive_target("p", 1, &[("c", 1)]);
    agent.run_for(300, &mut platform, &mut engine);
    agent.receive_target("p", 1, &[("c", 2)]);
    agent.answer_all_calls(&mut platform);
    assert_eq!(agent.orders.len(), 1);
    assert!(agent.orders[0].load);
    agent.run_for(500, &mut platform, &mut engine);
    assert_eq!(engine.memory_mib(), 30, "the old version is unloaded");
}

/// Two entries both believe that they plan the cell. The agent follows the one
/// with the higher rank without alternating, and follows the other once the
/// first has fallen silent.
#[test]
fn of_two_planners_the_higher_rank_is_followed() {
    let (mut platform, mut engine, mut agent) = agent_with_empty_engine();
    for _ in 0..10 {
        agent.receive_target("high", 2, &[("a", 1)]);
        agent.receive_target("low", 1, &[("b", 1)]);
        agent.run_for(200, &mut platform, &mut engine);
    }
    assert!(engine.has_loaded("a"));
    assert_eq!(
        agent.role.counters().loads,
        1,
        "it alternated between the plans"
    );
    assert_eq!(agent.role.counters().unloads, 0);
    for _ in 0..40 {
        agent.receive_target("low", 1, &[("b", 1)]);
        agent.run_for(200, &mut platform, &mut engine);
    }
    assert!(
        engine.has_loaded("b"),
        "the silent planner is still followed"
    );
    assert!(engine.peak_mib <= 100);
}

/// While the platform is unavailable, no intent can be recorded, so no order is
/// sent and no model stops being served. The plan is carried out once the
/// platform is back.
#[test]
fn while_the_platform_is_away_models_stay_and_are_served() {
    let (mut platform, mut engine, mut agent) = agent_with_model_a();
    platform.unavailable = true;
    agent.receive_target("p", 1, &[("b", 1)]);
    agent.answer_all_calls(&mut platform);
    for attempt in 1..=5 {
        agent.receive_target("p", 1, &[("b", 1)]);
        agent.receive_frame(frame::Body::Run(model_run(attempt, 10, "a")));
        assert!(
            agent.started(attempt),
            "attempt {attempt}: `a` is not served"
        );
        agent.complete_attempt(attempt);
        agent.run_for(1_000, &mut platform, &mut engine);
        assert!(agent.orders.is_empty());
    }
    assert!(engine.has_loaded("a"));
    platform.unavailable = false;
    agent.receive_target("p", 1, &[("b", 1)]);
    agent.run_for(5_000, &mut platform, &mut engine);
    assert!(engine.has_loaded("b"));
}

/// The write of an intent gets no answer, whether or not it took effect. The
/// agent reads the record back and continues from what it finds.
#[test]
fn a_record_write_without_an_answer_is_read_back() {
    for applied in [true, false] {
        let (mut platform, mut engine, mut agent) = agent_with_empty_engine();
        agent.receive_target("p", 1, &[("a", 1)]);
        let write = agent.calls.pop_front().expect("the intent is written");
        if applied {
            platform.apply(&write.op);
        }
        agent.answer_call(write.id, PlatformResult::Unanswered);
        assert!(agent.orders.is_empty());
        agent.run_for(1_000, &mut platform, &mut engine);
        assert!(engine.has_loaded("a"), "applied {applied}");
        assert_eq!(agent.role.counters().orders, 1);
    }
}

/// While the intent of a load is being written, a model that this agent did not
/// order appears on the accelerator. There is no room for both, so the load is
/// not sent.
#[test]
fn a_load_that_no_longer_fits_is_not_given() {
    let (mut platform, mut engine, mut agent) = agent_with_empty_engine();
    agent.receive_target("p", 1, &[("a", 1)]);
    engine.accept_order(&Order {
        id: 1,
        fencing_epoch: FencingEpoch(1),
        load: true,
        model: ModelId::new("b"),
        version: 1,
        base: None,
        accelerator: 0,
        size_mib: 60,
    });
    agent.report_from(&engine);
    agent.answer_all_calls(&mut platform);
    assert!(agent.orders.iter().all(|order| !order.load));
}

/// Ended intents are removed from the record after a while, so that a successor
/// does not count them.
#[test]
fn ended_intents_leave_the_record() {
    let (mut platform, mut engine, mut agent) = agent_with_model_a();
    assert_eq!(platform.agent_record().intents.len(), 1);
    agent.run_for(6_000, &mut platform, &mut engine);
    assert!(platform.agent_record().intents.is_empty());
}

/// The engine restarts with an order in flight. The order may still reach the
/// restarted engine, so its memory counts for the longest order delay.
#[test]
fn an_order_in_flight_counts_across_an_engine_restart() {
    let (mut platform, mut engine, mut agent) = agent_with_empty_engine();
    agent.receive_target("p", 1, &[("a", 1)]);
    agent.answer_all_calls(&mut platform);
    let late = agent.orders.pop_front().expect("an order for `a`");
    agent.leave_unanswered(late.id);
    engine.restart();
    agent.report_from(&engine);
    agent.receive_target("p", 1, &[("b", 1)]);
    agent.run_for(ORDER_DELAY_MS - 500, &mut platform, &mut engine);
    assert_eq!(engine.memory_mib(), 0, "`b` could overcommit with `a`");
    engine.accept_order(&late);
    agent.receive_target("p", 1, &[("b", 1)]);
    agent.run_for(5_000, &mut platform, &mut engine);
    assert!(engine.has_loaded("b"));
    assert!(engine.peak_mib <= 100);
}
