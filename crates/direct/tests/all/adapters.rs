//! Planning of adapter loads.

use crate::support::{at, cases, engine, name};
use base::prelude::*;
use direct::{
    ADAPTER_MIN_RESIDENCE_MS, AdapterName, AdapterPlanner, DemandEstimate, EngineSpec,
    PlannedAdapterLoad, RequestedAdapter, SoftwareVersion, UpstreamAdapterState,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time at which the minimum residence of all adapters in these tests is over.
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

fn upstream(
    id: &str,
    free_slots: u32,
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
        free_slots,
        free_mb: 5.0,
        running: 0,
        unloading: BTreeSet::new(),
        software: None,
        models: models
            .iter()
            .map(|(model, adapters)| (name(model), held(adapters)))
            .collect(),
    }
}

fn any_version(name: &AdapterName) -> RequestedAdapter {
    RequestedAdapter {
        name: name.clone(),
        software: None,
    }
}

fn demand(of: &[(&str, f64)]) -> BTreeMap<Arc<str>, DemandEstimate> {
    let estimate = |ms: f64| DemandEstimate {
        recent_ms_per_s: ms,
        sustained_ms_per_s: ms,
        waiting: 0,
        oldest_wait_ms: 0,
        request_ms: 0.0,
    };
    of.iter()
        .map(|(model, ms)| (name(model), estimate(*ms)))
        .collect()
}

fn adapter(model: &str, adapter: &str) -> AdapterName {
    AdapterName {
        model: name(model),
        adapter: name(adapter),
    }
}

/// Carries out prefetches until none is left, and returns the number of rounds.
fn settle(
    engine: &EngineSpec,
    upstreams: &mut [UpstreamAdapterState],
    demand: &BTreeMap<Arc<str>, DemandEstimate>,
) -> usize {
    for round in 0..200 {
        let choices =
            AdapterPlanner::new(at(NOW_MS), engine, upstreams, demand).prefetch();
        if choices.is_empty() {
            return round;
        }
        for choice in choices {
            carry_out(upstreams, &choice);
        }
    }
    panic!("the adapter plan does not converge: {upstreams:?}");
}

fn carry_out(upstreams: &mut [UpstreamAdapterState], choice: &PlannedAdapterLoad) {
    let mut all = upstreams.iter_mut();
    let upstream = all
        .find(|upstream| upstream.upstream == choice.upstream)
        .expect("the upstream is known");
    if let Some(gone) = &choice.unload {
        let held = upstream.models.get_mut(&gone.model).expect("it is held");
        held.remove(&gone.adapter).expect("it is held");
        upstream.free_slots += 1;
        return;
    }
    assert!(upstream.free_slots > 0, "{choice:?}");
    let held = upstream
        .models
        .get_mut(&choice.load.model)
        .expect("its model is held");
    assert_eq!(held.insert(Arc::clone(&choice.load.adapter), at(0)), None);
    upstream.free_slots -= 1;
}

fn copy_count(upstreams: &[UpstreamAdapterState], of: &AdapterName) -> usize {
    let held = upstreams
        .iter()
        .filter_map(|upstream| upstream.models.get(&of.model));
    held.filter(|adapters| adapters.contains_key(&of.adapter))
        .count()
}

/// Requests name one of many adapters. If there are slots for all, each adapter is held
/// somewhere before its first request, and none waits for a load.
#[test]
fn every_adapter_is_prefetched_if_there_are_slots_for_all() {
    let engine = with_adapters(4);
    let mut upstreams: Vec<UpstreamAdapterState> = (0..4)
        .map(|id| upstream(&id.to_string(), 4, &[("a", &[]), ("b", &[]), ("c", &[])]))
        .collect();
    settle(&engine, &mut upstreams, &demand(&[("a", 900.0)]));
    for model in ["a", "b", "c"] {
        for number in 0..4 {
            let name = adapter(model, &format!("x{number}"));
            assert!(copy_count(&upstreams, &name) > 0, "{name:?} {upstreams:?}");
        }
    }
}

