//! Which models are loaded and unloaded where.

use crate::support::{at, cases, engine, name};
use base::prelude::*;
use direct::{
    DemandEstimate, LoadPlanner, LoadReason, PlacedModel, PlannedLoad, UpstreamState,
};
use std::collections::BTreeMap;
use std::sync::Arc;

const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn upstream(id: &str, models: &[&str]) -> UpstreamState {
    let models = models.iter().map(|model| PlacedModel {
        model: name(model),
        size_mb: 70.0,
        unloading: false,
        since: Instant::ZERO,
    });
    UpstreamState {
        upstream: name(id),
        domain: name("east"),
        idle: true,
        free_mb: 215.0 - 70.0 * models.len() as f64,
        models: models.collect(),
        local_weights: Vec::new(),
    }
}

fn estimate(ms_per_s: f64) -> DemandEstimate {
    DemandEstimate {
        recent_ms_per_s: ms_per_s,
        sustained_ms_per_s: ms_per_s,
        waiting: 0,
        oldest_wait_ms: 0,
        request_ms: 0.0,
    }
}

fn demand(of: &[(&str, f64)]) -> BTreeMap<Arc<str>, DemandEstimate> {
    of.iter()
        .map(|(model, ms)| (name(model), estimate(*ms)))
        .collect()
}

fn plan(
    upstreams: &[UpstreamState],
    demand: &BTreeMap<Arc<str>, DemandEstimate>,
) -> Vec<PlannedLoad> {
    LoadPlanner::new(5_000).plan(at(0), &engine(&MODELS), upstreams, demand)
}

#[test]
fn a_model_that_overloads_its_holder_gets_a_copy() {
    let upstreams = [
        upstream("1", &["a", "b", "c"]),
        upstream("2", &["b", "c", "d"]),
        upstream("3", &["d", "e", "f"]),
    ];
    let demand = demand(&[("a", 1_500.0), ("b", 200.0), ("e", 100.0)]);
    let choices = plan(&upstreams, &demand);
    let first = choices
        .first()
        .expect("another copy of a is worth its cost");
    assert_eq!((&*first.load, first.reason), ("a", LoadReason::Busy));
    assert!(first.unload.is_some());
    // The last copies of models in demand stay.
    assert!(
        choices
            .iter()
            .all(|choice| choice.unload.as_deref() != Some("e"))
    );
}

/// A few requests for a rarely used model arrive at once. A load would replace a copy
/// of a model that is used all the time, for demand that is over before the load
/// finishes.
#[test]
fn a_handful_of_requests_causes_no_load() {
    let upstreams = [
        upstream("1", &["a", "b", "c"]),
        upstream("2", &["a", "b", "d"]),
    ];
    let demand = demand(&[("a", 300.0), ("b", 200.0), ("d", 170.0)]);
    assert!(plan(&upstreams, &demand).is_empty());
}

/// Two models in demand share one upstream, and requests wait for a third one. Evicting
/// the last copy of a model in demand would only change which requests are refused.
#[test]
fn the_last_copy_of_a_model_in_demand_is_not_evicted() {
    let upstreams = [upstream("1", &["a", "b", "c"])];
    let mut demand = demand(&[("a", 100.0), ("b", 100.0), ("c", 100.0)]);
    let waiting = DemandEstimate {
        waiting: 9,
        oldest_wait_ms: 100,
        request_ms: 0.0,
        ..estimate(5_000.0)
    };
    demand.insert(name("f"), waiting);
    assert!(plan(&upstreams, &demand).is_empty());
}

/// Two upstreams with memory for three models each, where a load takes a second.
struct TwoUpstreams {
    upstreams: [UpstreamState; 2],
    busy_until_ms: [u64; 2],
}

impl TwoUpstreams {
    const LOAD_MS: u64 = 1_000;

    /// Holds the first six models and has local weights of all.
    fn new(all: &[&str]) -> Self {
        let mut upstreams = [upstream("1", &all[..3]), upstream("2", &all[3..6])];
        for upstream in &mut upstreams {
            upstream.local_weights = all.iter().map(|model| name(model)).collect();
        }
        Self {
            upstreams,
            busy_until_ms: [0; 2],
        }
    }

    /// Whether a model is held and has finished loading.
    fn serves(&self, ms: u64, model: &str) -> bool {
        let mut upstreams = self.upstreams.iter().zip(self.busy_until_ms);
        upstreams.any(|(upstream, until_ms)| {
            let loading = usize::from(until_ms > ms);
            let mut held = upstream.models.iter().rev().skip(loading);
            held.any(|placed| &*placed.model == model)
        })
    }

