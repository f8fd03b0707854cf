//! Selection of an upstream.

use crate::support::{at, engine, incarnation, name, record, resident};
use direct::{
    Fleet, PrefillQueue, SelectionError, SelectionInput, Usage, select_upstream,
};
use std::sync::Arc;

fn fleet(of: &[(&str, &[&str])]) -> Fleet {
    let mut fleet = Fleet::new();
    let listed = of.iter().map(|(id, models)| (1, record(id, models)));
    fleet.apply_list(at(0), 1, listed.collect());
    fleet
}

fn selected(
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
        is_ordered: false,
        prompt_tokens: 1_000,
        time_factor: 1.0,
        kv_tokens: 1_200,
        excluded,
        origin: None,
        domain: "east",
        random: 42,
    };
    select_upstream(fleet, &input).map(|selected| selected.id.to_string())
}

fn add_usage(fleet: &mut Fleet, id: &str, running: u32, tokens: u64) {
    let used = Usage {
        running,
        prefill: PrefillQueue::single(0, tokens),
        kv_tokens: tokens,
    };
    fleet.get_mut(id).expect("known").request_sent(at(5), &used);
}

#[test]
fn the_upstream_with_the_earliest_expected_answer_is_selected() {
    let mut fleet = fleet(&[("1", &["a"]), ("2", &["a"]), ("3", &["b"])]);
    add_usage(&mut fleet, "1", 3, 4_000);
    assert_eq!(selected(&fleet, None, &[]).as_deref(), Ok("2"));
    assert_eq!(selected(&fleet, None, &[name("2")]).as_deref(), Ok("1"));
}

#[test]
fn an_upstream_that_has_cached_the_prompt_is_preferred() {
    for reader in ["1", "2"] {
        let mut fleet = fleet(&[("1", &["a"]), ("2", &["a"])]);
        let upstream = fleet.get_mut(reader).expect("known");
        upstream.remember_prompt_parts(at(0), &[(7, 500), (8, 500)]);
        assert_eq!(selected(&fleet, None, &[]).as_deref(), Ok(reader));
    }
}

#[test]
fn a_cached_part_after_a_missing_one_does_not_count() {
    let mut fleet = fleet(&[("1", &["a"])]);
    let upstream = fleet.get_mut("1").expect("known");
    upstream.remember_prompt_parts(at(0), &[(8, 500)]);
    assert_eq!(upstream.cached_tokens(&[(7, 500), (8, 500)]), 0);
}

#[test]
fn each_reason_for_no_upstream_is_reported() {
    let mut fleet = fleet(&[]);
    assert_eq!(selected(&fleet, None, &[]), Err(SelectionError::NoUpstream));
    fleet.apply_list(at(0), 1, vec![(1, record("1", &["b"]))]);
    assert_eq!(selected(&fleet, None, &[]), Err(SelectionError::NoModel));
    fleet.set_coordinator_holdings(
        at(10),
        incarnation("1"),
        vec![resident("a", &["x"])],
        Vec::new(),
    );
    assert_eq!(
        selected(&fleet, Some("y"), &[]),
        Err(SelectionError::NoAdapter)
    );
    assert_eq!(selected(&fleet, Some("x"), &[]).as_deref(), Ok("1"));
    add_usage(&mut fleet, "1", 8, 0);
    assert_eq!(selected(&fleet, Some("x"), &[]), Err(SelectionError::Full));
}

/// An engine whose KV cache is full preempts requests in the middle of their answers,
/// so it gets no more requests than fit.
#[test]
fn no_more_is_sent_than_the_kv_cache_holds() {
    let mut fleet = fleet(&[("1", &["a"])]);
    add_usage(&mut fleet, "1", 2, 8_500);
    assert_eq!(selected(&fleet, None, &[]), Err(SelectionError::Full));
}

#[test]
fn an_avoided_upstream_is_selected_only_if_there_is_no_other() {
    let mut fleet = fleet(&[("1", &["a"]), ("2", &["a"])]);
    fleet.get_mut("1").expect("known").connect_failed(at(9));
    add_usage(&mut fleet, "2", 3, 4_000);
    assert_eq!(selected(&fleet, None, &[]).as_deref(), Ok("2"));
    assert_eq!(selected(&fleet, None, &[name("2")]).as_deref(), Ok("1"));
}