/// Demand is on one model, and an upstream whose slots are taken by adapters of an
/// unused model gets a new copy of it. Without adapters of its own, the new copy could
/// serve no request that names one, and the first copy would stay as busy.
#[test]
fn a_new_model_copy_gets_adapters_instead_of_unused_ones() {
    let engine = with_adapters(2);
    let mut upstreams = [
        upstream("1", 0, &[("a", &["x0", "x1"])]),
        upstream("2", 0, &[("b", &["x0", "x1"])]),
        upstream("3", 0, &[("a", &[]), ("b", &["x0", "x1"])]),
    ];
    settle(&engine, &mut upstreams, &demand(&[("a", 900.0)]));
    assert_eq!(upstreams[2].models["a"].len(), 2, "{upstreams:?}");
    assert_eq!(upstreams[2].models["b"].len(), 0, "{upstreams:?}");
}

/// A request waits for an adapter that no upstream holds. It takes a free slot, or else
/// the slot of the adapter with the least value among those whose minimum residence is
/// over.
#[test]
fn a_requested_adapter_replaces_the_one_with_the_least_value() {
    let engine = with_adapters(4);
    let demand = demand(&[("a", 900.0)]);
    let full = [
        upstream("1", 0, &[("a", &["x0"]), ("b", &[])]),
        upstream("2", 0, &[("a", &[]), ("b", &["x0"])]),
    ];
    let requested = adapter("a", "x1");
    let choice = AdapterPlanner::new(at(NOW_MS), &engine, &full, &demand)
        .load_requested(&any_version(&requested));
    let choice = choice.expect("one can be unloaded");
    assert_eq!(
        (&*choice.upstream, choice.unload),
        ("2", Some(adapter("b", "x0")))
    );
    let early =
        AdapterPlanner::new(at(ADAPTER_MIN_RESIDENCE_MS - 1), &engine, &full, &demand)
            .load_requested(&any_version(&requested));
    assert_eq!(early, None, "their minimum residence is not over");
    let free = [
        full[0].clone(),
        upstream("2", 1, &[("a", &[]), ("b", &["x0"])]),
    ];
    let choice = AdapterPlanner::new(at(NOW_MS), &engine, &free, &demand)
        .load_requested(&any_version(&requested));
    assert_eq!(choice.expect("a slot is free").unload, None);
}

/// An upstream that takes one order at a time isn't chosen for two requests at once if
/// another upstream can take the second one.
#[test]
fn two_requested_adapters_are_loaded_on_two_upstreams() {
    let engine = with_adapters(4);
    let upstreams = [
        upstream("1", 2, &[("a", &[])]),
        upstream("2", 2, &[("a", &[])]),
    ];
    let demand = demand(&[]);
    let mut planner = AdapterPlanner::new(at(NOW_MS), &engine, &upstreams, &demand);
    let first = planner
        .load_requested(&any_version(&adapter("a", "x0")))
        .expect("a slot is free");
    let second = planner
        .load_requested(&any_version(&adapter("a", "x1")))
        .expect("a slot is free");
    assert_ne!(first.upstream, second.upstream);
    assert_eq!(
        planner.load_requested(&any_version(&adapter("a", "x2"))),
        None
    );
    assert_eq!(planner.prefetch(), []);
}

/// Guards against streams that are refused since another version's upstream holds their
/// adapter, or is ordered to load it.
#[test]
fn an_adapter_for_a_stream_is_loaded_at_the_version_that_began_it() {
    let engine = with_adapters(4);
    let [v1, v2] = ["v1", "v2"].map(SoftwareVersion::new);
    let mut upstreams = [
        upstream("1", 2, &[("a", &["x0"])]),
        upstream("2", 1, &[("a", &[])]),
    ];
    upstreams[0].software = Some(v1);
    upstreams[0].running = 3;
    upstreams[1].software = Some(v2);
    let demand = demand(&[]);
    let mut planner = AdapterPlanner::new(at(NOW_MS), &engine, &upstreams, &demand);
    let requested = |adapter_name: &str, software| RequestedAdapter {
        name: adapter("a", adapter_name),
        software: Some(software),
    };
    assert!(!requested("x0", v2).fits(upstreams[0].software));
    assert!(!requested("x0", v2).fits(None));
    let choice = planner.load_requested(&requested("x0", v2));
    assert_eq!(&*choice.expect("a slot is free").upstream, "2");
    let choice = planner.load_requested(&requested("x1", v1));
    assert_eq!(&*choice.expect("a slot is free").upstream, "1");
    let none = planner.load_requested(&requested("x1", SoftwareVersion::new("v3")));
    assert_eq!(none, None);
}