    fn states_at(&mut self, ms: u64) -> &[UpstreamState] {
        for (upstream, until_ms) in self.upstreams.iter_mut().zip(self.busy_until_ms) {
            upstream.idle = until_ms <= ms;
        }
        &self.upstreams
    }

    fn carry_out(&mut self, ms: u64, choice: &PlannedLoad) {
        let index = usize::from(&*choice.upstream == "2");
        let models = &mut self.upstreams[index].models;
        models.retain(|placed| Some(&placed.model) != choice.unload.as_ref());
        models.push(PlacedModel {
            model: Arc::clone(&choice.load),
            size_mb: 70.0,
            unloading: false,
            since: at(ms + Self::LOAD_MS),
        });
        assert!(models.len() <= 3);
        self.busy_until_ms[index] = ms + Self::LOAD_MS;
    }
}

/// Eight models are in demand all the time and six fit. The first ones must not stay
/// forever: each model is served again and again, and memory serves requests for longer
/// than it takes to load.
#[test]
fn models_in_demand_take_turns_if_not_all_fit() {
    const ALL: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    const TICK_MS: u64 = 150;
    let engine = engine(&ALL);
    let mut planner = LoadPlanner::new(5_000);
    let mut two_upstreams = TwoUpstreams::new(&ALL);
    let mut served_ms: BTreeMap<&str, u64> = BTreeMap::new();
    for ms in (0..60_000).step_by(TICK_MS as usize) {
        let demand = ALL.map(|model| {
            let serves = two_upstreams.serves(ms, model);
            *served_ms.entry(model).or_default() += TICK_MS * u64::from(serves);
            let estimate = DemandEstimate {
                waiting: u32::from(!serves),
                oldest_wait_ms: 100,
                request_ms: 0.0,
                ..estimate(100.0)
            };
            (name(model), estimate)
        });
        let choices =
            planner.plan(at(ms), &engine, two_upstreams.states_at(ms), &demand.into());
        for choice in &choices {
            two_upstreams.carry_out(ms, choice);
        }
    }
    for (model, ms) in &served_ms {
        assert!(*ms > 20_000, "{model}: {served_ms:?}");
    }
    let all: u64 = served_ms.values().sum();
    assert!(all > 6 * 60_000 * 3 / 4, "{served_ms:?}");
}

#[test]
fn an_awaited_model_replaces_the_last_copy_of_an_unused_one() {
    let upstreams = [upstream("1", &["a", "b", "c"])];
    let mut demand = demand(&[("a", 100.0), ("b", 100.0)]);
    let waiting = DemandEstimate {
        waiting: 1,
        oldest_wait_ms: 100,
        request_ms: 0.0,
        ..estimate(10.0)
    };
    demand.insert(name("f"), waiting);
    let choices = plan(&upstreams, &demand);
    assert_eq!(choices.len(), 1);
    assert_eq!(&*choices[0].load, "f");
    assert_eq!(choices[0].unload.as_deref(), Some("c"));
    assert_eq!(choices[0].reason, LoadReason::Waited);
}

#[test]
fn models_without_a_holder_use_free_memory_and_evict_nothing() {
    let choices = plan(
        &[upstream("1", &["a"]), upstream("2", &["a", "b", "c"])],
        &demand(&[]),
    );
    assert!(choices.iter().all(|choice| choice.unload.is_none()));
    assert!(choices.iter().all(|choice| &*choice.upstream == "1"));
    assert_eq!(choices.len(), 1, "an upstream takes one order at a time");
}

/// The weight store allows two loads per second. Whatever is in demand, no more than
/// the usable share of the window is ordered, even right after a change of the
/// coordinator, and an unanswered load counts for as long as it may start.
#[test]
fn loads_from_the_weight_store_stay_within_its_rate() {
    let engine = engine(&MODELS);
    let mut planner = LoadPlanner::new(5_000);
    let window_loads = planner.store_loads_left(at(0), &engine);
    assert!((8..=10).contains(&window_loads));
    for _ in 0..window_loads {
        planner.record_store_load(at(0));
    }
    assert_eq!(planner.store_loads_left(at(4_900), &engine), 0);
    assert_eq!(planner.store_loads_left(at(5_001), &engine), window_loads);
    planner.record_unanswered_load(at(5_001));
    assert_eq!(
        planner.store_loads_left(at(16_000), &engine),
        window_loads - 1
    );
    assert_eq!(planner.store_loads_left(at(18_000), &engine), window_loads);
    let mut next = LoadPlanner::new(5_000);
    next.assume_window_spent(at(20_000), &engine);
    assert_eq!(next.store_loads_left(at(21_000), &engine), 0);
    assert_eq!(next.store_loads_left(at(25_001), &engine), window_loads);
}

