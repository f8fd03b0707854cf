//! Choice of an upstream.

use crate::support::{at, engine, name, news, resident, start};
use direct::{
    Fleet, PrefillQueue, SelectionError, SelectionInput, Usage, select_upstream,
};
use std::sync::Arc;

fn fleet(of: &[(&str, &[&str])]) -> Fleet {
    let mut fleet = Fleet::new();
    let listed = of.iter().map(|(id, models)| (1, news(id, models)));
    fleet.apply_list(at(0), 1, listed.collect());
    fleet
}

fn picked(
    fleet: &Fleet,
    adapter: Option<&str>,
    excluded: &[Arc<str>],
) -> Result<String, SelectionError> {
    let engine = engine(&["a", "b"]);
    let input = SelectionInput {
        now: at(10),
        service: "oracle",
        engine: Some(&engine),
        model: Some(("a", adapter)),
        prompt_parts: &[(7, 500), (8, 500)],
        priority: 0,
        prompt_tokens: 1_000,
        time_factor: 1.0,
        kv_tokens: 1_200,
        excluded,
        domain: "east",
        random: 42,
    };
    select_upstream(fleet, &input).map(|picked| picked.id.to_string())
}

fn use_of(fleet: &mut Fleet, id: &str, running: u32, tokens: u64) {
    let used = Usage {
        running,
        prefill: PrefillQueue::single(0, tokens),
        kv_tokens: tokens,
    };
    fleet.get_mut(id).expect("known").request_sent(at(5), &used);
}

#[test]
fn the_upstream_that_is_free_soonest_is_picked() {
    let mut fleet = fleet(&[("1", &["a"]), ("2", &["a"]), ("3", &["b"])]);
    use_of(&mut fleet, "1", 3, 4_000);
    assert_eq!(picked(&fleet, None, &[]).as_deref(), Ok("2"));
    assert_eq!(picked(&fleet, None, &[name("2")]).as_deref(), Ok("1"));
}

#[test]
fn an_upstream_that_has_read_the_prompt_is_preferred() {
    for reader in ["1", "2"] {
        let mut fleet = fleet(&[("1", &["a"]), ("2", &["a"])]);
        let upstream = fleet.get_mut(reader).expect("known");
        upstream.remember_prompt_parts(at(0), &[(7, 500), (8, 500)]);
        assert_eq!(picked(&fleet, None, &[]).as_deref(), Ok(reader));
    }
}

#[test]
fn a_part_behind_a_missing_one_is_no_help() {
    let mut fleet = fleet(&[("1", &["a"])]);
    let upstream = fleet.get_mut("1").expect("known");
    upstream.remember_prompt_parts(at(0), &[(8, 500)]);
    assert_eq!(upstream.cached_tokens(&[(7, 500), (8, 500)]), 0);
}

#[test]
fn each_reason_for_no_upstream_is_told_apart() {
    let mut fleet = fleet(&[]);
    assert_eq!(picked(&fleet, None, &[]), Err(SelectionError::NoUpstream));
    fleet.apply_list(at(0), 1, vec![(1, news("1", &["b"]))]);
    assert_eq!(picked(&fleet, None, &[]), Err(SelectionError::NoModel));
    fleet.set_coordinator_holdings(
        at(10),
        start("1"),
        vec![resident("a", &["x"])],
        Vec::new(),
    );
    assert_eq!(
        picked(&fleet, Some("y"), &[]),
        Err(SelectionError::NoAdapter)
    );
    assert_eq!(picked(&fleet, Some("x"), &[]).as_deref(), Ok("1"));
    use_of(&mut fleet, "1", 8, 0);
    assert_eq!(picked(&fleet, Some("x"), &[]), Err(SelectionError::Full));
}

/// An engine whose memory for running requests is full throws requests out in
/// the middle of their answers, so it gets no more than fits.
#[test]
fn no_more_is_sent_than_an_engine_can_keep() {
    let mut fleet = fleet(&[("1", &["a"])]);
    use_of(&mut fleet, "1", 2, 8_500);
    assert_eq!(picked(&fleet, None, &[]), Err(SelectionError::Full));
}

#[test]
fn a_silent_upstream_is_picked_only_if_there_is_no_other() {
    let mut fleet = fleet(&[("1", &["a"]), ("2", &["a"])]);
    fleet.get_mut("1").expect("known").connect_failed(at(9));
    use_of(&mut fleet, "2", 3, 4_000);
    assert_eq!(picked(&fleet, None, &[]).as_deref(), Ok("2"));
    assert_eq!(picked(&fleet, None, &[name("2")]).as_deref(), Ok("1"));
}