/// Guards against an adapter that nobody can use, since its only copy is being unloaded
/// and counts as one.
#[test]
fn an_adapter_that_is_being_unloaded_is_loaded_elsewhere() {
    let engine = with_adapters(2);
    let mut upstreams = [
        upstream("1", 0, &[("a", &["x0"])]),
        upstream("2", 1, &[("a", &[])]),
    ];
    upstreams[0].unloading.insert(adapter("a", "x0"));
    upstreams[1].running = 9;
    let demand = demand(&[("a", 900.0)]);
    let mut planner = AdapterPlanner::new(at(NOW_MS), &engine, &upstreams, &demand);
    let choice = planner.load_requested(&any_version(&adapter("a", "x0")));
    assert_eq!(&*choice.expect("a slot is free").upstream, "2");
    // It can't be unloaded once more to make room.
    let choice = planner.load_requested(&any_version(&adapter("a", "x1")));
    assert_eq!(choice, None);
}

/// Memory that the next model needs isn't given to adapters that no request waits for.
#[test]
fn prefetching_leaves_enough_memory_for_a_model() {
    let engine = with_adapters(1);
    let mut upstreams = [upstream("1", 2, &[("a", &[])])];
    upstreams[0].free_mb = 70.5;
    let demand = demand(&[]);
    assert_eq!(
        AdapterPlanner::new(at(NOW_MS), &engine, &upstreams, &demand).prefetch(),
        []
    );
    upstreams[0].free_mb = 71.0;
    let chosen =
        AdapterPlanner::new(at(NOW_MS), &engine, &upstreams, &demand).prefetch();
    assert_eq!(chosen.len(), 1);
}

/// Many more upstreams hold the models than there are adapters. Copies in all slots
/// would need an order for each slot, for adapters with hardly any requests. First
/// copies are made, and further ones only if demand justifies them.
#[test]
fn the_number_of_copies_depends_on_demand_and_not_on_slots() {
    let engine = with_adapters(8);
    let spots_of = |count: usize| -> Vec<UpstreamAdapterState> {
        let all = (0..count).map(|id| {
            upstream(&id.to_string(), 8, &[("a", &[]), ("b", &[]), ("c", &[])])
        });
        all.collect()
    };
    let held = |count: usize| {
        let mut upstreams = spots_of(count);
        settle(&engine, &mut upstreams, &demand(&[("a", 900.0)]));
        let held = upstreams
            .iter()
            .flat_map(|upstream| upstream.models.values());
        held.map(BTreeMap::len).sum::<usize>()
    };
    let (few, many) = (held(100), held(400));
    assert!((24..400).contains(&few), "{few}");
    assert_eq!(few, many);
}

/// Whatever is held and in demand, prefetching ends: no two adapters replace each other
/// back and forth, and none is loaded where its model isn't held.
#[test]
fn prefetching_converges() {
    cases(100, |random| {
        let engine = with_adapters(random.int_in_range(1..=6)?);
        let mut upstreams = Vec::new();
        for id in 0..random.int_in_range(1..=5)? {
            let mut models = Vec::new();
            for model in ["a", "b", "c"] {
                if random.ratio(2, 3)? {
                    models.push((model, &[][..]));
                }
            }
            let slots = random.int_in_range(0..=4)?;
            upstreams.push(upstream(&format!("{id}"), slots, &models));
        }
        let initial = demand(&[
            ("a", f64::from(random.int_in_range(0..=2_000u32)?)),
            ("b", f64::from(random.int_in_range(0..=2_000u32)?)),
        ]);
        settle(&engine, &mut upstreams, &initial);
        let shifted = demand(&[("c", f64::from(random.int_in_range(0..=2_000u32)?))]);
        settle(&engine, &mut upstreams, &shifted);
        Ok(())
    });
}