#[test]
fn a_failing_upstream_is_avoided_until_its_answers_are_good_again() {
    let mut fleet = fleet(&[("1", &["a"]), ("2", &["a"])]);
    for _ in 0..20 {
        fleet.get_mut("1").expect("known").record_answer(false);
    }
    assert_eq!(selected(&fleet, None, &[]).as_deref(), Ok("2"));
    add_usage(&mut fleet, "2", 7, 5_000);
    fleet.get_mut("2").expect("known").bytes_received(at(9));
    let mut share = fleet.get("1").expect("known").failed_share();
    assert!(share > 0.7);
    for _ in 0..40 {
        fleet.get_mut("1").expect("known").record_answer(true);
    }
    share = fleet.get("1").expect("known").failed_share();
    assert!(share < 0.1);
    assert_eq!(selected(&fleet, None, &[]).as_deref(), Ok("1"));
}

/// A model prefills eight times as fast as others. Its time factor is learned from
/// first answers that waited behind no other prompt; short prompts and queues are
/// ignored.
#[test]
fn the_time_factor_of_a_model_is_learned_from_first_answers() {
    let mut factors = direct::ModelTimeFactors::new();
    let (service, model) = (name("s"), name("a"));
    for _ in 0..60 {
        factors.observe(&service, &model, 100.0, 28.0);
    }
    assert!(
        (0.1..0.2).contains(&factors.factor("s", "a")),
        "{}",
        factors.factor("s", "a")
    );
    factors.observe(&service, &model, 5.0, 900.0);
    assert!(factors.factor("s", "a") < 0.2);
    for _ in 0..200 {
        factors.observe(&service, &model, 100.0, 9_000.0);
    }
    assert!(factors.factor("s", "a") <= 1.5);
    assert!((factors.factor("t", "b") - 1.0).abs() < f64::EPSILON);
}

/// With many entries, this one has seen no answer of a model yet. Other models of its
/// service have shown that engines prefill twice as fast as expected, so the model's
/// first long prompt isn't expected to take twice its time and refused.
#[test]
fn an_unknown_model_starts_from_the_time_factor_of_its_service() {
    let mut factors = direct::ModelTimeFactors::new();
    let service = name("s");
    for (model, took_ms) in [("a", 65.0), ("b", 75.0), ("c", 65.0), ("a", 65.0)] {
        factors.observe(&service, &name(model), 100.0, took_ms);
    }
    let factor = factors.factor("s", "d");
    assert!((0.5..0.75).contains(&factor), "{factor}");
    assert!((factors.factor("t", "d") - 1.0).abs() < f64::EPSILON);
}

/// Several entries send prompts that share their first part, and none knows what the
/// others sent. All prefer the same upstream for the same part, different ones for
/// different parts, and another one if that upstream is busy for longer than the
/// prefill takes.
#[test]
fn all_entries_prefer_the_same_upstream_for_a_shared_prefix() {
    let ids = ["1", "2", "3", "4"];
    let selected = |fleet: &Fleet, part: u64, random: u64, domain: &str| {
        let engine = engine(&["a"]);
        let input = SelectionInput {
            now: at(10),
            service: "oracle",
            engine: Some(&engine),
            model: Some(("a", None)),
            prompt_parts: &[(part, 4_000), (random, 500)],
            priority: 0,
            is_ordered: false,
            prompt_tokens: 4_500,
            time_factor: 1.0,
            kv_tokens: 4_700,
            excluded: &[],
            origin: None,
            domain,
            random,
        };
        select_upstream(fleet, &input)
            .expect("all hold the model")
            .id
    };
    let mut idle = Fleet::new();
    let listed = ids.iter().map(|id| (1, record(id, &["a"]))).collect();
    idle.apply_list(at(0), 1, listed);
    let mut preferred = std::collections::BTreeSet::new();
    for part in 0..32 {
        let upstream = selected(&idle, part, 1, "east");
        for random in 2..10 {
            assert_eq!(selected(&idle, part, random, "west"), upstream);
        }
        preferred.insert(upstream);
    }
    assert_eq!(preferred.len(), ids.len(), "{preferred:?}");
    let upstream = selected(&idle, 7, 1, "east");
    add_usage(&mut idle, &upstream, 1, 8_000);
    assert_ne!(selected(&idle, 7, 1, "east"), upstream);
}