/// The platform is away until the coordinator's lease lapses; the coordinator renews it
/// and resumes. Loads from just before the pause still count. Otherwise, models would
/// be loaded at twice the rate that the weight store allows.
#[test]
fn loads_ordered_before_a_pause_still_count_after_it() {
    let engine = engine(&MODELS);
    let mut planner = LoadPlanner::new(5_000);
    let window_loads = planner.store_loads_left(at(0), &engine);
    for _ in 0..window_loads {
        planner.record_store_load(at(1_000));
    }
    planner.resume();
    assert_eq!(planner.store_loads_left(at(2_000), &engine), 0);
    planner.assume_window_spent(at(500), &engine);
    assert_eq!(planner.store_loads_left(at(5_900), &engine), 0);
    assert_eq!(planner.store_loads_left(at(6_001), &engine), window_loads);
}

#[test]
fn with_the_store_budget_spent_only_local_weights_are_loaded() {
    let engine = engine(&MODELS);
    let mut planner = LoadPlanner::new(5_000);
    planner.assume_window_spent(at(0), &engine);
    let mut with_local_weights = upstream("1", &["a"]);
    with_local_weights.local_weights = vec![name("c")];
    let choices = planner.plan(at(10), &engine, &[with_local_weights], &demand(&[]));
    assert_eq!(choices.len(), 1);
    assert_eq!(&*choices[0].load, "c");
    assert!(!choices[0].from_store);
}

#[test]
fn no_load_overfills_an_upstream_or_uses_a_busy_one() {
    let mut busy = upstream("1", &["a"]);
    busy.idle = false;
    let upstreams = [
        busy,
        upstream("2", &["a", "b"]),
        upstream("3", &["c", "d", "e"]),
    ];
    let demand = demand(&[("a", 3_000.0), ("f", 500.0)]);
    for choice in plan(&upstreams, &demand) {
        assert_ne!(&*choice.upstream, "1");
        let upstream = upstreams
            .iter()
            .find(|upstream| upstream.upstream == choice.upstream);
        let freed = if choice.unload.is_some() { 70.0 } else { 0.0 };
        assert!(upstream.expect("it is one of the upstreams").free_mb + freed >= 70.0);
    }
}

/// Loads from local weights got no answer, and their upstreams restarted. The new
/// incarnations have no weights in memory, so each load may come from the weight store
/// and counts until it can no longer be carried out.
#[test]
fn loads_that_outlive_an_incarnation_count_as_store_loads() {
    let engine = engine(&MODELS);
    let mut planner = LoadPlanner::new(5_000);
    let window_loads = planner.store_loads_left(at(0), &engine);
    planner.record_surviving_loads(at(0), 3);
    assert_eq!(
        planner.store_loads_left(at(12_000), &engine),
        window_loads - 3
    );
    assert_eq!(planner.store_loads_left(at(13_000), &engine), window_loads);
}

/// Cost of an unload per unit of upstream time that the model used, and cost of
/// evicting a last copy, as in the planner.
const UNLOAD_COST: f64 = 1.0;
const LAST_COPY_LOSS: f64 = 0.5;

