//! Adapters that are held before requests ask for them.

use crate::support::{at, cases, engine, name};
use base::prelude::*;
use direct::{
    ADAPTER_MIN_RESIDENCE_MS, AdapterName, AdapterPlanner, DemandEstimate, EngineSpec,
    PlannedAdapterLoad, UpstreamAdapterState,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time at which all adapters of these tests have had their turn.
const NOW_MS: u64 = 10 * ADAPTER_MIN_RESIDENCE_MS;

fn with_adapters(count: usize) -> EngineSpec {
    let mut engine = engine(&["a", "b", "c"]);
    for spec in engine.models.values_mut() {
        spec.adapters = (0..count)
            .map(|number| name(&format!("x{number}")))
            .collect();
    }
    engine
}

fn spot(
    id: &str,
    free_places: u32,
    models: &[(&str, &[&str])],
) -> UpstreamAdapterState {
    let held = |adapters: &[&str]| -> BTreeMap<Arc<str>, Instant> {
        adapters
            .iter()
            .map(|adapter| (name(adapter), at(0)))
            .collect()
    };
    UpstreamAdapterState {
        upstream: name(id),
        accepts_orders: true,
        accepts_prefetch: true,
        free_slots: free_places,
        free_mb: 5.0,
        running: 0,
        models: models
            .iter()
            .map(|(model, adapters)| (name(model), held(adapters)))
            .collect(),
    }
}

fn demand(of: &[(&str, f64)]) -> BTreeMap<Arc<str>, DemandEstimate> {
    let load = |ms: f64| DemandEstimate {
        recent_ms_per_s: ms,
        sustained_ms_per_s: ms,
        waiting: 0,
        oldest_wait_ms: 0,
        request_ms: 0.0,
    };
    of.iter()
        .map(|(model, ms)| (name(model), load(*ms)))
        .collect()
}

fn adapter(model: &str, adapter: &str) -> AdapterName {
    AdapterName {
        model: name(model),
        adapter: name(adapter),
    }
}

/// Carries choices out, until none is left; how many there were.
fn settle(
    engine: &EngineSpec,
    spots: &mut [UpstreamAdapterState],
    loads: &BTreeMap<Arc<str>, DemandEstimate>,
) -> usize {
    for round in 0..200 {
        let choices = AdapterPlanner::new(at(NOW_MS), engine, spots, loads).prefetch();
        if choices.is_empty() {
            return round;
        }
        for choice in choices {
            carry_out(spots, &choice);
        }
    }
    panic!("adapters change places for ever: {spots:?}");
}

fn carry_out(spots: &mut [UpstreamAdapterState], choice: &PlannedAdapterLoad) {
    let mut all = spots.iter_mut();
    let spot = all
        .find(|spot| spot.upstream == choice.upstream)
        .expect("known");
    if let Some(gone) = &choice.unload {
        let held = spot.models.get_mut(&gone.model).expect("held");
        held.remove(&gone.adapter).expect("held");
        spot.free_slots += 1;
        return;
    }
    assert!(spot.free_slots > 0, "{choice:?}");
    let held = spot
        .models
        .get_mut(&choice.load.model)
        .expect("its model is there");
    assert_eq!(held.insert(Arc::clone(&choice.load.adapter), at(0)), None);
    spot.free_slots -= 1;
}

fn copies(spots: &[UpstreamAdapterState], of: &AdapterName) -> usize {
    let held = spots.iter().filter_map(|spot| spot.models.get(&of.model));
    held.filter(|adapters| adapters.contains_key(&of.adapter))
        .count()
}

/// Callers name one of many adapters. With places for all of them, each is somewhere
/// before the first request for it, and none waits for a load.
#[test]
fn each_adapter_is_held_somewhere_where_there_are_places_for_all() {
    let engine = with_adapters(4);
    let mut spots: Vec<UpstreamAdapterState> = (0..4)
        .map(|id| spot(&id.to_string(), 4, &[("a", &[]), ("b", &[]), ("c", &[])]))
        .collect();
    settle(&engine, &mut spots, &demand(&[("a", 900.0)]));
    for model in ["a", "b", "c"] {
        for number in 0..4 {
            let name = adapter(model, &format!("x{number}"));
            assert!(copies(&spots, &name) > 0, "{name:?} {spots:?}");
        }
    }
}

/// Demand stands at one model, and a new copy of it comes to an upstream whose places
/// are taken by adapters of a model that nobody asks for. Without those of its own the
/// new copy could take no request that names one, and the first would stay as busy.
#[test]
fn a_new_copy_gets_adapters_in_the_place_of_those_that_nobody_asks_for() {
    let engine = with_adapters(2);
    let mut spots = [
        spot("1", 0, &[("a", &["x0", "x1"])]),
        spot("2", 0, &[("b", &["x0", "x1"])]),
        spot("3", 0, &[("a", &[]), ("b", &["x0", "x1"])]),
    ];
    settle(&engine, &mut spots, &demand(&[("a", 900.0)]));
    assert_eq!(spots[2].models["a"].len(), 2, "{spots:?}");
    assert_eq!(spots[2].models["b"].len(), 0, "{spots:?}");
}

/// A request waits for an adapter that is nowhere: it takes a free place, else that of
/// the adapter which is worth least, of those that have had their turn.
#[test]
fn an_adapter_that_is_waited_for_takes_the_place_of_what_is_worth_least() {
    let engine = with_adapters(4);
    let loads = demand(&[("a", 900.0)]);
    let full = [
        spot("1", 0, &[("a", &["x0"]), ("b", &[])]),
        spot("2", 0, &[("a", &[]), ("b", &["x0"])]),
    ];
    let wanted = adapter("a", "x1");
    let choice =
        AdapterPlanner::new(at(NOW_MS), &engine, &full, &loads).load_requested(&wanted);
    let choice = choice.expect("one can go");
    assert_eq!(
        (&*choice.upstream, choice.unload),
        ("2", Some(adapter("b", "x0")))
    );
    let early =
        AdapterPlanner::new(at(ADAPTER_MIN_RESIDENCE_MS - 1), &engine, &full, &loads)
            .load_requested(&wanted);
    assert_eq!(early, None, "their turns are not over");
    let free = [full[0].clone(), spot("2", 1, &[("a", &[]), ("b", &["x0"])])];
    let choice =
        AdapterPlanner::new(at(NOW_MS), &engine, &free, &loads).load_requested(&wanted);
    assert_eq!(choice.expect("there is room").unload, None);
}

/// An upstream that takes one order at a time is not chosen for two requests at once
/// while another one could have the second.
#[test]
fn two_waited_for_go_to_two_upstreams() {
    let engine = with_adapters(4);
    let spots = [spot("1", 2, &[("a", &[])]), spot("2", 2, &[("a", &[])])];
    let loads = demand(&[]);
    let mut spread = AdapterPlanner::new(at(NOW_MS), &engine, &spots, &loads);
    let first = spread
        .load_requested(&adapter("a", "x0"))
        .expect("there is room");
    let second = spread
        .load_requested(&adapter("a", "x1"))
        .expect("there is room");
    assert_ne!(first.upstream, second.upstream);
    assert_eq!(spread.load_requested(&adapter("a", "x2")), None);
    assert_eq!(spread.prefetch(), []);
}

/// Memory that the next model needs is not given to adapters that nobody waits for.
#[test]
fn the_room_for_a_model_is_left_to_it() {
    let engine = with_adapters(1);
    let mut spots = [spot("1", 2, &[("a", &[])])];
    spots[0].free_mb = 70.5;
    let loads = demand(&[]);
    assert_eq!(
        AdapterPlanner::new(at(NOW_MS), &engine, &spots, &loads).prefetch(),
        []
    );
    spots[0].free_mb = 71.0;
    let chosen = AdapterPlanner::new(at(NOW_MS), &engine, &spots, &loads).prefetch();
    assert_eq!(chosen.len(), 1);
}

/// Many more upstreams than adapters hold the models. Copies in all places would be as
/// many orders as there are places, for adapters that hardly anybody asks for: the first
/// copies are made, and further ones as the demand is worth.
#[test]
fn copies_follow_the_demand_and_not_the_places() {
    let engine = with_adapters(8);
    let spots_of = |count: usize| -> Vec<UpstreamAdapterState> {
        let all = (0..count)
            .map(|id| spot(&id.to_string(), 8, &[("a", &[]), ("b", &[]), ("c", &[])]));
        all.collect()
    };
    let held = |count: usize| {
        let mut spots = spots_of(count);
        settle(&engine, &mut spots, &demand(&[("a", 900.0)]));
        let held = spots.iter().flat_map(|spot| spot.models.values());
        held.map(BTreeMap::len).sum::<usize>()
    };
    let (few, many) = (held(100), held(400));
    assert!((24..400).contains(&few), "{few}");
    assert_eq!(few, many);
}

/// Whatever is held and asked for, adapters come to rest: none changes places with
/// another and back, and none is loaded beside a model that is not there.
#[test]
fn adapters_come_to_rest() {
    cases(100, |random| {
        let engine = with_adapters(random.int_in_range(1..=6)?);
        let mut spots = Vec::new();
        for id in 0..random.int_in_range(1..=5)? {
            let mut models = Vec::new();
            for model in ["a", "b", "c"] {
                if random.ratio(2, 3)? {
                    models.push((model, &[][..]));
                }
            }
            let places = random.int_in_range(0..=4)?;
            spots.push(spot(&format!("{id}"), places, &models));
        }
        let loads = demand(&[
            ("a", f64::from(random.int_in_range(0..=2_000u32)?)),
            ("b", f64::from(random.int_in_range(0..=2_000u32)?)),
        ]);
        settle(&engine, &mut spots, &loads);
        let moved = demand(&[("c", f64::from(random.int_in_range(0..=2_000u32)?))]);
        settle(&engine, &mut spots, &moved);
        Ok(())
    });
}