#[test]
fn a_failing_upstream_is_avoided_and_tried_again_when_others_are_busy() {
    let mut fleet = fleet(&[("1", &["a"]), ("2", &["a"])]);
    for _ in 0..20 {
        fleet.get_mut("1").expect("known").record_answer(false);
    }
    assert_eq!(picked(&fleet, None, &[]).as_deref(), Ok("2"));
    use_of(&mut fleet, "2", 7, 5_000);
    fleet.get_mut("2").expect("known").bytes_received(at(9));
    let mut share = fleet.get("1").expect("known").failed_share();
    assert!(share > 0.7);
    for _ in 0..40 {
        fleet.get_mut("1").expect("known").record_answer(true);
    }
    share = fleet.get("1").expect("known").failed_share();
    assert!(share < 0.1);
    assert_eq!(picked(&fleet, None, &[]).as_deref(), Ok("1"));
}

/// A model reads eight times as fast as others. Its pace is learned from first
/// answers that nothing waited before; short prompts and queues teach nothing.
#[test]
fn the_pace_of_a_model_is_learned_from_its_first_answers() {
    let mut paces = direct::ModelTimeFactors::new();
    let (service, model) = (name("s"), name("a"));
    for _ in 0..60 {
        paces.observe(&service, &model, 100.0, 28.0);
    }
    assert!(
        (0.1..0.2).contains(&paces.factor("s", "a")),
        "{}",
        paces.factor("s", "a")
    );
    paces.observe(&service, &model, 5.0, 900.0);
    assert!(paces.factor("s", "a") < 0.2);
    for _ in 0..200 {
        paces.observe(&service, &model, 100.0, 9_000.0);
    }
    assert!(paces.factor("s", "a") <= 1.5);
    assert!((paces.factor("t", "b") - 1.0).abs() < f64::EPSILON);
}

/// One of many entries has seen no answer of a model yet. Other models of its service
/// have shown that engines read twice as fast as expected, so its first long prompt is
/// not expected to take twice its time and refused.
#[test]
fn a_model_that_is_not_known_starts_from_the_pace_of_its_service() {
    let mut paces = direct::ModelTimeFactors::new();
    let service = name("s");
    for (model, took_ms) in [("a", 65.0), ("b", 75.0), ("c", 65.0), ("a", 65.0)] {
        paces.observe(&service, &name(model), 100.0, took_ms);
    }
    let pace = paces.factor("s", "d");
    assert!((0.5..0.75).contains(&pace), "{pace}");
    assert!((paces.factor("t", "d") - 1.0).abs() < f64::EPSILON);
}

/// Several entries send prompts that share their first part, and none knows what the
/// others sent. All prefer the same upstream for the same part, different ones for
/// different parts, and another one when that is busy for longer than the reading takes.
#[test]
fn entries_prefer_the_same_upstream_for_a_shared_part() {
    let ids = ["1", "2", "3", "4"];
    let picked = |fleet: &Fleet, part: u64, random: u64, domain: &str| {
        let engine = engine(&["a"]);
        let input = SelectionInput {
            now: at(10),
            service: "oracle",
            engine: Some(&engine),
            model: Some(("a", None)),
            prompt_parts: &[(part, 4_000), (random, 500)],
            priority: 0,
            prompt_tokens: 4_500,
            time_factor: 1.0,
            kv_tokens: 4_700,
            excluded: &[],
            domain,
            random,
        };
        select_upstream(fleet, &input)
            .expect("all hold the model")
            .id
    };
    let mut idle = Fleet::new();
    let listed = ids.iter().map(|id| (1, news(id, &["a"]))).collect();
    idle.apply_list(at(0), 1, listed);
    let mut homes = std::collections::BTreeSet::new();
    for part in 0..32 {
        let home = picked(&idle, part, 1, "east");
        for random in 2..10 {
            assert_eq!(picked(&idle, part, random, "west"), home);
        }
        homes.insert(home);
    }
    assert_eq!(homes.len(), ids.len(), "{homes:?}");
    let home = picked(&idle, 7, 1, "east");
    use_of(&mut idle, &home, 1, 8_000);
    assert_ne!(picked(&idle, 7, 1, "east"), home);
}