/// Reduction of the sum of squared upstream loads by a move, minus the cost of its
/// unload, computed from the definition: each copy carries its share of the model's
/// expected demand, and the retained demand of an evicted copy goes to the other
/// copies.
fn reduction_by_definition(
    upstreams: &[UpstreamState],
    demand: &BTreeMap<Arc<str>, DemandEstimate>,
    choice: &PlannedLoad,
) -> f64 {
    let holders = |model: &Arc<str>| -> Vec<usize> {
        let holds = |upstream: &UpstreamState| {
            upstream.models.iter().any(|placed| placed.model == *model)
        };
        (0..upstreams.len())
            .filter(|index| holds(&upstreams[*index]))
            .collect()
    };
    let part = |work_ms: f64, copies: usize| work_ms / 1_000.0 / copies.max(1) as f64;
    let expected = |model: &Arc<str>| {
        demand
            .get(model)
            .map_or(0.0, DemandEstimate::expected_ms_per_s)
    };
    let retained = |model: &Arc<str>| {
        demand
            .get(model)
            .map_or(0.0, DemandEstimate::retention_ms_per_s)
    };
    let mut before = vec![0.0; upstreams.len()];
    for (index, upstream) in upstreams.iter().enumerate() {
        for placed in &upstream.models {
            let copies = holders(&placed.model).len();
            before[index] += part(expected(&placed.model), copies);
        }
    }
    let to = upstreams
        .iter()
        .position(|upstream| upstream.upstream == choice.upstream);
    let to = to.expect("it is one of the upstreams");
    let mut after = before.clone();
    let of = holders(&choice.load);
    let more = part(expected(&choice.load), of.len() + 1);
    for holder in &of {
        after[*holder] += more - part(expected(&choice.load), of.len());
    }
    after[to] += more;
    let mut cost = 0.0;
    if let Some(victim) = &choice.unload {
        let of = holders(victim);
        let share = part(retained(victim), of.len());
        for holder in &of {
            after[*holder] += part(retained(victim), of.len() - 1) - share;
        }
        after[to] -= part(retained(victim), of.len() - 1);
        cost = share * UNLOAD_COST;
        if of.len() == 1 {
            cost += LAST_COPY_LOSS;
        }
    }
    let squares = |loads: &[f64]| loads.iter().map(|load| load * load).sum::<f64>();
    squares(&before) - squares(&after) - cost
}

/// Relief is computed from cached sums. It must equal the reduction of the sum of
/// squared loads, whichever other upstreams hold the two models.
#[test]
fn relief_equals_the_reduction_of_the_sum_of_squared_loads() {
    let moved = std::cell::Cell::new([0, 0]);
    cases(400, |random| {
        let mut upstreams = Vec::new();
        for index in 0..4 {
            let held = [0, 2, 4].map(|at| at + random.int_in_range(0..=1).unwrap_or(0));
            let held = held.map(|model| MODELS[model]);
            let free = random.int_in_range(0..=5)? == 0;
            let held = if free { &held[..2] } else { &held[..] };
            upstreams.push(upstream(&index.to_string(), held));
        }
        // Demand is steady and heavy, so no shift is expected.
        let mut demand = BTreeMap::new();
        for model in MODELS {
            demand.insert(
                name(model),
                estimate(random.int_in_range(400..=9_000)? as f64),
            );
        }
        let choices = plan(&upstreams, &demand);
        let first = choices.first();
        let Some(first) = first.filter(|first| first.reason == LoadReason::Busy) else {
            return Ok(());
        };
        let reduction = reduction_by_definition(&upstreams, &demand, first);
        assert!(
            (reduction - first.relief).abs() < 1e-6,
            "{reduction}, {first:?}"
        );
        let mut counts = moved.get();
        counts[usize::from(first.unload.is_some())] += 1;
        moved.set(counts);
        Ok(())
    });
    let [into_room, in_place] = moved.get();
    assert!(into_room > 30 && in_place > 30, "{into_room}, {in_place}");
}

/// Demand shifts among the models faster than a load finishes. If it last shifted by
/// three ranks, the copy made ahead is of the model three ranks behind; if it shifted
/// to the next rank, of the next model.
#[test]
fn copies_are_made_for_the_model_that_demand_shifts_to() {
    let mut engine = engine(&MODELS);
    for spec in engine.models.values_mut() {
        spec.store_load_ms = 6_000;
    }
    let upstreams: Vec<UpstreamState> = MODELS
        .iter()
        .map(|model| upstream(model, &[*model, "x", "y"]))
        .chain(["7", "8", "9"].map(|free| upstream(free, &["x", "y"])))
        .collect();
    let loaded_ahead_of_shift = |new_top: &str| {
        let mut planner = LoadPlanner::new(5_000);
        let shares = [3_600.0, 1_200.0, 1_100.0, 1_000.0, 900.0, 800.0];
        let before: Vec<(&str, f64)> = MODELS.into_iter().zip(shares).collect();
        planner.plan(at(0), &engine, &upstreams, &demand(&before));
        let moved = before.iter().map(|(model, share)| match *model {
            "a" => ("a", 0.0),
            model if model == new_top => (model, 3_600.0),
            model => (model, *share),
        });
        let moved: Vec<(&str, f64)> = moved.collect();
        let choices = planner.plan(at(4_000), &engine, &upstreams, &demand(&moved));
        let ahead = choices.iter().filter(|choice| &*choice.load != new_top);
        ahead.map(|choice| choice.load.to_string()).next()
    };
    let near = loaded_ahead_of_shift("b").expect("memory is free");
    let far = loaded_ahead_of_shift("d").expect("memory is free");
    assert_eq!((near.as_str(), far.as_str()), ("c", "e"));
}
